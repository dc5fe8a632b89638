#include "Replay.h"

#include <math.h>
#include <time.h>

#include "CacheStore.h"
#include "Clock.h"
#include "EstimateError.h"
#include "LoadShed.h"
#include "Policies.h"
#include "Random.h"
#include "ReplayEngine.h"
#include "Tickets.h"

#define TARGET "m"
#define HALL "h"
#define REGION "r"
#define WEIGHTS "1"
#define US_PER_S 1000000.0
/* The replay starts after 0, which stands for no time. */
#define START_US ((gint64)1000000)
/* Spreads the ids of prefixes over 64 bits, as hashes are. */
#define PREFIX_ID_FACTOR G_GUINT64_CONSTANT(0x9E3779B97F4A7C15)
/* Retries by the caller after a refusal, and attempts of one request. */
#define RETRIES_MAX 1
#define ATTEMPTS_MAX 2
/* Time after the last arrival; longer than any caller waits. */
#define DRAIN_MS 60000
/* Value of a late answer; an answer in time has the value 1. */
#define LATE_VALUE 0.3
/* Slots in the estimates if REPLAY_SLOTS is off. */
#define SLOTS_UNLIMITED (1 << 20)

typedef enum {
    EVENT_ARRIVAL,
    EVENT_STEP,
    EVENT_FIRST_TOKEN,
    EVENT_COMPLETE,
    EVENT_DEADLINE,
    EVENT_SILENT,
    EVENT_SUSPECTED,
    EVENT_RESUMED,
} EventKind_t;

typedef struct {
    gint64 at_us;
    guint64 order; /* breaks ties between events at the same time */
    EventKind_t kind;
    guint index; /* of a request or an engine */
} Event_t;

typedef struct {
    guint kind;
    guint64 prefix;
    guint shared_tokens;
    guint own_tokens;
    guint out_tokens;
    gint64 asked_us; /* first arrival */
    gint64 sent_us;
    gint64 first_us;
    gint64 token_us;
    gint64 pause_us;
    gint64 expected_us;
    guint64 ticket;
    guint engine;
    guint retries;
    guint attempts;
    gboolean is_placed;
    gboolean is_over;
} Request_t;

typedef struct {
    ReplayEngine_t *model;
    Upstream_t *upstream;
    gboolean is_stepping;
    gboolean is_silent;
} Engine_t;

typedef struct {
    const ReplaySpec_t *spec;
    guint decisions;
    ReplayResult_t *result;
    GRand *random;
    GArray *events; /* Event_t, a binary heap */
    guint64 order;
    GArray *requests; /* Request_t */
    GArray *engines;  /* Engine_t */
    GPtrArray *serving;
    GHashTable *by_upstream;   /* Upstream_t -> index of the engine */
    GHashTable *prefixes_read; /* set of prefix ids */
    GArray *first_token_waits[REPLAY_KINDS_MAX]; /* gint64 */
    Policy_t *policy;
    Tickets_t *tickets;
    EstimateError_t *estimate_error;
    GPtrArray *stores; /* CacheStore_t of the dispatcher of each group */
    struct event_base *base;
    guint64 next_ticket;
    gint64 now_us;
    double decision_total_us;
} Replay_t;

static gboolean
is_enabled(const Replay_t *this, ReplayDecision_t decision)
{
    return (this->decisions & (guint)decision) != 0;
}

static gboolean
is_before(const Event_t *left, const Event_t *right)
{
    return left->at_us < right->at_us ||
           (left->at_us == right->at_us && left->order < right->order);
}

static Event_t *
event_at(const Replay_t *this, guint index)
{
    return &g_array_index(this->events, Event_t, index);
}

static void
swap_events(const Replay_t *this, guint left, guint right)
{
    Event_t copy = *event_at(this, left);
    *event_at(this, left) = *event_at(this, right);
    *event_at(this, right) = copy;
}

