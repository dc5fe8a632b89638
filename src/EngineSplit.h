#ifndef HEADER_EngineSplit
#define HEADER_EngineSplit
/**
 * DOC: EngineSplit
 *
 * Decides whether to reserve some engines for short prompts. An engine
 * computes prompts between the tokens of its streams; on a slow engine a long
 * prompt can take longer than the pause that a route allows within a stream.
 * If many streams of this router had such a pause, the engines are split into
 * a group for short prompts, whose streams are long, and the rest.
 */
#include <glib.h>

/** struct EngineSplit_t - opaque */
typedef struct EngineSplit EngineSplit_t;

/** EngineSplit_create() - start without observations and unsplit */
EngineSplit_t *EngineSplit_create(void);

/** EngineSplit_destroy() - free it */
void EngineSplit_destroy(EngineSplit_t *this);

/**
 * EngineSplit_noteStream() - record a complete stream
 * @pause_us: longest time between two of its events
 * @target_ms: longest pause that its route allows, 0 for no target
 */
void EngineSplit_noteStream(EngineSplit_t *this, gint64 pause_us,
                            gint64 target_ms);

/**
 * EngineSplit_noteWork() - record that a request was placed
 * @is_short: whether the shared part of its prompt is too short for a
 *     transfer between engines
 * @work_us: time to compute the prompt
 */
void EngineSplit_noteWork(EngineSplit_t *this, gboolean is_short,
                          gint64 work_us);

/**
 * EngineSplit_shortPromptFraction() - fraction of engines for short prompts
 *
 * Return: 0 if the engines are not to be split
 */
double EngineSplit_shortPromptFraction(const EngineSplit_t *this);

#endif
