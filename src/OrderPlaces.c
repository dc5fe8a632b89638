#include "OrderPlaces.h"

/* Of the engines that get no requests, so many of 100 may load at once: not
 * all, as each load takes longer beside others. */
#define UNUSED_PERCENT 60

OrderPlaces_t
OrderPlaces_count(const OrderPlacesFacts_t *facts)
{
    guint usual = MAX(facts->least, facts->reached * facts->percent / 100);
    return (OrderPlaces_t){
        .loading = facts->loading,
        .most = MAX(usual, facts->unused * UNUSED_PERCENT / 100),
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
