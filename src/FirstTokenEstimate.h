#ifndef HEADER_FirstTokenEstimate
#define HEADER_FirstTokenEstimate
/**
 * DOC: FirstTokenEstimate
 *
 * Compares the expected time to a first token with the actual one, and
 * attributes the difference to the engine and to the link over which the
 * prefix was fetched. A router learns from its own requests, a dispatcher from
 * those that it placed.
 */
#include "Policy.h"

/**
 * struct FirstTokenEstimate_t - expected time to the first token of a request
 * @upstream: upstream of the request; must outlive the estimate
 * @supply: how the upstream obtains the shared part of the prompt; the
 *     estimate holds a reference to its source
 * @store_link: link of the store's copy that stores the prefix, or NULL
 * @missing_tokens: prompt tokens that have to be computed
 * @expected_us: expected time to the first token
 * @engine_us: part of @expected_us that is spent waiting at the engine
 */
typedef struct {
    Upstream_t *upstream;
    Supply_t supply;
    TransferLink_t *store_link;
    guint missing_tokens;
    gint64 expected_us;
    gint64 engine_us;
} FirstTokenEstimate_t;

/** FirstTokenEstimate_expect() - a request is sent to the chosen upstream */
void FirstTokenEstimate_expect(FirstTokenEstimate_t *this,
                               const Placement_t *placement,
                               const Choice_t *choice);

/** FirstTokenEstimate_clear() - release the source; may be called again */
void FirstTokenEstimate_clear(FirstTokenEstimate_t *this);

/**
 * FirstTokenEstimate_learn() - the first token arrived
 * @waited_us: time since the request was sent
 */
void FirstTokenEstimate_learn(const FirstTokenEstimate_t *this,
                              gint64 waited_us, gint64 now_ms);

#endif
