#ifndef HEADER_Attempt
#define HEADER_Attempt
/**
 * DOC: Attempt
 *
 * One try to get a stream, or the rest of one, from one engine. It checks
 * that the answer is to this attempt, that its events follow each other
 * without a gap, and that it ends properly. It never tries again by itself.
 */
#include <event2/event.h>
#include <glib.h>

#include "EngineWire.h"
#include "Random.h"
#include "Recovery.h"
#include "Upstream.h"

/**
 * struct AttemptEvents_t - what an attempt tells its owner
 * @answered: an answer to this attempt came; comes first
 * @started: the engine's head came
 * @token: the next token came
 * @silent: nothing came for too long; whether to give it up
 * @ended: last call of all; @refusal is NULL unless the engine refused
 *
 * The owner may cancel the attempt from any of them.
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
 * struct AttemptSpec_t - what to ask
 * @upstream: the engine
 * @wire: how to speak to it
 * @path: of the wire
 * @body: of the wire
 * @first_index: index that the first token must have
 * @event_max: most bytes of one event
 * @head_max: most bytes of the answer's head
 * @fresh: use no idle connection
 * @is_resume: the engine has the stream already, and is asked for its rest
 * @connect_ms: how long the connection may take
 * @first_token_ms: how long the first token may take
 * @token_ms: how long each further one may take
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

/** struct Attempt_t - opaque; frees itself after its end */
typedef struct Attempt Attempt_t;

/** Attempt_start() - send it; @events must outlive it */
Attempt_t *Attempt_start(struct event_base *base, const AttemptSpec_t *spec,
                         const AttemptEvents_t *events, void *owner);

/** Attempt_cancel() - close the connection; no event comes any more */
void Attempt_cancel(Attempt_t *this);

/** Attempt_hold() - read no more from the engine for now */
void Attempt_hold(Attempt_t *this);

/** Attempt_isHeld() - whether it is held back */
gboolean Attempt_isHeld(const Attempt_t *this);

/** Attempt_release() - read on */
void Attempt_release(Attempt_t *this);

/** Attempt_wasSent() - whether the engine may have got the request */
gboolean Attempt_wasSent(const Attempt_t *this);

#endif
