#ifndef HEADER_OriginQueries
#define HEADER_OriginQueries
/**
 * DOC: OriginQueries
 *
 * Asks other routers which version began a stream, for requests that continue
 * it and wait: its owners, or all routers if it may have begun at the base. A
 * query ends with the first answer that names the version, once it follows
 * from what the others say and what this router knows (OriginFacts.h), or at
 * its limit.
 */
#include "OriginFacts.h"

/** How long all routers are asked, in ms, while they read what the others
 * state; those that join meanwhile are asked as well */
#define ORIGIN_ASK_ALL_TIMEOUT_MS 800

/** How long owners are asked before the version counts as unknown, in ms: ten
 * round trips between halls at routers with a busy event loop. It takes longer
 * only if the list may still name a single version */
#define ORIGIN_ASK_TIMEOUT_MS 250

/** OriginAsked_t - called when a query is answered or has timed out */
typedef void (*OriginAsked_t)(void *owner, const OriginAnswer_t *answer);

/** struct OriginQuery_t - opaque; an open query */
typedef struct OriginQuery OriginQuery_t;

/** struct OriginQueries_t - opaque */
typedef struct OriginQueries OriginQueries_t;

/** OriginQueries_create() - @links and @facts must outlive it */
OriginQueries_t *OriginQueries_create(const OriginLinks_t *links,
                                      OriginFacts_t *facts);

/** OriginQueries_destroy() - free it; no query may be open */
void OriginQueries_destroy(OriginQueries_t *this);

/** OriginQueries_ask() - see OriginKeeper_ask() */
OriginQuery_t *OriginQueries_ask(OriginQueries_t *this,
                                 const RequestDigest_t *digest,
                                 const char *service, gboolean may_change,
                                 OriginAnswer_t *out, OriginAsked_t done,
                                 void *owner);

/** OriginQueries_cancel() - nobody waits for the answer any more */
void OriginQueries_cancel(OriginQueries_t *this, OriginQuery_t *query);

/** OriginQueries_receive() - handle the answer of another router */
void OriginQueries_receive(OriginQueries_t *this,
                           const Wt__OriginAnswer *answer, guint64 from);

/** OriginQueries_tick() - repeat questions, ask routers that have joined, and
 * end queries whose time is over */
void OriginQueries_tick(OriginQueries_t *this);

#endif
