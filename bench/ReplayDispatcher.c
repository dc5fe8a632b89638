#include "ReplayDispatcher.h"

#include <time.h>

#include "CacheStore.h"
#include "Clock.h"
#include "EstimateError.h"
#include "LoadShed.h"
#include "Policies.h"
#include "Replay.h"
#include "ReplayGroups.h"
#include "Tickets.h"

#define TARGET "m"
#define HALL "h"
#define REGION "r"
#define WEIGHTS "1"
#define US_PER_S 1000000.0
/* Slots in the estimates if REPLAY_SLOTS is off. */
#define SLOTS_UNLIMITED (1 << 20)
/* Spreads the numbers of requests over 64 bits, as hashes are. */
#define KEY_FACTOR G_GUINT64_CONSTANT(0x9E3779B97F4A7C15)
#define KEY_SHIFT 32

struct ReplayDispatcher {
    const ReplaySpec_t *spec;
    guint decisions;
    GPtrArray *serving;      /* Upstream_t by the index of the engine */
    GHashTable *by_upstream; /* Upstream_t -> index of the engine */
    Policy_t *policy;
    Tickets_t *tickets;
    EstimateError_t *estimate_error;
    GPtrArray *stores; /* CacheStore_t of the dispatcher of each group */
    ReplayGroups_t *groups;
    struct event_base *base;
    guint64 next_ticket;
    guint decision_count;
    double decision_total_us;
};

static gboolean
is_enabled(const ReplayDispatcher_t *this, ReplayDecision_t decision)
{
    return (this->decisions & (guint)decision) != 0;
}

static Upstream_t *
create_upstream(const ReplayDispatcher_t *this, guint index)
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
free_upstream(gpointer upstream)
{
    Upstream_unref(upstream);
}

static void
add_upstreams(ReplayDispatcher_t *this)
{
    this->serving = g_ptr_array_new_with_free_func(free_upstream);
    this->by_upstream = g_hash_table_new(NULL, NULL);
    for (guint i = 0; i < this->spec->fleet.engines; i++) {
        Upstream_t *upstream = create_upstream(this, i);
        g_ptr_array_add(this->serving, upstream);
        g_hash_table_insert(this->by_upstream, upstream, GUINT_TO_POINTER(i));
    }
}

static void
free_store(gpointer store)
{
    CacheStore_destroy(store);
}

static void
add_stores(ReplayDispatcher_t *this)
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

ReplayDispatcher_t *
ReplayDispatcher_create(const ReplaySpec_t *spec, guint decisions)
{
    ReplayDispatcher_t *this = g_new0(ReplayDispatcher_t, 1);
    this->spec = spec;
    this->decisions = decisions;
    this->policy = Policies_create(
        is_enabled(this, REPLAY_PREFIX) ? POLICY_HOME : POLICY_LEAST_LOADED);
    this->base = event_base_new();
    this->tickets = Tickets_create(this->base);
    this->estimate_error = EstimateError_create();
    add_stores(this);
    add_upstreams(this);
    this->groups = ReplayGroups_create(spec, this->serving,
                                       is_enabled(this, REPLAY_PARTITION));
    return this;
}

void
ReplayDispatcher_destroy(ReplayDispatcher_t *this)
{
    Tickets_destroy(this->tickets);
    ReplayGroups_destroy(this->groups);
    g_ptr_array_unref(this->serving);
    g_hash_table_destroy(this->by_upstream);
    Policy_destroy(this->policy);
    EstimateError_destroy(this->estimate_error);
    g_ptr_array_unref(this->stores);
    event_base_free(this->base);
    g_free(this);
}

static const ReplayKind_t *
kind_of(const ReplayDispatcher_t *this, const ReplayRequest_t *request)
{
    return &this->spec->kinds[request->kind];
}

/* What the errors of estimates are kept by. */
static const char *
spread_key(const ReplayDispatcher_t *this, const ReplayRequest_t *request)
{
    return ReplayGroups_isPartitioned(this->groups, TARGET)
               ? ReplayGroups_nameKind(request->kind)
               : TARGET;
}

static gint64
spread_us(const ReplayDispatcher_t *this, const ReplayRequest_t *request)
{
    return EstimateError_spreadUs(this->estimate_error,
                                  spread_key(this, request));
}

/* As RelayPlacer does. */
static gint64
latest_us(const ReplayDispatcher_t *this, const ReplayRequest_t *request,
          const Placement_t *placement)
{
    gint64 objective_ms = kind_of(this, request)->objective_ms;
    if (placement->urgent &&
        ReplayGroups_isPartitioned(this->groups, TARGET)) {
        return LoadShed_latestUs(objective_ms, 0);
    }
    return MAX(LoadShed_latestUs(objective_ms, spread_us(this, request)), 1);
}

