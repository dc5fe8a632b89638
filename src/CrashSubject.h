#ifndef HEADER_CrashSubject
#define HEADER_CrashSubject
/**
 * DOC: CrashSubject
 *
 * A request as it is known again (RequestDigest.h). Its digest is made when it
 * is first asked for: one that is refused at once is not hashed.
 */
#include "RequestDigest.h"

/** struct CrashSubject_t - opaque */
typedef struct CrashSubject CrashSubject_t;

/**
 * CrashSubject_create() - of one request
 * @identity: copied; its body is held
 */
CrashSubject_t *CrashSubject_create(const RequestIdentity_t *identity);

/** CrashSubject_destroy() - free it */
void CrashSubject_destroy(CrashSubject_t *this);

/** CrashSubject_digest() - by which it is known again
 * @key: the same at each call */
const RequestDigest_t *CrashSubject_digest(CrashSubject_t *this, GBytes *key);

/** CrashSubject_owner() - its customer; see RequestDigest_hashCustomer() */
guint64 CrashSubject_owner(CrashSubject_t *this, GBytes *key);

#endif
