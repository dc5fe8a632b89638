#include "CrashReplay.h"

#include <math.h>
#include <string.h>

#include "CompletedRequests.h"
#include "CrashTable.h"

/* Lowest number of a request that its caller sends only once; recurring and
 * poison requests have lower numbers. */
#define SINGLE_NUMBER_MIN 1000000
#define CALLER_RETRY_MS 50
#define OWNER_COUNT 16

typedef struct {
    guint number;
    gboolean is_poison;
    guint router;
    guint attempts_left;
    guint tries_left;
} Request_t;

typedef struct {
    Request_t request;
    guint64 id; /* unique in the replay */
} Run_t;

typedef struct {
    GArray *runs;  /* Run_t */
    guint64 crash; /* id that the engine's next crash will have */
    gboolean is_up;
} Engine_t;

/* Global view of one poison request; no router has all of this. */
typedef struct {
    guint crashes;
    guint late;
    gint64 third_crash_ms;
    guint third_crash_router;
    gint64 first_refusal_ms;
} PoisonState_t;

typedef enum {
    EVENT_HARMLESS,
    EVENT_POISON,
    EVENT_SEND,
    EVENT_COMPLETE,
    EVENT_CRASH,
    EVENT_RESTART,
    EVENT_OUTAGE,
    EVENT_RECEIVE,
    EVENT_VOID,
} EventKind_t;

typedef struct {
    gint64 at_ms;
    guint64 order; /* breaks ties between events at the same time */
    EventKind_t kind;
    guint index; /* of a router, an engine or a poison request */
    guint64 run_id;
    guint64 crash;
    Request_t request;
} Event_t;

typedef struct {
    CrashReplaySpec_t spec;
    CrashReplayResult_t result;
    GRand *random;
    GSequence *events;
    gint64 now_ms;
    guint64 next_order;
    guint64 run_ids;
    guint64 crash_ids;
    guint single_count;
    guint outages;
    CrashTable_t **tables;  /* of each router */
    GHashTable **completed; /* of each router: request number -> ms */
    GHashTable *trials;     /* set of numbers sent from quarantine */
    Engine_t *engines;
    PoisonState_t *poison;
} CrashReplay_t;

const char *
CrashReplay_formatMemory(CrashMemory_t memory)
{
    static const char *const names[] = {"none", "own", "store", "keeper",
                                        "all"};
    return names[memory];
}

CrashReplaySpec_t
CrashReplaySpec_default(guint32 seed)
{
    return (CrashReplaySpec_t){
        .seed = seed,
        .duration_ms = 60000,
        .routers = 8,
        .engines = 9,
        .rate = 60,
        .run_ms = 400,
        .repeated_percent = 10,
        .repeated_count = 20,
        .poison_count = 1,
        .poison_rate = 5,
        .crash_delay_max_ms = 200,
        .attempts = 2,
        .tries = 2,
        .restart_ms = 3300,
        .crash_detect_ms = 100,
        .update_delay_ms = 25,
        .poll_ms = 1000,
        .quarantine_at = CRASHES_TO_QUARANTINE,
        .success_memory_ms = COMPLETED_REQUESTS_RETAIN_MS,
    };
}

static gint
compare_events(gconstpointer left, gconstpointer right, gpointer data)
{
    (void)data;
    const Event_t *a = left;
    const Event_t *b = right;
    if (a->at_ms != b->at_ms) {
        return a->at_ms < b->at_ms ? -1 : 1;
    }
    return a->order < b->order ? -1 : 1;
}

static void
schedule(CrashReplay_t *this, gint64 in_ms, Event_t event)
{
    Event_t *stored = g_memdup2(&event, sizeof(event));
    stored->at_ms = this->now_ms + in_ms;
    stored->order = this->next_order++;
    g_sequence_insert_sorted(this->events, stored, compare_events, NULL);
}

static gint64
draw_duration_ms(CrashReplay_t *this, double mean_ms)
{
    return (gint64)(-log(1.0 - g_rand_double(this->random)) * mean_ms);
}

static guint
draw_below(CrashReplay_t *this, guint below)
{
    return (guint)g_rand_int_range(this->random, 0, (gint32)below);
}

static RequestDigest_t
digest_of(guint number)
{
    RequestDigest_t digest = {{0}};
    memcpy(digest.bytes, &number, sizeof(number));
    return digest;
}

static const CrashEntry_t *
find_entry(const CrashReplay_t *this, guint router, guint number)
{
    RequestDigest_t digest = digest_of(number);
    return CrashTable_find(this->tables[router], &digest);
}

/* Finds the crashes of one request that also happened under another
 * quarantined request with more valid crashes, which explains them. */
