#ifndef HEADER_RouteQueries
#define HEADER_RouteQueries
/**
 * DOC: RouteQueries
 *
 * Queries peers for the records of the operators that this router lacks, one
 * peer at a time (CatchUp.h). A peer that is busy refuses, and the next one is
 * queried at once.
 */
#include "CatchUp.h"
#include "RecordRelay.h"

/**
 * struct RouteQueriesSpec_t - what the queries need; all must outlive them
 * @membership: the peers
 * @relay: sends the queries
 * @catch_up: what is missing, and who was queried
 * @known: the position and the version of the configuration known here
 * @owner: argument of @known
 */
typedef struct {
    const Membership_t *membership;
    const RecordRelay_t *relay;
    CatchUp_t *catch_up;
    void (*known)(void *owner, StorePosition_t *position, guint64 *version);
    void *owner;
} RouteQueriesSpec_t;

/** struct RouteQueries_t - opaque */
typedef struct RouteQueries RouteQueries_t;

/** RouteQueries_create() - start without an open query */
RouteQueries_t *RouteQueries_create(const RouteQueriesSpec_t *spec);

/** RouteQueries_destroy() - free it */
void RouteQueries_destroy(RouteQueries_t *this);

/** RouteQueries_isTransferring() - whether the answer to a query may still
 * arrive */
gboolean RouteQueries_isTransferring(const RouteQueries_t *this);

/** RouteQueries_send() - query a peer, unless an answer is on its way; returns
 * FALSE if there is no link to the peer */
gboolean RouteQueries_send(RouteQueries_t *this, Member_t *peer);

/** RouteQueries_sendToAny() - query the first linked peer */
void RouteQueries_sendToAny(RouteQueries_t *this);

/** RouteQueries_sendNext() - query a peer that is known to have the records,
 * unless an answer is on its way, or this router still lists the topic */
void RouteQueries_sendNext(RouteQueries_t *this);

#endif
