#include "UpstreamPath.h"

#include "Log.h"
#include "Random.h"

/* Number of upstreams that are probed after a failure. If a third of all
 * upstreams is down, all of a sample are in one case of eighty. */
#define SAMPLE_MAX 4
/* An answer may have been on its way when another upstream failed. */
#define IN_FLIGHT_MS 100
/* Time in which other upstreams mostly answer anyway. */
#define DOUBT_AFTER_MS 200
/* While the path is lost, other upstreams are probed at this interval: the
 * sample may have consisted of upstreams that have ended. */
#define RESAMPLE_MS 500
/* An answer of this age is proof enough for UpstreamPath_check(). */
#define PROOF_MAX_AGE_MS 500

typedef enum {
    PATH_WORKS,
    PATH_IN_DOUBT, /* a sample is being probed */
    PATH_LOST,
} PathState_t;

struct UpstreamPath {
    const UpstreamSet_t *upstreams;
    PathState_t state;
    gint64 failed_ms; /* first failure since the last answer; 0 for none */
    gint64 answer_ms; /* last answer of any upstream; 0 for none */
    gint64 lost_ms;
    gint64 drawn_ms; /* when the sample was drawn */
    Upstream_t *sample[SAMPLE_MAX];
    guint sampled;
};

static void
clear_sample(UpstreamPath_t *this)
{
    for (guint i = 0; i < this->sampled; i++) {
        Upstream_unref(this->sample[i]);
    }
    this->sampled = 0;
}

UpstreamPath_t *
UpstreamPath_create(const UpstreamSet_t *upstreams)
{
    UpstreamPath_t *this = g_new0(UpstreamPath_t, 1);
    this->upstreams = upstreams;
    return this;
}

void
UpstreamPath_destroy(UpstreamPath_t *this)
{
    clear_sample(this);
    g_free(this);
}

void
UpstreamPath_noteFailure(UpstreamPath_t *this, gint64 now_ms)
{
    if (this->failed_ms == 0) {
        this->failed_ms = now_ms;
    }
}

void
UpstreamPath_check(UpstreamPath_t *this, gint64 now_ms)
{
    if (now_ms - this->answer_ms > PROOF_MAX_AGE_MS) {
        UpstreamPath_noteFailure(this, now_ms);
    }
}

static gboolean
is_unreachable(const Upstream_t *upstream)
{
    return upstream->removed ||
           (upstream->suspect && !upstream->suspected_by_peer);
}

static void
read_answers(UpstreamPath_t *this)
{
    const GPtrArray *all = UpstreamSet_all(this->upstreams);
    for (guint i = 0; i < all->len; i++) {
        const Upstream_t *upstream = g_ptr_array_index(all, i);
        this->answer_ms = MAX(this->answer_ms, upstream->last_answer_ms);
    }
}

static void
add_to_sample(UpstreamPath_t *this, Upstream_t *upstream)
{
    for (guint i = 0; i < this->sampled; i++) {
        if (this->sample[i] == upstream) {
            return;
        }
    }
    this->sample[this->sampled] = Upstream_ref(upstream);
    this->sampled++;
    Upstream_noteSilent(upstream);
}

static gboolean
may_probe(const Upstream_t *upstream, gint64 now_ms)
{
    return !upstream->leaving &&
           UpstreamBackoff_leftMs(&upstream->backoff, now_ms) == 0;
}

/* Starts at a random upstream, so that routers probe different ones.
 *
 * Return: number of upstreams that were left out, as they must not be probed
 */
static guint
draw_among(UpstreamPath_t *this, gboolean suspected_by_peer, gint64 now_ms)
{
    const GPtrArray *all = UpstreamSet_all(this->upstreams);
    guint first = all->len > 0 ? Random_below(all->len) : 0;
    guint left_out = 0;
    for (guint i = 0; i < all->len && this->sampled < SAMPLE_MAX; i++) {
        Upstream_t *upstream = g_ptr_array_index(all, (first + i) % all->len);
        if (is_unreachable(upstream) ||
            upstream->suspected_by_peer != suspected_by_peer) {
            continue;
        }
        if (may_probe(upstream, now_ms)) {
            add_to_sample(this, upstream);
        }
        else {
            left_out++;
        }
    }
    return left_out;
}

