#ifndef HEADER_RelayAttempt
#define HEADER_RelayAttempt
/**
 * DOC: RelayAttempt
 *
 * One try to have a relayed request answered by one upstream. It hands over
 * the answer's bytes as they come and says in the end what is proved: that
 * the answer is whole, that the request did not run, or neither. It never
 * tries again by itself.
 */
#include <event2/buffer.h>

#include "Recovery.h"
#include "RelayForm.h"
#include "Upstream.h"

/**
 * enum SilenceStep_t - what is to become of an attempt that brings nothing
 * @SILENCE_WAIT: wait on, and ask again soon
 * @SILENCE_GIVE_UP: end it as ATTEMPT_SILENT
 * @SILENCE_TAKE_BACK: end it as ATTEMPT_TAKEN_BACK
 */
typedef enum {
    SILENCE_WAIT,
    SILENCE_GIVE_UP,
    SILENCE_TAKE_BACK,
} SilenceStep_t;

/**
 * struct RelayAttemptEvents_t - what an attempt tells its owner
 * @answered: the head of an answer that names this request; comes first
 * @head: the head of an answer to this request; not for one that says "not
 *     run"
 * @data: bytes of its body, to be taken out
 * @silent: nothing has come for too long; what to do
 * @ended: last call of all
 *
 * The owner may cancel the attempt from any of them.
 */
typedef struct {
    void (*answered)(void *owner, const RelayHead_t *head);
    void (*head)(void *owner, const RelayHead_t *head,
                 const struct evkeyvalq *headers);
    void (*data)(void *owner, struct evbuffer *data);
    SilenceStep_t (*silent)(void *owner);
    void (*ended)(void *owner, AttemptEnd_t end, const RelayHead_t *head);
} RelayAttemptEvents_t;

/**
 * struct RelayAttemptSpec_t - what to ask
 * @upstream: whom
 * @form: of the platform
 * @request: of the caller; read only while the attempt starts
 * @request_id: its id
 * @order: what the upstream is told besides
 * @body: of the request
 * @piece_max: most bytes of one event, or of an answer without events
 * @head_max: most bytes of the answer's head
 * @idle_max_ms: a kept connection is used if it rested no longer than this
 * @connect_ms: how long the connection may take
 * @first_ms: how long the first byte of the body may take
 * @pause_ms: how long each further byte may take
 */
typedef struct {
    Upstream_t *upstream;
    const RelayUpstreamForm_t *form;
    struct evhttp_request *request;
    const char *request_id;
    const RelayOrder_t *order;
    GBytes *body;
    gsize piece_max;
    gsize head_max;
    gint64 idle_max_ms;
    gint64 connect_ms;
    gint64 first_ms;
    gint64 pause_ms;
} RelayAttemptSpec_t;

/** struct RelayAttempt_t - opaque; frees itself after its end */
typedef struct RelayAttempt RelayAttempt_t;

/** RelayAttempt_start() - send it; @events must outlive it */
RelayAttempt_t *RelayAttempt_start(struct event_base *base,
                                   const RelayAttemptSpec_t *spec,
                                   const RelayAttemptEvents_t *events,
                                   void *owner);

/** RelayAttempt_hand() - from now on @owner hears of it, by @events */
void RelayAttempt_hand(RelayAttempt_t *this,
                       const RelayAttemptEvents_t *events, void *owner);

/** RelayAttempt_cancel() - close the connection; no event comes any more */
void RelayAttempt_cancel(RelayAttempt_t *this);

/** RelayAttempt_fail() - end it for a fault of its answer that its owner
 * found; @ended is called */
void RelayAttempt_fail(RelayAttempt_t *this, AttemptEnd_t end);

/** RelayAttempt_wasSent() - whether the upstream may run the request */
gboolean RelayAttempt_wasSent(const RelayAttempt_t *this);

/** RelayAttempt_hold() - read no more from the upstream, or read on */
void RelayAttempt_hold(RelayAttempt_t *this, gboolean held);

#endif
