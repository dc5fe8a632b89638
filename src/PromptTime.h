#ifndef HEADER_PromptTime
#define HEADER_PromptTime
/**
 * DOC: PromptTime
 *
 * Learns how long the engines of a service take from receiving a prompt to its
 * first token, as a line over the number of tokens that have to be computed.
 * The fixed part covers the network and one step of the engine, so that short
 * prompts don't make long ones look faster than they are. Only requests that
 * found their engine idle are to be noted: others measure the queue.
 */
#include <glib.h>

/** Plausible range of the time to compute one token, in us */
#define PROMPT_TIME_SLOPE_US_MIN 1.0
#define PROMPT_TIME_SLOPE_US_MAX 10000.0

/** struct PromptTime_t - opaque */
typedef struct PromptTime PromptTime_t;

/**
 * PromptTime_create() - create an estimate without observations
 * @us_per_token: slope that is used until there are enough observations
 */
PromptTime_t *PromptTime_create(double us_per_token);

/** PromptTime_destroy() - free the estimate */
void PromptTime_destroy(PromptTime_t *this);

/**
 * PromptTime_note() - learn from the first token of a request that found its
 * engine idle
 * @tokens: tokens that had to be computed
 * @waited_us: time from sending the request to its first token
 */
void PromptTime_note(PromptTime_t *this, guint tokens, gint64 waited_us);

/** PromptTime_baseUs() - the part that does not depend on the length, in us */
gint64 PromptTime_baseUs(const PromptTime_t *this);

/** PromptTime_computeUs() - the time that an engine spends on @tokens, without
 * the fixed part, in us */
gint64 PromptTime_computeUs(const PromptTime_t *this, guint tokens);

/** PromptTime_usPerToken() - the time to compute one token, in us */
double PromptTime_usPerToken(const PromptTime_t *this);

#endif
