#include "RelayForward.h"

#include <event2/buffer.h>

#include "Clock.h"
#include "HttpCall.h"
#include "Log.h"
#include "PlatformForm.h"
#include "RelayAnswer.h"
#include "RelayAttempt.h"
#include "RequestIntake.h"

/* Number of routers that one request is offered to. */
#define TRIES_MAX 8
/* Number of routers that do not reach its service. */
#define SERVICE_TRIES_MAX 3
/* How long after the caller's deadline the other router's answer, which keeps
 * that deadline, may still arrive. */
#define ANSWER_MARGIN_MS 100
/* Longest time for a connection to another router, with which this one has a
 * link. */
#define CONNECT_MAX_MS 150

typedef struct {
    Context_t *context;
    GString *id;
    GString *service; /* NULL if it was not placed here */
    GPtrArray *tried; /* routers that do not reach its service */
    GBytes *body;
    RelayAnswer_t *answer;
    RelayAttempt_t *attempt; /* under way, or NULL */
    ForwardPeer_t *peer;     /* of the last attempt, or NULL */
    AnswerBuffer_t *answer_body;
    AnswerWaiter_t answer_waiter;
    gint64 idle_max_ms; /* of a connection to reuse */
    gboolean is_once;
    gboolean has_head;
    gboolean is_stream;
    gboolean over;
    guint tries;
    gint64 started_us;
    gint64 deadline_ms;
    struct event *deadline;
    struct event *reaper; /* frees it outside of the callbacks of its parts */
} RelayForward_t;

static void
RelayForward_destroy(RelayForward_t *this)
{
    RelayAnswer_destroy(this->answer);
    g_string_free(this->id, TRUE);
    if (this->service) {
        g_string_free(this->service, TRUE);
    }
    g_ptr_array_unref(this->tried);
    g_bytes_unref(this->body);
    AnswerBuffer_destroy(this->answer_body);
    event_free(this->deadline);
    event_free(this->reaper);
    g_free(this);
}

static void
on_reap(evutil_socket_t fd, short what, void *data)
{
    (void)fd;
    (void)what;
    RelayForward_destroy(data);
}

static void
log_end(const RelayForward_t *this, const char *outcome)
{
    Log_begin(LOG_LEVEL_INFO, "forward_done");
    Log_text("request", this->id->str);
    Log_text("outcome", outcome);
    Log_text("router", this->peer ? this->peer->upstream->name->str : "none");
    Log_number("tries", this->tries);
    RelayAnswer_logEnd(this->answer);
    Log_number("us", Clock_nowUs() - this->started_us);
    Log_end();
}

static void
cancel_attempt(RelayForward_t *this)
{
    if (this->attempt && this->peer) {
        this->peer->open--;
        RelayAttempt_cancel(this->attempt);
        AnswerWaiter_clear(&this->answer_waiter);
        this->attempt = NULL;
    }
}

static void
finish(RelayForward_t *this, const char *outcome)
{
    g_autofree char *labels = g_strdup_printf("outcome=\"%s\"", outcome);
    if (this->over) {
        return;
    }
    this->over = TRUE;
    cancel_attempt(this);
    log_end(this, outcome);
    Counters_add(this->context->counters, "forwards_total", labels, 1);
    this->context->open_requests--;
    OpenRequests_remove(this->context->open, this);
    evtimer_del(this->deadline);
    Clock_arm(this->reaper, 0);
}

/* Called just before the head is sent. */
static void
close_if_stopping(const RelayForward_t *this)
{
    if (this->context->stopping && RelayAnswer_request(this->answer)) {
        RelayAnswer_setClosing(this->answer);
    }
}

static void
refuse(RelayForward_t *this, Refusal_t refusal, RunState_t run)
{
    const char *code = Refusal_spec(refusal)->code;
    close_if_stopping(this);
    Context_countRefusal(this->context, refusal, run, this->id->str, "none",
                         "none", NULL);
    RelayAnswer_refuse(this->answer, refusal, run, NULL);
    finish(this, code);
}

static RunState_t
run_state(const RelayForward_t *this)
{
    return this->attempt && RelayAttempt_wasSent(this->attempt) ? RUN_MAYBE
                                                                : RUN_NOT;
}

static void
on_deadline(evutil_socket_t fd, short what, void *data)
{
    (void)fd;
    (void)what;
    RelayForward_t *this = data;
    if (this->attempt && !this->has_head) {
        ForwardPeers_noteUnreachable(this->peer, Clock_nowMs());
    }
    refuse(this, REFUSAL_DEADLINE_PASSED, run_state(this));
}

static void
on_router_ends(void *request)
{
    refuse(request, REFUSAL_STOPPING, run_state(request));
}

static void
on_answered(void *owner, const RelayHead_t *head)
{
    (void)owner;
    (void)head;
}

