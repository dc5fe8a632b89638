#include "Trace.h"

struct Traces {
    GHashTable *by_request; /* request id -> Trace_t */
    GQueue order;           /* Trace_t, oldest first */
};

static void
Trace_destroy(Trace_t *this)
{
    for (guint i = 0; i < this->attempt_count; i++) {
        g_string_free(this->attempts[i].upstream, TRUE);
    }
    g_string_free(this->request, TRUE);
    g_string_free(this->customer, TRUE);
    g_string_free(this->target, TRUE);
    g_free(this);
}

Traces_t *
Traces_create(void)
{
    Traces_t *this = g_new0(Traces_t, 1);
    this->by_request = g_hash_table_new(g_str_hash, g_str_equal);
    g_queue_init(&this->order);
    return this;
}

void
Traces_destroy(Traces_t *this)
{
    g_hash_table_destroy(this->by_request);
    g_queue_clear_full(&this->order, (GDestroyNotify)Trace_destroy);
    g_free(this);
}

Trace_t *
Trace_create(const char *request, const char *customer, const char *target)
{
    Trace_t *this = g_new0(Trace_t, 1);
    this->request = g_string_new(request);
    this->customer = g_string_new(customer);
    this->target = g_string_new(target);
    this->outcome = "open";
    return this;
}

TraceAttempt_t *
Trace_addAttempt(Trace_t *this, const char *upstream, const char *reason)
{
    if (this->attempt_count < TRACE_ATTEMPTS_MAX) {
        this->attempts[this->attempt_count++].upstream = g_string_new(NULL);
    }
    TraceAttempt_t *attempt = &this->attempts[this->attempt_count - 1];
    GString *name = attempt->upstream;
    *attempt = (TraceAttempt_t){.upstream = g_string_assign(name, upstream),
                                .reason = reason,
                                .outcome = "open"};
    return attempt;
}

void
Traces_add(Traces_t *this, Trace_t *trace)
{
    g_queue_push_tail(&this->order, trace);
    g_hash_table_replace(this->by_request, trace->request->str, trace);
    if (g_queue_get_length(&this->order) <= TRACES_MAX) {
        return;
    }
    Trace_t *oldest = g_queue_pop_head(&this->order);
    if (Traces_find(this, oldest->request->str) == oldest) {
        g_hash_table_remove(this->by_request, oldest->request->str);
    }
    Trace_destroy(oldest);
}

const Trace_t *
Traces_find(const Traces_t *this, const char *request)
{
    return g_hash_table_lookup(this->by_request, request);
}