static void
add_event(Replay_t *this, gint64 at_us, EventKind_t kind, guint index)
{
    Event_t event = {at_us, this->order++, kind, index};
    g_array_append_val(this->events, event);
    guint heap_index = this->events->len - 1;
    while (heap_index > 0 && is_before(event_at(this, heap_index),
                                       event_at(this, (heap_index - 1) / 2))) {
        swap_events(this, heap_index, (heap_index - 1) / 2);
        heap_index = (heap_index - 1) / 2;
    }
}

static guint
find_earliest(const Replay_t *this, guint index)
{
    guint earliest = index;
    for (guint child = 2 * index + 1;
         child <= 2 * index + 2 && child < this->events->len; child++) {
        if (is_before(event_at(this, child), event_at(this, earliest))) {
            earliest = child;
        }
    }
    return earliest;
}

static Event_t
pop_event(Replay_t *this)
{
    Event_t first = *event_at(this, 0);
    swap_events(this, 0, this->events->len - 1);
    g_array_set_size(this->events, this->events->len - 1);
    guint index = 0;
    guint earliest = find_earliest(this, index);
    while (earliest != index) {
        swap_events(this, index, earliest);
        index = earliest;
        earliest = find_earliest(this, index);
    }
    return first;
}

static Request_t *
request_at(const Replay_t *this, guint index)
{
    return &g_array_index(this->requests, Request_t, index);
}

static Engine_t *
engine_at(const Replay_t *this, guint index)
{
    return &g_array_index(this->engines, Engine_t, index);
}

static const ReplayKind_t *
kind_of(const Replay_t *this, const Request_t *request)
{
    return &this->spec->kinds[request->kind];
}

static ReplayCount_t *
count_of(const Replay_t *this, const Request_t *request)
{
    return &this->result->kinds[request->kind];
}

/* Draws a length; as in practice, some are several times the mean. */
static guint
draw_length(const Replay_t *this, gint64 mean)
{
    double drawn = -log(1 - g_rand_double(this->random));
    return (guint)MAX((double)mean * (0.25 + 0.75 * drawn), 1);
}

/* The length depends on the prefix alone, so all its requests agree on it. */
static guint
prefix_length(guint64 prefix, gint64 mean)
{
    GRand *random = g_rand_new_with_seed((guint32)(prefix * 2654435761U));
    double share = g_rand_double_range(random, 0.5, 1.5);
    g_rand_free(random);
    return (guint)((double)mean * share);
}

static void
add_request(Replay_t *this, guint kind, gint64 at_us)
{
    const ReplayKind_t *spec = &this->spec->kinds[kind];
    guint32 number =
        (guint32)g_rand_int_range(this->random, 0, (gint32)spec->prefixes);
    Request_t request = {
        .kind = kind,
        .prefix = (((guint64)(kind + 1) << 32) + number) * PREFIX_ID_FACTOR,
        .own_tokens = draw_length(this, spec->own_tokens),
        .out_tokens = draw_length(this, spec->out_tokens),
        .asked_us = at_us,
    };
    request.shared_tokens = prefix_length(request.prefix, spec->shared_tokens);
    g_array_append_val(this->requests, request);
    add_event(this, at_us, EVENT_ARRIVAL, this->requests->len - 1);
    add_event(this, at_us + spec->deadline_ms * CLOCK_US_PER_MS,
              EVENT_DEADLINE, this->requests->len - 1);
}

static void
draw_requests(Replay_t *this)
{
    gint64 end_us = START_US + this->spec->fleet.duration_ms * CLOCK_US_PER_MS;
    for (guint kind = 0; kind < REPLAY_KINDS_MAX; kind++) {
        gint64 rate = this->spec->kinds[kind].rate;
        double at_us = (double)START_US;
        while (rate > 0) {
            at_us -=
                log(1 - g_rand_double(this->random)) * US_PER_S / (double)rate;
            if (at_us >= (double)end_us) {
                break;
            }
            add_request(this, kind, (gint64)at_us);
        }
    }
}