typedef struct {
    const CrashEntry_t *entry;
    guint quarantine_at;
    gboolean explained[CRASHES_PER_REQUEST_MAX];
} Explanation_t;

static void
match_mark(Explanation_t *this, const CrashMark_t *mark)
{
    for (guint i = 0; i < this->entry->mark_count; i++) {
        gboolean same = mark->crash == this->entry->marks[i].crash;
        this->explained[i] |= same && !mark->voided;
    }
}

static void
match_entry(CrashEntry_t *other, void *data)
{
    Explanation_t *this = data;
    guint count = CrashEntry_countValid(other);
    if (count < this->quarantine_at ||
        count <= CrashEntry_countValid(this->entry)) {
        return;
    }
    for (guint i = 0; i < other->mark_count; i++) {
        match_mark(this, &other->marks[i]);
    }
}

static guint
count_unexplained(const CrashReplay_t *this, guint router,
                  const CrashEntry_t *entry)
{
    Explanation_t explanation = {.entry = entry,
                                 .quarantine_at = this->spec.quarantine_at};
    guint unexplained = 0;
    CrashTable_forEach(this->tables[router], match_entry, &explanation);
    for (guint i = 0; i < entry->mark_count; i++) {
        unexplained +=
            entry->marks[i].voided || explanation.explained[i] ? 0 : 1;
    }
    return unexplained;
}

static gboolean
is_trial(const CrashReplay_t *this, const Request_t *request,
         const CrashEntry_t *entry)
{
    return this->spec.trial_delay_ms > 0 &&
           request->router == request->number % this->spec.routers &&
           CrashEntry_countValid(entry) == this->spec.quarantine_at &&
           this->now_ms - entry->last_ms >= this->spec.trial_delay_ms &&
           !g_hash_table_contains(this->trials,
                                  GUINT_TO_POINTER(request->number));
}

static gboolean
is_quarantined(const CrashReplay_t *this, const Request_t *request)
{
    const CrashEntry_t *entry =
        find_entry(this, request->router, request->number);
    guint count = entry ? CrashEntry_countValid(entry) : 0;
    if (!entry || count < this->spec.quarantine_at ||
        is_trial(this, request, entry)) {
        return FALSE;
    }
    if (this->spec.explained_below == 0 ||
        count >= this->spec.explained_below) {
        return TRUE;
    }
    return count_unexplained(this, request->router, entry) >=
           this->spec.quarantine_at;
}

static void
broadcast(CrashReplay_t *this, EventKind_t kind, guint from,
          const Request_t *request, guint64 crash)
{
    gboolean by_store = this->spec.memory == CRASH_MEMORY_STORE;
    this->result.messages += by_store ? 1 : this->spec.routers - 1;
    for (guint i = 0; i < this->spec.routers; i++) {
        gint64 wait_ms = by_store ? draw_below(this, (guint)this->spec.poll_ms)
                                  : this->spec.update_delay_ms;
        Event_t event = {
            .kind = kind, .index = i, .crash = crash, .request = *request};
        if (i != from) {
            schedule(this, wait_ms, event);
        }
    }
}

static gboolean
has_seen_complete(const CrashReplay_t *this, guint router, guint number)
{
    gint64 at_ms = GPOINTER_TO_INT(g_hash_table_lookup(
        this->completed[router], GUINT_TO_POINTER(number)));
    return this->spec.success_memory_ms > 0 && at_ms > 0 &&
           this->now_ms - at_ms < this->spec.success_memory_ms;
}

/* Adds the crash to the router's table. Quarantines learned from the store or
 * from the keeper are also modelled as crashes in this table. */
static void
note_crash(CrashReplay_t *this, guint router, const Request_t *request,
           guint64 crash)
{
    RequestDigest_t digest = digest_of(request->number);
    CrashFact_t fact = {digest, request->number % OWNER_COUNT, crash,
                        this->now_ms};
    CrashTable_add(this->tables[router], &fact, this->now_ms);
    const CrashEntry_t *entry = find_entry(this, router, request->number);
    if (entry && CrashEntry_countValid(entry) >= this->spec.quarantine_at &&
        has_seen_complete(this, router, request->number) &&
        CrashTable_voidAll(this->tables[router], &digest)) {
        g_hash_table_remove(this->completed[router],
                            GUINT_TO_POINTER(request->number));
        broadcast(this, EVENT_VOID, router, request, 0);
    }
}

