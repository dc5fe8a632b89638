#ifndef HEADER_EventPipe
#define HEADER_EventPipe
/**
 * DOC: EventPipe
 *
 * Lets the bytes of an event stream through unchanged, but whole events
 * only, and remembers the id of the last one. Where a stream goes on at
 * another upstream, events that have passed before are left out.
 */
#include <event2/buffer.h>
#include <glib.h>

/** struct EventPipe_t - opaque */
typedef struct EventPipe EventPipe_t;

/**
 * EventPipe_create() - nothing has passed yet
 * @event_max: most bytes of one event
 */
EventPipe_t *EventPipe_create(gsize event_max);

/** EventPipe_destroy() - free it */
void EventPipe_destroy(EventPipe_t *this);

/** EventPipe_firstLength() - bytes of the event that these bytes begin with, 0
 * where it is not whole */
gsize EventPipe_firstLength(struct evbuffer *bytes);

/**
 * EventPipe_feed() - take bytes
 * @in: emptied
 * @out: gets the whole events, but none from one on that is too large
 *
 * Return: how many events passed
 */
guint EventPipe_feed(EventPipe_t *this, struct evbuffer *in,
                     struct evbuffer *out);

/** EventPipe_isOverfull() - an event is too large, whole or not; nothing
 * passes any more until a restart */
gboolean EventPipe_isOverfull(const EventPipe_t *this);

/** EventPipe_isNumbered() - whether what passes can be told from what comes
 * again: the last event has a number, and those behind it have higher ones */
gboolean EventPipe_isNumbered(const EventPipe_t *this);

/** EventPipe_restart() - the next bytes come from another upstream, whose
 * first event may be one that has passed */
void EventPipe_restart(EventPipe_t *this);

/** EventPipe_flush() - the stream is whole: let what is left through */
void EventPipe_flush(EventPipe_t *this, struct evbuffer *out);

/** EventPipe_passed() - events that passed so far */
guint64 EventPipe_passed(const EventPipe_t *this);

/** EventPipe_lastId() - id of the last event that passed, or NULL */
const char *EventPipe_lastId(const EventPipe_t *this);

#endif