static Placement_t
create_placement(const Replay_t *this, const Request_t *request, guint index)
{
    const ReplayFleet_t *fleet = &this->spec->fleet;
    gint64 spread_us = EstimateError_spreadUs(this->estimate_error, TARGET);
    return (Placement_t){
        .target = TARGET,
        .serving = this->serving,
        .generation = 1,
        .level_count = 2,
        .levels = {request->prefix, index + 1},
        .level_tokens = {request->shared_tokens,
                         request->shared_tokens + request->own_tokens},
        .prompt_tokens = request->shared_tokens + request->own_tokens,
        .hall = HALL,
        .region = REGION,
        .cache_tokens =
            is_enabled(this, REPLAY_MEMORY) ? (guint)fleet->cache_tokens : 0,
        .latest_us = MAX(
            LoadShed_latestUs(kind_of(this, request)->objective_ms, spread_us),
            1),
        .groups = (guint)fleet->groups,
        .now_ms = Clock_nowMs(),
    };
}

/* Chooses an upstream as the dispatcher of a group does. */
static Choice_t
choose_in_group(const Replay_t *this, Placement_t *placement, guint group)
{
    if (this->spec->fleet.store_us > 0) {
        placement->cache_store = g_ptr_array_index(this->stores, group);
    }
    return Policy_choose(this->policy, placement);
}

static Choice_t
choose_upstream(const Replay_t *this, Placement_t *placement)
{
    guint group = Policy_choose(this->policy, placement).group;
    return choose_in_group(this, placement, group);
}

static double
cpu_us(void)
{
    struct timespec now;
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
    return (double)now.tv_sec * US_PER_S + (double)now.tv_nsec / 1e3;
}

static Choice_t
time_choice(Replay_t *this, Placement_t *placement)
{
    double before_us = cpu_us();
    Choice_t choice = choose_upstream(this, placement);
    this->decision_total_us += cpu_us() - before_us;
    this->result->decisions++;
    return choice;
}

static void
finish_request(Request_t *request, guint *count)
{
    request->is_over = TRUE;
    (*count)++;
}

static void
start_step(Replay_t *this, guint index)
{
    Engine_t *engine = engine_at(this, index);
    if (engine->is_stepping || engine->is_silent ||
        ReplayEngine_isIdle(engine->model)) {
        return;
    }
    engine->is_stepping = TRUE;
    gint64 step_us = ReplayEngine_step(engine->model, this->now_us);
    add_event(this, this->now_us + step_us, EVENT_STEP, index);
}

static Engine_t *
engine_of(const Replay_t *this, const Upstream_t *upstream)
{
    gpointer index = g_hash_table_lookup(this->by_upstream, upstream);
    return engine_at(this, GPOINTER_TO_UINT(index));
}

/* Returns the time to fetch the prefix from the supply that the router names
 * to the engine; 0 if the prefix is not there. */
static gint64
compute_fetch_us(const Replay_t *this, const Request_t *request,
                 const Choice_t *choice)
{
    const ReplayFleet_t *fleet = &this->spec->fleet;
    const Supply_t *supply = &choice->supply;
    if (supply->kind == SUPPLY_COMPUTED) {
        return 0;
    }
    if (supply->kind != SUPPLY_ENGINE && fleet->store_us > 0) {
        return g_hash_table_contains(this->prefixes_read, &request->prefix)
                   ? fleet->store_us
                   : 0;
    }
    return supply->source &&
                   ReplayEngine_hasPrefix(
                       engine_of(this, supply->source)->model, request->prefix)
               ? fleet->move_us
               : 0;
}

/* Reports the prefix to the stores as saved, as the request that reads it
 * does. */
