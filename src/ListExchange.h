#ifndef HEADER_ListExchange
#define HEADER_ListExchange
/**
 * DOC: ListExchange
 *
 * Routers hand a long list on to each other. Where it has more than one page,
 * few routers of each hall read it from the store, one after the other, and
 * only while peers bring nothing; the others ask those that have it, page by
 * page, and go on at another peer where one falls silent. What the store
 * serves for a start does not grow with the routers but for the first page,
 * and the time grows with the logarithm of their number, as each that has the
 * list hands it on to a few.
 */
#include "ListCopy.h"
#include "Membership.h"
#include "RecordFollower.h"
#include "StoreEpoch.h"

/**
 * struct ListExchangeSpec_t - what it needs; all must outlive it
 * @topic: of the list
 * @membership: whose links are used
 * @epoch: of the store
 * @counters: for pages
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
 * ListExchange_create() - asks nothing yet
 * @copy: handed on; must outlive it
 */
ListExchange_t *ListExchange_create(struct event_base *base,
                                    const ListExchangeSpec_t *spec,
                                    const ListCopy_t *copy);

/** ListExchange_destroy() - free it */
void ListExchange_destroy(ListExchange_t *this);

/** ListExchange_follow() - whose list is fed; called once */
void ListExchange_follow(ListExchange_t *this, RecordFollower_t *follower);

/** ListExchange_setCurrent() - the copy is whole up to @end, which was that of
 * the topic at @at_ms (monotonic) */
void ListExchange_setCurrent(ListExchange_t *this, StorePosition_t end,
                             gint64 at_ms);

/**
 * ListExchange_waitMs() - how long this router leaves the rest of a list to
 * its peers
 *
 * Return: 0 where it is its turn to read it from the store
 */
gint64 ListExchange_waitMs(ListExchange_t *this);

/** ListExchange_seek() - ask peers while the follower wants a list */
void ListExchange_seek(ListExchange_t *this);

/**
 * ListExchange_mayAsk() - whether this router may ask a peer, which may stand
 * in another hall, for a part of the list
 * @waited_ms: how long it was not told what it lacks
 */
gboolean ListExchange_mayAsk(const ListExchange_t *this, const Member_t *peer,
                             gint64 waited_ms);

/**
 * ListExchange_mayServe() - whether a peer may be told a part of the list now
 *
 * Few are at a time, so that callers' answers have their share of the link;
 * who was, may go on.
 */
gboolean ListExchange_mayServe(ListExchange_t *this, const Member_t *peer);

/** ListExchange_answer() - a peer asks for a page */
void ListExchange_answer(ListExchange_t *this, Member_t *from,
                         const Wt__ListAsk *ask);

/** ListExchange_take() - a peer's page, or its refusal */
void ListExchange_take(ListExchange_t *this, Member_t *from,
                       const Wt__ListPage *page);

#endif
