#include "Replay.h"

#include "Clock.h"
#include "Random.h"
#include "ReplayCaller.h"
#include "ReplayDispatcher.h"
#include "ReplayEngine.h"
#include "ReplayEvents.h"
#include "ReplayMeter.h"

#define MS_PER_S 1000
#define PERCENT 100
/* Attempts of one request. */
#define ATTEMPTS_MAX 2
/* Time after the last arrival; longer than any caller waits. */
#define DRAIN_MS 60000

typedef struct {
    ReplayEngine_t *model;
    gboolean is_stepping;
    gboolean is_silent;
    gboolean was_silent;
} Engine_t;

typedef struct {
    const ReplaySpec_t *spec;
    ReplayResult_t *result;
    GRand *random;
    ReplayEvents_t *events;
    GArray *requests;          /* ReplayRequest_t */
    GArray *engines;           /* Engine_t */
    GHashTable *prefixes_read; /* set of prefix ids */
    ReplayDispatcher_t *dispatcher;
    ReplayMeter_t *meter;
    gint64 now_us;
} Replay_t;

static ReplayRequest_t *
request_at(const Replay_t *this, guint index)
{
    return &g_array_index(this->requests, ReplayRequest_t, index);
}

static Engine_t *
engine_at(const Replay_t *this, guint index)
{
    return &g_array_index(this->engines, Engine_t, index);
}

static const ReplayKind_t *
kind_of(const Replay_t *this, const ReplayRequest_t *request)
{
    return &this->spec->kinds[request->kind];
}

static gint64
after_ms(const Replay_t *this, gint64 delay_ms)
{
    return this->now_us + delay_ms * CLOCK_US_PER_MS;
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
    ReplayEvents_add(this->events, this->now_us + step_us, EVENT_STEP, index);
}

static gboolean
holds_prefix(const Replay_t *this, const Upstream_t *upstream, guint64 prefix)
{
    guint engine = ReplayDispatcher_indexOf(this->dispatcher, upstream);
    return ReplayEngine_hasPrefix(engine_at(this, engine)->model, prefix);
}

/* Returns the time to fetch the prefix from the supply that the router names
 * to the engine; 0 if the prefix is not there. */
static gint64
compute_fetch_us(const Replay_t *this, const ReplayRequest_t *request,
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
                   holds_prefix(this, supply->source, request->prefix)
               ? fleet->move_us
               : 0;
}

/* An engine saves every prefix that it has read to the store, as the stand-in
 * does. */
static void
note_read(Replay_t *this, const ReplayRequest_t *request,
          const ReplayWork_t *work)
{
    ReplayDispatcher_noteSaved(this->dispatcher, request->engine,
                               request->prefix);
    if (work->computed &&
        !g_hash_table_add(this->prefixes_read,
                          g_memdup2(&work->prefix, sizeof(work->prefix)))) {
        this->result->reread_tokens += work->shared_tokens;
    }
}

/* Less urgent requests may not use reserved engines. */
static gboolean
may_use(const Replay_t *this, const ReplayRequest_t *request, guint engine)
{
    return kind_of(this, request)->rank == 0 ||
           !ReplayDispatcher_isReserved(this->dispatcher, engine);
}

/* Whether an engine other than @chosen has room for the request. */
static gboolean
has_room_elsewhere(const Replay_t *this, const ReplayRequest_t *request,
                   guint chosen)
{
    for (guint i = 0; i < this->engines->len; i++) {
        const Engine_t *engine = engine_at(this, i);
        if (i != chosen && !engine->is_silent && may_use(this, request, i) &&
            ReplayEngine_hasRoom(engine->model)) {
            return TRUE;
        }
    }
    return FALSE;
}

static void
send_to(Replay_t *this, guint index, const ReplayVerdict_t *verdict)
{
    ReplayRequest_t *request = request_at(this, index);
    gint64 fetch_us = compute_fetch_us(this, request, &verdict->choice);
    ReplayWork_t work = {
        .id = index,
        .rank = (guint)kind_of(this, request)->rank,
        .prefix = request->prefix,
        .shared_tokens = request->shared_tokens,
        .own_tokens = request->own_tokens,
        .out_tokens = request->out_tokens,
        .fetched = fetch_us > 0,
        .ready_us = this->now_us + fetch_us,
    };
    request->sent_us = this->now_us;
    request->expected_us = verdict->choice.cost_us;
    request->ticket = verdict->ticket;
    request->engine = verdict->engine;
    request->group = verdict->group;
    request->is_placed = TRUE;
    request->attempts++;
    request->had_choice = has_room_elsewhere(this, request, request->engine);
    ReplayEngine_send(engine_at(this, request->engine)->model,
                      g_memdup2(&work, sizeof(work)));
    start_step(this, request->engine);
}

static void
refuse(Replay_t *this, guint index, guint retry_after_ms)
{
    ReplayRequest_t *request = request_at(this, index);
    ReplayMeter_noteRefusal(this->meter, request, this->now_us);
    if (!ReplayCaller_returns(request)) {
        request->is_over = TRUE;
        ReplayMeter_noteRefused(this->meter, request);
        return;
    }
    request->retries++;
    ReplayEvents_add(this->events, after_ms(this, retry_after_ms),
                     EVENT_ARRIVAL, index);
}

