#include "CrashEvidence.h"

#include "Clock.h"
#include "ConnectTest.h"

/* Interval of checks while the newest lost attempt is younger than PENDING_MS.
 * A probe of an upstream whose process has ended fails 12 to 20 ms after the
 * attempts were lost. */
#define CHECK_INTERVAL_MS 20
/* Interval of later checks; what no probe has shown within PENDING_MS shows in
 * the list of upstreams. */
#define SLOW_CHECK_INTERVAL_MS 250
/* Lost attempts without evidence are dropped after this time: the list drops
 * an upstream that has ended after three of its heartbeats, some seconds. */
#define EVIDENCE_TIMEOUT_MS 15000
/* How long an attempt with a lost connection counts as a possible crash. The
 * request must not be sent on until the evidence is in, and proofs of ended
 * processes arrive after 78 to 184 ms. */
#define PENDING_MS 1000
/* Beyond this limit the oldest lost attempt is dropped. */
#define LOST_ATTEMPTS_MAX 4096

/* Of a test connection; the host of an ended process refuses it at once. */
#define CONNECT_TIMEOUT_MS 1000

struct CrashEvidence {
    struct event_base *base;
    gboolean tests_upstreams;
    UpstreamPath_t *path; /* NULL if it is not known */
    const CrashEvidenceEvents_t *events;
    void *owner;
    GQueue attempts;             /* LostAttempt_t, oldest first */
    ConnectTest_t *connect_test; /* in progress, or NULL */
    Upstream_t *test_upstream;   /* of connect_test; owned reference */
    struct event *check_timer;
};

static void
free_attempt(gpointer data)
{
    LostAttempt_t *attempt = data;
    g_string_free(attempt->request, TRUE);
    g_array_unref(attempt->parts);
    Upstream_unref(attempt->upstream);
    g_free(attempt);
}

/* A router that can't connect to an upstream may have lost its own links.
 * While it has, answers on connections that live on may pass for a path. */
static gboolean
is_refusal_proof(const CrashEvidence_t *this, const LostAttempt_t *attempt)
{
    return attempt->connection_lost && !attempt->path_was_lost &&
           (!this->path ||
            (!UpstreamPath_isLost(this->path) &&
             UpstreamPath_hasWorkedSince(this->path, attempt->at_ms)));
}

/* Returns the name of the proof for the log; NULL without proof. */
static const char *
find_proof(const CrashEvidence_t *this, const LostAttempt_t *attempt)
{
    const Upstream_t *upstream = attempt->upstream;
    gboolean was_known = attempt->incarnation != 0;
    if (was_known && upstream->incarnation != attempt->incarnation) {
        return "reborn";
    }
    if (upstream->replaced) {
        return "replaced";
    }
    if (upstream->removed) {
        return "not_listed";
    }
    gboolean is_unreached = upstream->suspect && upstream->unanswered > 0;
    return is_unreached && is_refusal_proof(this, attempt) ? "not_connected"
                                                           : NULL;
}

static void
drop_attempt(CrashEvidence_t *this, GList *link)
{
    free_attempt(link->data);
    g_queue_delete_link(&this->attempts, link);
}

static void
report_crash(CrashEvidence_t *this, GList *link, const char *proof)
{
    LostAttempt_t *attempt = link->data;
    g_queue_delete_link(&this->attempts, link);
    this->events->ended(this->owner, attempt, proof);
    free_attempt(attempt);
}

static void test_next_connection(CrashEvidence_t *this);

static void
on_connect_tested(gboolean connected, void *data)
{
    CrashEvidence_t *this = data;
    Upstream_t *upstream = this->test_upstream;
    this->connect_test = NULL;
    this->test_upstream = NULL;
    if (!connected) {
        CrashEvidence_noteConnectFailed(this, upstream);
    }
    Upstream_unref(upstream);
    test_next_connection(this);
}

/* Returns the attempt with a lost connection whose last test is the longest
 * ago. */
static LostAttempt_t *
find_next_to_test(const CrashEvidence_t *this)
{
    LostAttempt_t *next = NULL;
    for (const GList *link = this->attempts.head; link; link = link->next) {
        LostAttempt_t *attempt = link->data;
        if (attempt->connection_lost &&
            (!next || attempt->last_test_ms < next->last_test_ms)) {
            next = attempt;
        }
    }
    return next;
}

/* Runs one test at a time. An upstream is tested repeatedly, as a process that
 * is ending may still accept a connection. */
static void
test_next_connection(CrashEvidence_t *this)
{
    LostAttempt_t *attempt = this->tests_upstreams && !this->connect_test
                                 ? find_next_to_test(this)
                                 : NULL;
    gint64 now_ms = Clock_nowMs();
    if (attempt && now_ms - attempt->last_test_ms >= SLOW_CHECK_INTERVAL_MS) {
        attempt->last_test_ms = now_ms;
        this->test_upstream = Upstream_ref(attempt->upstream);
        this->connect_test =
            ConnectTest_start(this->base, &attempt->upstream->address,
                              CONNECT_TIMEOUT_MS, on_connect_tested, this);
    }
}

/* Without other traffic nothing shows whether this router has a path, which
 * the proof depends on. */
