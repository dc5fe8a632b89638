#include "RelayBody.h"

#include "Clock.h"

void
RelayBody_begin(RelayExchange_t *this, const RelayHead_t *head)
{
    AnswerBuffer_clear(this->answer_body);
    this->answer_waiter.may_pass = !this->event_pipe && !head->is_unproven &&
                                   head->status < HTTP_INTERNAL;
}

static gboolean
must_pass(const RelayExchange_t *this)
{
    return RelayAnswer_request(this->answer) &&
           AnswerWaiter_mustPass(&this->answer_waiter,
                                 AnswerBuffer_size(this->answer_body));
}

/* A router that stops has no time to wait for its callers. */
static gboolean
must_pause(const RelayExchange_t *this)
{
    Context_t *context = this->super.context;
    gboolean is_hurried =
        context->stopping &&
        MemoryUse_level(context->memory, Clock_nowMs()) == MEMORY_EASY;
    return !is_hurried && RelayAnswer_request(this->answer) &&
           RelayAnswer_isFull(this->answer);
}

static void
send_part(RelayExchange_t *this, struct evbuffer *data)
{
    gsize size_max = Context_answerLimits(this->super.context).size_max;
    gsize added = evbuffer_get_length(data);
    if (added > size_max - this->part_bytes) {
        RelayAttempt_fail(this->attempt, ATTEMPT_OVERSIZED);
        return;
    }
    this->part_bytes += added;
    RelayAnswer_sendData(this->answer, data);
    evbuffer_drain(data, evbuffer_get_length(data));
    if (must_pause(this)) {
        RelayAttempt_setReadPaused(this->attempt, TRUE);
    }
}

static void
begin_parts(RelayExchange_t *this)
{
    this->is_in_parts = TRUE;
    AnswerWaiter_clear(&this->answer_waiter);
    RelayExchange_closeIfStopping(this);
    RelayAnswer_beginParts(this->answer);
    send_part(this, AnswerBuffer_content(this->answer_body));
    AnswerBuffer_clear(this->answer_body);
}

void
RelayBody_receive(RelayExchange_t *this, struct evbuffer *data)
{
    AnswerBufferLimits_t limits = Context_answerLimits(this->super.context);
    if (this->is_in_parts) {
        send_part(this, data);
    }
    else if (!AnswerBuffer_add(this->answer_body, data, &limits)) {
        RelayAttempt_fail(this->attempt, ATTEMPT_OVERSIZED);
    }
    else if (must_pass(this)) {
        begin_parts(this);
    }
    else if (AnswerWaiter_mustWait(&this->answer_waiter,
                                   AnswerBuffer_size(this->answer_body))) {
        RelayAttempt_setReadPaused(this->attempt, TRUE);
    }
}

void
RelayBody_resume(RelayExchange_t *this)
{
    if (!this->is_in_parts && must_pass(this)) {
        begin_parts(this);
    }
    if (this->attempt && !(this->is_in_parts && must_pause(this))) {
        RelayAttempt_setReadPaused(this->attempt, FALSE);
    }
}

void
RelayBody_finish(RelayExchange_t *this)
{
    if (this->is_in_parts) {
        RelayAnswer_finishStream(this->answer);
        return;
    }
    RelayAnswer_sendComplete(this->answer,
                             AnswerBuffer_content(this->answer_body));
}

void
RelayBody_noteCallerLeft(RelayExchange_t *this)
{
    this->answer_waiter.may_pass = FALSE;
    if (this->is_in_parts && this->attempt) {
        RelayAttempt_setReadPaused(this->attempt, FALSE);
    }
}
