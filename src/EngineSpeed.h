#ifndef HEADER_EngineSpeed
#define HEADER_EngineSpeed
/**
 * DOC: EngineSpeed
 *
 * Estimates how long the engines of one service take to compute a prompt
 * token, from the delays of first tokens. Most of these delays include the
 * wait for other requests. The shortest ones for their prompt length show the
 * speed of the engine itself, so that the estimate follows a low quantile.
 */
#include <glib.h>

/**
 * struct EngineSpeed_t - speed of the engines of one service
 * @us_per_token: estimated time to compute one prompt token
 * @published_us_per_token: estimate that the upstreams were last given
 * @samples: number of first tokens that the estimate is based on
 */
typedef struct {
    double us_per_token;
    double published_us_per_token;
    guint samples;
} EngineSpeed_t;

/** EngineSpeed_init() - start with @us_per_token as the estimate */
void EngineSpeed_init(EngineSpeed_t *this, double us_per_token);

/**
 * EngineSpeed_note() - a first token arrived
 * @waited_us: its delay, less the delay of a request with nothing to compute
 * @tokens: prompt tokens that had to be computed; short prompts are ignored
 */
void EngineSpeed_note(EngineSpeed_t *this, gint64 waited_us, guint tokens);

/**
 * EngineSpeed_consumeChange() - whether the estimate differs from the one that
 * the upstreams were last given
 *
 * Return: TRUE where the caller has to update the upstreams; the estimate
 * counts as given from now on
 */
gboolean EngineSpeed_consumeChange(EngineSpeed_t *this);

#endif
