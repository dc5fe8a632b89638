#ifndef HEADER_RequestHashes
#define HEADER_RequestHashes
/**
 * DOC: RequestHashes
 *
 * The digest of a request (RequestDigest.h), those of the parts of its prompt
 * and the hash of its customer. All are computed on first use, so that a
 * request that is refused at once is never hashed.
 */
#include "PromptParts.h"

/** struct RequestHashes_t - opaque */
typedef struct RequestHashes RequestHashes_t;

/**
 * RequestHashes_create() - create without hashing
 * @identity: copied; a reference to the body is held
 * @parts: copied
 */
RequestHashes_t *RequestHashes_create(const RequestIdentity_t *identity,
                                      const PromptParts_t *parts);

/** RequestHashes_destroy() - free the hashes */
void RequestHashes_destroy(RequestHashes_t *this);

/** RequestHashes_digest() - digest that identifies a repeated request
 * @key: must be the same at each call */
const RequestDigest_t *RequestHashes_digest(RequestHashes_t *this,
                                            GBytes *key);

/** RequestHashes_parts() - PartKey_t of each part of the prompt, valid as long
 * as the hashes unless the caller takes a reference
 * @key: must be the same at each call */
GArray *RequestHashes_parts(RequestHashes_t *this, GBytes *key);

/** RequestHashes_customerHash() - see RequestDigest_hashCustomer()
 * @key: must be the same at each call */
guint64 RequestHashes_customerHash(RequestHashes_t *this, GBytes *key);

#endif