/* Upstreams that a peer could not reach have most likely ended, so they are
 * probed only if there are no others.
 *
 * Return: FALSE if there are upstreams, but none that may be probed
 */
static gboolean
draw_sample(UpstreamPath_t *this, gint64 now_ms)
{
    clear_sample(this);
    this->drawn_ms = now_ms;
    guint left_out = draw_among(this, FALSE, now_ms);
    if (this->sampled == 0) {
        left_out += draw_among(this, TRUE, now_ms);
    }
    return this->sampled > 0 || left_out == 0;
}

static gboolean
is_sample_unreachable(const UpstreamPath_t *this)
{
    for (guint i = 0; i < this->sampled; i++) {
        if (!is_unreachable(this->sample[i])) {
            return FALSE;
        }
    }
    return TRUE;
}

static void
log_state(const UpstreamPath_t *this, const char *event, gint64 now_ms)
{
    Log_begin(LOG_LEVEL_WARNING, event);
    Log_number("upstreams", UpstreamSet_all(this->upstreams)->len);
    Log_number("probed", this->sampled);
    Log_number("answer_age_ms", now_ms - this->answer_ms);
    Log_number("failure_age_ms", now_ms - this->failed_ms);
    Log_end();
}

static gboolean
lose(UpstreamPath_t *this, gint64 now_ms)
{
    if (!is_sample_unreachable(this)) {
        return FALSE;
    }
    this->state = PATH_LOST;
    this->lost_ms = now_ms;
    log_state(this, "upstream_path_lost", now_ms);
    return TRUE;
}

static gboolean
find(UpstreamPath_t *this, gint64 now_ms)
{
    gboolean was_lost = this->state == PATH_LOST;
    if (was_lost) {
        log_state(this, "upstream_path_found", now_ms);
    }
    clear_sample(this);
    this->state = PATH_WORKS;
    this->failed_ms = 0;
    this->lost_ms = 0;
    return was_lost;
}

gboolean
UpstreamPath_update(UpstreamPath_t *this, gint64 now_ms)
{
    read_answers(this);
    if (UpstreamSet_all(this->upstreams)->len < 2) {
        this->failed_ms = 0; /* there is no other upstream to compare with */
    }
    if (this->failed_ms == 0) {
        return FALSE;
    }
    if (this->answer_ms >= this->failed_ms + IN_FLIGHT_MS) {
        return find(this, now_ms);
    }
    if (this->state == PATH_WORKS) {
        if (now_ms - this->failed_ms < DOUBT_AFTER_MS) {
            return FALSE;
        }
        if (!draw_sample(this, now_ms)) {
            return find(this, now_ms);
        }
        this->state = PATH_IN_DOUBT;
    }
    if (this->state == PATH_LOST && now_ms - this->drawn_ms >= RESAMPLE_MS) {
        draw_sample(this, now_ms);
    }
    return this->state == PATH_IN_DOUBT && lose(this, now_ms);
}

gboolean
UpstreamPath_isInDoubt(const UpstreamPath_t *this)
{
    return this->failed_ms != 0 && this->state != PATH_LOST;
}

gboolean
UpstreamPath_isLost(const UpstreamPath_t *this)
{
    return this->state == PATH_LOST;
}

gint64
UpstreamPath_lostMs(const UpstreamPath_t *this, gint64 now_ms)
{
    return this->state == PATH_LOST ? now_ms - this->lost_ms : 0;
}

gboolean
UpstreamPath_hasWorkedSince(const UpstreamPath_t *this, gint64 failed_ms)
{
    return this->answer_ms >= failed_ms + IN_FLIGHT_MS ||
           UpstreamSet_all(this->upstreams)->len < 2;
}
