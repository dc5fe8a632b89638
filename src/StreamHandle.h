#ifndef HEADER_StreamHandle
#define HEADER_StreamHandle
/**
 * DOC: StreamHandle
 *
 * Identifies a stream at an engine: what is needed to request the remainder of
 * the stream, to cancel it, or to create its resume token.
 */
#include <event2/event.h>
#include <glib.h>

#include "EngineWire.h"
#include "ResumeToken.h"
#include "Upstream.h"

/**
 * struct StreamHandle_t - plain, so that it can be embedded
 * @upstream: engine that has the stream, NULL for none
 * @incarnation: incarnation of the engine
 * @stream: the engine's id of the stream
 * @attempt: id of the last attempt of this exchange that read the stream
 */
typedef struct {
    Upstream_t *upstream;
    guint64 incarnation;
    char stream[STREAM_ID_MAX + 1];
    char attempt[STREAM_ID_MAX + 1];
} StreamHandle_t;

/** StreamHandle_set() - store the stream with which an engine answered an
 * attempt */
void StreamHandle_set(StreamHandle_t *this, Upstream_t *upstream,
                      const EngineHead_t *head);

/** StreamHandle_restore() - store the stream of a resume token, which
 * @upstream has */
void StreamHandle_restore(StreamHandle_t *this, Upstream_t *upstream,
                          const ResumePoint_t *point);

/** StreamHandle_clear() - forget the stream */
void StreamHandle_clear(StreamHandle_t *this);

/**
 * StreamHandle_cancel() - send the engine a request to cancel the stream
 *
 * The engine ignores it if another attempt has started to read the stream
 * since.
 */
void StreamHandle_cancel(const StreamHandle_t *this, struct event_base *base,
                         const EngineWire_t *wire, gint64 timeout_ms);

/**
 * StreamHandle_seal() - create the sealed part of the stream's resume token
 * @request: id of the caller's request
 *
 * Return: a new string
 */
GString *StreamHandle_seal(const StreamHandle_t *this, GBytes *key,
                           const char *customer, const char *request,
                           const char *model);

#endif