static Placement_t
create_placement(const ReplayDispatcher_t *this,
                 const ReplayRequest_t *request, guint id)
{
    const ReplayFleet_t *fleet = &this->spec->fleet;
    Placement_t placement = {
        .target = TARGET,
        .serving = this->serving,
        .generation = 1,
        .level_count = 2,
        .levels = {request->prefix, id + 1},
        .level_tokens = {request->shared_tokens,
                         request->shared_tokens + request->own_tokens},
        .prompt_tokens = request->shared_tokens + request->own_tokens,
        .hall = HALL,
        .region = REGION,
        .cache_tokens =
            is_enabled(this, REPLAY_MEMORY) ? (guint)fleet->cache_tokens : 0,
        .groups = (guint)fleet->groups,
        .group = request->group,
        .now_ms = Clock_nowMs(),
    };
    ReplayGroups_fillPlacement(this->groups, request->kind, &placement);
    placement.latest_us = latest_us(this, request, &placement);
    return placement;
}

/* Chooses an upstream as the dispatcher of a group does. */
static Choice_t
choose_in_group(const ReplayDispatcher_t *this, Placement_t *placement,
                guint group)
{
    if (this->spec->fleet.store_us > 0) {
        placement->cache_store = g_ptr_array_index(this->stores, group);
    }
    return Policy_choose(this->policy, placement);
}

/* The group of the home follows without partitions. */
static guint
find_home_group(const ReplayDispatcher_t *this, const Placement_t *placement)
{
    Placement_t unpartitioned = *placement;
    unpartitioned.partitions = NULL;
    return Policy_choose(this->policy, &unpartitioned).group;
}

