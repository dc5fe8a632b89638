#include "RateKeeper.h"

#include <math.h>
#include <string.h>

#include "Clock.h"
#include "RateLocalCounts.h"
#include "RateQueries.h"
#include "RateStates.h"

/* While a limit is open, a router reports its admitted units once all routers
 * together may have admitted this fraction of the depth without a report. */
#define REPORT_FRACTION 0.125

struct RateKeeper {
    RateLimits_t super;
    RateLinks_t links;
    Counters_t *counters;
    RateCandidates_t *candidates;
    RateLocalCounts_t *counts;
    RateQueries_t *queries;
    RateStates_t *states;
};

static guint
count_routers(const RateKeeper_t *this)
{
    return this->links.class->routers(this->links.owner);
}

static guint
count_sharers(const RateKeeper_t *this, const RateLimit_t *limit)
{
    return limit->exact ? this->links.class->fleet_size(this->links.owner)
                        : count_routers(this);
}

static void
count_query(const RateKeeper_t *this, const char *labels)
{
    Counters_add(this->counters, "rate_asks_total", labels, 1);
}

static RateVerdict_t
decide_locally(RateKeeper_t *this, RateState_t *state,
               const RateRequest_t *request)
{
    RateClaim_t claim = RateState_createClaim(state, request);
    RateDecision_t decision = RateLocalCounts_decide(this->counts, &claim);
    RateState_noteReply(state, decision.open, decision.left);
    state->version = request->limit.version;
    if (decision.admitted) {
        LocalShare_noteAdmitted(&state->share, request->units, Clock_nowMs());
    }
    return (RateVerdict_t){
        .admitted = decision.admitted,
        .retry_after_ms = decision.retry_after_ms,
        .by = "self",
        .left = decision.left,
    };
}

/* Decides by this router's share, when no keeper has replied. */
static RateVerdict_t
decide_from_share(const RateKeeper_t *this, RateState_t *state,
                  const RateRequest_t *request)
{
    gint64 now_ms = Clock_nowMs();
    double units = request->units;
    LocalShareInput_t input = {
        .limit = request->limit,
        .routers = count_sharers(this, &request->limit),
        .exhausted = RateState_isExhausted(state),
    };
    RateVerdict_t verdict = {.by = "share"};
    verdict.age_ms = state->reply_ms > 0 ? now_ms - state->reply_ms : 0;
    verdict.admitted = LocalShare_take(&state->share, &input, units, now_ms);
    if (verdict.admitted) {
        LocalShare_noteAdmitted(&state->share, units, now_ms);
        state->unreported += units;
    }
    else {
        verdict.retry_after_ms =
            LocalShare_noteRefused(&state->share, units, now_ms);
    }
    verdict.left = state->share.bucket.level;
    return verdict;
}

static void
finish_from_share(RateQuery_t *query)
{
    RateKeeper_t *this = query->requester;
    RateRequest_t request = RateQuery_request(query);
    RateState_t *state = RateStates_get(this->states, request.subject);
    RateVerdict_t verdict = decide_from_share(this, state, &request);
    RateQueries_finish(this->queries, query, &verdict);
}

/* The probes have shown by now which candidates are alive. */
static void
retry_query(RateQuery_t *query)
{
    RateKeeper_t *this = query->requester;
    RateRequest_t request = RateQuery_request(query);
    RateState_t *state = RateStates_get(this->states, request.subject);
    guint64 keeper =
        RateCandidates_findKeeper(this->candidates, request.subject);
    if (keeper == RATE_NO_ROUTER) {
        finish_from_share(query);
    }
    else if (keeper == RATE_SELF) {
        RateVerdict_t verdict = decide_locally(this, state, &request);
        RateQueries_finish(this->queries, query, &verdict);
    }
    else {
        RateClaim_t claim = RateState_createClaim(state, &request);
        RateQueries_awaitReply(this->queries, query, RATE_STEP_RETRIED);
        RateLinks_sendQuery(&this->links, keeper, &claim, query->ticket);
    }
}

/* A reply may be lost, so a router is skipped only if its reply to a probe is
 * missing as well. */
static void
handle_timeout(RateQuery_t *query)
{
    RateKeeper_t *this = query->requester;
    RateVerdict_t no_verdict = {0};
    if (query->cancelled) {
        RateQueries_finish(this->queries, query, &no_verdict);
    }
    else if (query->step == RATE_STEP_QUERIED) {
        count_query(this, "outcome=\"unanswered\"");
        RateCandidates_probe(this->candidates, query->subject->str);
        RateQueries_awaitReply(this->queries, query, RATE_STEP_PROBED);
    }
    else if (query->step == RATE_STEP_PROBED) {
        retry_query(query);
    }
    else {
        finish_from_share(query);
    }
}

