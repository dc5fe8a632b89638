#ifndef HEADER_Attempt
#define HEADER_Attempt
/**
 * DOC: Attempt
 *
 * One attempt to get a stream of tokens, or the remainder of one, from one
 * engine. It checks that the answer belongs to this attempt, that token
 * indexes have no gap, and that the end mark arrives. Retries are left to the
 * owner.
 */
#include <event2/event.h>
#include <glib.h>

#include "EngineWire.h"
#include "Random.h"
#include "Recovery.h"
#include "Upstream.h"

/**
 * struct AttemptEvents_t - callbacks to the owner of an attempt
 * @answered: response headers with this attempt's id arrived; called first
 * @started: the engine accepted the request and sent the stream's head
 * @token: the next token arrived
 * @silent: a timeout expired; returns TRUE to end the attempt, FALSE to
 *     continue waiting
 * @ended: the attempt ended, and no callback follows; @refusal is NULL unless
 *     the engine refused the request
 *
 * The owner may cancel the attempt in each of them.
 */
typedef struct {
    void (*answered)(void *owner, const UpstreamNotice_t *notice);
    void (*started)(void *owner, const EngineHead_t *head);
    void (*token)(void *owner, const EngineToken_t *token);
    gboolean (*silent)(void *owner);
    void (*ended)(void *owner, AttemptEnd_t end,
                  const EngineRefusal_t *refusal);
} AttemptEvents_t;

/**
 * struct AttemptSpec_t - parameters of an attempt
 * @upstream: the engine
 * @wire: the engine's protocol
 * @path: URI of the request
 * @body: body of the request, as @wire builds it
 * @first_index: index that the first token must have
 * @event_max: maximum size of one event, in bytes
 * @head_max: maximum size of the response headers, in bytes
 * @fresh: open a new connection instead of reusing an idle one
 * @is_resume: requests the remainder of a stream that the engine already runs
 * @connect_ms: timeout of the connection
 * @first_token_ms: timeout of the first token, once the request is sent
 * @token_ms: timeout of each further token
 */
typedef struct {
    Upstream_t *upstream;
    const EngineWire_t *wire;
    const char *path;
    GBytes *body;
    guint64 first_index;
    gsize event_max;
    gsize head_max;
    gboolean fresh;
    gboolean is_resume;
    gint64 connect_ms;
    gint64 first_token_ms;
    gint64 token_ms;
} AttemptSpec_t;

/** struct Attempt_t - opaque; frees itself after it has ended */
typedef struct Attempt Attempt_t;

/** Attempt_start() - send the request; @events must outlive the attempt */
Attempt_t *Attempt_start(struct event_base *base, const AttemptSpec_t *spec,
                         const AttemptEvents_t *events, void *owner);

/** Attempt_cancel() - end the attempt without further callbacks */
void Attempt_cancel(Attempt_t *this);

/** Attempt_fail() - end the attempt because its owner found a fault in the
 * answer; calls @ended */
void Attempt_fail(Attempt_t *this, AttemptEnd_t end);

/** Attempt_pauseReading() - stop reading from the engine */
void Attempt_pauseReading(Attempt_t *this);

/** Attempt_isReadingPaused() - whether reading is paused */
gboolean Attempt_isReadingPaused(const Attempt_t *this);

/** Attempt_resumeReading() - read again and restart the token timeout */
void Attempt_resumeReading(Attempt_t *this);

/** Attempt_wasSent() - whether the engine may have received the request */
gboolean Attempt_wasSent(const Attempt_t *this);

#endif
