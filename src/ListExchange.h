#ifndef HEADER_ListExchange
#define HEADER_ListExchange
/**
 * DOC: ListExchange
 *
 * Routers pass a long list on to each other. If the list has more than one
 * page, a few routers of each hall read it from the store, one after the
 * other, and only while their peers send nothing. The other routers query
 * peers that have the list, page by page, and continue at another peer if one
 * stops answering. Apart from the first page, the load of a start on the store
 * does not grow with the number of routers. The time until all have the list
 * grows with the logarithm of their number, as each router that has it serves
 * a few others.
 */
#include "ListCopy.h"
#include "Membership.h"
#include "RecordFollower.h"
#include "StoreEpoch.h"

/**
 * struct ListExchangeSpec_t - dependencies; all must outlive the exchange
 * @topic: topic of the list
 * @membership: peers and the links to them
 * @epoch: epoch of the store
 * @counters: counts pages by result; may be NULL
 */
typedef struct {
    const char *topic;
    Membership_t *membership;
    StoreEpoch_t *epoch;
    Counters_t *counters;
} ListExchangeSpec_t;

/** struct ListExchange_t - opaque */
typedef struct ListExchange ListExchange_t;

/**
 * ListExchange_create() - create an exchange that sends no queries yet
 * @copy: the list that is served to peers; must outlive the exchange
 */
ListExchange_t *ListExchange_create(struct event_base *base,
                                    const ListExchangeSpec_t *spec,
                                    const ListCopy_t *copy);

/** ListExchange_destroy() - free the exchange */
void ListExchange_destroy(ListExchange_t *this);

/** ListExchange_setFollower() - set the follower that receives the pages of
 * peers, and start queries; called once */
void ListExchange_setFollower(ListExchange_t *this,
                              RecordFollower_t *follower);

/** ListExchange_setCurrent() - the copy is complete up to @end, which was the
 * end of the topic at @at_ms (monotonic) */
void ListExchange_setCurrent(ListExchange_t *this, StorePosition_t end,
                             gint64 at_ms);

/**
 * ListExchange_msUntilStoreRead() - how long this router leaves the remainder
 * of a list to its peers
 *
 * Return: milliseconds; 0 if this router is to read from the store now
 */
gint64 ListExchange_msUntilStoreRead(ListExchange_t *this);

/** ListExchange_startQueries() - query peers for as long as the follower needs
 * a list */
void ListExchange_startQueries(ListExchange_t *this);

/**
 * ListExchange_mayQuery() - whether this router may query a peer, possibly of
 * another hall, for a part of the list
 * @waited_ms: time since this router last received what it lacks
 */
gboolean ListExchange_mayQuery(const ListExchange_t *this,
                               const Member_t *peer, gint64 waited_ms);

/**
 * ListExchange_mayServe() - whether a part of the list may be sent to a peer
 * now
 *
 * The number of peers served at the same time is limited, so that answers to
 * callers get their share of the link. A peer that is being served may go on.
 */
gboolean ListExchange_mayServe(ListExchange_t *this, const Member_t *peer);

/** ListExchange_answerQuery() - send a page, or a refusal, to a peer that
 * queries */
void ListExchange_answerQuery(ListExchange_t *this, Member_t *from,
                              const Wt__ListAsk *query);

/** ListExchange_receivePage() - handle a page, or a refusal, of a peer */
void ListExchange_receivePage(ListExchange_t *this, Member_t *from,
                              const Wt__ListPage *page);

#endif
