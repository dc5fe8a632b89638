#ifndef HEADER_FirstToken
#define HEADER_FirstToken
/**
 * DOC: FirstToken
 *
 * What the time until a first token teaches of the engine and of the link
 * over which its prefix came. A router learns from its own requests, a
 * dispatcher from those that it placed.
 */
#include "Policy.h"

/**
 * struct FirstToken_t - what was expected of a request
 * @upstream: where it went; must outlive it
 * @supply: how that comes by the shared part of the prompt; its source is held
 * @store_link: of the copy of the store that keeps the prefix, or NULL
 * @missing_tokens: of the prompt, that have to be computed
 * @expected_us: until the first token
 * @engine_us: the part of it that is a wait at the engine itself
 */
typedef struct {
    Upstream_t *upstream;
    Supply_t supply;
    Link_t *store_link;
    guint missing_tokens;
    gint64 expected_us;
    gint64 engine_us;
} FirstToken_t;

/** FirstToken_expect() - a request goes where it was chosen to */
void FirstToken_expect(FirstToken_t *this, const Placement_t *placement,
                       const Choice_t *choice);

/** FirstToken_clear() - nothing is expected any more; may be called again */
void FirstToken_clear(FirstToken_t *this);

/**
 * FirstToken_learn() - it came
 * @waited_us: since the request was sent
 */
void FirstToken_learn(const FirstToken_t *this, gint64 waited_us,
                      gint64 now_ms);

#endif
