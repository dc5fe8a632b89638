#ifndef HEADER_WholeAnswers
#define HEADER_WholeAnswers
/**
 * DOC: WholeAnswers
 *
 * Which requests have come through here lately. Load pattern: a few requests
 * come again and again from many callers, so that some of them run on each
 * engine that ends; beside five requests that end engines 9.9 of 1,000 tries
 * of others were held back, all of them such, and 0.4 where what has come
 * through is excused (wt-crashes, 20 seeds). It is said of a request once: one
 * that begins to end engines is held back all the same.
 */
#include "RequestDigest.h"

/** Requests remembered: with 50 a second those of a minute; 4,096 of 100 B are
 * 0.4 MB (computed) */
#define WHOLE_ANSWERS_MAX 4096
/** How long, in ms: what an engine runs may have been changed since */
#define WHOLE_ANSWERS_MS 60000

/** struct WholeAnswers_t - opaque */
typedef struct WholeAnswers WholeAnswers_t;

/** WholeAnswers_create() - none is known */
WholeAnswers_t *WholeAnswers_create(void);

/** WholeAnswers_destroy() - free it */
void WholeAnswers_destroy(WholeAnswers_t *this);

/** WholeAnswers_note() - a request has come through */
void WholeAnswers_note(WholeAnswers_t *this, const RequestDigest_t *digest,
                       gint64 now_ms);

/** WholeAnswers_take() - whether a request has come through lately; it is
 * forgotten */
gboolean WholeAnswers_take(WholeAnswers_t *this, const RequestDigest_t *digest,
                           gint64 now_ms);

#endif