static void
send_report(RateKeeper_t *this, RateState_t *state,
            const RateRequest_t *request)
{
    guint64 keeper =
        RateCandidates_findKeeper(this->candidates, request->subject);
    if (keeper == RATE_NO_ROUTER) {
        return;
    }
    RateRequest_t report = *request;
    report.units = 0;
    RateClaim_t claim = RateState_createClaim(state, &report);
    if (keeper == RATE_SELF) {
        RateLocalCounts_decide(this->counts, &claim);
        return;
    }
    if (state->reported_ms == 0) {
        state->reported_ms = Clock_nowMs();
    }
    RateLinks_sendQuery(&this->links, keeper, &claim,
                        RateLinks_nextTicket(&this->links));
    count_query(this, "outcome=\"told\"");
}

static void
report_if_due(RateKeeper_t *this, RateState_t *state,
              const RateRequest_t *request)
{
    double depth = TokenBucket_depth(&request->limit);
    if (fabs(state->unreported) * count_routers(this) >=
        depth * REPORT_FRACTION) {
        send_report(this, state, request);
    }
}

static RateVerdict_t
admit_without_query(RateKeeper_t *this, RateState_t *state,
                    const RateRequest_t *request, gint64 now_ms)
{
    RateVerdict_t verdict = {
        .admitted = TRUE,
        .by = "open",
        .age_ms = now_ms - state->reply_ms,
    };
    LocalShare_noteAdmitted(&state->share, request->units, now_ms);
    state->unreported += request->units;
    report_if_due(this, state, request);
    return verdict;
}

static RateQuery_t *
query_keeper(RateKeeper_t *this, RateState_t *state,
             const RateRequest_t *request, guint64 keeper)
{
    RateQuery_t *query = RateQueries_add(this->queries, this, request);
    RateClaim_t claim = RateState_createClaim(state, request);
    state->reported_ms = 0;
    RateLinks_sendQuery(&this->links, keeper, &claim, query->ticket);
    return query;
}

static RateQuery_t *
acquire(RateLimits_t *super, const RateRequest_t *request, RateVerdict_t *out,
        RateDone_t done, void *owner)
{
    RateKeeper_t *this = (RateKeeper_t *)super;
    RateState_t *state = RateStates_get(this->states, request->subject);
    gint64 now_ms = Clock_nowMs();
    guint64 keeper =
        RateCandidates_findKeeper(this->candidates, request->subject);
    if (keeper == RATE_SELF) {
        *out = decide_locally(this, state, request);
        return NULL;
    }
    if (RateState_isOpen(state, &request->limit, now_ms)) {
        *out = admit_without_query(this, state, request, now_ms);
        return NULL;
    }
    if (keeper == RATE_NO_ROUTER) {
        RateCandidates_probe(this->candidates, request->subject);
        *out = decide_from_share(this, state, request);
        return NULL;
    }
    RateQuery_t *query = query_keeper(this, state, request, keeper);
    query->done = done;
    query->owner = owner;
    return query;
}

/* Keeps the query pending: units that a late reply grants are refunded. */
static void
cancel(RateQuery_t *query)
{
    query->cancelled = TRUE;
}

static void
refund(RateLimits_t *super, const RateRequest_t *request)
{
    RateKeeper_t *this = (RateKeeper_t *)super;
    RateState_t *state = RateStates_get(this->states, request->subject);
    LocalShare_noteAdmitted(&state->share, -request->units, Clock_nowMs());
    state->unreported -= request->units;
    report_if_due(this, state, request);
}

static gboolean
is_valid_amount(double value)
{
    return isfinite(value) && value >= 0;
}

/* Checks the values of a query, as a router of another build may send any. */
static gboolean
is_valid_query(const Wt__RateAsk *query)
{
    return is_valid_amount(query->per_s) && query->per_s > 0 &&
           is_valid_amount(query->burst) && is_valid_amount(query->units) &&
           isfinite(query->spent);
}

static void
decide_query(RateKeeper_t *this, const Wt__RateAsk *query, guint64 from)
{
    if (query->routers > 0) {
        this->links.class->note_fleet_size(this->links.owner, query->routers);
    }
    guint64 higher_ranked = RateCandidates_findHigherRanked(
        this->candidates, query->subject, from);
    if (higher_ranked != RATE_SELF) {
        RateLocalCounts_remove(this->counts, query->subject);
        RateLinks_sendRedirect(&this->links, from, query, higher_ranked);
        count_query(this, "outcome=\"sent_on\"");
        return;
    }
    RateClaim_t claim = {
        .subject = query->subject,
        .limit = {query->per_s, query->burst, query->version, query->exact},
        .units = query->units,
        .spent = query->spent,
        .exhausted = query->pressed,
        .from = from,
    };
    RateDecision_t decision = RateLocalCounts_decide(this->counts, &claim);
    RateLinks_sendReply(&this->links, from, query->subject, query->ticket,
                        &decision);
}

/* A query without a subject is a probe. */
static void
receive_query(RateKeeper_t *this, const Wt__RateAsk *query, guint64 from)
{
    if (*query->subject == '\0') {
        RateLinks_sendProbeReply(&this->links, from, query->ticket);
    }
    else if (is_valid_query(query)) {
        decide_query(this, query, from);
    }
    else {
        count_query(this, "outcome=\"not_understood\"");
    }
}

