#include "RelayFeedback.h"

#include "Clock.h"
#include "EngineSpeed.h"
#include "LoadShare.h"
#include "Log.h"
#include "PrefixSupply.h"

/* An upstream that answered any request within this time is busy rather than
 * unreachable. */
#define LIVENESS_MAX_AGE_MS 1000

/* A prompt that another router has placed counts there. */
static void
add_to_backlog(RelayFeedback_t *this, const Choice_t *choice)
{
    this->is_in_backlog = choice->side > 0;
    if (this->is_in_backlog) {
        EngineBacklog_add(&this->upstream->backlog, choice->own_us,
                          Clock_nowUs());
    }
}

static void
remove_from_backlog(RelayFeedback_t *this)
{
    if (this->is_in_backlog) {
        EngineBacklog_remove(&this->upstream->backlog, Clock_nowUs());
    }
    this->is_in_backlog = FALSE;
}

void
RelayFeedback_begin(RelayFeedback_t *this, const Context_t *context,
                    const char *request_id,
                    const RelayDestination_t *destination)
{
    guint prompt_tokens = destination->placement.prompt_tokens;
    this->context = context;
    this->route = destination->route;
    this->upstream = destination->choice.upstream;
    this->origin = NoticeOrigin_begin(this->upstream, request_id);
    this->placement = destination->placement;
    this->saved_prefix =
        destination->save_to[0] != '\0' ? destination->saved_prefix : 0;
    this->missing_tokens =
        prompt_tokens -
        MIN(destination->choice.expected_cached, prompt_tokens);
    this->upstream->pending_tokens += this->missing_tokens;
    this->is_partitioned = destination->choice.reserved > 0;
    add_to_backlog(this, &destination->choice);
    this->first_event_us = 0;
    FirstTokenEstimate_clear(&this->first_token);
    FirstTokenEstimate_expect(&this->first_token, &destination->placement,
                              &destination->choice);
}

void
RelayFeedback_clearPending(RelayFeedback_t *this)
{
    if (this->missing_tokens > 0) {
        this->upstream->pending_tokens -= this->missing_tokens;
    }
    this->missing_tokens = 0;
    remove_from_backlog(this);
    FirstTokenEstimate_clear(&this->first_token);
}

/* An engine saves a prefix once it has computed it, which is before the first
 * event. */
static void
note_prefix_saved(RelayFeedback_t *this)
{
    if (this->saved_prefix != 0) {
        CacheStore_noteSaved(this->context->cache_store, this->saved_prefix,
                             Clock_nowMs());
        this->saved_prefix = 0;
    }
}

static EngineSpeed_t *
find_speed(const RelayFeedback_t *this)
{
    GHashTable *speeds = this->context->speeds;
    EngineSpeed_t *speed = g_hash_table_lookup(speeds, this->placement.target);
    if (!speed) {
        speed = g_new(EngineSpeed_t, 1);
        EngineSpeed_init(speed, this->upstream->prefill_us_per_token);
        g_hash_table_insert(speeds, g_strdup(this->placement.target), speed);
    }
    return speed;
}

/* Applies the learned speed to all engines of the service: in a large fleet,
 * one router has few requests at each engine to learn from. */
static void
apply_speed(const RelayFeedback_t *this, const EngineSpeed_t *speed)
{
    const GPtrArray *serving = UpstreamSet_findServing(
        this->context->upstreams, ROLE_SERVICE, this->placement.target);
    for (guint i = 0; i < serving->len; i++) {
        Upstream_t *upstream = g_ptr_array_index(serving, i);
        upstream->prefill_us_per_token = speed->us_per_token;
    }
}

/* The wait shows the engine's speed only if the prefix was held or computed
 * there; otherwise it includes, or may include, a transfer of the prefix. The
 * dispatcher of a partitioned group tells the speed. */
static void
note_speed(const RelayFeedback_t *this, gint64 waited_us)
{
    SupplyKind_t kind = this->first_token.supply.kind;
    if ((kind != SUPPLY_HELD && kind != SUPPLY_COMPUTED) ||
        this->is_partitioned) {
        return;
    }
    EngineSpeed_t *speed = find_speed(this);
    EngineSpeed_note(speed, waited_us - UPSTREAM_MIN_FIRST_TOKEN_US,
                     this->missing_tokens);
    if (EngineSpeed_consumeChange(speed)) {
        apply_speed(this, speed);
    }
}

/* The first event shows that the engine has computed the whole prompt. */
static void
note_prompt_computed(const RelayFeedback_t *this)
{
    const Placement_t *placement = &this->placement;
    guint shared = Placement_sharedLevel(placement);
    Policy_learn(this->context->policy, placement, this->upstream, 0,
                 placement->prompt_tokens);
    if (placement->level_count > 1 && this->context->load_share &&
        placement->level_tokens[shared] >= PREFIX_SUPPLY_TOKENS_MIN) {
        LoadShare_noteRead(this->context->load_share,
                           placement->levels[shared], this->upstream);
    }
}

