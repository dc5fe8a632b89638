#ifndef HEADER_LoadShed
#define HEADER_LoadShed
/**
 * DOC: LoadShed
 *
 * Whether a request is placed at all. Where no engine can begin its answer
 * in time, it would wait in a queue and make all behind it late as well. It
 * is refused at once instead and told when the queue should have gone. One
 * that is late by its own length alone is placed. A decision from facts alone,
 * without any effect.
 */
#include <glib.h>

/**
 * struct LoadShedFacts_t - what the decision rests on
 * @expected_us: when the best engine is expected to begin the answer
 * @own_us: the part of it that its prompt itself takes to compute
 * @spread_us: by how much that is off on the mean
 * @objective_ms: when it should begin; 0 where the route has no objective
 * @left_ms: time that the caller still waits
 */
typedef struct {
    gint64 expected_us;
    gint64 own_us;
    gint64 spread_us;
    gint64 objective_ms;
    gint64 left_ms;
} LoadShedFacts_t;

/**
 * struct LoadShedPlan_t - the decision
 * @admitted: it is placed
 * @retry_after_ms: when to come back, where it is not
 */
typedef struct {
    gboolean admitted;
    guint retry_after_ms;
} LoadShedPlan_t;

/**
 * LoadShed_log() - a line of a refusal and what decided it
 * @request: its id
 * @upstream: name of the best engine
 */
void LoadShed_log(const LoadShedFacts_t *facts, const LoadShedPlan_t *plan,
                  const char *request, const char *upstream);

/** LoadShed_decide() - decide from the facts */
LoadShedPlan_t LoadShed_decide(const LoadShedFacts_t *facts);

/**
 * LoadShed_latestUs() - expected time up to which a first token counts as in
 * time
 * @objective_ms: when it should come
 * @spread_us: by how much what is expected is off on the mean
 */
gint64 LoadShed_latestUs(gint64 objective_ms, gint64 spread_us);

#endif