/* An answer that is complete before it is sent has a length. */
static void
on_head(void *owner, const RelayHead_t *head, const struct evkeyvalq *headers)
{
    RelayForward_t *this = owner;
    gboolean is_marked =
        evhttp_find_header(headers, RELAY_CLOSE_DELIMITED) == NULL;
    this->has_head = TRUE;
    if (head->is_unproven) {
        refuse(this, REFUSAL_UPSTREAM_FAILED, RUN_MAYBE);
        return;
    }
    this->is_stream = head->framing != BODY_LENGTH;
    RelayAnswer_setHead(this->answer, head->status,
                        is_marked ? head->framing : BODY_CLOSE_DELIMITED,
                        headers);
}

static void
buffer_data(RelayForward_t *this, struct evbuffer *data)
{
    AnswerBufferLimits_t limits = Context_answerLimits(this->context);
    if (!AnswerBuffer_add(this->answer_body, data, &limits)) {
        Context_countOversized(this->context, this->id->str,
                               this->peer->upstream->name->str);
        RelayAttempt_fail(this->attempt, ATTEMPT_OVERSIZED);
    }
    else if (AnswerWaiter_mustWait(&this->answer_waiter,
                                   AnswerBuffer_size(this->answer_body))) {
        RelayAttempt_setReadPaused(this->attempt, TRUE);
    }
}

static void
on_data(void *owner, struct evbuffer *data)
{
    RelayForward_t *this = owner;
    if (!this->is_stream) {
        buffer_data(this, data);
        return;
    }
    close_if_stopping(this);
    RelayAnswer_sendData(this->answer, data);
    evbuffer_drain(data, evbuffer_get_length(data));
    if (RelayAnswer_isFull(this->answer)) {
        RelayAttempt_setReadPaused(this->attempt, TRUE);
    }
}

/* The other router keeps the deadline and watches its upstreams. */
static SilenceAction_t
on_silent(void *owner)
{
    (void)owner;
    return SILENCE_WAIT;
}

static void
pass_on(RelayForward_t *this)
{
    close_if_stopping(this);
    RelayAnswer_setReceived(this->answer);
    if (this->is_stream) {
        RelayAnswer_finishStream(this->answer);
    }
    else {
        RelayAnswer_sendComplete(this->answer,
                                 AnswerBuffer_content(this->answer_body));
    }
    finish(this, "answered");
}

static void try_next(RelayForward_t *this);

/* A router that does not reach one service may serve others. */
static void
note_refusal(RelayForward_t *this, const RelayHead_t *head)
{
    if (head && head->refuses_service) {
        g_ptr_array_add(this->tried, this->peer);
    }
    else {
        ForwardPeers_noteRefusal(this->peer, Clock_nowMs());
    }
}

static void
on_ended(void *owner, AttemptEnd_t end, const RelayHead_t *head)
{
    RelayForward_t *this = owner;
    this->attempt = NULL;
    AnswerWaiter_clear(&this->answer_waiter);
    this->peer->open--;
    if (end == ATTEMPT_COMPLETE || end == ATTEMPT_CLOSED ||
        end == ATTEMPT_FAILED) {
        pass_on(this);
    }
    else if (end == ATTEMPT_NOT_RUN) {
        note_refusal(this, head);
        try_next(this);
    }
    else if (Recovery_isUnsent(end)) {
        ForwardPeers_noteUnreachable(this->peer, Clock_nowMs());
        try_next(this);
    }
    else if (end == ATTEMPT_MISMATCH || end == ATTEMPT_BAD_ANSWER) {
        refuse(this, REFUSAL_ANSWER_MISMATCH, RUN_MAYBE);
    }
    else {
        refuse(this, REFUSAL_UPSTREAM_FAILED, RUN_MAYBE);
    }
}

static const RelayAttemptEvents_t attempt_events = {
    .answered = on_answered,
    .head = on_head,
    .data = on_data,
    .silent = on_silent,
    .ended = on_ended,
};

static void
log_try(const RelayForward_t *this)
{
    gint64 now_ms = Clock_nowMs();
    Log_begin(LOG_LEVEL_INFO, "request_forwarded");
    Log_text("request", this->id->str);
    Log_text("router", this->peer->upstream->name->str);
    Log_number("tries", this->tries);
    Log_number("open", this->peer->open);
    Log_number("path_lost_ms",
               UpstreamPath_lostMs(this->context->path, now_ms));
    Log_number("left_ms", this->deadline_ms - now_ms);
    Log_end();
}