static void
note_read(Replay_t *this, const Request_t *request, const ReplayWork_t *work)
{
    const Upstream_t *upstream = engine_at(this, request->engine)->upstream;
    guint64 stored_prefix =
        CacheStore_prefix(request->prefix, upstream->weights);
    for (guint i = 0; i < this->stores->len; i++) {
        CacheStore_receiveSaved(g_ptr_array_index(this->stores, i),
                                stored_prefix, Clock_nowMs());
    }
    if (work->computed &&
        !g_hash_table_add(this->prefixes_read,
                          g_memdup2(&work->prefix, sizeof(work->prefix)))) {
        this->result->reread_tokens += work->shared_tokens;
    }
}

static void
send_to(Replay_t *this, guint index, const Placement_t *placement,
        const Choice_t *choice)
{
    Request_t *request = request_at(this, index);
    gint64 fetch_us = compute_fetch_us(this, request, choice);
    ReplayWork_t work = {
        .id = index,
        .prefix = request->prefix,
        .shared_tokens = request->shared_tokens,
        .own_tokens = request->own_tokens,
        .out_tokens = request->out_tokens,
        .fetched = fetch_us > 0,
        .ready_us = this->now_us + fetch_us,
    };
    request->sent_us = this->now_us;
    request->expected_us = choice->cost_us;
    request->ticket = ++this->next_ticket;
    request->engine = GPOINTER_TO_UINT(
        g_hash_table_lookup(this->by_upstream, choice->upstream));
    request->is_placed = TRUE;
    request->attempts++;
    Tickets_add(this->tickets, request->ticket, placement, choice);
    Policy_commit(this->policy, placement, choice);
    ReplayEngine_send(engine_at(this, request->engine)->model,
                      g_memdup2(&work, sizeof(work)));
    start_step(this, request->engine);
}

static void
refuse(Replay_t *this, guint index, guint retry_after_ms)
{
    Request_t *request = request_at(this, index);
    if (request->retries >= RETRIES_MAX) {
        finish_request(request, &count_of(this, request)->refused);
        return;
    }
    request->retries++;
    add_event(this, this->now_us + (gint64)retry_after_ms * CLOCK_US_PER_MS,
              EVENT_ARRIVAL, index);
}

static gint64
remaining_ms(const Replay_t *this, const Request_t *request)
{
    gint64 elapsed_ms = (this->now_us - request->asked_us) / CLOCK_US_PER_MS;
    return kind_of(this, request)->deadline_ms - elapsed_ms;
}

static LoadShedDecision_t
decide_admission(const Replay_t *this, const Request_t *request,
                 const Choice_t *choice)
{
    LoadShedInput_t input = {
        .expected_us = choice->cost_us,
        .own_us = choice->own_us,
        .spread_us = EstimateError_spreadUs(this->estimate_error, TARGET),
        .objective_ms = is_enabled(this, REPLAY_SHED)
                            ? kind_of(this, request)->objective_ms
                            : 0,
        .left_ms = remaining_ms(this, request),
    };
    return LoadShed_decide(&input);
}

static void
on_arrival(Replay_t *this, guint index)
{
    Request_t *request = request_at(this, index);
    if (request->is_over) {
        return;
    }
    Placement_t placement = create_placement(this, request, index);
    Choice_t choice = time_choice(this, &placement);
    if (!choice.upstream) {
        finish_request(request, &count_of(this, request)->failed);
        return;
    }
    LoadShedDecision_t decision = decide_admission(this, request, &choice);
    if (decision.admitted || request->attempts > 0) {
        send_to(this, index, &placement, &choice);
    }
    else {
        refuse(this, index, decision.retry_after_ms);
    }
}

static void
on_token(void *owner, const ReplayWork_t *work, gboolean first, gint64 now_us)
{
    Replay_t *this = owner;
    Request_t *request = request_at(this, work->id);
    if (!first) {
        request->pause_us = MAX(request->pause_us, now_us - request->token_us);
        request->token_us = now_us;
        return;
    }
    request->first_us = now_us;
    request->token_us = now_us;
    note_read(this, request, work);
    add_event(this,
              now_us + this->spec->fleet.update_delay_ms * CLOCK_US_PER_MS,
              EVENT_FIRST_TOKEN, work->id);
}

