#ifndef HEADER_WeightLoadSlots
#define HEADER_WeightLoadSlots
/**
 * DOC: WeightLoadSlots
 *
 * Limits how many engines load weights at once, so that enough engines are
 * left to serve requests. Engines with outdated weights get no requests, so
 * loading on them costs no capacity; until they are back, a minimum of the
 * other engines must keep serving.
 */
#include <glib.h>

/**
 * struct WeightLoadSlotsInput_t - current state of the engines
 * @reachable: number of reachable engines
 * @outdated: reachable engines that get no requests, as their weights are too
 *     old
 * @serving: reachable engines that are neither outdated nor loading
 * @loading: engines that load or are about to load
 * @min_loading: number that may load at once, however few engines there are
 * @loading_percent: percentage of the reachable engines that may load at once
 */
typedef struct {
    guint reachable;
    guint outdated;
    guint serving;
    guint loading;
    guint min_loading;
    guint loading_percent;
} WeightLoadSlotsInput_t;

/**
 * struct WeightLoadSlots_t - slots in use and their limits
 * @loading: engines that load
 * @max_loading: engines that may load at once
 * @serving: engines that serve
 * @min_serving: engines that must keep serving
 */
typedef struct {
    guint loading;
    guint max_loading;
    guint serving;
    guint min_serving;
} WeightLoadSlots_t;

/** WeightLoadSlots_compute() - slots for the current state of the engines */
WeightLoadSlots_t WeightLoadSlots_compute(const WeightLoadSlotsInput_t *input);

/**
 * WeightLoadSlots_isAvailable() - whether one more engine may load
 * @serves: whether that engine serves requests now
 */
gboolean WeightLoadSlots_isAvailable(const WeightLoadSlots_t *this,
                                     gboolean serves);

/** WeightLoadSlots_acquire() - count one more engine as loading */
void WeightLoadSlots_acquire(WeightLoadSlots_t *this, gboolean serves);

#endif