/* Router 0 acts as the keeper of every request. */
static void
report_to_keeper(CrashReplay_t *this, const Request_t *request, guint64 crash)
{
    const CrashEntry_t *before = find_entry(this, 0, request->number);
    guint count = before ? CrashEntry_countValid(before) : 0;
    this->result.messages++;
    note_crash(this, 0, request, crash);
    const CrashEntry_t *entry = find_entry(this, 0, request->number);
    if (count < this->spec.quarantine_at && entry &&
        CrashEntry_countValid(entry) >= this->spec.quarantine_at) {
        for (guint i = 0; i < entry->mark_count; i++) {
            broadcast(this, EVENT_RECEIVE, 0, request, entry->marks[i].crash);
        }
        /* The crashes of one request are sent in one message per router. */
        this->result.messages -=
            (guint64)(entry->mark_count - 1) * (this->spec.routers - 1);
    }
}

static void
on_crash_detected(CrashReplay_t *this, const Event_t *event)
{
    const Request_t *request = &event->request;
    switch (this->spec.memory) {
    case CRASH_MEMORY_NONE:
        return;
    case CRASH_MEMORY_KEEPER:
        report_to_keeper(this, request, event->crash);
        return;
    default:
        note_crash(this, request->router, request, event->crash);
    }
    if (this->spec.memory != CRASH_MEMORY_LOCAL) {
        broadcast(this, EVENT_RECEIVE, request->router, request, event->crash);
    }
}

static void
note_quarantined(CrashReplay_t *this, const Request_t *request)
{
    if (!request->is_poison) {
        this->result.refused++;
        this->result.refused_repeated +=
            request->number < SINGLE_NUMBER_MIN ? 1 : 0;
        this->result.unserved += request->tries_left == 0 ? 1 : 0;
        return;
    }
    PoisonState_t *poison = &this->poison[request->number];
    if (poison->third_crash_ms > 0 && poison->first_refusal_ms == 0 &&
        request->router != poison->third_crash_router) {
        poison->first_refusal_ms = this->now_ms;
    }
}

static Engine_t *
choose_engine(CrashReplay_t *this)
{
    guint first = draw_below(this, this->spec.engines);
    for (guint i = 0; i < this->spec.engines; i++) {
        Engine_t *engine = &this->engines[(first + i) % this->spec.engines];
        if (engine->is_up) {
            return engine;
        }
    }
    return NULL;
}

/* The caller retries at a random router. */
static void
schedule_retry(CrashReplay_t *this, Request_t request)
{
    if (request.tries_left == 0) {
        return;
    }
    request.tries_left--;
    request.attempts_left = this->spec.attempts;
    request.router = draw_below(this, this->spec.routers);
    Event_t event = {.kind = EVENT_SEND, .request = request};
    schedule(this, CALLER_RETRY_MS, event);
}

static void
note_sent(CrashReplay_t *this, const Request_t *request)
{
    if (!request->is_poison) {
        return;
    }
    PoisonState_t *poison = &this->poison[request->number];
    gboolean is_late = poison->third_crash_ms > 0 &&
                       this->now_ms > poison->third_crash_ms +
                                          CRASH_REPLAY_PROPAGATION_MAX_MS;
    poison->late += is_late ? 1 : 0;
}

static void
send_request(CrashReplay_t *this, Request_t request)
{
    Engine_t *engine =
        is_quarantined(this, &request) ? NULL : choose_engine(this);
    if (is_quarantined(this, &request)) {
        note_quarantined(this, &request);
    }
    if (!engine) {
        schedule_retry(this, request);
        return;
    }
    request.attempts_left--;
    const CrashEntry_t *entry =
        find_entry(this, request.router, request.number);
    if (entry && CrashEntry_countValid(entry) >= this->spec.quarantine_at) {
        g_hash_table_add(this->trials, GUINT_TO_POINTER(request.number));
    }
    note_sent(this, &request);
    Run_t run = {request, ++this->run_ids};
    g_array_append_val(engine->runs, run);
    Event_t event = {.kind = request.is_poison ? EVENT_CRASH : EVENT_COMPLETE,
                     .index = (guint)(engine - this->engines),
                     .run_id = run.id,
                     .crash = engine->crash};
    gint64 in_ms =
        request.is_poison
            ? 1 + draw_below(this, (guint)this->spec.crash_delay_max_ms)
            : 1 + draw_duration_ms(this, this->spec.run_ms);
    schedule(this, in_ms, event);
}

static void
fail_run(CrashReplay_t *this, const Run_t *run, guint64 crash)
{
    Request_t request = run->request;
    Event_t detected = {
        .kind = EVENT_RECEIVE,
        .index = this->spec.routers, /* the router's own detection */
        .crash = crash,
        .request = request};
    schedule(this, this->spec.crash_detect_ms, detected);
    if (request.attempts_left > 0) {
        Event_t retry = {.kind = EVENT_SEND, .request = request};
        schedule(this, 0, retry);
    }
    else {
        schedule_retry(this, request);
    }
}