static gboolean
is_in_time(const Replay_t *this, const Request_t *request)
{
    const ReplayKind_t *kind = kind_of(this, request);
    return request->first_us - request->asked_us <=
               kind->objective_ms * CLOCK_US_PER_MS &&
           request->pause_us <= kind->pause_ms * CLOCK_US_PER_MS;
}

static void
on_done(void *owner, guint id, gint64 now_us)
{
    Replay_t *this = owner;
    Request_t *request = request_at(this, id);
    ReplayCount_t *count = count_of(this, request);
    gint64 wait_us = request->first_us - request->asked_us;
    finish_request(request,
                   is_in_time(this, request) ? &count->in_time : &count->late);
    g_array_append_val(this->first_token_waits[request->kind], wait_us);
    add_event(this,
              now_us + this->spec->fleet.update_delay_ms * CLOCK_US_PER_MS,
              EVENT_COMPLETE, id);
}

static const ReplayEngineHandlers_t engine_handlers = {
    .token = on_token,
    .done = on_done,
};

static void
on_first_token_known(Replay_t *this, guint index)
{
    const Request_t *request = request_at(this, index);
    gint64 wait_us = request->first_us - request->sent_us;
    Tickets_noteFirstToken(this->tickets, request->ticket, this->policy,
                           wait_us, Clock_nowMs());
    EstimateError_noteFirst(this->estimate_error, TARGET, request->expected_us,
                            wait_us);
}

/* Retries the requests of a silent engine on other upstreams once the silence
 * is noticed. Requests that had a first token or no attempts left fail. */
static void
retry_on_others(Replay_t *this, guint engine)
{
    for (guint i = 0; i < this->requests->len; i++) {
        Request_t *request = request_at(this, i);
        if (!request->is_placed || request->is_over ||
            request->engine != engine) {
            continue;
        }
        Tickets_end(this->tickets, request->ticket);
        ReplayEngine_cancel(engine_at(this, engine)->model, i);
        request->is_placed = FALSE;
        if (request->first_us > 0 || request->attempts >= ATTEMPTS_MAX) {
            finish_request(request, &count_of(this, request)->failed);
        }
        else {
            on_arrival(this, i);
        }
    }
}

static void
on_step(Replay_t *this, guint index)
{
    Engine_t *engine = engine_at(this, index);
    engine->is_stepping = FALSE;
    if (!engine->is_silent) {
        ReplayEngine_finish(engine->model, this->now_us);
        start_step(this, index);
    }
}

static void
on_deadline(Replay_t *this, guint index)
{
    Request_t *request = request_at(this, index);
    if (request->is_over) {
        return;
    }
    if (request->is_placed) {
        ReplayEngine_cancel(engine_at(this, request->engine)->model, index);
        Tickets_end(this->tickets, request->ticket);
    }
    finish_request(request, &count_of(this, request)->failed);
}

static void
set_suspect(Replay_t *this, guint index, gboolean suspect)
{
    engine_at(this, index)->upstream->suspect = suspect;
}

static void
handle_event(Replay_t *this, const Event_t *event)
{
    switch (event->kind) {
    case EVENT_ARRIVAL:
        on_arrival(this, event->index);
        break;
    case EVENT_STEP:
        on_step(this, event->index);
        break;
    case EVENT_FIRST_TOKEN:
        on_first_token_known(this, event->index);
        break;
    case EVENT_COMPLETE:
        Tickets_end(this->tickets, request_at(this, event->index)->ticket);
        break;
    case EVENT_DEADLINE:
        on_deadline(this, event->index);
        break;
    case EVENT_SILENT:
        engine_at(this, event->index)->is_silent = TRUE;
        break;
    case EVENT_SUSPECTED:
        set_suspect(this, event->index, TRUE);
        retry_on_others(this, event->index);
        break;
    case EVENT_RESUMED:
        engine_at(this, event->index)->is_silent = FALSE;
        set_suspect(this, event->index, FALSE);
        start_step(this, event->index);
        break;
    }
}

