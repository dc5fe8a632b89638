#ifndef HEADER_SseParser
#define HEADER_SseParser
/**
 * DOC: SseParser
 *
 * Cuts a stream of server-sent events into its events, as far as engines use
 * them: the fields id and data; others are passed over.
 */
#include <event2/buffer.h>
#include <glib.h>

/**
 * SseEvent_t - called for each event
 * @id: text of its id, or NULL where it has none
 * @data: its data, a NUL behind it
 * @length: bytes of @data
 *
 * Return: FALSE to stop parsing
 */
typedef gboolean (*SseEvent_t)(const char *id, const char *data, gsize length,
                               void *user);

/** struct SseParser_t - opaque */
typedef struct SseParser SseParser_t;

/**
 * SseParser_create() - nothing is parsed yet
 * @event_max: most bytes of one event, its lines that are passed over included
 * @event: called for each event
 */
SseParser_t *SseParser_create(gsize event_max, SseEvent_t event, void *user);

/** SseParser_destroy() - free it */
void SseParser_destroy(SseParser_t *this);

/**
 * SseParser_feed() - parse what has come
 * @input: drained of all whole lines
 *
 * Return: FALSE where an event is too large or the callback said stop
 */
gboolean SseParser_feed(SseParser_t *this, struct evbuffer *input);

#endif
