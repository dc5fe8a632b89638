#include "CrashReplay.h"

#include <math.h>
#include <string.h>

#include "CompletedRequests.h"
#include "CrashTable.h"

/* Requests that come once have numbers from here on. */
#define FIRST_SINGLE 1000000
#define CALLER_WAIT_MS 50
#define OWNERS 16

typedef struct {
    guint number;
    gboolean is_deadly;
    guint router;
    guint attempts_left;
    guint tries_left;
} Request_t;

typedef struct {
    Request_t request;
    guint64 run; /* identity */
} Run_t;

typedef struct {
    GArray *runs; /* Run_t */
    guint64 crash;
    gboolean is_up;
} Engine_t;

/* What is known of one deadly request, beyond what routers know. */
typedef struct {
    guint ended;
    guint late;
    gint64 third_ms;
    guint third_router;
    gint64 first_held_ms;
} Deadly_t;

typedef enum {
    EVENT_PROPER,
    EVENT_DEADLY,
    EVENT_TRY,
    EVENT_END,
    EVENT_CRASH,
    EVENT_BACK,
    EVENT_LOST,
    EVENT_LEARN,
    EVENT_CLEAR,
} EventKind_t;

typedef struct {
    gint64 at_ms;
    guint64 order; /* of events at the same time */
    EventKind_t kind;
    guint index; /* router, engine or deadly request */
    guint64 run;
    guint64 crash;
    Request_t request;
} Event_t;

typedef struct {
    CrashReplaySpec_t spec;
    CrashReplayResult_t result;
    GRand *random;
    GSequence *events;
    gint64 now_ms;
    guint64 orders;
    guint64 runs;
    guint64 crashes;
    guint singles;
    guint lost;
    CrashTable_t **tables; /* of each router */
    GHashTable **seen;     /* of each router: number -> when, in ms */
    GHashTable *tried;     /* numbers that were sent once more */
    Engine_t *engines;
    Deadly_t *deadly;
} Play_t;

const char *
CrashReplay_memoryName(CrashMemory_t memory)
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
        .popular_percent = 10,
        .popular = 20,
        .deadly = 1,
        .deadly_rate = 5,
        .begin_ms = 200,
        .attempts = 2,
        .tries = 2,
        .back_ms = 3300,
        .proof_ms = 100,
        .news_ms = 25,
        .poll_ms = 1000,
        .held_at = CRASHES_TO_QUARANTINE,
        .remember_ms = COMPLETED_REQUESTS_RETAIN_MS,
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
schedule(Play_t *this, gint64 in_ms, Event_t event)
{
    Event_t *kept = g_memdup2(&event, sizeof(event));
    kept->at_ms = this->now_ms + in_ms;
    kept->order = this->orders++;
    g_sequence_insert_sorted(this->events, kept, compare_events, NULL);
}

static gint64
draw_ms(Play_t *this, double mean_ms)
{
    return (gint64)(-log(1.0 - g_rand_double(this->random)) * mean_ms);
}

static guint
draw(Play_t *this, guint below)
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
find_entry(const Play_t *this, guint router, guint number)
{
    RequestDigest_t digest = digest_of(number);
    return CrashTable_find(this->tables[router], &digest);
}

/* Which crashes of one request also happened under others that are held back
 * and have more of them. */
typedef struct {
    const CrashEntry_t *entry;
    guint held_at;
    gboolean explained[CRASHES_PER_REQUEST_MAX];
} Explain_t;

static void
explain_mark(Explain_t *this, const CrashMark_t *mark)
{
    for (guint i = 0; i < this->entry->mark_count; i++) {
        gboolean same = mark->crash == this->entry->marks[i].crash;
        this->explained[i] |= same && !mark->voided;
    }
}

static void
explain_by(CrashEntry_t *other, void *data)
{
    Explain_t *this = data;
    guint counted = CrashEntry_countValid(other);
    if (counted < this->held_at ||
        counted <= CrashEntry_countValid(this->entry)) {
        return;
    }
    for (guint i = 0; i < other->mark_count; i++) {
        explain_mark(this, &other->marks[i]);
    }
}

