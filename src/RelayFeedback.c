#include "RelayFeedback.h"

#include "Clock.h"
#include "EngineSpeed.h"
#include "LoadShare.h"
#include "Log.h"
#include "PrefixSupply.h"

/* An upstream that answered anything in this time is busy, not gone. */
#define PROOF_AGE_MS 1000

void
RelayFeedback_begin(RelayFeedback_t *this, const Context_t *context,
                    const char *request_id, const RelayPlacing_t *placing)
{
    guint prompt_tokens = placing->placement.prompt_tokens;
    this->context = context;
    this->upstream = placing->choice.upstream;
    this->origin = NoticeOrigin_begin(this->upstream, request_id);
    this->placement = placing->placement;
    this->saved_prefix =
        placing->save_to[0] != '\0' ? placing->saved_prefix : 0;
    this->missing_tokens =
        prompt_tokens - MIN(placing->choice.expected_cached, prompt_tokens);
    this->upstream->pending_tokens += this->missing_tokens;
    this->begun_us = 0;
    FirstToken_clear(&this->first);
    FirstToken_expect(&this->first, &placing->placement, &placing->choice);
}

void
RelayFeedback_settle(RelayFeedback_t *this)
{
    if (this->missing_tokens > 0) {
        this->upstream->pending_tokens -= this->missing_tokens;
    }
    this->missing_tokens = 0;
    FirstToken_clear(&this->first);
}

/* Parts are sent to the store once they are read, which is before the first
 * event. */
static void
note_saved(RelayFeedback_t *this)
{
    if (this->saved_prefix != 0) {
        CacheStore_noteSaved(this->context->cache_store, this->saved_prefix,
                             Clock_nowMs());
        this->saved_prefix = 0;
    }
}

static EngineSpeed_t *
speed_of(const RelayFeedback_t *this)
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

/* A router of many sees each engine seldom. */
static void
give_speed(const RelayFeedback_t *this, const EngineSpeed_t *speed)
{
    const GPtrArray *serving = UpstreamSet_serving(
        this->context->upstreams, ROLE_SERVICE, this->placement.target);
    for (guint i = 0; i < serving->len; i++) {
        Upstream_t *upstream = g_ptr_array_index(serving, i);
        upstream->prefill_us_per_token = speed->us_per_token;
    }
}

/* Where a move is part of the wait, or nobody knows whether there was one, it
 * says nothing of the engine. */
static void
note_speed(const RelayFeedback_t *this, gint64 waited_us)
{
    SupplyKind_t kind = this->first.supply.kind;
    if (kind != SUPPLY_HELD && kind != SUPPLY_COMPUTED) {
        return;
    }
    EngineSpeed_t *speed = speed_of(this);
    EngineSpeed_note(speed, waited_us - UPSTREAM_LEAST_FIRST_US,
                     this->missing_tokens);
    if (EngineSpeed_hasChanged(speed)) {
        give_speed(this, speed);
    }
}

/* All that the request asks for has been read. */
static void
note_read(const RelayFeedback_t *this)
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
    FirstToken_learn(&this->first, waited_us, Clock_nowMs());
    note_speed(this, waited_us);
    if (this->placement.level_count > 0) {
        Forecast_noteFirst(this->context->forecast, this->placement.target,
                           this->first.expected_us, waited_us);
    }
    this->begun_us = Clock_nowUs();
    RelayFeedback_settle(this);
    note_saved(this);
    note_read(this);
}

void
RelayFeedback_noteEnd(RelayFeedback_t *this)
{
    if (this->begun_us > 0) {
        Upstream_noteRun(this->upstream, Clock_nowUs() - this->begun_us);
    }
    this->begun_us = 0;
    RelayFeedback_settle(this);
}

void
RelayFeedback_noteWeights(const RelayFeedback_t *this, const RelayHead_t *head)
{
    if (head->weights) {
        Upstream_noteWeights(this->upstream, head->weights);
    }
}

/* Another instance that has the address speaks for itself. */
void
RelayFeedback_noteAnswer(const RelayFeedback_t *this, const RelayHead_t *head)
{
    if (head->is_own) {
        UpstreamNotices_take(this->context->notices, &this->origin,
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
log_doubt(const RelayFeedback_t *this, const char *reason)
{
    Log_begin(LOG_LEVEL_WARNING, "upstream_doubted");
    Log_text("upstream", this->upstream->name->str);
    Log_text("request", this->origin.request_id);
    Log_text("reason", reason);
    Log_number("proof_age_ms", Clock_nowMs() - this->upstream->proved_ms);
    Log_end();
}

static void
note_unreached(const RelayFeedback_t *this, const char *reason)
{
    if (Upstream_noteUnreached(this->upstream)) {
        log_doubt(this, reason);
    }
}

/* A connection that does not come up, or that breaks without an answer, puts
 * all further work for this upstream in doubt. */
void
RelayFeedback_noteReach(const RelayFeedback_t *this, AttemptEnd_t end)
{
    if (end == ATTEMPT_NOT_SENT || end == ATTEMPT_SILENT ||
        end == ATTEMPT_CUT) {
        note_unreached(this, Recovery_endName(end));
    }
}

gboolean
RelayFeedback_noteSilence(const RelayFeedback_t *this)
{
    if (Clock_nowMs() - this->upstream->proved_ms < PROOF_AGE_MS) {
        return FALSE;
    }
    note_unreached(this, "silent");
    return this->upstream->unanswered > 0;
}