static void
crash_engine(CrashReplay_t *this, Engine_t *engine)
{
    GArray *runs = engine->runs;
    guint64 crash = engine->crash;
    engine->runs = g_array_new(FALSE, FALSE, sizeof(Run_t));
    engine->is_up = FALSE;
    engine->crash = ++this->crash_ids;
    for (guint i = 0; i < runs->len; i++) {
        fail_run(this, &g_array_index(runs, Run_t, i), crash);
    }
    g_array_unref(runs);
    Event_t restart = {.kind = EVENT_RESTART,
                       .index = (guint)(engine - this->engines)};
    schedule(this, this->spec.restart_ms, restart);
}

static gint
find_run(const Engine_t *engine, guint64 id)
{
    for (guint i = 0; i < engine->runs->len; i++) {
        if (g_array_index(engine->runs, Run_t, i).id == id) {
            return (gint)i;
        }
    }
    return -1;
}

static void
note_poison_crash(CrashReplay_t *this, const Request_t *request)
{
    PoisonState_t *poison = &this->poison[request->number];
    this->result.crashes++;
    if (++poison->crashes == CRASHES_TO_QUARANTINE) {
        poison->third_crash_ms = this->now_ms;
        poison->third_crash_router = request->router;
    }
}

static void
on_crash(CrashReplay_t *this, const Event_t *event)
{
    Engine_t *engine = &this->engines[event->index];
    gint run_index = find_run(engine, event->run_id);
    if (run_index >= 0) {
        note_poison_crash(
            this, &g_array_index(engine->runs, Run_t, run_index).request);
        crash_engine(this, engine);
    }
}

static void
complete_request(CrashReplay_t *this, const Request_t *request)
{
    const CrashEntry_t *entry =
        find_entry(this, request->router, request->number);
    RequestDigest_t digest = digest_of(request->number);
    this->result.served++;
    if (request->number < SINGLE_NUMBER_MIN) {
        g_hash_table_replace(this->completed[request->router],
                             GUINT_TO_POINTER(request->number),
                             GINT_TO_POINTER((gint)this->now_ms));
    }
    if (!this->spec.keep_after_success && entry &&
        CrashEntry_countValid(entry) > 0) {
        CrashTable_voidAll(this->tables[request->router], &digest);
        broadcast(this, EVENT_VOID, request->router, request, 0);
    }
}

static void
on_complete(CrashReplay_t *this, const Event_t *event)
{
    Engine_t *engine = &this->engines[event->index];
    gint run_index = find_run(engine, event->run_id);
    if (run_index >= 0) {
        Request_t request =
            g_array_index(engine->runs, Run_t, run_index).request;
        g_array_remove_index_fast(engine->runs, (guint)run_index);
        complete_request(this, &request);
    }
}

static Request_t
new_request(CrashReplay_t *this, guint number, gboolean is_poison)
{
    return (Request_t){
        .number = number,
        .is_poison = is_poison,
        .router = draw_below(this, this->spec.routers),
        .attempts_left = this->spec.attempts,
        .tries_left = this->spec.tries - 1,
    };
}

static gboolean
draw_is_repeated(CrashReplay_t *this)
{
    return draw_below(this, 100) < this->spec.repeated_percent;
}

static void
on_harmless(CrashReplay_t *this, const Event_t *event)
{
    guint number = draw_is_repeated(this)
                       ? this->spec.poison_count +
                             draw_below(this, this->spec.repeated_count)
                       : SINGLE_NUMBER_MIN + this->single_count++;
    this->result.harmless_requests++;
    send_request(this, new_request(this, number, FALSE));
    if (this->now_ms < this->spec.duration_ms) {
        schedule(this, 1 + draw_duration_ms(this, 1000 / this->spec.rate),
                 *event);
    }
}

static void
on_poison(CrashReplay_t *this, const Event_t *event)
{
    send_request(this, new_request(this, event->index, TRUE));
    if (this->now_ms < this->spec.duration_ms) {
        schedule(this,
                 1 + draw_duration_ms(this, 1000 / this->spec.poison_rate),
                 *event);
    }
}

static void
on_outage(CrashReplay_t *this, const Event_t *event)
{
    guint count = this->spec.engines * this->spec.outage_percent / 100;
    for (guint i = 0; i < count; i++) {
        Engine_t *engine = choose_engine(this);
        if (engine) {
            crash_engine(this, engine);
        }
    }
    if (++this->outages < this->spec.outage_count) {
        schedule(this, this->spec.outage_interval_ms, *event);
    }
}