static guint
count_unexplained(const Play_t *this, guint router, const CrashEntry_t *entry)
{
    Explain_t explain = {.entry = entry, .held_at = this->spec.held_at};
    guint left = 0;
    CrashTable_forEach(this->tables[router], explain_by, &explain);
    for (guint i = 0; i < entry->mark_count; i++) {
        left += entry->marks[i].voided || explain.explained[i] ? 0 : 1;
    }
    return left;
}

static gboolean
is_trial(const Play_t *this, const Request_t *request,
         const CrashEntry_t *entry)
{
    return this->spec.trial_ms > 0 &&
           request->router == request->number % this->spec.routers &&
           CrashEntry_countValid(entry) == this->spec.held_at &&
           this->now_ms - entry->last_ms >= this->spec.trial_ms &&
           !g_hash_table_contains(this->tried,
                                  GUINT_TO_POINTER(request->number));
}

static gboolean
is_held(const Play_t *this, const Request_t *request)
{
    const CrashEntry_t *entry =
        find_entry(this, request->router, request->number);
    guint counted = entry ? CrashEntry_countValid(entry) : 0;
    if (!entry || counted < this->spec.held_at ||
        is_trial(this, request, entry)) {
        return FALSE;
    }
    if (this->spec.explained_at == 0 || counted >= this->spec.explained_at) {
        return TRUE;
    }
    return count_unexplained(this, request->router, entry) >=
           this->spec.held_at;
}

static void
tell(Play_t *this, EventKind_t kind, guint from, const Request_t *request,
     guint64 crash)
{
    gboolean by_store = this->spec.memory == CRASH_MEMORY_STORE;
    this->result.messages += by_store ? 1 : this->spec.routers - 1;
    for (guint i = 0; i < this->spec.routers; i++) {
        gint64 wait_ms = by_store ? draw(this, (guint)this->spec.poll_ms)
                                  : this->spec.news_ms;
        Event_t event = {
            .kind = kind, .index = i, .crash = crash, .request = *request};
        if (i != from) {
            schedule(this, wait_ms, event);
        }
    }
}

static gboolean
has_seen_whole(const Play_t *this, guint router, guint number)
{
    gint64 at_ms = GPOINTER_TO_INT(
        g_hash_table_lookup(this->seen[router], GUINT_TO_POINTER(number)));
    return this->spec.remember_ms > 0 && at_ms > 0 &&
           this->now_ms - at_ms < this->spec.remember_ms;
}

/* What a router holds back another way than by its own count is in its table
 * as crashes all the same. */
static void
note_crash(Play_t *this, guint router, const Request_t *request, guint64 crash)
{
    RequestDigest_t digest = digest_of(request->number);
    CrashFact_t fact = {digest, request->number % OWNERS, crash, this->now_ms};
    CrashTable_add(this->tables[router], &fact, this->now_ms);
    const CrashEntry_t *entry = find_entry(this, router, request->number);
    if (entry && CrashEntry_countValid(entry) >= this->spec.held_at &&
        has_seen_whole(this, router, request->number) &&
        CrashTable_voidAll(this->tables[router], &digest)) {
        g_hash_table_remove(this->seen[router],
                            GUINT_TO_POINTER(request->number));
        tell(this, EVENT_CLEAR, router, request, 0);
    }
}

/* The first router stands for the keeper of all. */
static void
tell_keeper(Play_t *this, const Request_t *request, guint64 crash)
{
    const CrashEntry_t *before = find_entry(this, 0, request->number);
    guint counted = before ? CrashEntry_countValid(before) : 0;
    this->result.messages++;
    note_crash(this, 0, request, crash);
    const CrashEntry_t *entry = find_entry(this, 0, request->number);
    if (counted < this->spec.held_at && entry &&
        CrashEntry_countValid(entry) >= this->spec.held_at) {
        for (guint i = 0; i < entry->mark_count; i++) {
            tell(this, EVENT_LEARN, 0, request, entry->marks[i].crash);
        }
        this->result.messages -=
            (guint64)(entry->mark_count - 1) * (this->spec.routers - 1);
    }
}