static void
schedule_silence(Replay_t *this, guint index)
{
    const ReplayFleet_t *fleet = &this->spec->fleet;
    gint64 from_us = START_US + fleet->silent_from_ms * CLOCK_US_PER_MS;
    gint64 until_us = START_US + fleet->silent_until_ms * CLOCK_US_PER_MS;
    if (until_us <= from_us ||
        g_rand_int_range(this->random, 0, 100) >= fleet->silent_percent) {
        return;
    }
    add_event(this, from_us, EVENT_SILENT, index);
    add_event(this, from_us + fleet->silence_detect_ms * CLOCK_US_PER_MS,
              EVENT_SUSPECTED, index);
    add_event(this, until_us, EVENT_RESUMED, index);
}

static Upstream_t *
create_upstream(const Replay_t *this, guint index)
{
    UpstreamSpec_t spec = {
        .hall = g_string_new(HALL),
        .region = g_string_new(REGION),
        .serves = g_ptr_array_new(),
        .slots = is_enabled(this, REPLAY_SLOTS) ? this->spec->fleet.slots
                                                : SLOTS_UNLIMITED,
    };
    g_autofree char *name = g_strdup_printf("e%u", index);
    Upstream_t *upstream = Upstream_create(NULL, name, &spec, 0);
    upstream->prefill_us_per_token =
        CLOCK_US_PER_MS / (double)this->spec->fleet.prompt_tokens_ms;
    upstream->versions_increase = TRUE;
    Upstream_noteWeights(upstream, WEIGHTS);
    g_string_free(spec.hall, TRUE);
    g_string_free(spec.region, TRUE);
    g_ptr_array_unref(spec.serves);
    return upstream;
}

static void
add_engines(Replay_t *this)
{
    for (guint i = 0; i < this->spec->fleet.engines; i++) {
        Engine_t engine = {
            .model = ReplayEngine_create(&this->spec->fleet, &engine_handlers,
                                         this),
            .upstream = create_upstream(this, i),
        };
        g_array_append_val(this->engines, engine);
        g_ptr_array_add(this->serving, engine.upstream);
        g_hash_table_insert(this->by_upstream, engine.upstream,
                            GUINT_TO_POINTER(i));
        schedule_silence(this, i);
    }
}

static void
free_store(gpointer store)
{
    CacheStore_destroy(store);
}

static void
add_stores(Replay_t *this)
{
    g_autoptr(GPtrArray) halls = g_ptr_array_new();
    for (guint i = 0; i < this->spec->fleet.stores; i++) {
        g_ptr_array_add(halls, (gpointer)HALL);
    }
    this->stores = g_ptr_array_new_with_free_func(free_store);
    for (guint i = 0; i < this->spec->fleet.groups; i++) {
        CacheStore_t *store = CacheStore_create(NULL);
        CacheStore_setCopies(store, halls);
        g_ptr_array_add(this->stores, store);
    }
}

static void
create_state(Replay_t *this, const ReplaySpec_t *spec, guint decisions,
             ReplayResult_t *result)
{
    *this = (Replay_t){.spec = spec, .decisions = decisions, .result = result};
    this->random = g_rand_new_with_seed((guint32)spec->fleet.seed);
    this->events = g_array_new(FALSE, FALSE, sizeof(Event_t));
    this->requests = g_array_new(FALSE, FALSE, sizeof(Request_t));
    this->engines = g_array_new(FALSE, FALSE, sizeof(Engine_t));
    this->serving = g_ptr_array_new();
    this->by_upstream = g_hash_table_new(NULL, NULL);
    this->prefixes_read =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
    this->policy = Policies_create(
        is_enabled(this, REPLAY_PREFIX) ? POLICY_HOME : POLICY_LEAST_LOADED);
    this->base = event_base_new();
    this->tickets = Tickets_create(this->base);
    this->estimate_error = EstimateError_create();
    add_stores(this);
    for (guint kind = 0; kind < REPLAY_KINDS_MAX; kind++) {
        this->first_token_waits[kind] =
            g_array_new(FALSE, FALSE, sizeof(gint64));
    }
    Random_seed((guint32)spec->fleet.seed);
    Clock_freeze(START_US);
    draw_requests(this);
    add_engines(this);
}

