#ifndef HEADER_Trace
#define HEADER_Trace
/**
 * DOC: Trace
 *
 * What became of each recent request and why it went where it did, for the
 * operators' question "explain". Old ones give way to new ones.
 */
#include <glib.h>

/** How many requests are remembered */
#define TRACES_KEPT 2048
/** Attempts of one request that are remembered */
#define TRACE_ATTEMPTS_MAX 8

/**
 * struct TraceAttempt_t - one attempt; times since the request's start
 */
typedef struct {
    GString *upstream;
    const char *reason;
    const char *outcome;
    guint candidates;
    guint tokens;
    guint cached_tokens;
    guint prompt_tokens;
    gint64 started_us;
    gint64 first_token_us;
} TraceAttempt_t;

/**
 * struct Trace_t - one request
 */
typedef struct {
    GString *request;
    GString *customer;
    GString *target;
    const char *outcome;
    TraceAttempt_t attempts[TRACE_ATTEMPTS_MAX];
    guint attempt_count;
} Trace_t;

/** struct Traces_t - opaque */
typedef struct Traces Traces_t;

/** Traces_create() - remembers nothing yet */
Traces_t *Traces_create(void);

/** Traces_destroy() - free all */
void Traces_destroy(Traces_t *this);

/**
 * Trace_create() - start the trace of a request
 * @customer: its name
 * @target: model or service
 */
Trace_t *Trace_create(const char *request, const char *customer,
                      const char *target);

/**
 * Trace_addAttempt() - the next attempt
 * @reason: static text
 *
 * Return: the place to fill; the last one is used again where all are used
 */
TraceAttempt_t *Trace_addAttempt(Trace_t *this, const char *upstream,
                                 const char *reason);

/** Traces_keep() - remember an ended request; takes it over */
void Traces_keep(Traces_t *this, Trace_t *trace);

/** Traces_find() - by the request's id, or NULL */
const Trace_t *Traces_find(const Traces_t *this, const char *request);

#endif