static void
on_proof(Play_t *this, const Event_t *event)
{
    const Request_t *request = &event->request;
    switch (this->spec.memory) {
    case CRASH_MEMORY_NONE:
        return;
    case CRASH_MEMORY_KEEPER:
        tell_keeper(this, request, event->crash);
        return;
    default:
        note_crash(this, request->router, request, event->crash);
    }
    if (this->spec.memory != CRASH_MEMORY_OWN) {
        tell(this, EVENT_LEARN, request->router, request, event->crash);
    }
}

static void
note_held(Play_t *this, const Request_t *request)
{
    if (!request->is_deadly) {
        this->result.refused++;
        this->result.refused_popular += request->number < FIRST_SINGLE ? 1 : 0;
        this->result.unserved += request->tries_left == 0 ? 1 : 0;
        return;
    }
    Deadly_t *deadly = &this->deadly[request->number];
    if (deadly->third_ms > 0 && deadly->first_held_ms == 0 &&
        request->router != deadly->third_router) {
        deadly->first_held_ms = this->now_ms;
    }
}

static Engine_t *
choose_engine(Play_t *this)
{
    guint first = draw(this, this->spec.engines);
    for (guint i = 0; i < this->spec.engines; i++) {
        Engine_t *engine = &this->engines[(first + i) % this->spec.engines];
        if (engine->is_up) {
            return engine;
        }
    }
    return NULL;
}

/* Its caller comes again, at any router. */
static void
try_again(Play_t *this, Request_t request)
{
    if (request.tries_left == 0) {
        return;
    }
    request.tries_left--;
    request.attempts_left = this->spec.attempts;
    request.router = draw(this, this->spec.routers);
    Event_t event = {.kind = EVENT_TRY, .request = request};
    schedule(this, CALLER_WAIT_MS, event);
}

static void
note_sent(Play_t *this, const Request_t *request)
{
    if (!request->is_deadly) {
        return;
    }
    Deadly_t *deadly = &this->deadly[request->number];
    gboolean is_late =
        deadly->third_ms > 0 &&
        this->now_ms > deadly->third_ms + CRASH_REPLAY_CONTACT_MS;
    deadly->late += is_late ? 1 : 0;
}

static void
send_request(Play_t *this, Request_t request)
{
    Engine_t *engine = is_held(this, &request) ? NULL : choose_engine(this);
    if (is_held(this, &request)) {
        note_held(this, &request);
    }
    if (!engine) {
        try_again(this, request);
        return;
    }
    request.attempts_left--;
    const CrashEntry_t *entry =
        find_entry(this, request.router, request.number);
    if (entry && CrashEntry_countValid(entry) >= this->spec.held_at) {
        g_hash_table_add(this->tried, GUINT_TO_POINTER(request.number));
    }
    note_sent(this, &request);
    Run_t run = {request, ++this->runs};
    g_array_append_val(engine->runs, run);
    Event_t event = {.kind = request.is_deadly ? EVENT_CRASH : EVENT_END,
                     .index = (guint)(engine - this->engines),
                     .run = run.run,
                     .crash = engine->crash};
    gint64 in_ms = request.is_deadly
                       ? 1 + draw(this, (guint)this->spec.begin_ms)
                       : 1 + draw_ms(this, this->spec.run_ms);
    schedule(this, in_ms, event);
}

static void
lose_run(Play_t *this, const Run_t *run, guint64 crash)
{
    Request_t request = run->request;
    Event_t proof = {.kind = EVENT_LEARN,
                     .index = this->spec.routers, /* none has told it */
                     .crash = crash,
                     .request = request};
    schedule(this, this->spec.proof_ms, proof);
    if (request.attempts_left > 0) {
        Event_t again = {.kind = EVENT_TRY, .request = request};
        schedule(this, 0, again);
    }
    else {
        try_again(this, request);
    }
}