static gint
compare_times(gconstpointer a, gconstpointer b)
{
    gint64 left = *(const gint64 *)a;
    gint64 right = *(const gint64 *)b;
    return (left > right) - (left < right);
}

static gint64
quantile(const GArray *sorted, double share)
{
    return sorted->len > 0 ? g_array_index(sorted, gint64,
                                           (guint)(share * (sorted->len - 1)))
                           : 0;
}

static void
fill_result(const Replay_t *this)
{
    ReplayResult_t *result = this->result;
    for (guint kind = 0; kind < REPLAY_KINDS_MAX; kind++) {
        ReplayCount_t *count = &result->kinds[kind];
        g_array_sort(this->first_token_waits[kind], compare_times);
        count->p50_us = quantile(this->first_token_waits[kind], 0.5);
        count->p99_us = quantile(this->first_token_waits[kind], 0.99);
    }
    for (guint i = 0; i < this->requests->len; i++) {
        count_of(this, request_at(this, i))->asked++;
    }
    for (guint i = 0; i < this->engines->len; i++) {
        result->read_tokens +=
            ReplayEngine_countReadTokens(engine_at(this, i)->model);
    }
    result->decision_us = result->decisions > 0
                              ? this->decision_total_us / result->decisions
                              : 0;
}

static void
free_state(Replay_t *this)
{
    Tickets_destroy(this->tickets);
    for (guint i = 0; i < this->engines->len; i++) {
        ReplayEngine_destroy(engine_at(this, i)->model);
        Upstream_unref(engine_at(this, i)->upstream);
    }
    for (guint kind = 0; kind < REPLAY_KINDS_MAX; kind++) {
        g_array_unref(this->first_token_waits[kind]);
    }
    Policy_destroy(this->policy);
    EstimateError_destroy(this->estimate_error);
    g_ptr_array_unref(this->stores);
    event_base_free(this->base);
    g_rand_free(this->random);
    g_array_unref(this->events);
    g_array_unref(this->requests);
    g_array_unref(this->engines);
    g_ptr_array_unref(this->serving);
    g_hash_table_destroy(this->by_upstream);
    g_hash_table_destroy(this->prefixes_read);
    Clock_freeze(0);
}

void
Replay_run(const ReplaySpec_t *spec, guint decisions, ReplayResult_t *out)
{
    Replay_t replay;
    *out = (ReplayResult_t){0};
    create_state(&replay, spec, decisions, out);
    gint64 end_us = START_US + (spec->fleet.duration_ms + DRAIN_MS) *
                                   (gint64)CLOCK_US_PER_MS;
    while (replay.events->len > 0) {
        Event_t event = pop_event(&replay);
        if (event.at_us > end_us) {
            break;
        }
        replay.now_us = event.at_us;
        Clock_freeze(event.at_us);
        handle_event(&replay, &event);
    }
    fill_result(&replay);
    free_state(&replay);
}

double
ReplayResult_computeValue(const ReplayResult_t *this)
{
    double value = 0;
    guint requests = 0;
    for (guint kind = 0; kind < REPLAY_KINDS_MAX; kind++) {
        const ReplayCount_t *count = &this->kinds[kind];
        value += count->in_time + LATE_VALUE * count->late;
        requests += count->asked;
    }
    return requests > 0 ? value / requests : 0;
}