static void
fail(Replay_t *this, ReplayRequest_t *request)
{
    request->is_over = TRUE;
    ReplayMeter_noteFailed(this->meter, request);
}

static void
decide(Replay_t *this, guint index)
{
    ReplayRequest_t *request = request_at(this, index);
    ReplayVerdict_t verdict = ReplayDispatcher_decide(
        this->dispatcher, request, index, this->now_us);
    if (!verdict.choice.upstream) {
        fail(this, request);
    }
    else if (verdict.admitted) {
        send_to(this, index, &verdict);
    }
    else {
        refuse(this, index, verdict.retry_after_ms);
    }
}

static void
on_arrival(Replay_t *this, guint index)
{
    const ReplayRequest_t *request = request_at(this, index);
    if (request->is_over) {
        return;
    }
    if (request->retries > 0) {
        ReplayMeter_noteReturn(this->meter, request, this->now_us);
    }
    decide(this, index);
}

static void
on_token(void *owner, const ReplayWork_t *work, gboolean first, gint64 now_us)
{
    Replay_t *this = owner;
    ReplayRequest_t *request = request_at(this, work->id);
    if (!first) {
        request->pause_us = MAX(request->pause_us, now_us - request->token_us);
        request->token_us = now_us;
        return;
    }
    request->first_us = now_us;
    request->token_us = now_us;
    ReplayMeter_noteWait(this->meter, request, now_us);
    note_read(this, request, work);
    ReplayEvents_add(this->events,
                     after_ms(this, this->spec->fleet.update_delay_ms),
                     EVENT_FIRST_TOKEN, work->id);
}

static void
on_done(void *owner, guint id, gint64 now_us)
{
    (void)now_us;
    Replay_t *this = owner;
    ReplayRequest_t *request = request_at(this, id);
    request->is_over = TRUE;
    request->is_complete = TRUE;
    ReplayMeter_noteServed(this->meter, request);
    ReplayEvents_add(this->events,
                     after_ms(this, this->spec->fleet.update_delay_ms),
                     EVENT_COMPLETE, id);
}

static const ReplayEngineHandlers_t engine_handlers = {
    .token = on_token,
    .done = on_done,
};

/* Takes a request from its engine. */
static void
abandon(Replay_t *this, guint index)
{
    ReplayRequest_t *request = request_at(this, index);
    if (request->first_us == 0) {
        ReplayMeter_noteWait(this->meter, request, this->now_us);
    }
    ReplayDispatcher_report(this->dispatcher, request, REPLAY_ABANDONED);
    ReplayEngine_cancel(engine_at(this, request->engine)->model, index);
    request->is_placed = FALSE;
}

/* Retries the requests of a silent engine on other upstreams once the silence
 * is noticed. Requests that had a first token or no attempts left fail. */
