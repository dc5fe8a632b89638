#ifndef HEADER_RequestDigest
#define HEADER_RequestDigest
/**
 * DOC: RequestDigest
 *
 * Identifies a request that is sent again under another id or to another
 * router: a hash of its customer, path and body, keyed with the key that the
 * routers share. The id, the headers and the deadline are not part of it.
 * Without the key nobody can forge a request with the digest of another one,
 * or infer the request from a digest in a log.
 */
#include <glib.h>

/** Bytes of a digest: 128 bits make an accidental collision implausible */
#define REQUEST_DIGEST_BYTES 16
/** Characters of a digest in hex */
#define REQUEST_DIGEST_TEXT (2 * REQUEST_DIGEST_BYTES)

/** struct RequestDigest_t - one digest */
typedef struct {
    guint8 bytes[REQUEST_DIGEST_BYTES];
} RequestDigest_t;

/**
 * struct RequestIdentity_t - input of a digest
 * @customer: customer who sent the request; empty for none
 * @path: path with the query
 * @body: body of the request
 */
typedef struct {
    const char *customer;
    const char *path;
    GBytes *body;
} RequestIdentity_t;

/** RequestDigest_make() - compute a digest under a key of 16 to 64 bytes */
RequestDigest_t RequestDigest_make(const RequestIdentity_t *identity,
                                   GBytes *key);

/** RequestDigest_makeOfId() - digest of a customer and the id of one of its
 * requests, which nobody without the key can make for another customer */
RequestDigest_t RequestDigest_makeOfId(const char *customer, const char *id,
                                       GBytes *key);

/** RequestDigest_makeOfPart() - digest of a part of a prompt
 * @customer: whose requests alone share the part; empty if customers share it
 * @id: identity that the caller declared */
RequestDigest_t RequestDigest_makeOfPart(const char *customer, guint64 id,
                                         GBytes *key);

/** RequestDigest_hashCustomer() - keyed hash of the customer alone */
guint64 RequestDigest_hashCustomer(const char *customer, GBytes *key);

/** RequestDigest_hash() - for tables whose keys are digests */
guint RequestDigest_hash(gconstpointer digest);

/** RequestDigest_equal() - for tables whose keys are digests */
gboolean RequestDigest_equal(gconstpointer left, gconstpointer right);

/** RequestDigest_write() - write as hex digits and a NUL */
void RequestDigest_write(const RequestDigest_t *this,
                         char out[REQUEST_DIGEST_TEXT + 1]);

/** RequestDigest_read() - parse hex digits; FALSE where the text is not a
 * digest */
gboolean RequestDigest_read(const char *text, RequestDigest_t *out);

#endif
