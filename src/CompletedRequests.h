#ifndef HEADER_CompletedRequests
#define HEADER_CompletedRequests
/**
 * DOC: CompletedRequests
 *
 * Remembers the requests that this router completed recently. Load pattern: a
 * few requests are sent repeatedly by many callers, so that one of them is
 * running on most engines that crash, and they would be quarantined although
 * they are harmless. A request that was completed recently is exempt from
 * quarantine. Each completion counts only once, so that a request that starts
 * to crash engines is quarantined nevertheless. Parts of prompts are
 * remembered in the same way.
 */
#include "RequestDigest.h"

/** Maximum number of stored requests: covers COMPLETED_REQUESTS_RETAIN_MS at
 * 50 requests/s, in 0.4 MB at 100 B per request */
#define COMPLETED_REQUESTS_MAX 4096
/** How long a request is stored, in ms; the software of the engines may have
 * changed after a longer time */
#define COMPLETED_REQUESTS_RETAIN_MS 60000

/** struct CompletedRequests_t - opaque */
typedef struct CompletedRequests CompletedRequests_t;

/**
 * CompletedRequests_create() - create an empty set
 * @max: maximum number of digests; beyond it the oldest is dropped
 * @retain_ms: how long a digest is stored
 */
CompletedRequests_t *CompletedRequests_create(guint max, gint64 retain_ms);

/** CompletedRequests_destroy() - free the set */
void CompletedRequests_destroy(CompletedRequests_t *this);

/** CompletedRequests_note() - note that a request was completed */
void CompletedRequests_note(CompletedRequests_t *this,
                            const RequestDigest_t *digest, gint64 now_ms);

/** CompletedRequests_has() - whether a digest was noted recently */
gboolean CompletedRequests_has(const CompletedRequests_t *this,
                               const RequestDigest_t *digest, gint64 now_ms);

/** CompletedRequests_consume() - remove a request; returns whether it was
 * completed recently */
gboolean CompletedRequests_consume(CompletedRequests_t *this,
                                   const RequestDigest_t *digest,
                                   gint64 now_ms);

#endif
