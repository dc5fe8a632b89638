#ifndef HEADER_ReadPace
#define HEADER_ReadPace
/**
 * DOC: ReadPace
 *
 * When a reader of the store's topics may ask again. The store holds a read
 * until there is a record, so that readers ask again at once. A store that
 * answers at once all the same, without a record, would be asked as fast as
 * it answers, by a reader that does nothing else. After some such answers in
 * a row the reader pauses, as it does after failed calls.
 */
#include <glib.h>

/** Answers in a row, without a record and sooner than asked, after which there
 * is no pause: a reader that finds its place needs some. */
#define READ_PACE_FREE 3
/** First pause, doubled with each further such answer up to a maximum. */
#define READ_PACE_MIN_MS 100
#define READ_PACE_MAX_MS 800

/**
 * struct ReadPace_t - the present call and those before it; zero at first
 * @sent_ms: monotonic time of the call
 * @wait_ms: how long the store may hold it
 * @useless: answers in a row that were of no use
 */
typedef struct {
    gint64 sent_ms;
    gint64 wait_ms;
    guint useless;
} ReadPace_t;

/** ReadPace_noteSent() - a call is sent */
void ReadPace_noteSent(ReadPace_t *this, gint64 wait_ms, gint64 now_ms);

/**
 * ReadPace_pauseMs() - the call was answered
 * @was_useful: by records, or by the end of the topic if the store was not
 *              asked to hold the call
 *
 * Return: time until the reader may ask again
 */
gint64 ReadPace_pauseMs(ReadPace_t *this, gboolean was_useful, gint64 now_ms);

#endif
