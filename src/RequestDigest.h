#ifndef HEADER_RequestDigest
#define HEADER_RequestDigest
/**
 * DOC: RequestDigest
 *
 * By what a request is known again that comes under another id, at another
 * router: a hash of its customer, path and body under the routers' key. Its
 * id, its headers and its deadline are no part of it. Without the key nobody
 * can make a request that is taken for another one, nor tell from a digest in
 * a log what was asked.
 */
#include <glib.h>

/** Bytes of a digest: 128 bits, more than can be met by chance */
#define REQUEST_DIGEST_BYTES 16
/** Characters of a digest as text */
#define REQUEST_DIGEST_TEXT (2 * REQUEST_DIGEST_BYTES)

/** struct RequestDigest_t - one digest */
typedef struct {
    guint8 bytes[REQUEST_DIGEST_BYTES];
} RequestDigest_t;

/**
 * struct RequestIdentity_t - what it is made of
 * @customer: whose request it is; empty for none
 * @path: with its query
 * @body: its bytes
 */
typedef struct {
    const char *customer;
    const char *path;
    GBytes *body;
} RequestIdentity_t;

/** RequestDigest_make() - the digest under a key of 16 to 64 bytes */
RequestDigest_t RequestDigest_make(const RequestIdentity_t *identity,
                                   GBytes *key);

/** RequestDigest_owner() - the customer alone, in the same way */
guint64 RequestDigest_owner(const char *customer, GBytes *key);

/** RequestDigest_hash() - for tables whose keys are digests */
guint RequestDigest_hash(gconstpointer digest);

/** RequestDigest_equal() - for tables whose keys are digests */
gboolean RequestDigest_equal(gconstpointer left, gconstpointer right);

/** RequestDigest_write() - as hex digits */
void RequestDigest_write(const RequestDigest_t *this,
                         char out[REQUEST_DIGEST_TEXT + 1]);

/** RequestDigest_read() - from hex digits; FALSE where it is none */
gboolean RequestDigest_read(const char *text, RequestDigest_t *out);

#endif
