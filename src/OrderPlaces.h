#ifndef HEADER_OrderPlaces
#define HEADER_OrderPlaces
/**
 * DOC: OrderPlaces
 *
 * How many engines may load weights at once, so that enough are left for the
 * requests. Engines whose weights are so old that they get no requests are no
 * loss while they load; until they are back the others must go on to serve.
 */
#include <glib.h>

/**
 * struct OrderPlacesFacts_t - what is known of the engines
 * @reached: all that are reached
 * @unused: of these, that get no requests for their old weights
 * @serving: of these, that are neither unused nor loading
 * @loading: all that load, or are about to
 * @least: that may load however few there are
 * @percent: of those reached, that may load
 */
typedef struct {
    guint reached;
    guint unused;
    guint serving;
    guint loading;
    guint least;
    guint percent;
} OrderPlacesFacts_t;

/**
 * struct OrderPlaces_t - places that are left
 * @loading: engines that load
 * @most: that may
 * @serving: engines that serve
 * @keep: that must
 */
typedef struct {
    guint loading;
    guint most;
    guint serving;
    guint keep;
} OrderPlaces_t;

/** OrderPlaces_count() - from what is known */
OrderPlaces_t OrderPlaces_count(const OrderPlacesFacts_t *facts);

/** OrderPlaces_has() - whether one more may load; @serves: it does now */
gboolean OrderPlaces_has(const OrderPlaces_t *this, gboolean serves);

/** OrderPlaces_take() - one more loads */
void OrderPlaces_take(OrderPlaces_t *this, gboolean serves);

#endif
