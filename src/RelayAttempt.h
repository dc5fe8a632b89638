#ifndef HEADER_RelayAttempt
#define HEADER_RelayAttempt
/**
 * DOC: RelayAttempt
 *
 * One attempt to have a relayed request answered by one upstream. It passes
 * the body to its owner as it arrives and reports at the end what is known:
 * the answer is complete or may be, the request did not run, or neither. It
 * never retries.
 */
#include <event2/buffer.h>

#include "Recovery.h"
#include "RelayForm.h"
#include "StartProof.h"

/**
 * enum SilenceAction_t - what to do with an attempt whose upstream is silent
 * @SILENCE_WAIT: keep waiting and call @silent again soon
 * @SILENCE_GIVE_UP: end the attempt as ATTEMPT_SILENT
 * @SILENCE_TAKE_BACK: end the attempt as ATTEMPT_TAKEN_BACK
 */
typedef enum {
    SILENCE_WAIT,
    SILENCE_GIVE_UP,
    SILENCE_TAKE_BACK,
} SilenceAction_t;

/**
 * struct RelayAttemptEvents_t - callbacks to the owner of an attempt
 * @answered: the head of an answer with this request's id was received,
 *     whatever its status; called before @head and @data
 * @head: the head of an answer that the caller may get; not called for one
 *     that says "not run" or is invalid
 * @data: part of the body was received; the owner drains @data
 * @silent: a timeout has passed without data; returns what to do
 * @unproved: the upstream did not answer the question for its start, and
 *     nothing of the body was passed on; returns whether to end the attempt as
 *     silent. Otherwise the body is passed on, as of an unknown start. Not
 *     called without @start_form
 * @ended: the attempt is over; the last callback. @head is NULL if none was
 *     received
 *
 * The owner may cancel the attempt from any of them.
 */
typedef struct {
    void (*answered)(void *owner, const RelayHead_t *head);
    void (*head)(void *owner, const RelayHead_t *head,
                 const struct evkeyvalq *headers);
    void (*data)(void *owner, struct evbuffer *data);
    SilenceAction_t (*silent)(void *owner);
    gboolean (*unproved)(void *owner);
    void (*ended)(void *owner, AttemptEnd_t end, const RelayHead_t *head);
} RelayAttemptEvents_t;

/**
 * struct RelayAttemptSpec_t - parameters of RelayAttempt_start()
 * @upstream: where the request is sent
 * @form: the platform's wire format
 * @request: the caller's request; read only during RelayAttempt_start()
 * @request_id: request id
 * @order: values of the headers that this router adds
 * @body: body of the request
 * @piece_max: limit of one event, or of an answer without events, in bytes
 * @head_max: limit of the answer's head, in bytes
 * @input_total: counts unparsed input, together with that of others
 * @input_total_max: limit of @input_total, in bytes
 * @start_form: form in which the upstream is asked which start it is, before
 *     any of the body is passed on; NULL to ask nothing
 * @needs_start: end the attempt if it is not proved to be the known start;
 *     one that states another start ends it in any case
 * @idle_max_ms: longest idle time of a pooled connection that may be reused
 * @is_once: the request may run only once
 * @connect_ms: timeout for the connection
 * @first_ms: timeout for the first byte of the body
 * @pause_ms: timeout between further data of the body
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
    gsize *input_total;
    gsize input_total_max;
    const OrderForm_t *start_form;
    gboolean needs_start;
    gint64 idle_max_ms;
    gboolean is_once;
    gint64 connect_ms;
    gint64 first_ms;
    gint64 pause_ms;
} RelayAttemptSpec_t;

/** struct RelayAttempt_t - opaque; frees itself after it has ended or was
 * cancelled */
typedef struct RelayAttempt RelayAttempt_t;

/** RelayAttempt_start() - send the request; @events must outlive the attempt
 */
RelayAttempt_t *RelayAttempt_start(struct event_base *base,
                                   const RelayAttemptSpec_t *spec,
                                   const RelayAttemptEvents_t *events,
                                   void *owner);

/** RelayAttempt_setOwner() - replace the owner and its callbacks */
void RelayAttempt_setOwner(RelayAttempt_t *this,
                           const RelayAttemptEvents_t *events, void *owner);

/** RelayAttempt_cancel() - close the connection; no callback follows */
void RelayAttempt_cancel(RelayAttempt_t *this);

/** RelayAttempt_fail() - end the attempt because its owner found a fault in
 * the answer; calls @ended */
void RelayAttempt_fail(RelayAttempt_t *this, AttemptEnd_t end);

/** RelayAttempt_wasSent() - whether the upstream may have run the request */
gboolean RelayAttempt_wasSent(const RelayAttempt_t *this);

/** RelayAttempt_isStartProved() - whether the body comes from the start of the
 * upstream that was known when the attempt began */
gboolean RelayAttempt_isStartProved(const RelayAttempt_t *this);

/** RelayAttempt_setReadPaused() - pause or resume reading from the upstream;
 * the silence timeout does not run while reading is paused */
void RelayAttempt_setReadPaused(RelayAttempt_t *this, gboolean read_paused);

#endif
