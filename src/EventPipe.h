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

/** EventPipe_create() - nothing has passed yet */
EventPipe_t *EventPipe_create(void);

/** EventPipe_destroy() - free it */
void EventPipe_destroy(EventPipe_t *this);

/** EventPipe_hasEvent() - whether the bytes begin with a whole event */
gboolean EventPipe_hasEvent(struct evbuffer *bytes);

/**
 * EventPipe_feed() - take bytes
 * @in: emptied
 * @out: gets the whole events
 *
 * Return: how many events passed
 */
guint EventPipe_feed(EventPipe_t *this, struct evbuffer *in,
                     struct evbuffer *out);

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
