#ifndef HEADER_UpstreamListing
#define HEADER_UpstreamListing
/**
 * DOC: UpstreamListing
 *
 * Keeps an UpstreamSet in sync with the platform's list of live and leaving
 * upstreams. An upstream that is missing from the list gets no new requests.
 * For a grace period after an outage of the list missing upstreams stay in
 * use, because entries expire in an outage and are written again soon after.
 * A router forwards the records that it reads to its peers, and reads the list
 * itself only if its peers have sent nothing.
 */
#include "HallRegions.h"
#include "HintBroadcast.h"
#include "ListedUpstream.h"
#include "Membership.h"
#include "RecordSource.h"
#include "SoftwareVersions.h"
#include "StoreEpoch.h"
#include "UpstreamSet.h"

/**
 * struct UpstreamListingSpec_t - dependencies and timing; all objects must
 * outlive the UpstreamListing_t
 * @source: source of the list
 * @topic: topic of the list
 * @decode: decodes an entry
 * @upstreams: the set to keep in sync
 * @membership: links to the peers, and notified of changed upstreams; NULL for
 *     none, as in module tests
 * @hints: sends changed weights to the peers; NULL for none, as in module
 *     tests
 * @epoch: epoch of the store
 * @counters: counters of calls to the store; NULL for none, as in module tests
 * @regions: regions of the upstreams' halls
 * @versions: receives the upstreams' software versions; NULL for none, as in
 *     module tests
 * @poll_ms: maximum age of the known state of the list before it is read again
 * @return_ms: grace period after an outage in which a missing entry may be
 *     listed again
 */
typedef struct {
    RecordSource_t *source;
    const char *topic;
    ListedUpstreamDecode_t decode;
    UpstreamSet_t *upstreams;
    Membership_t *membership;
    HintBroadcast_t *hints;
    StoreEpoch_t *epoch;
    Counters_t *counters;
    const HallRegions_t *regions;
    SoftwareVersions_t *versions;
    gint64 poll_ms;
    gint64 return_ms;
} UpstreamListingSpec_t;

/** struct UpstreamListing_t - opaque */
typedef struct UpstreamListing UpstreamListing_t;

/** UpstreamListing_create() - start following the list */
UpstreamListing_t *UpstreamListing_create(struct event_base *base,
                                          const UpstreamListingSpec_t *spec);

/** UpstreamListing_setTimes() - change poll_ms and return_ms of the spec for
 * later reads and outages */
void UpstreamListing_setTimes(UpstreamListing_t *this, gint64 poll_ms,
                              gint64 return_ms);

/** UpstreamListing_destroy() - free it; its source must be freed first */
void UpstreamListing_destroy(UpstreamListing_t *this);

/** UpstreamListing_receive() - apply records of the list from a peer; records
 * missing before them are queried from @from, or from no peer if it is NULL */
void UpstreamListing_receive(UpstreamListing_t *this, Member_t *from,
                             const Wt__TopicPart *message);

/** UpstreamListing_answerQuery() - send a peer the records that it lacks, or
 * a refusal */
void UpstreamListing_answerQuery(const UpstreamListing_t *this, Member_t *from,
                                 const Wt__TopicAsk *query);

/** UpstreamListing_answerListQuery() - answer a peer's query for a page of the
 * list; only with a membership */
void UpstreamListing_answerListQuery(UpstreamListing_t *this, Member_t *from,
                                     const Wt__ListAsk *query);

/** UpstreamListing_receivePage() - apply a queried page of the list from a
 * peer; only with a membership */
void UpstreamListing_receivePage(UpstreamListing_t *this, Member_t *from,
                                 const Wt__ListPage *page);

/** UpstreamListing_isKnown() - whether any part of the list has been read */
gboolean UpstreamListing_isKnown(const UpstreamListing_t *this);

/** UpstreamListing_isCurrent() - whether the end of the list was known
 * recently: within poll_ms and the time of one more read */
gboolean UpstreamListing_isCurrent(const UpstreamListing_t *this);

/** UpstreamListing_endMs() - when the end of the list was last known: all
 * entries that had been written until then are known */
gint64 UpstreamListing_endMs(const UpstreamListing_t *this);

/**
 * UpstreamListing_checkEnd() - read the end of the list for a caller that
 * waits
 *
 * Does nothing if this was done just now, or if another router is to do it.
 */
void UpstreamListing_checkEnd(UpstreamListing_t *this);

/** UpstreamListing_isLost() - whether the last read of the list failed */
gboolean UpstreamListing_isLost(const UpstreamListing_t *this);

#endif
