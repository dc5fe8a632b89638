#ifndef HEADER_EventPipe
#define HEADER_EventPipe
/**
 * DOC: EventPipe
 *
 * Passes the bytes of an event stream on unchanged, but only complete events,
 * and stores the id of the last one. If the stream continues on another
 * upstream, events that were passed before are dropped.
 */
#include <event2/buffer.h>
#include <glib.h>

/** EVENT_FREE_MAX - bytes of an incomplete event for which there is always
 * room; an event holds one token, some hundred bytes */
#define EVENT_FREE_MAX 4096

/** struct EventPipe_t - opaque */
typedef struct EventPipe EventPipe_t;

/**
 * EventPipe_create() - create a pipe that has passed nothing yet
 * @event_max: maximum size of one event in bytes
 */
EventPipe_t *EventPipe_create(gsize event_max);

/**
 * EventPipe_shareLimit() - let incomplete events, and the id of the last one,
 * share a limit with others
 * @total: counts their bytes, together with those of others; must outlive the
 *     pipe
 * @total_max: bytes of @total from which an incomplete event of more than
 *     EVENT_FREE_MAX is too large
 */
void EventPipe_shareLimit(EventPipe_t *this, gsize *total, gsize total_max);

/** EventPipe_destroy() - free the pipe */
void EventPipe_destroy(EventPipe_t *this);

/**
 * EventPipe_firstEventLength() - length in bytes of the event at the start of
 * a buffer
 * @searched: bytes of the buffer that were searched before, and hold no end of
 *     an event; updated
 *
 * Return: 0 if that event is incomplete
 */
gsize EventPipe_firstEventLength(struct evbuffer *bytes, gsize *searched);

/**
 * EventPipe_feed() - pass the complete events of the input
 * @in: input; drained
 * @out: receives the complete events up to the first one that is too large
 *
 * Return: number of events passed
 */
guint EventPipe_feed(EventPipe_t *this, struct evbuffer *in,
                     struct evbuffer *out);

/** EventPipe_isEventTooLarge() - whether an event, complete or not, exceeded
 * the maximum size; nothing more passes until EventPipe_restart() */
gboolean EventPipe_isEventTooLarge(const EventPipe_t *this);

/** EventPipe_hasNumericId() - whether duplicates can be recognized after a
 * restart: the id of the last event is a number, and the ids of later events
 * must be higher */
gboolean EventPipe_hasNumericId(const EventPipe_t *this);

/** EventPipe_restart() - continue with the bytes of another upstream, whose
 * first events may be duplicates */
void EventPipe_restart(EventPipe_t *this);

/** EventPipe_flush() - pass the remaining bytes at the end of a complete
 * stream */
void EventPipe_flush(EventPipe_t *this, struct evbuffer *out);

/** EventPipe_pendingBytes() - number of bytes of an incomplete event */
gsize EventPipe_pendingBytes(const EventPipe_t *this);

/** EventPipe_isPartialEvent() - whether bytes that hold no complete event are
 * part of one; line ends alone are not */
gboolean EventPipe_isPartialEvent(struct evbuffer *bytes);

/** EventPipe_isInsideEvent() - whether a stream that ends now was broken off
 */
gboolean EventPipe_isInsideEvent(const EventPipe_t *this);

/** EventPipe_countPassed() - number of events passed so far */
guint64 EventPipe_countPassed(const EventPipe_t *this);

/** EventPipe_lastId() - id of the last event that passed, or NULL */
const char *EventPipe_lastId(const EventPipe_t *this);

#endif
