#ifndef HEADER_StreamHandle
#define HEADER_StreamHandle
/**
 * DOC: StreamHandle
 *
 * Which engine has a stream and what it calls it: all that is needed to ask
 * for the rest of it, to end it, or to let a caller hold on to it.
 */
#include <event2/event.h>
#include <glib.h>

#include "EngineWire.h"
#include "ResumeToken.h"
#include "Upstream.h"

/**
 * struct StreamHandle_t - plain, so that it can be embedded
 * @upstream: engine that has the stream, NULL for none
 * @incarnation: of the engine
 * @stream: the engine's id of it
 * @attempt: the last of ours that came to read it
 */
typedef struct {
    Upstream_t *upstream;
    guint64 incarnation;
    char stream[STREAM_ID_MAX + 1];
    char attempt[STREAM_ID_MAX + 1];
} StreamHandle_t;

/** StreamHandle_set() - an engine answered an attempt with a stream */
void StreamHandle_set(StreamHandle_t *this, Upstream_t *upstream,
                      const EngineHead_t *head);

/** StreamHandle_restore() - what a resume token says; @upstream has it */
void StreamHandle_restore(StreamHandle_t *this, Upstream_t *upstream,
                          const ResumePoint_t *point);

/** StreamHandle_clear() - no stream any more */
void StreamHandle_clear(StreamHandle_t *this);

/**
 * StreamHandle_cancel() - ask the engine to end it
 *
 * The engine drops the order if another attempt has come to read since.
 */
void StreamHandle_cancel(const StreamHandle_t *this, struct event_base *base,
                         const EngineWire_t *wire, gint64 timeout_ms);

/**
 * StreamHandle_seal() - the sealed part of its resume token
 * @request: id of the caller's request
 *
 * Return: a new string
 */
GString *StreamHandle_seal(const StreamHandle_t *this, GBytes *key,
                           const char *customer, const char *request,
                           const char *model);

#endif
