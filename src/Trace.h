#ifndef HEADER_Trace
#define HEADER_Trace
/**
 * DOC: Trace
 *
 * Attempts and outcomes of recent requests, for the operator query "explain".
 * The oldest trace is dropped when there are more than TRACES_MAX.
 */
#include <glib.h>

/** Traces that are stored */
#define TRACES_MAX 2048
/** Attempts that are stored per request */
#define TRACE_ATTEMPTS_MAX 8

/**
 * struct TraceAttempt_t - one attempt; times are relative to the start of the
 * request
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
 * struct Trace_t - trace of one request
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

/** Traces_create() - create an empty set */
Traces_t *Traces_create(void);

/** Traces_destroy() - free the set and its traces */
void Traces_destroy(Traces_t *this);

/**
 * Trace_create() - start the trace of a request
 * @request: request id
 * @customer: name of the customer
 * @target: model or service
 */
Trace_t *Trace_create(const char *request, const char *customer,
                      const char *target);

/**
 * Trace_addAttempt() - add an attempt
 * @reason: static string, not copied
 *
 * Return: the entry to fill in; with TRACE_ATTEMPTS_MAX attempts, the last
 * entry is overwritten
 */
TraceAttempt_t *Trace_addAttempt(Trace_t *this, const char *upstream,
                                 const char *reason);

/** Traces_add() - store the trace of a finished request; takes ownership */
void Traces_add(Traces_t *this, Trace_t *trace);

/** Traces_find() - find a trace by request id, or NULL */
const Trace_t *Traces_find(const Traces_t *this, const char *request);

#endif