void
RelayFeedback_noteFirstEvent(RelayFeedback_t *this, gint64 waited_us)
{
    FirstTokenEstimate_learn(&this->first_token, waited_us, Clock_nowMs());
    note_speed(this, waited_us);
    if (this->placement.level_count > 0) {
        EstimateError_noteFirst(this->context->estimate_error,
                                RelayPlacer_spreadKey(this->context,
                                                      &this->placement,
                                                      this->route),
                                this->first_token.expected_us, waited_us);
    }
    this->first_event_us = Clock_nowUs();
    RelayFeedback_clearPending(this);
    note_prefix_saved(this);
    note_prompt_computed(this);
}

void
RelayFeedback_noteEnd(RelayFeedback_t *this)
{
    if (this->first_event_us > 0) {
        Upstream_noteRunTime(this->upstream,
                             Clock_nowUs() - this->first_event_us);
    }
    this->first_event_us = 0;
    RelayFeedback_clearPending(this);
}

void
RelayFeedback_noteWeights(const RelayFeedback_t *this, const RelayHead_t *head)
{
    if (head->weights) {
        Upstream_noteWeights(this->upstream, head->weights);
    }
}

static void
count_unproven(const RelayFeedback_t *this, const RelayHead_t *head)
{
    g_autofree char *labels = g_strdup_printf("status=\"%d\"", head->status);
    Counters_add(this->context->counters, "unproven_refusals_total", labels,
                 1);
}

/* If another instance has taken over the address, its notices do not apply to
 * this upstream. */
void
RelayFeedback_noteAnswer(const RelayFeedback_t *this, const RelayHead_t *head)
{
    if (head->is_unproven) {
        count_unproven(this, head);
    }
    if (head->is_from_upstream) {
        UpstreamNotices_apply(this->context->notices, &this->origin,
                              &head->notice);
    }
}

static void
log_refusal(const RelayFeedback_t *this, const RelayHead_t *head)
{
    Log_begin(LOG_LEVEL_INFO, "upstream_refused");
    Log_text("request", this->origin.request_id);
    Log_text("upstream", this->upstream->name->str);
    Log_number("status", head->status);
    Log_number("other_instance", head->other_instance);
    Log_text("weights", head->weights ? head->weights : "unknown");
    Log_end();
}

void
RelayFeedback_noteRefusal(const RelayFeedback_t *this, const RelayHead_t *head)
{
    Upstream_t *upstream = this->upstream;
    log_refusal(this, head);
    upstream->replaced = upstream->replaced || head->other_instance;
    if (head->other_instance) {
        UpstreamNotices_noteLeaving(this->context->notices, &this->origin,
                                    "replaced");
    }
    RelayFeedback_noteWeights(this, head);
    Upstream_notePause(upstream, UPSTREAM_SHED_PAUSE_MS, Clock_nowMs());
}

static void
log_suspicion(const RelayFeedback_t *this, const char *reason)
{
    Log_begin(LOG_LEVEL_WARNING, "upstream_doubted");
    Log_text("upstream", this->upstream->name->str);
    Log_text("request", this->origin.request_id);
    Log_text("reason", reason);
    Log_number("proof_age_ms", Clock_nowMs() - this->upstream->last_answer_ms);
    Log_end();
}

/* The path is in doubt from now on, not only from the first probe on. */
static void
note_unreachable(const RelayFeedback_t *this, const char *reason)
{
    if (Upstream_noteUnreachable(this->upstream)) {
        UpstreamPath_noteFailure(this->context->path, Clock_nowMs());
        log_suspicion(this, reason);
    }
}

/* A busy upstream is silent as well, and taking it out of use would add its
 * work to that of the others. */
static void
note_silent(const RelayFeedback_t *this)
{
    if (this->context->settings->relay.probe_silent) {
        Upstream_noteSilent(this->upstream);
    }
    else {
        note_unreachable(this, Recovery_endName(ATTEMPT_SILENT));
    }
}

/* A failed connection, or one that breaks before the answer is complete, makes
 * the upstream suspected, so that it gets no further work for now. One that
 * the upstream may have closed before the request came only has it probed. */
void
RelayFeedback_noteReachability(const RelayFeedback_t *this, AttemptEnd_t end)
{
    if (end == ATTEMPT_NOT_SENT || end == ATTEMPT_CUT) {
        note_unreachable(this, Recovery_endName(end));
    }
    else if (end == ATTEMPT_STALE) {
        Upstream_noteSilent(this->upstream);
    }
    else if (end == ATTEMPT_SILENT) {
        note_silent(this);
    }
}

gboolean
RelayFeedback_noteSilence(const RelayFeedback_t *this)
{
    if (Clock_nowMs() - this->upstream->last_answer_ms < LIVENESS_MAX_AGE_MS) {
        return FALSE;
    }
    note_silent(this);
    return this->upstream->unanswered > 0;
}

void
RelayFeedback_askRuns(const RelayFeedback_t *this)
{
    if (this->context->settings->relay.probe_silent &&
        EngineRuns_mayAsk(this->upstream->runs, Clock_nowMs())) {
        Upstream_noteSilent(this->upstream);
    }
}
