#include "OrderPlaces.h"

/* Engines that get no requests may all load at once, up to so many of 100 of
 * all: beyond that each load takes longer than the next one would wait. */
#define UNUSED_MOST_PERCENT 60

OrderPlaces_t
OrderPlaces_count(const OrderPlacesFacts_t *facts)
{
    guint usual = MAX(facts->least, facts->reached * facts->percent / 100);
    guint most = facts->reached * UNUSED_MOST_PERCENT / 100;
    return (OrderPlaces_t){
        .loading = facts->loading,
        .most = MAX(usual, MIN(facts->unused, most)),
        .serving = facts->serving,
        .keep = facts->reached - MIN(usual, facts->reached),
    };
}

gboolean
OrderPlaces_has(const OrderPlaces_t *this, gboolean serves)
{
    return this->loading < this->most &&
           (!serves || this->serving > this->keep);
}

void
OrderPlaces_take(OrderPlaces_t *this, gboolean serves)
{
    this->loading++;
    if (serves) {
        this->serving--;
    }
}
