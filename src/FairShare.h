#ifndef HEADER_FairShare
#define HEADER_FairShare
/**
 * DOC: FairShare
 *
 * Max-min fair shares of an amount of work per second among customers.
 *
 * It answers a load in which one customer sends several times its usual beside
 * others that send as always, and there is not room for all: without shares
 * each is served in proportion to what it asks for, so that the others pay for
 * the one. A customer that asks for less than an equal share gets all of it;
 * what it leaves is shared equally by those that ask for more. Demand and
 * served work are moving averages, so that a share that was not used is not
 * saved up; a shorter one of all demand tells when there is room for all.
 */
#include <glib.h>

/** struct FairShare_t - opaque */
typedef struct FairShare FairShare_t;

/**
 * FairShare_create() - create it without customers
 * @customers_max: customers that are tracked; the one that asked for the least
 *     makes room for a new one, and an untracked one counts as within its
 *     share
 */
FairShare_t *FairShare_create(guint customers_max);

/** FairShare_destroy() - free it */
void FairShare_destroy(FairShare_t *this);

/**
 * FairShare_noteDemand() - a customer asks for work
 * @customer: hash of the customer's name
 * @work_us: engine time that the request takes
 */
void FairShare_noteDemand(FairShare_t *this, guint64 customer, gint64 work_us,
                          gint64 now_ms);

/** FairShare_noteServed() - work of a customer was admitted */
void FairShare_noteServed(FairShare_t *this, guint64 customer, gint64 work_us,
                          gint64 now_ms);

/**
 * FairShare_isOver() - whether a customer was served more than its fair share
 * @room: engine time available per second, in us
 *
 * A customer that asks for far more than its share counts as over from a
 * little below it, so that it leaves the queue to the others all the time.
 *
 * Return: FALSE as long as all demand together fits into @room
 */
gboolean FairShare_isOver(FairShare_t *this, guint64 customer, double room,
                          gint64 now_ms);

#endif
