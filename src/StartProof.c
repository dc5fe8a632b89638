#include "StartProof.h"

#include "Clock.h"
#include "HttpCall.h"
#include "Log.h"

/* Stands for the start of an upstream whose entry states none. */
#define INCARNATION_UNSTATED 1

struct StartProof {
    Upstream_t *upstream;
    const OrderForm_t *form;
    StartProofDone_t done;
    void *owner;
    HttpCall_t *call;
    gint64 asked_us;
};

static void
destroy(StartProof_t *this)
{
    Upstream_unref(this->upstream);
    g_free(this);
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
on_answer(const HttpAnswer_t *answer, const GError *error, void *data)
{
    StartProof_t *this = data;
    guint64 incarnation = answer ? read_incarnation(this, answer) : 0;
    if (incarnation != this->upstream->incarnation) {
        log_unproven(this, incarnation, error);
        note_incarnation(this, incarnation);
    }
    this->done(this->owner, incarnation, answer == NULL);
    destroy(this);
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
    HttpHeader_t headers[] = {
        {spec->form->instance_header, spec->upstream->name->str},
        {NULL, NULL},
    };
    HttpCallSpec_t call = {
        .address = &spec->upstream->address,
        .method = EVHTTP_REQ_GET,
        .path = spec->form->state_path,
        .headers = headers,
        .timeout_ms = spec->timeout_ms,
        .answer_max = HTTP_SHORT_ANSWER_MAX,
        .accepts_close_delimited = TRUE,
    };
    this->upstream = Upstream_ref(spec->upstream);
    this->form = spec->form;
    this->done = done;
    this->owner = owner;
    this->asked_us = Clock_nowUs();
    this->call = HttpCall_start(base, &call, on_answer, this);
    return this;
}

void
StartProof_cancel(StartProof_t *this)
{
    HttpCall_cancel(this->call);
    destroy(this);
}
