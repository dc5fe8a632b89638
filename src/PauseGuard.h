#ifndef HEADER_PauseGuard
#define HEADER_PauseGuard
/**
 * DOC: PauseGuard
 *
 * Whether long prompts hold up the streams beside them: an engine computes
 * prompts between the tokens of its streams, and on a slow one that takes
 * longer than the pause that a stream may have. It looks at the streams of
 * this router; where many had such a pause, engines are divided into some for
 * short prompts, whose streams are long, and the others.
 */
#include <glib.h>

/** struct PauseGuard_t - opaque */
typedef struct PauseGuard PauseGuard_t;

/** PauseGuard_create() - no stream was seen yet */
PauseGuard_t *PauseGuard_create(void);

/** PauseGuard_destroy() - free it */
void PauseGuard_destroy(PauseGuard_t *this);

/**
 * PauseGuard_noteStream() - a stream is whole
 * @pause_us: longest time between two of its events
 * @aim_ms: longest that its route aims at, 0 for none
 */
void PauseGuard_noteStream(PauseGuard_t *this, gint64 pause_us, gint64 aim_ms);

/**
 * PauseGuard_noteWork() - a request was placed
 * @is_short: its prompt's shared part is not worth a move
 * @work_us: that its prompt takes to compute
 */
void PauseGuard_noteWork(PauseGuard_t *this, gboolean is_short,
                         gint64 work_us);

/**
 * PauseGuard_share() - share of the engines that short prompts should have
 *
 * Return: 0 where engines are not to be divided
 */
double PauseGuard_share(const PauseGuard_t *this);

#endif
