#include "RateLocalCounts.h"

#include "Clock.h"

/* Interval of the checks for reachable routers and for a stall of this
 * process. The second check follows as soon as the probes of the first can
 * have been answered, so that a new keeper in one part of a partitioned
 * network soon admits only that part's fraction. */
#define CHECK_INTERVAL_MS 250
#define SECOND_CHECK_DELAY_MS 30
/* How long the reach is still measured after a subject was near its limit. If
 * the measurement stopped at once, the count that one part of the routers
 * keeps would refill at the whole rate in between, again and again. */
#define REACH_CHECK_DURATION_MS 2000
/* A check that is this late means that this process was stalled, while other
 * routers took over its counts. */
#define STALL_MS 1000
#define CHECKS_PER_SWEEP 64

struct RateLocalCounts {
    RateLinks_t *links;
    RateCandidates_t *candidates;
    RateCountTable_t *table;
    Reach_t *reach;
    gint64 checked_ms;    /* 0 while there are no counts */
    gint64 due_ms;        /* when the next check is due */
    gint64 near_limit_ms; /* when a subject was last near its limit */
    guint checks;
};

RateLocalCounts_t *
RateLocalCounts_create(RateLinks_t *links, RateCandidates_t *candidates)
{
    RateLocalCounts_t *this = g_new0(RateLocalCounts_t, 1);
    this->links = links;
    this->candidates = candidates;
    this->table = RateCountTable_create();
    this->reach = Reach_create();
    return this;
}

void
RateLocalCounts_destroy(RateLocalCounts_t *this)
{
    RateCountTable_destroy(this->table);
    Reach_destroy(this->reach);
    g_free(this);
}

typedef struct {
    const RateLinks_t *links;
    const char *subject;
    RateDecision_t decision;
} ClosedReply_t;

static void
notify_closed(guint64 requester, void *data)
{
    const ClosedReply_t *reply = data;
    if (requester != RATE_SELF) {
        RateLinks_sendReply(reply->links, requester, reply->subject, 0,
                            &reply->decision);
    }
}

static void
start_checks(RateLocalCounts_t *this, gint64 now_ms)
{
    if (this->checked_ms == 0) {
        this->checked_ms = now_ms;
        this->due_ms = now_ms;
        this->checks = 0;
        RateLinks_scheduleTick(this->links, 0);
    }
}

/* Parts of a partitioned network share what an exact limit admits, also where
 * their memberships hold only their own routers. */
static double
exact_reach(const RateLocalCounts_t *this)
{
    const RateLinks_t *links = this->links;
    double known = links->class->routers(links->owner);
    double size = MAX(links->class->fleet_size(links->owner), known);
    return Reach_fraction(this->reach) * known / MAX(size, 1);
}

RateDecision_t
RateLocalCounts_decide(RateLocalCounts_t *this, const RateClaim_t *claim)
{
    gint64 now_ms = Clock_nowMs();
    start_checks(this, now_ms);
    RateCountTable_setReach(this->table, Reach_fraction(this->reach),
                            exact_reach(this));
    RateDecision_t decision =
        RateCountTable_decide(this->table, claim, now_ms);
    if (decision.closed_now) {
        ClosedReply_t reply = {this->links, claim->subject, decision};
        RateCountTable_forEachRequester(this->table, claim->subject, now_ms,
                                        notify_closed, &reply);
    }
    return decision;
}

void
RateLocalCounts_remove(RateLocalCounts_t *this, const char *subject)
{
    RateCountTable_remove(this->table, subject);
}

void
RateLocalCounts_noteProbeReply(RateLocalCounts_t *this, guint64 ticket)
{
    Reach_noteAnswer(this->reach, ticket);
}

static void
send_probe(void *owner, guint64 router, guint64 ticket)
{
    RateLinks_sendProbe(owner, router, ticket);
}

static void
check_reach(RateLocalCounts_t *this, gint64 now_ms)
{
    ReachSample_t sample = {0};
    if (RateCountTable_isNearLimit(this->table, now_ms)) {
        this->near_limit_ms = now_ms;
    }
    if (now_ms - this->near_limit_ms > REACH_CHECK_DURATION_MS) {
        Reach_reset(this->reach);
        return;
    }
    this->links->class->draw_sample(this->links->owner, &sample);
    Reach_startRound(this->reach, &sample, send_probe, this->links);
}

static void
probe_candidates(const char *subject, void *data)
{
    RateCandidates_probe(data, subject);
}

static void
reset_after_stall(RateLocalCounts_t *this)
{
    RateCountTable_clear(this->table);
    Reach_reset(this->reach);
    this->checks = 0;
}

void
RateLocalCounts_tick(RateLocalCounts_t *this, gint64 now_ms)
{
    if (this->checked_ms == 0 || now_ms < this->due_ms) {
        return;
    }
    if (now_ms - this->checked_ms > STALL_MS) {
        reset_after_stall(this);
    }
    if (++this->checks % CHECKS_PER_SWEEP == 0) {
        RateCountTable_sweep(this->table, now_ms);
    }
    check_reach(this, now_ms);
    RateCountTable_forEach(this->table, probe_candidates, this->candidates);
    gboolean has_counts = RateCountTable_size(this->table) > 0;
    this->checked_ms = has_counts ? now_ms : 0;
    this->due_ms = now_ms + (this->checks == 1 ? SECOND_CHECK_DELAY_MS
                                               : CHECK_INTERVAL_MS);
}

gint64
RateLocalCounts_dueMs(const RateLocalCounts_t *this)
{
    return this->checked_ms > 0 ? this->due_ms : 0;
}
