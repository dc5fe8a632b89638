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
    this->request_id = request_id;
    this->upstream = placing->choice.upstream;
    this->placement = placing->placement;
    this->saved_prefix =
        placing->save_to[0] != '\0' ? placing->saved_prefix : 0;
    this->missing_tokens =
        prompt_tokens - MIN(placing->choice.expected_cached, prompt_tokens);
    this->upstream->pending_tokens += this->missing_tokens;
    this->supply = placing->choice.supply;
    this->expected_us = placing->choice.cost_us;
    this->engine_us = MAX(placing->choice.cost_us - placing->choice.own_us -
                              this->supply.move_us - this->supply.wait_us,
                          0);
    if (this->supply.source) {
        Upstream_ref(this->supply.source);
    }
}

void
RelayFeedback_settle(RelayFeedback_t *this)
{
    if (this->missing_tokens > 0) {
        this->upstream->pending_tokens -= this->missing_tokens;
    }
    this->missing_tokens = 0;
    if (this->supply.source) {
        Upstream_unref(this->supply.source);
        this->supply.source = NULL;
    }
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

static Link_t *
giver_link(const RelayFeedback_t *this)
{
    if (this->supply.kind == SUPPLY_ENGINE && this->supply.source) {
        return &this->supply.source->link;
    }
    return this->supply.kind == SUPPLY_STORE
               ? CacheStore_link(this->context->cache_store)
               : NULL;
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

/* Where a move is part of the wait, or nobody knows whether there was one, it
 * says nothing of the engine. */
static void
note_speed(const RelayFeedback_t *this, gint64 waited_us)
{
    gboolean is_sure = this->supply.kind == SUPPLY_HELD ||
                       this->supply.kind == SUPPLY_COMPUTED;
    if (!is_sure) {
        return;
    }
    EngineSpeed_t *speed = speed_of(this);
    EngineSpeed_note(speed, waited_us - UPSTREAM_LEAST_FIRST_US,
                     this->missing_tokens);
    this->upstream->prefill_us_per_token = speed->us_per_token;
}

/* What a first token took beyond what was expected is laid to the engine's
 * queue and to the giver's link, each by what was expected of it: a slow link
 * must not make the engine look busy, as requests that leave it for that need
 * moves of their own. */
static void
note_wait(const RelayFeedback_t *this, gint64 waited_us)
{
    gint64 now_ms = Clock_nowMs();
    Link_t *link = giver_link(this);
    gint64 moved_us = this->supply.move_us + this->supply.wait_us;
    if (!link || moved_us <= 0) {
        Upstream_noteFirstToken(this->upstream, waited_us,
                                this->missing_tokens, now_ms);
        return;
    }
    gint64 own_us =
        Upstream_leastUs(this->upstream, this->missing_tokens) + moved_us;
    gint64 excess_us = waited_us - own_us - this->engine_us;
    gint64 link_us = excess_us * moved_us / (moved_us + this->engine_us);
    Link_noteExcess(link, link_us, now_ms);
    Upstream_noteFirstToken(this->upstream, waited_us - moved_us - link_us,
                            this->missing_tokens, now_ms);
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
    note_wait(this, waited_us);
    note_speed(this, waited_us);
    if (this->placement.level_count > 0) {
        Forecast_noteFirst(this->context->forecast, this->placement.target,
                           this->expected_us, waited_us);
    }
    RelayFeedback_settle(this);
    note_saved(this);
    note_read(this);
}

void
RelayFeedback_noteWeights(const RelayFeedback_t *this, const RelayHead_t *head)
{
    if (head->weights) {
        Upstream_noteWeights(this->upstream, head->weights);
    }
}

static void
log_refusal(const RelayFeedback_t *this, const RelayHead_t *head)
{
    Log_begin(LOG_LEVEL_INFO, "upstream_refused");
    Log_text("request", this->request_id);
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
    if (head->other_instance && !upstream->leaving) {
        Upstream_noteLeaving(upstream, upstream->incarnation);
        Membership_noteUpstream(this->context->membership,
                                upstream->name->str);
    }
    RelayFeedback_noteWeights(this, head);
    Upstream_notePause(upstream, UPSTREAM_SHED_PAUSE_MS, Clock_nowMs());
}

static void
log_doubt(const RelayFeedback_t *this, const char *reason)
{
    Log_begin(LOG_LEVEL_WARNING, "upstream_doubted");
    Log_text("upstream", this->upstream->name->str);
    Log_text("request", this->request_id);
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

void
RelayFeedback_noteOverdue(const RelayFeedback_t *this)
{
    log_doubt(this, "overdue_weights");
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