static void
retry_on_others(Replay_t *this, guint engine)
{
    for (guint i = 0; i < this->requests->len; i++) {
        ReplayRequest_t *request = request_at(this, i);
        if (!request->is_placed || request->is_over ||
            request->engine != engine) {
            continue;
        }
        abandon(this, i);
        if (request->first_us > 0 || request->attempts >= ATTEMPTS_MAX) {
            fail(this, request);
        }
        else {
            decide(this, i);
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
    ReplayRequest_t *request = request_at(this, index);
    if (request->is_over) {
        return;
    }
    if (request->is_placed) {
        abandon(this, index);
    }
    fail(this, request);
}

static void
on_silent(Replay_t *this, guint index)
{
    Engine_t *engine = engine_at(this, index);
    engine->is_silent = TRUE;
    engine->was_silent = TRUE;
}

static void
on_suspected(Replay_t *this, guint index)
{
    ReplayDispatcher_setSuspect(this->dispatcher, index, TRUE);
    retry_on_others(this, index);
}

static void
on_resumed(Replay_t *this, guint index)
{
    engine_at(this, index)->is_silent = FALSE;
    ReplayDispatcher_setSuspect(this->dispatcher, index, FALSE);
    start_step(this, index);
}

static void
on_second(Replay_t *this)
{
    for (guint i = 0; i < this->engines->len; i++) {
        const Engine_t *engine = engine_at(this, i);
        ReplayMeter_noteEngine(
            this->meter, i, ReplayDispatcher_isReserved(this->dispatcher, i),
            ReplayEngine_countReadTokens(engine->model));
    }
}

static void
handle_event(Replay_t *this, const ReplayEvent_t *event)
{
    switch (event->kind) {
    case EVENT_ARRIVAL:
        on_arrival(this, event->index);
        break;
    case EVENT_STEP:
        on_step(this, event->index);
        break;
    case EVENT_FIRST_TOKEN:
        ReplayDispatcher_report(this->dispatcher,
                                request_at(this, event->index),
                                REPLAY_FIRST_TOKEN);
        break;
    case EVENT_COMPLETE:
        ReplayDispatcher_report(this->dispatcher,
                                request_at(this, event->index), REPLAY_END);
        break;
    case EVENT_DEADLINE:
        on_deadline(this, event->index);
        break;
    case EVENT_SILENT:
        on_silent(this, event->index);
        break;
    case EVENT_SUSPECTED:
        on_suspected(this, event->index);
        break;
    case EVENT_RESUMED:
        on_resumed(this, event->index);
        break;
    case EVENT_SECOND:
        on_second(this);
        break;
    }
}

static void
schedule_silence(Replay_t *this, guint index)
{
    const ReplayFleet_t *fleet = &this->spec->fleet;
    gint64 from_us = REPLAY_START_US + fleet->silent_from_ms * CLOCK_US_PER_MS;
    gint64 until_us =
        REPLAY_START_US + fleet->silent_until_ms * CLOCK_US_PER_MS;
    if (until_us <= from_us ||
        g_rand_int_range(this->random, 0, PERCENT) >= fleet->silent_percent) {
        return;
    }
    ReplayEvents_add(this->events, from_us, EVENT_SILENT, index);
    ReplayEvents_add(this->events,
                     from_us + fleet->silence_detect_ms * CLOCK_US_PER_MS,
                     EVENT_SUSPECTED, index);
    ReplayEvents_add(this->events, until_us, EVENT_RESUMED, index);
}

static void
add_requests(Replay_t *this)
{
    this->requests = ReplayCaller_draw(this->spec, this->random);
    for (guint i = 0; i < this->requests->len; i++) {
        const ReplayRequest_t *request = request_at(this, i);
        ReplayEvents_add(this->events, request->asked_us, EVENT_ARRIVAL, i);
        ReplayEvents_add(this->events,
                         request->asked_us +
                             kind_of(this, request)->deadline_ms *
                                 CLOCK_US_PER_MS,
                         EVENT_DEADLINE, i);
    }
}

static void
add_engines(Replay_t *this)
{
    this->engines = g_array_new(FALSE, FALSE, sizeof(Engine_t));
    for (guint i = 0; i < this->spec->fleet.engines; i++) {
        Engine_t engine = {
            .model = ReplayEngine_create(&this->spec->fleet, &engine_handlers,
                                         this),
        };
        g_array_append_val(this->engines, engine);
        schedule_silence(this, i);
    }
}

static void
add_seconds(Replay_t *this)
{
    gint64 seconds = (this->spec->fleet.duration_ms + DRAIN_MS) / MS_PER_S;
    for (gint64 i = 1; i <= seconds; i++) {
        ReplayEvents_add(this->events,
                         REPLAY_START_US + i * MS_PER_S * CLOCK_US_PER_MS,
                         EVENT_SECOND, 0);
    }
}

static void
create_state(Replay_t *this, const ReplaySpec_t *spec, guint decisions,
             ReplayResult_t *result)
{
    *this = (Replay_t){.spec = spec, .result = result};
    Random_seed((guint32)spec->fleet.seed);
    Clock_freeze(REPLAY_START_US);
    this->random = g_rand_new_with_seed((guint32)spec->fleet.seed);
    this->events = ReplayEvents_create();
    this->prefixes_read =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
    this->dispatcher = ReplayDispatcher_create(spec, decisions);
    this->meter = ReplayMeter_create(spec, result);
    add_requests(this);
    add_engines(this);
    add_seconds(this);
}

static void
fill_result(const Replay_t *this)
{
    for (guint i = 0; i < this->engines->len; i++) {
        const Engine_t *engine = engine_at(this, i);
        ReplayMeter_noteRead(this->meter, i,
                             ReplayEngine_countReadTokens(engine->model),
                             engine->was_silent);
    }
    ReplayMeter_finish(this->meter, this->requests);
    this->result->decisions =
        ReplayDispatcher_countDecisions(this->dispatcher);
    this->result->decision_us = ReplayDispatcher_decisionUs(this->dispatcher);
}

static void
free_state(Replay_t *this)
{
    for (guint i = 0; i < this->engines->len; i++) {
        ReplayEngine_destroy(engine_at(this, i)->model);
    }
    ReplayDispatcher_destroy(this->dispatcher);
    ReplayMeter_destroy(this->meter);
    ReplayEvents_destroy(this->events);
    g_rand_free(this->random);
    g_array_unref(this->requests);
    g_array_unref(this->engines);
    g_hash_table_destroy(this->prefixes_read);
    Clock_freeze(0);
}

void
Replay_run(const ReplaySpec_t *spec, guint decisions, ReplayResult_t *out)
{
    Replay_t replay;
    ReplayEvent_t event;
    *out = (ReplayResult_t){0};
    create_state(&replay, spec, decisions, out);
    gint64 end_us = REPLAY_START_US + (spec->fleet.duration_ms + DRAIN_MS) *
                                          (gint64)CLOCK_US_PER_MS;
    while (ReplayEvents_pop(replay.events, &event) && event.at_us <= end_us) {
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
        value += count->in_time + REPLAY_LATE_VALUE * count->late;
        requests += count->asked;
    }
    return requests > 0 ? value / requests : 0;
}
