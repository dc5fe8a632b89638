#ifndef HEADER_SseParser
#define HEADER_SseParser
/**
 * DOC: SseParser
 *
 * Parses a stream of server-sent events. Only the fields id and data, which
 * engines use, are read; other fields are ignored.
 */
#include <event2/buffer.h>
#include <glib.h>

/**
 * SseEvent_t - called for each event
 * @id: the event's id, or NULL if it has none
 * @data: the event's data, terminated by NUL
 * @length: length of @data in bytes
 *
 * Return: FALSE to stop parsing
 */
typedef gboolean (*SseEvent_t)(const char *id, const char *data, gsize length,
                               void *user);

/** struct SseParser_t - opaque */
typedef struct SseParser SseParser_t;

/**
 * SseParser_create() - create a parser
 * @event_max: maximum size of one event in bytes, including ignored lines
 * @event: called for each event
 */
SseParser_t *SseParser_create(gsize event_max, SseEvent_t event, void *user);

/** SseParser_destroy() - free the parser */
void SseParser_destroy(SseParser_t *this);

/**
 * SseParser_feed() - parse received bytes
 * @input: received bytes; complete lines are drained
 *
 * Return: FALSE if an event is too large or the callback stopped parsing
 */
gboolean SseParser_feed(SseParser_t *this, struct evbuffer *input);

#endif
