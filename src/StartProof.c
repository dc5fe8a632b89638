#include "StartProof.h"

#include "Clock.h"
#include "Errors.h"
#include "HttpCall.h"
#include "Log.h"

/* Stands for the start of an upstream whose entry states none. */
#define INCARNATION_UNSTATED 1

/* A question that is lost or late is asked once more. */
#define QUESTIONS_MAX 2
/* Share of the timeout after which the first question is late. */
#define LATE_SHARE 2

/* @call is NULL once it has ended. */
typedef struct {
    StartProof_t *proof;
    HttpCall_t *call;
} Question_t;

struct StartProof {
    struct event_base *base;
    Upstream_t *upstream;
    const OrderForm_t *form;
    StartProofDone_t done;
    void *owner;
    Question_t questions[QUESTIONS_MAX];
    guint asked; /* number of @questions */
    gint64 asked_us;
    gint64 timeout_ms;
};

static void on_answer(const HttpAnswer_t *answer, const GError *error,
                      void *data);

/* Ends open questions without their callbacks. */
static void
destroy(StartProof_t *this)
{
    for (guint i = 0; i < this->asked; i++) {
        if (this->questions[i].call) {
            HttpCall_cancel(this->questions[i].call);
        }
    }
    Upstream_unref(this->upstream);
    g_free(this);
}

static gint64
left_ms(const StartProof_t *this)
{
    return this->timeout_ms -
           (Clock_nowUs() - this->asked_us) / CLOCK_US_PER_MS;
}

static void
ask(StartProof_t *this)
{
    Question_t *question = &this->questions[this->asked++];
    HttpHeader_t headers[] = {
        {this->form->instance_header, this->upstream->name->str},
        {NULL, NULL},
    };
    HttpCallSpec_t call = {
        .address = &this->upstream->address,
        .method = EVHTTP_REQ_GET,
        .path = this->form->state_path,
        .headers = headers,
        .timeout_ms = left_ms(this),
        .late_ms =
            this->asked < QUESTIONS_MAX ? this->timeout_ms / LATE_SHARE : 0,
        .answer_max = HTTP_SHORT_ANSWER_MAX,
        .accepts_close_delimited = TRUE,
    };
    question->proof = this;
    question->call = HttpCall_start(this->base, &call, on_answer, question);
}

/* Returns FALSE if it was asked again already, or the time is over. A later
 * connection leads to the same start or a later one. */
static gboolean
ask_again(StartProof_t *this, const GError *error)
{
    if (this->asked == QUESTIONS_MAX || left_ms(this) <= 0) {
        return FALSE;
    }
    Log_begin(LOG_LEVEL_INFO, "upstream_start_asked_again");
    Log_text("upstream", this->upstream->name->str);
    Log_text("reason", error->message);
    Log_number("us", Clock_nowUs() - this->asked_us);
    Log_end();
    ask(this);
    return TRUE;
}

static gboolean
is_open(const StartProof_t *this)
{
    for (guint i = 0; i < this->asked; i++) {
        if (this->questions[i].call) {
            return TRUE;
        }
    }
    return FALSE;
}

static guint64
read_incarnation(const StartProof_t *this, const HttpAnswer_t *answer)
{
    EngineState_t state = {.weights = g_string_new(NULL)};
    gboolean is_state = this->form->read_state(answer, &state);
    g_string_free(state.weights, TRUE);
    return is_state ? state.incarnation : 0;
}

static void
log_unproven(const StartProof_t *this, guint64 incarnation,
             const GError *error)
{
    Log_begin(LOG_LEVEL_INFO, "upstream_start_unproven");
    Log_text("upstream", this->upstream->name->str);
    Log_text("reason", error ? error->message : "answered");
    Log_number("incarnation", (gint64)incarnation);
    Log_number("listed", (gint64)this->upstream->incarnation);
    Log_number("us", Clock_nowUs() - this->asked_us);
    Log_end();
}

static void
note_incarnation(const StartProof_t *this, guint64 incarnation)
{
    guint64 before = this->upstream->incarnation;
    if (!Upstream_noteIncarnation(this->upstream, incarnation,
                                  Clock_nowMs())) {
        return;
    }
    Log_begin(LOG_LEVEL_INFO, "upstream_reborn");
    Log_text("upstream", this->upstream->name->str);
    Log_text("reason", "asked");
    Log_number("incarnation", (gint64)incarnation);
    Log_number("before", (gint64)before);
    Log_end();
}

static void
finish(StartProof_t *this, const HttpAnswer_t *answer, const GError *error)
{
    guint64 incarnation = answer ? read_incarnation(this, answer) : 0;
    if (incarnation != this->upstream->incarnation) {
        log_unproven(this, incarnation, error);
        note_incarnation(this, incarnation);
    }
    this->done(this->owner, incarnation, answer == NULL);
    destroy(this);
}

static void
on_answer(const HttpAnswer_t *answer, const GError *error, void *data)
{
    Question_t *question = data;
    StartProof_t *this = question->proof;
    if (g_error_matches(error, WT_ERROR, WT_ERROR_LATE)) {
        ask_again(this, error);
        return;
    }
    question->call = NULL;
    if (answer || (!ask_again(this, error) && !is_open(this))) {
        finish(this, answer, error);
    }
}

gboolean
StartProof_isNeeded(const Upstream_t *upstream)
{
    return upstream->incarnation > INCARNATION_UNSTATED &&
           *Upstream_software(upstream) != '\0';
}

StartProof_t *
StartProof_ask(struct event_base *base, const StartProofSpec_t *spec,
               StartProofDone_t done, void *owner)
{
    StartProof_t *this = g_new0(StartProof_t, 1);
    this->base = base;
    this->upstream = Upstream_ref(spec->upstream);
    this->form = spec->form;
    this->done = done;
    this->owner = owner;
    this->asked_us = Clock_nowUs();
    this->timeout_ms = spec->timeout_ms;
    ask(this);
    return this;
}

void
StartProof_cancel(StartProof_t *this)
{
    destroy(this);
}
