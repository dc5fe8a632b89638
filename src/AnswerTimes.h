#ifndef HEADER_AnswerTimes
#define HEADER_AnswerTimes
/**
 * DOC: AnswerTimes
 *
 * How long whole answers of each route have taken lately, from the first
 * attempt to the last byte, as observed by this router: mean and mean
 * deviation. A route is known once some answers have ended. Where callers
 * state the sizes of answers, the time is expected by size if the times for a
 * unit differ less than the times of answers.
 */
#include <glib.h>

/** struct AnswerTimes_t - opaque */
typedef struct AnswerTimes AnswerTimes_t;

/**
 * struct AnswerTime_t - time of an answer
 * @mean_us: recent mean; 0 if the route is not known
 * @spread_us: recent mean deviation from it
 */
typedef struct {
    gint64 mean_us;
    gint64 spread_us;
} AnswerTime_t;

/** AnswerTimes_create() - no answer observed yet */
AnswerTimes_t *AnswerTimes_create(void);

/** AnswerTimes_destroy() - free it */
void AnswerTimes_destroy(AnswerTimes_t *this);

/**
 * AnswerTimes_note() - an answer of a route took @us
 * @size: its size as its caller stated it, 0 if unknown
 */
void AnswerTimes_note(AnswerTimes_t *this, const char *route, guint size,
                      gint64 us);

/**
 * AnswerTimes_get() - time that an answer of a route usually takes
 * @size: its size as its caller states it, 0 if unknown
 */
AnswerTime_t AnswerTimes_get(const AnswerTimes_t *this, const char *route,
                             guint size);

#endif
