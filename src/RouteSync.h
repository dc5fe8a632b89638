#ifndef HEADER_RouteSync
#define HEADER_RouteSync
/**
 * DOC: RouteSync
 *
 * Follows the operators' records in the platform's store: the complete
 * configuration and the current versions of weights.
 *
 * Load pattern: hundreds of routers must learn of each record within seconds,
 * and must know that there is no newer one. If each router called the store
 * for each record, and retried while the store is down, these calls would be
 * most of what the store serves. A few routers, the readers, read from the
 * store. They broadcast short records to the other routers; a long record is
 * queried from a peer. A router calls the store itself if it stays behind its
 * peers or gets no updates for longer than that takes, so that neither
 * departed readers nor silent peers keep it from the configuration in force.
 */
#include "Membership.h"
#include "ModelVersions.h"
#include "PlatformForm.h"
#include "RouteTable.h"
#include "StoreEpoch.h"

/**
 * struct RouteSyncSpec_t - dependencies and timing; all must outlive it
 * @source: source of these records alone: peers are told while it receives
 * @form: form of the platform
 * @routes: receives each newer configuration
 * @weights: receives each newer version of weights
 * @membership: peers that share how recent their knowledge is
 * @epoch: epoch of the store
 * @is_alone: no other routers are expected
 * @counters: counts calls to the store
 * @reader_wait_ms: how long the store may hold a read of a reader; limits the
 *     age of the knowledge that a configuration is the newest
 * @wait_ms: how long after the last update from a peer a router that is not a
 *     reader reads from the store
 * @unknown_age_ms: age assumed for versions of weights that were set before
 *     the start
 */
typedef struct {
    RecordSource_t *source;
    const PlatformForm_t *form;
    RouteTable_t *routes;
    ModelVersions_t *weights;
    Membership_t *membership;
    StoreEpoch_t *epoch;
    gboolean is_alone;
    Counters_t *counters;
    gint64 reader_wait_ms;
    gint64 wait_ms;
    gint64 unknown_age_ms;
} RouteSyncSpec_t;

/** struct RouteSync_t - opaque */
typedef struct RouteSync RouteSync_t;

/** RouteSync_create() - start to follow the records */
RouteSync_t *RouteSync_create(struct event_base *base,
                              const RouteSyncSpec_t *spec);

/** RouteSync_receiveCurrent() - receive from a peer the end of the topic, the
 * age of that knowledge and the peer's configuration version */
void RouteSync_receiveCurrent(RouteSync_t *this, Member_t *from,
                              const Wt__ConfigCurrent *message);

/** RouteSync_syncPeer() - send the current state to a peer that just
 * connected */
void RouteSync_syncPeer(RouteSync_t *this, Member_t *member);

/** RouteSync_receivePart() - receive records from a peer */
void RouteSync_receivePart(RouteSync_t *this, Member_t *from,
                           const Wt__TopicPart *message);

/** RouteSync_receivePatch() - receive what has changed in records, or a
 * refusal, from a peer */
void RouteSync_receivePatch(RouteSync_t *this, Member_t *from,
                            const Wt__TopicPatch *message);

/** RouteSync_answerQuery() - answer a peer's query for records from an offset
 * on; no answer is sent if nothing more is known here, or if the answer is
 * long and others are being sent */
void RouteSync_answerQuery(RouteSync_t *this, Member_t *from,
                           const Wt__TopicAsk *message);

/** RouteSync_answerListQuery() - answer the query of a starting peer for a
 * page of all records */
void RouteSync_answerListQuery(RouteSync_t *this, Member_t *from,
                               const Wt__ListAsk *ask);

/** RouteSync_receiveListPage() - receive a page that answers a list query of
 * this router */
void RouteSync_receiveListPage(RouteSync_t *this, Member_t *from,
                               const Wt__ListPage *page);

/** RouteSync_setWaits() - change @reader_wait_ms and @wait_ms for the next
 * reads */
void RouteSync_setWaits(RouteSync_t *this, gint64 reader_wait_ms,
                        gint64 wait_ms);

/** RouteSync_destroy() - free it; its source must be freed first */
void RouteSync_destroy(RouteSync_t *this);

#endif