static void
start_attempt(RelayForward_t *this)
{
    const Settings_t *settings = this->context->settings;
    const LimitsSection_t *limits = &settings->limits;
    gint64 left_ms = this->deadline_ms - Clock_nowMs();
    RelayOrder_t order = {
        .instance = settings->router.name->str,
        .wait_ms = left_ms,
        .forward_proof = this->context->forward_proof,
    };
    RelayAttemptSpec_t spec = {
        .upstream = this->peer->upstream,
        .form = this->context->form->peer,
        .request = RelayAnswer_request(this->answer),
        .request_id = this->id->str,
        .order = &order,
        .body = this->body,
        .piece_max = (gsize)limits->answer_max,
        .head_max = (gsize)limits->max_header + RELAY_ADDED_BYTES,
        .input_total = &this->context->answer_bytes,
        .input_total_max = (gsize)limits->answers_max,
        .idle_max_ms = this->idle_max_ms,
        .is_once = this->is_once,
        .connect_ms = MIN(limits->connect_timeout_ms, CONNECT_MAX_MS),
        .first_ms = left_ms + ANSWER_MARGIN_MS,
        .pause_ms = left_ms + ANSWER_MARGIN_MS,
    };
    this->peer->open++;
    this->attempt =
        RelayAttempt_start(this->context->base, &spec, &attempt_events, this);
}

static void
refuse_unserved(RelayForward_t *this)
{
    gboolean is_of_service = this->tried->len > 0;
    if (is_of_service && this->service) {
        ForwardPeers_noteUnserved(this->context->forward_peers,
                                  this->service->str, Clock_nowMs());
    }
    refuse(this, is_of_service ? REFUSAL_NO_UPSTREAM : REFUSAL_NO_PATH,
           RUN_NOT);
}

static void
try_next(RelayForward_t *this)
{
    gboolean may_try =
        this->tries < TRIES_MAX && this->tried->len < SERVICE_TRIES_MAX;
    this->peer = may_try ? ForwardPeers_choose(this->context->forward_peers,
                                               this->tried, Clock_nowMs())
                         : NULL;
    if (!this->peer) {
        refuse_unserved(this);
        return;
    }
    this->tries++;
    log_try(this);
    start_attempt(this);
}

static void
on_caller_left(void *owner, Refusal_t reason)
{
    finish(owner, Refusal_spec(reason)->code);
}

static void
resume_attempt(void *owner)
{
    const RelayForward_t *this = owner;
    if (this->attempt) {
        RelayAttempt_setReadPaused(this->attempt, FALSE);
    }
}

static const RelayAnswerEvents_t answer_events = {
    .caller_left = on_caller_left,
    .drained = resume_attempt,
};

static RelayForward_t *
create(Context_t *context, const char *id, gint64 deadline_ms,
       gboolean is_repeatable)
{
    const LimitsSection_t *limits = &context->settings->limits;
    RelayForward_t *this = g_new0(RelayForward_t, 1);
    this->context = context;
    this->idle_max_ms =
        is_repeatable ? limits->idle_time_ms : limits->once_idle_time_ms;
    this->is_once = !is_repeatable;
    this->id = g_string_new(id);
    this->tried = g_ptr_array_new();
    this->answer_body = AnswerBuffer_create(&context->answer_bytes);
    AnswerWaiter_init(&this->answer_waiter, context->answer_room,
                      resume_attempt, this);
    this->started_us = Clock_nowUs();
    this->deadline_ms = deadline_ms;
    this->deadline = Clock_timer(context->base, on_deadline, this);
    this->reaper = Clock_timer(context->base, on_reap, this);
    return this;
}

static RelayAnswer_t *
create_answer(RelayForward_t *this, struct evhttp_request *http)
{
    Context_t *context = this->context;
    const LimitsSection_t *limits = &context->settings->limits;
    RelayAnswerSpec_t spec = {
        .request = http,
        .id = this->id->str,
        .id_header = context->form->caller->id_header,
        .buffer_max = (gsize)limits->stream_buffer,
        .buffered_total = &context->output_bytes,
        .buffered_total_max = (gsize)limits->answers_max,
        .memory = context->memory,
    };
    return RelayAnswer_create(context->base, &spec, &answer_events, this);
}

static void
begin(RelayForward_t *this)
{
    this->context->open_requests++;
    OpenRequests_add(this->context->open, this, on_router_ends);
    Clock_arm(this->deadline,
              this->deadline_ms - Clock_nowMs() + ANSWER_MARGIN_MS);
    try_next(this);
}

void
RelayForward_start(Context_t *context, const RelayForwardSpec_t *spec)
{
    RelayRequest_t request = *spec->request;
    gint64 wait_ms = Context_waitMs(context, request.wait_ms, spec->limit_ms);
    RelayForward_t *this = create(context, request.id, Clock_nowMs() + wait_ms,
                                  spec->is_repeatable);
    this->body = RequestIntake_takeBody(spec->http);
    this->answer = create_answer(this, spec->http);
    context->form->caller->clear_request(&request);
    begin(this);
}

void
RelayForward_takeOver(Context_t *context, const RelayTakeOverSpec_t *spec)
{
    RelayForward_t *this =
        create(context, spec->id, spec->deadline_ms, spec->is_repeatable);
    this->body = g_bytes_ref(spec->body);
    this->service = g_string_new(spec->service);
    this->answer = spec->answer;
    RelayAnswer_setOwner(this->answer, &answer_events, this);
    begin(this);
}
