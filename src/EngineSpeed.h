#ifndef HEADER_EngineSpeed
#define HEADER_EngineSpeed
/**
 * DOC: EngineSpeed
 *
 * How long engines of one service take to compute a prompt token, learned
 * from when first tokens came. Most requests wait for others as well; those
 * that were the quickest for their length show the engine itself, so that a
 * low quantile is followed.
 */
#include <glib.h>

/**
 * struct EngineSpeed_t - of the engines of one service
 * @us_per_token: time for one prompt token
 * @told_us: the same as engines were last given it
 * @seen: first tokens that it was learned from
 */
typedef struct {
    double us_per_token;
    double told_us;
    guint seen;
} EngineSpeed_t;

/** EngineSpeed_init() - @us_per_token holds until something was seen */
void EngineSpeed_init(EngineSpeed_t *this, double us_per_token);

/**
 * EngineSpeed_note() - a first token came
 * @waited_us: beyond what it takes with nothing to compute
 * @tokens: that had to be computed; few of them tell nothing
 */
void EngineSpeed_note(EngineSpeed_t *this, gint64 waited_us, guint tokens);

/**
 * EngineSpeed_hasChanged() - whether it differs from what engines were given
 *
 * It counts as given from now on.
 */
gboolean EngineSpeed_hasChanged(EngineSpeed_t *this);

#endif
