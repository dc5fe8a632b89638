#ifndef HEADER_ExchangeState
#define HEADER_ExchangeState
/**
 * DOC: ExchangeState
 *
 * What the life of a request holds (Exchange.h), for its forms and for what is
 * logged of it.
 */
#include "Context.h"
#include "CrashSubject.h"
#include "OnceGuard.h"
#include "RateGate.h"
#include "Recovery.h"
#include "UpstreamGate.h"

typedef struct Exchange Exchange_t;

/**
 * struct ExchangeClass_t - one form
 * @destroy: free what the form added and the exchange itself
 * @place: choose an upstream and start an attempt, or refuse
 * @drop: close the attempt under way; whether its request may have been sent
 * @refuse: answer the caller, unless it is gone
 * @facts: add what only the form knows; may be NULL
 * @resume: ask the same upstream for the rest; may be NULL
 * @abandon: nothing is resumed any more; may be NULL
 * @log_end: add pairs to the line of the end; may be NULL
 */
typedef struct {
    void (*destroy)(Exchange_t *this);
    void (*place)(Exchange_t *this);
    gboolean (*drop)(Exchange_t *this);
    void (*refuse)(Exchange_t *this, const RefusalNotice_t *notice);
    void (*facts)(const Exchange_t *this, RecoveryFacts_t *facts);
    void (*resume)(Exchange_t *this);
    void (*abandon)(Exchange_t *this);
    void (*log_end)(const Exchange_t *this);
} ExchangeClass_t;

/**
 * struct Exchange - extended by each form
 * @class: the form
 * @context: parts of the router
 * @id: of the request
 * @customer: whose it is; empty for none
 * @customer_class: for counters
 * @target: model or service
 * @priority: of the request
 * @started_us: when it was admitted
 * @deadline_ms: monotonic time by which the answer must be whole
 * @repeatable: running it again does no harm
 * @max_attempts: most attempts
 * @gate: at its customer's limit
 * @room: at the limits of upstreams
 * @waits_for_room: no other upstream will do
 * @key: that it is claimed by, or NULL where it is not
 * @guard: its claim, or NULL
 * @subject: by which it is known again; NULL where it has no body
 * @deadline: its timer
 * @later: timer of the next attempt, the grace, or the end
 * @trace: of the request
 * @attempt_trace: of the last attempt
 * @upstream: of the attempt under way, or NULL
 * @origin: of its answer
 * @avoid: of the attempt before, where it failed
 * @attempts: so far
 * @sent: an attempt was sent and not proved "not run"
 * @is_kept: the attempt under way is silent, which is counted already
 * @left: the caller is gone
 * @over: nothing follows
 */
struct Exchange {
    const ExchangeClass_t *class;
    Context_t *context;
    GString *id;
    GString *customer;
    GString *customer_class;
    GString *target;
    gint64 priority;
    gint64 started_us;
    gint64 deadline_ms;
    gboolean repeatable;
    guint max_attempts;
    RateGate_t gate;
    UpstreamGate_t room;
    gboolean waits_for_room;
    GString *key;
    OnceGuard_t *guard;
    CrashSubject_t *subject;
    struct event *deadline;
    struct event *later;
    Trace_t *trace;
    TraceAttempt_t *attempt_trace;
    Upstream_t *upstream;
    NoticeOrigin_t origin;
    Upstream_t *avoid;
    guint attempts;
    gboolean sent;
    gboolean is_kept;
    gboolean left;
    gboolean over;
};

#endif