static void
check_attempt(CrashEvidence_t *this, GList *link, gint64 now_ms)
{
    LostAttempt_t *attempt = link->data;
    const char *proof = find_proof(this, attempt);
    if (this->path && UpstreamPath_isLost(this->path)) {
        attempt->path_was_lost = TRUE;
    }
    if (this->path &&
        !UpstreamPath_hasWorkedSince(this->path, attempt->at_ms)) {
        UpstreamPath_check(this->path, now_ms);
    }
    if (proof) {
        report_crash(this, link, proof);
    }
    else if (now_ms - attempt->at_ms > EVIDENCE_TIMEOUT_MS) {
        drop_attempt(this, link);
    }
}

static void
schedule_check(CrashEvidence_t *this)
{
    const LostAttempt_t *newest = g_queue_peek_tail(&this->attempts);
    if (newest) {
        gboolean is_new = Clock_nowMs() - newest->at_ms < PENDING_MS;
        Clock_arm(this->check_timer,
                  is_new ? CHECK_INTERVAL_MS : SLOW_CHECK_INTERVAL_MS);
    }
}

static void
on_check(evutil_socket_t fd, short what, void *data)
{
    (void)fd;
    (void)what;
    CrashEvidence_t *this = data;
    gint64 now_ms = Clock_nowMs();
    GList *next = NULL;
    for (GList *link = this->attempts.head; link; link = next) {
        next = link->next;
        check_attempt(this, link, now_ms);
    }
    test_next_connection(this);
    schedule_check(this);
}

CrashEvidence_t *
CrashEvidence_create(struct event_base *base, gboolean tests_upstreams,
                     const CrashEvidenceEvents_t *events, void *owner)
{
    CrashEvidence_t *this = g_new0(CrashEvidence_t, 1);
    this->base = base;
    this->tests_upstreams = tests_upstreams;
    this->events = events;
    this->owner = owner;
    g_queue_init(&this->attempts);
    this->check_timer = Clock_timer(base, on_check, this);
    return this;
}

void
CrashEvidence_setPath(CrashEvidence_t *this, UpstreamPath_t *path)
{
    this->path = path;
}

void
CrashEvidence_destroy(CrashEvidence_t *this)
{
    event_free(this->check_timer);
    if (this->connect_test) {
        ConnectTest_cancel(this->connect_test);
        Upstream_unref(this->test_upstream);
    }
    g_queue_clear_full(&this->attempts, free_attempt);
    g_free(this);
}

void
CrashEvidence_add(CrashEvidence_t *this, const LostAttempt_t *attempt)
{
    if (attempt->upstream->leaving || attempt->upstream->removed) {
        return;
    }
    LostAttempt_t *copy = g_memdup2(attempt, sizeof(*attempt));
    copy->request = g_string_new(attempt->request->str);
    copy->parts = g_array_ref(attempt->parts);
    copy->upstream = Upstream_ref(attempt->upstream);
    g_queue_push_tail(&this->attempts, copy);
    if (g_queue_get_length(&this->attempts) > LOST_ATTEMPTS_MAX) {
        drop_attempt(this, this->attempts.head);
    }
    Clock_arm(this->check_timer, CHECK_INTERVAL_MS);
}

static gboolean
is_pending(const LostAttempt_t *attempt, LostAttemptFilter_t matches,
           const void *data)
{
    return attempt->connection_lost &&
           Clock_nowMs() - attempt->at_ms < PENDING_MS &&
           matches(attempt, data);
}

/* Whether an earlier matching attempt lost its connection to the same
 * upstream. */
static gboolean
has_earlier_loss(const GList *link, LostAttemptFilter_t matches,
                 const void *data)
{
    const LostAttempt_t *attempt = link->data;
    for (const GList *at = link->prev; at; at = at->prev) {
        const LostAttempt_t *other = at->data;
        if (other->upstream == attempt->upstream &&
            is_pending(other, matches, data)) {
            return TRUE;
        }
    }
    return FALSE;
}

guint
CrashEvidence_countPending(const CrashEvidence_t *this,
                           LostAttemptFilter_t matches, const void *data)
{
    guint pending = 0;
    for (const GList *link = this->attempts.head; link; link = link->next) {
        gboolean is_new = is_pending(link->data, matches, data) &&
                          !has_earlier_loss(link, matches, data);
        pending += is_new ? 1 : 0;
    }
    return pending;
}

void
CrashEvidence_removeRequest(CrashEvidence_t *this,
                            const RequestDigest_t *digest)
{
    GList *next = NULL;
    for (GList *link = this->attempts.head; link; link = next) {
        const LostAttempt_t *attempt = link->data;
        next = link->next;
        if (RequestDigest_equal(&attempt->digest, digest)) {
            drop_attempt(this, link);
        }
    }
}

gboolean
CrashEvidence_isEmpty(const CrashEvidence_t *this)
{
    return g_queue_is_empty((GQueue *)&this->attempts);
}

void
CrashEvidence_noteConnectFailed(CrashEvidence_t *this,
                                const Upstream_t *upstream)
{
    GList *next = NULL;
    for (GList *link = this->attempts.head; link; link = next) {
        const LostAttempt_t *attempt = link->data;
        next = link->next;
        if (attempt->upstream == upstream && is_refusal_proof(this, attempt)) {
            report_crash(this, link, "not_connected");
        }
    }
}

void
CrashEvidence_noteAlive(CrashEvidence_t *this, const Upstream_t *upstream,
                        gint64 sent_ms)
{
    GList *next = NULL;
    for (GList *link = this->attempts.head; link; link = next) {
        const LostAttempt_t *attempt = link->data;
        next = link->next;
        if (attempt->upstream == upstream && sent_ms > attempt->at_ms &&
            attempt->incarnation == upstream->incarnation) {
            drop_attempt(this, link);
        }
    }
}