static void
on_receive(CrashReplay_t *this, const Event_t *event)
{
    if (event->index == this->spec.routers) {
        on_crash_detected(this, event);
    }
    else {
        note_crash(this, event->index, &event->request, event->crash);
    }
}

static void
handle_event(CrashReplay_t *this, const Event_t *event)
{
    RequestDigest_t digest = digest_of(event->request.number);
    switch (event->kind) {
    case EVENT_HARMLESS:
        on_harmless(this, event);
        break;
    case EVENT_POISON:
        on_poison(this, event);
        break;
    case EVENT_SEND:
        send_request(this, event->request);
        break;
    case EVENT_COMPLETE:
        on_complete(this, event);
        break;
    case EVENT_CRASH:
        on_crash(this, event);
        break;
    case EVENT_RESTART:
        this->engines[event->index].is_up = TRUE;
        break;
    case EVENT_OUTAGE:
        on_outage(this, event);
        break;
    case EVENT_RECEIVE:
        on_receive(this, event);
        break;
    case EVENT_VOID:
        CrashTable_voidAll(this->tables[event->index], &digest);
        g_hash_table_remove(this->completed[event->index],
                            GUINT_TO_POINTER(event->request.number));
        break;
    }
}

static void
create_state(CrashReplay_t *this)
{
    const CrashReplaySpec_t *spec = &this->spec;
    this->random = g_rand_new_with_seed(spec->seed);
    this->events = g_sequence_new(g_free);
    this->tables = g_new0(CrashTable_t *, spec->routers);
    this->completed = g_new0(GHashTable *, spec->routers);
    this->trials = g_hash_table_new(g_direct_hash, g_direct_equal);
    this->engines = g_new0(Engine_t, spec->engines);
    this->poison = g_new0(PoisonState_t, spec->poison_count + 1);
    for (guint i = 0; i < spec->routers; i++) {
        this->tables[i] = CrashTable_create();
        this->completed[i] = g_hash_table_new(g_direct_hash, g_direct_equal);
    }
    for (guint i = 0; i < spec->engines; i++) {
        this->engines[i] = (Engine_t){g_array_new(FALSE, FALSE, sizeof(Run_t)),
                                      ++this->crash_ids, TRUE};
    }
    schedule(this, 0, (Event_t){.kind = EVENT_HARMLESS});
    for (guint i = 0; i < spec->poison_count; i++) {
        Event_t first = {.kind = EVENT_POISON, .index = i};
        schedule(this, spec->duration_ms / 6 + draw_below(this, 1000), first);
    }
    if (spec->outage_count > 0) {
        schedule(this, spec->outage_interval_ms,
                 (Event_t){.kind = EVENT_OUTAGE});
    }
}

static void
fill_result(CrashReplay_t *this)
{
    guint count = 0;
    double delay_ms = 0;
    for (guint i = 0; i < this->spec.poison_count; i++) {
        const PoisonState_t *poison = &this->poison[i];
        this->result.crashes_max =
            MAX(this->result.crashes_max, poison->crashes);
        this->result.late_max = MAX(this->result.late_max, poison->late);
        if (poison->first_refusal_ms > 0) {
            delay_ms +=
                (double)(poison->first_refusal_ms - poison->third_crash_ms);
            count++;
        }
    }
    this->result.first_quarantine_ms = count > 0 ? delay_ms / count : 0;
}

static void
free_state(CrashReplay_t *this)
{
    for (guint i = 0; i < this->spec.routers; i++) {
        CrashTable_destroy(this->tables[i]);
        g_hash_table_destroy(this->completed[i]);
    }
    g_hash_table_destroy(this->trials);
    g_free(this->completed);
    for (guint i = 0; i < this->spec.engines; i++) {
        g_array_unref(this->engines[i].runs);
    }
    g_free(this->tables);
    g_free(this->engines);
    g_free(this->poison);
    g_sequence_free(this->events);
    g_rand_free(this->random);
}

CrashReplayResult_t
CrashReplay_run(const CrashReplaySpec_t *spec)
{
    CrashReplay_t this = {.spec = *spec};
    create_state(&this);
    while (!g_sequence_is_empty(this.events)) {
        GSequenceIter *first = g_sequence_get_begin_iter(this.events);
        Event_t event = *(Event_t *)g_sequence_get(first);
        g_sequence_remove(first);
        this.now_ms = event.at_ms;
        handle_event(&this, &event);
    }
    fill_result(&this);
    free_state(&this);
    return this.result;
}