static void
apply_reply(RateKeeper_t *this, const Wt__RateAnswer *reply,
            const RateQuery_t *query)
{
    RateState_t *state = RateStates_find(this->states, reply->subject);
    if (!state) {
        return;
    }
    RateState_noteReply(state, reply->open, reply->left);
    state->reported_ms = 0;
    if (query) {
        state->version = query->limit.version;
    }
}

static void
finish_query(RateKeeper_t *this, RateQuery_t *query,
             const Wt__RateAnswer *reply)
{
    RateVerdict_t verdict = {
        .admitted = reply->admitted,
        .retry_after_ms = reply->retry_after_ms,
        .by = "keeper",
        .left = reply->left,
    };
    RateState_t *state = RateStates_get(this->states, query->subject->str);
    if (query->cancelled && reply->admitted) {
        state->unreported -= query->units;
    }
    else if (reply->admitted) {
        LocalShare_noteAdmitted(&state->share, query->units, Clock_nowMs());
    }
    RateQueries_finish(this->queries, query, &verdict);
}

/* Another router has received messages of the redirect's target, so the target
 * is no longer skipped. A query follows one redirect at most. Its new claim
 * reports what was admitted since the previous one. */
static void
follow_redirect(RateKeeper_t *this, const Wt__RateAnswer *reply,
                RateQuery_t *query)
{
    RateState_t *state = RateStates_find(this->states, reply->subject);
    RateCandidates_clearSilent(this->candidates, reply->elsewhere);
    if (state) {
        state->open = FALSE;
        state->reported_ms = 0;
    }
    if (!query || query->was_redirected) {
        return;
    }
    RateRequest_t request = RateQuery_request(query);
    RateClaim_t claim = RateState_createClaim(
        RateStates_get(this->states, request.subject), &request);
    query->was_redirected = TRUE;
    RateLinks_sendQuery(&this->links, reply->elsewhere, &claim, query->ticket);
}

static void
receive_reply(RateKeeper_t *this, const Wt__RateAnswer *reply)
{
    if (*reply->subject == '\0') {
        RateLocalCounts_noteProbeReply(this->counts, reply->ticket);
        return;
    }
    RateQuery_t *query = RateQueries_find(this->queries, reply->ticket);
    if (reply->elsewhere != RATE_SELF) {
        follow_redirect(this, reply, query);
        return;
    }
    apply_reply(this, reply, query);
    if (query) {
        count_query(this, "outcome=\"answered\"");
        finish_query(this, query, reply);
    }
}

void
RateKeeper_receive(RateKeeper_t *this, const Wt__PeerMessage *message,
                   guint64 from)
{
    RateCandidates_noteSeen(this->candidates, from);
    if (message->body_case == WT__PEER_MESSAGE__BODY_RATE_ASK) {
        receive_query(this, message->rate_ask, from);
    }
    else if (message->body_case == WT__PEER_MESSAGE__BODY_RATE_ANSWER) {
        receive_reply(this, message->rate_answer);
    }
}

static void
handle_timeouts(RateKeeper_t *this, gint64 now_ms)
{
    RateQuery_t *query = RateQueries_firstOverdue(this->queries, now_ms);
    while (query) {
        handle_timeout(query);
        query = RateQueries_firstOverdue(this->queries, now_ms);
    }
}

static void
schedule_tick(const RateKeeper_t *this, gint64 now_ms)
{
    gint64 due_ms = RateLocalCounts_dueMs(this->counts);
    RateQueries_scheduleTick(this->queries, now_ms);
    if (RateCandidates_isWaiting(this->candidates)) {
        RateLinks_scheduleTick(&this->links, RATE_REPLY_TIMEOUT_MS);
    }
    if (due_ms > 0) {
        RateLinks_scheduleTick(&this->links, due_ms - now_ms);
    }
}

void
RateKeeper_tick(RateKeeper_t *this)
{
    gint64 now_ms = Clock_nowMs();
    RateLocalCounts_tick(this->counts, now_ms);
    RateCandidates_expireProbes(this->candidates, now_ms);
    handle_timeouts(this, now_ms);
    schedule_tick(this, now_ms);
}

static void
destroy(RateLimits_t *super)
{
    RateKeeper_t *this = (RateKeeper_t *)super;
    RateQueries_destroy(this->queries);
    RateStates_destroy(this->states);
    RateLocalCounts_destroy(this->counts);
    RateCandidates_destroy(this->candidates);
    g_free(this);
}

static const RateLimitsClass_t class = {
    .name = "ask",
    .acquire = acquire,
    .cancel = cancel,
    .refund = refund,
    .destroy = destroy,
};

RateKeeper_t *
RateKeeper_create(const RateLinksClass_t *links, void *owner,
                  Counters_t *counters)
{
    RateKeeper_t *this = g_new0(RateKeeper_t, 1);
    this->super.class = &class;
    this->links = (RateLinks_t){.class = links, .owner = owner};
    this->counters = counters;
    this->candidates = RateCandidates_create(&this->links, counters);
    this->counts = RateLocalCounts_create(&this->links, this->candidates);
    this->states = RateStates_create();
    this->queries = RateQueries_create(&this->links);
    return this;
}

RateLimits_t *
RateKeeper_limits(RateKeeper_t *this)
{
    return &this->super;
}