static Choice_t
choose_upstream(const ReplayDispatcher_t *this, Placement_t *placement)
{
    guint group = placement->group > 0 ? placement->group - 1
                                       : find_home_group(this, placement);
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
time_choice(ReplayDispatcher_t *this, Placement_t *placement)
{
    double before_us = cpu_us();
    Choice_t choice = choose_upstream(this, placement);
    this->decision_total_us += cpu_us() - before_us;
    this->decision_count++;
    return choice;
}

static gint64
remaining_ms(const ReplayDispatcher_t *this, const ReplayRequest_t *request,
             gint64 now_us)
{
    gint64 elapsed_ms = (now_us - request->asked_us) / CLOCK_US_PER_MS;
    return kind_of(this, request)->deadline_ms - elapsed_ms;
}

static LoadShedDecision_t
decide_admission(const ReplayDispatcher_t *this,
                 const ReplayRequest_t *request, const Choice_t *choice,
                 gint64 now_us)
{
    LoadShedInput_t input = {
        .expected_us = choice->cost_us,
        .own_us = choice->own_us,
        .spread_us = spread_us(this, request),
        .objective_ms = is_enabled(this, REPLAY_SHED)
                            ? kind_of(this, request)->objective_ms
                            : 0,
        .left_ms = remaining_ms(this, request, now_us),
    };
    return LoadShed_decide(&input);
}

static gboolean
is_refusable(const ReplayDispatcher_t *this, const ReplayRequest_t *request)
{
    return request->attempts == 0 && is_enabled(this, REPLAY_SHED);
}

/* A number that is the same on each attempt of a request. */
static guint64
request_key(guint id)
{
    return ((guint64)id + 1) * KEY_FACTOR >> KEY_SHIFT;
}

static guint64
customer_key(const ReplayRequest_t *request)
{
    return ((guint64)request->kind << KEY_SHIFT) + request->customer;
}

/* A request that a router brings before the dispatcher of a group. */
typedef struct {
    const ReplayRequest_t *request;
    Placement_t placement;
    guint64 key;
    gint64 left_ms;
    gboolean has_next; /* another group is asked after a refusal */
} Query_t;

static Query_t
create_query(const ReplayDispatcher_t *this, const ReplayRequest_t *request,
             guint id, gint64 now_us)
{
    Query_t query = {
        .request = request,
        .placement = create_placement(this, request, id),
        .key = request_key(id),
        .left_ms = remaining_ms(this, request, now_us),
    };
    query.has_next = is_refusable(this, request) && query.placement.urgent &&
                     query.placement.groups > 1 && request->group == 0;
    return query;
}

static void
decide_in_group(const ReplayDispatcher_t *this, const Query_t *query,
                ReplayVerdict_t *verdict)
{
    GroupRequest_t asked = {
        .placement = &query->placement,
        .choice = &verdict->choice,
        .customer = customer_key(query->request),
        .key = query->key,
        .left_ms = query->left_ms,
        .has_next = query->has_next,
    };
    if (!is_refusable(this, query->request)) {
        verdict->admitted = TRUE;
        return;
    }
    GroupDecision_t decision = ReplayGroups_decide(this->groups, &asked);
    verdict->admitted = decision.verdict == GROUP_ADMITTED;
    verdict->retry_after_ms = decision.retry_after_ms;
}

/* A request that has lost its engine is not refused. */
static void
decide_alone(const ReplayDispatcher_t *this, const Query_t *query,
             gint64 now_us, ReplayVerdict_t *verdict)
{
    LoadShedDecision_t decision =
        decide_admission(this, query->request, &verdict->choice, now_us);
    verdict->admitted = decision.admitted || query->request->attempts > 0;
    verdict->retry_after_ms = decision.retry_after_ms;
}

static ReplayVerdict_t
ask_group(ReplayDispatcher_t *this, Query_t *query, gint64 now_us)
{
    ReplayVerdict_t verdict = {
        .choice = time_choice(this, &query->placement),
        .group = query->placement.group,
    };
    if (!verdict.choice.upstream) {
        return verdict;
    }
    verdict.engine = ReplayDispatcher_indexOf(this, verdict.choice.upstream);
    ReplayGroups_measure(this->groups, &query->placement, &verdict.choice);
    if (verdict.choice.side > 0) {
        decide_in_group(this, query, &verdict);
    }
    else {
        decide_alone(this, query, now_us, &verdict);
    }
    return verdict;
}

/* The group that is asked after @refused, as in RelayDispatch.c. */
static guint
select_next_group(const Query_t *query, guint refused)
{
    guint groups = query->placement.groups;
    guint step = 1 + (guint)(query->key % (groups - 1));
    return (refused + step) % groups;
}

static ReplayVerdict_t
ask_groups(ReplayDispatcher_t *this, Query_t *query, gint64 now_us)
{
    ReplayVerdict_t verdict = ask_group(this, query, now_us);
    if (verdict.admitted || !query->has_next || verdict.choice.side == 0) {
        return verdict;
    }
    query->placement.group =
        1 + select_next_group(query, verdict.choice.group);
    query->has_next = FALSE;
    return ask_group(this, query, now_us);
}

ReplayVerdict_t
ReplayDispatcher_decide(ReplayDispatcher_t *this,
                        const ReplayRequest_t *request, guint id,
                        gint64 now_us)
{
    Query_t query = create_query(this, request, id, now_us);
    ReplayVerdict_t verdict = ask_groups(this, &query, now_us);
    if (verdict.admitted) {
        verdict.ticket = ++this->next_ticket;
        Tickets_add(this->tickets, verdict.ticket, &query.placement,
                    &verdict.choice);
        Policy_commit(this->policy, &query.placement, &verdict.choice);
    }
    return verdict;
}

static void
note_first_token(ReplayDispatcher_t *this, const ReplayRequest_t *request)
{
    gint64 wait_us = request->first_us - request->sent_us;
    TicketFirstToken_t first = Tickets_noteFirstToken(
        this->tickets, request->ticket, this->policy, wait_us, Clock_nowMs());
    ReplayGroups_learnFirstToken(this->groups, TARGET, &first, wait_us);
    EstimateError_noteFirst(this->estimate_error, spread_key(this, request),
                            request->expected_us, wait_us);
}

void
ReplayDispatcher_report(ReplayDispatcher_t *this,
                        const ReplayRequest_t *request, ReplayReport_t report)
{
    switch (report) {
    case REPLAY_FIRST_TOKEN:
        note_first_token(this, request);
        break;
    case REPLAY_END:
        ReplayGroups_learnRun(this->groups, request);
        Tickets_end(this->tickets, request->ticket);
        break;
    case REPLAY_ABANDONED:
        Tickets_end(this->tickets, request->ticket);
        break;
    }
}

void
ReplayDispatcher_noteSaved(ReplayDispatcher_t *this, guint engine,
                           guint64 prefix)
{
    const Upstream_t *upstream = g_ptr_array_index(this->serving, engine);
    guint64 stored_prefix = CacheStore_prefix(prefix, upstream->weights);
    for (guint i = 0; i < this->stores->len; i++) {
        CacheStore_receiveSaved(g_ptr_array_index(this->stores, i),
                                stored_prefix, Clock_nowMs());
    }
}

void
ReplayDispatcher_setSuspect(ReplayDispatcher_t *this, guint engine,
                            gboolean suspect)
{
    Upstream_t *upstream = g_ptr_array_index(this->serving, engine);
    upstream->suspect = suspect;
}

guint
ReplayDispatcher_indexOf(const ReplayDispatcher_t *this,
                         const Upstream_t *upstream)
{
    return GPOINTER_TO_UINT(g_hash_table_lookup(this->by_upstream, upstream));
}

gboolean
ReplayDispatcher_isReserved(const ReplayDispatcher_t *this, guint engine)
{
    return ReplayGroups_isReserved(this->groups,
                                   g_ptr_array_index(this->serving, engine));
}

double
ReplayDispatcher_decisionUs(const ReplayDispatcher_t *this)
{
    return this->decision_count > 0
               ? this->decision_total_us / this->decision_count
               : 0;
}

guint
ReplayDispatcher_countDecisions(const ReplayDispatcher_t *this)
{
    return this->decision_count;
}