static void
end_engine(Play_t *this, Engine_t *engine)
{
    GArray *runs = engine->runs;
    guint64 crash = engine->crash;
    engine->runs = g_array_new(FALSE, FALSE, sizeof(Run_t));
    engine->is_up = FALSE;
    engine->crash = ++this->crashes;
    for (guint i = 0; i < runs->len; i++) {
        lose_run(this, &g_array_index(runs, Run_t, i), crash);
    }
    g_array_unref(runs);
    Event_t back = {.kind = EVENT_BACK,
                    .index = (guint)(engine - this->engines)};
    schedule(this, this->spec.back_ms, back);
}

static gint
find_run(const Engine_t *engine, guint64 run)
{
    for (guint i = 0; i < engine->runs->len; i++) {
        if (g_array_index(engine->runs, Run_t, i).run == run) {
            return (gint)i;
        }
    }
    return -1;
}

static void
note_deadly_end(Play_t *this, const Request_t *request)
{
    Deadly_t *deadly = &this->deadly[request->number];
    this->result.ended++;
    if (++deadly->ended == CRASHES_TO_QUARANTINE) {
        deadly->third_ms = this->now_ms;
        deadly->third_router = request->router;
    }
}

static void
on_crash(Play_t *this, const Event_t *event)
{
    Engine_t *engine = &this->engines[event->index];
    gint place = find_run(engine, event->run);
    if (place >= 0) {
        note_deadly_end(this,
                        &g_array_index(engine->runs, Run_t, place).request);
        end_engine(this, engine);
    }
}

static void
come_through(Play_t *this, const Request_t *request)
{
    const CrashEntry_t *entry =
        find_entry(this, request->router, request->number);
    RequestDigest_t digest = digest_of(request->number);
    this->result.served++;
    if (request->number < FIRST_SINGLE) {
        g_hash_table_replace(this->seen[request->router],
                             GUINT_TO_POINTER(request->number),
                             GINT_TO_POINTER((gint)this->now_ms));
    }
    if (!this->spec.no_clearing && entry && CrashEntry_countValid(entry) > 0) {
        CrashTable_voidAll(this->tables[request->router], &digest);
        tell(this, EVENT_CLEAR, request->router, request, 0);
    }
}

static void
on_end(Play_t *this, const Event_t *event)
{
    Engine_t *engine = &this->engines[event->index];
    gint place = find_run(engine, event->run);
    if (place >= 0) {
        Request_t request = g_array_index(engine->runs, Run_t, place).request;
        g_array_remove_index_fast(engine->runs, (guint)place);
        come_through(this, &request);
    }
}

static Request_t
new_request(Play_t *this, guint number, gboolean is_deadly)
{
    return (Request_t){
        .number = number,
        .is_deadly = is_deadly,
        .router = draw(this, this->spec.routers),
        .attempts_left = this->spec.attempts,
        .tries_left = this->spec.tries - 1,
    };
}

static gboolean
is_popular(Play_t *this)
{
    return draw(this, 100) < this->spec.popular_percent;
}

static void
on_proper(Play_t *this, const Event_t *event)
{
    guint number = is_popular(this)
                       ? this->spec.deadly + draw(this, this->spec.popular)
                       : FIRST_SINGLE + this->singles++;
    this->result.proper++;
    send_request(this, new_request(this, number, FALSE));
    if (this->now_ms < this->spec.duration_ms) {
        schedule(this, 1 + draw_ms(this, 1000 / this->spec.rate), *event);
    }
}

static void
on_deadly(Play_t *this, const Event_t *event)
{
    send_request(this, new_request(this, event->index, TRUE));
    if (this->now_ms < this->spec.duration_ms) {
        schedule(this, 1 + draw_ms(this, 1000 / this->spec.deadly_rate),
                 *event);
    }
}

static void
on_lost(Play_t *this, const Event_t *event)
{
    guint count = this->spec.engines * this->spec.lost_percent / 100;
    for (guint i = 0; i < count; i++) {
        Engine_t *engine = choose_engine(this);
        if (engine) {
            end_engine(this, engine);
        }
    }
    if (++this->lost < this->spec.lost_times) {
        schedule(this, this->spec.lost_every_ms, *event);
    }
}

static void
on_learn(Play_t *this, const Event_t *event)
{
    if (event->index == this->spec.routers) {
        on_proof(this, event);
    }
    else {
        note_crash(this, event->index, &event->request, event->crash);
    }
}

static void
handle(Play_t *this, const Event_t *event)
{
    RequestDigest_t digest = digest_of(event->request.number);
    switch (event->kind) {
    case EVENT_PROPER:
        on_proper(this, event);
        break;
    case EVENT_DEADLY:
        on_deadly(this, event);
        break;
    case EVENT_TRY:
        send_request(this, event->request);
        break;
    case EVENT_END:
        on_end(this, event);
        break;
    case EVENT_CRASH:
        on_crash(this, event);
        break;
    case EVENT_BACK:
        this->engines[event->index].is_up = TRUE;
        break;
    case EVENT_LOST:
        on_lost(this, event);
        break;
    case EVENT_LEARN:
        on_learn(this, event);
        break;
    case EVENT_CLEAR:
        CrashTable_voidAll(this->tables[event->index], &digest);
        g_hash_table_remove(this->seen[event->index],
                            GUINT_TO_POINTER(event->request.number));
        break;
    }
}

static void
begin(Play_t *this)
{
    const CrashReplaySpec_t *spec = &this->spec;
    this->random = g_rand_new_with_seed(spec->seed);
    this->events = g_sequence_new(g_free);
    this->tables = g_new0(CrashTable_t *, spec->routers);
    this->seen = g_new0(GHashTable *, spec->routers);
    this->tried = g_hash_table_new(g_direct_hash, g_direct_equal);
    this->engines = g_new0(Engine_t, spec->engines);
    this->deadly = g_new0(Deadly_t, spec->deadly + 1);
    for (guint i = 0; i < spec->routers; i++) {
        this->tables[i] = CrashTable_create();
        this->seen[i] = g_hash_table_new(g_direct_hash, g_direct_equal);
    }
    for (guint i = 0; i < spec->engines; i++) {
        this->engines[i] = (Engine_t){g_array_new(FALSE, FALSE, sizeof(Run_t)),
                                      ++this->crashes, TRUE};
    }
    schedule(this, 0, (Event_t){.kind = EVENT_PROPER});
    for (guint i = 0; i < spec->deadly; i++) {
        Event_t first = {.kind = EVENT_DEADLY, .index = i};
        schedule(this, spec->duration_ms / 6 + draw(this, 1000), first);
    }
    if (spec->lost_times > 0) {
        schedule(this, spec->lost_every_ms, (Event_t){.kind = EVENT_LOST});
    }
}

static void
sum_up(Play_t *this)
{
    guint counted = 0;
    double waited_ms = 0;
    for (guint i = 0; i < this->spec.deadly; i++) {
        const Deadly_t *deadly = &this->deadly[i];
        this->result.ended_most = MAX(this->result.ended_most, deadly->ended);
        this->result.late_most = MAX(this->result.late_most, deadly->late);
        if (deadly->first_held_ms > 0) {
            waited_ms += (double)(deadly->first_held_ms - deadly->third_ms);
            counted++;
        }
    }
    this->result.first_ms = counted > 0 ? waited_ms / counted : 0;
}

static void
clear(Play_t *this)
{
    for (guint i = 0; i < this->spec.routers; i++) {
        CrashTable_destroy(this->tables[i]);
        g_hash_table_destroy(this->seen[i]);
    }
    g_hash_table_destroy(this->tried);
    g_free(this->seen);
    for (guint i = 0; i < this->spec.engines; i++) {
        g_array_unref(this->engines[i].runs);
    }
    g_free(this->tables);
    g_free(this->engines);
    g_free(this->deadly);
    g_sequence_free(this->events);
    g_rand_free(this->random);
}

CrashReplayResult_t
CrashReplay_run(const CrashReplaySpec_t *spec)
{
    Play_t this = {.spec = *spec};
    begin(&this);
    while (!g_sequence_is_empty(this.events)) {
        GSequenceIter *first = g_sequence_get_begin_iter(this.events);
        Event_t event = *(Event_t *)g_sequence_get(first);
        g_sequence_remove(first);
        this.now_ms = event.at_ms;
        handle(&this, &event);
    }
    sum_up(&this);
    clear(&this);
    return this.result;
}
