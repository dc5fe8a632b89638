#include "CrashEvidence.h"

#include "Clock.h"
#include "ConnectTest.h"

/* How often what is open is looked at, at first and later. A probe of an
 * upstream whose process is gone fails some 12 to 20 ms after the attempts
 * broke off; what is not known within a second the list will tell. */
#define LOOK_EVERY_MS 20
#define LOOK_LATER_MS 250
/* What has not been seen by then is not counted: the list drops an upstream
 * that has ended after three of its heartbeats, some seconds. */
#define PATIENCE_MS 15000
/* A cut attempt may be a crash for so long: a request must not be sent on
 * until it is known. Proofs of ended processes came after 78 to 184 ms. */
#define OPEN_MS 1000
/* Attempts that are kept; beyond that the oldest is not counted. */
#define LOSSES_MAX 4096

/* For a connection to come up; a process that is gone refuses it at once. */
#define CONNECT_MS 1000

struct CrashEvidence {
    struct event_base *base;
    gboolean connects;
    const CrashEvidenceEvents_t *events;
    void *owner;
    GQueue losses;       /* CrashLoss_t, the oldest at the head */
    ConnectTest_t *test; /* under way, or NULL */
    Upstream_t *tested;  /* by it; held */
    struct event *look;
};

static void
free_loss(gpointer data)
{
    CrashLoss_t *loss = data;
    g_string_free(loss->request, TRUE);
    Upstream_unref(loss->upstream);
    g_free(loss);
}

/* NULL while it is not known. */
static const char *
proof_of_end(const CrashLoss_t *loss)
{
    const Upstream_t *upstream = loss->upstream;
    gboolean was_known = loss->incarnation != 0;
    if (was_known && upstream->incarnation != loss->incarnation) {
        return "reborn";
    }
    if (upstream->replaced) {
        return "replaced";
    }
    if (upstream->removed) {
        return "not_listed";
    }
    gboolean is_unreached = upstream->suspect && upstream->unanswered > 0;
    return loss->is_cut && is_unreached ? "not_connected" : NULL;
}

static void
drop(CrashEvidence_t *this, GList *link)
{
    free_loss(link->data);
    g_queue_delete_link(&this->losses, link);
}

static void
count(CrashEvidence_t *this, GList *link, const char *proof)
{
    CrashLoss_t *loss = link->data;
    g_queue_delete_link(&this->losses, link);
    this->events->ended(this->owner, loss, proof);
    free_loss(loss);
}

static void test_next(CrashEvidence_t *this);

static void
on_tested(gboolean connected, void *data)
{
    CrashEvidence_t *this = data;
    Upstream_t *upstream = this->tested;
    this->test = NULL;
    this->tested = NULL;
    if (!connected) {
        CrashEvidence_noteUnreached(this, upstream);
    }
    Upstream_unref(upstream);
    test_next(this);
}

/* Of the cut attempts the one whose upstream was not tried for longest. */
static CrashLoss_t *
next_to_test(const CrashEvidence_t *this)
{
    CrashLoss_t *next = NULL;
    for (const GList *link = this->losses.head; link; link = link->next) {
        CrashLoss_t *loss = link->data;
        if (loss->is_cut && (!next || loss->tried_ms < next->tried_ms)) {
            next = loss;
        }
    }
    return next;
}

/* One at a time. A process that is ending may yet accept one. */
static void
test_next(CrashEvidence_t *this)
{
    CrashLoss_t *loss =
        this->connects && !this->test ? next_to_test(this) : NULL;
    gint64 now_ms = Clock_nowMs();
    if (loss && now_ms - loss->tried_ms >= LOOK_LATER_MS) {
        loss->tried_ms = now_ms;
        this->tested = Upstream_ref(loss->upstream);
        this->test = ConnectTest_start(this->base, &loss->upstream->address,
                                       CONNECT_MS, on_tested, this);
    }
}

static void
judge(CrashEvidence_t *this, GList *link, gint64 now_ms)
{
    const CrashLoss_t *loss = link->data;
    const char *proof = proof_of_end(loss);
    if (proof) {
        count(this, link, proof);
    }
    else if (now_ms - loss->at_ms > PATIENCE_MS) {
        drop(this, link);
    }
}

static void
look_again(CrashEvidence_t *this)
{
    const CrashLoss_t *newest = g_queue_peek_tail(&this->losses);
    if (newest) {
        gboolean is_new = Clock_nowMs() - newest->at_ms < OPEN_MS;
        Clock_arm(this->look, is_new ? LOOK_EVERY_MS : LOOK_LATER_MS);
    }
}

static void
on_look(evutil_socket_t fd, short what, void *data)
{
    (void)fd;
    (void)what;
    CrashEvidence_t *this = data;
    gint64 now_ms = Clock_nowMs();
    GList *next = NULL;
    for (GList *link = this->losses.head; link; link = next) {
        next = link->next;
        judge(this, link, now_ms);
    }
    test_next(this);
    look_again(this);
}

CrashEvidence_t *
CrashEvidence_create(struct event_base *base, gboolean connects,
                     const CrashEvidenceEvents_t *events, void *owner)
{
    CrashEvidence_t *this = g_new0(CrashEvidence_t, 1);
    this->base = base;
    this->connects = connects;
    this->events = events;
    this->owner = owner;
    g_queue_init(&this->losses);
    this->look = Clock_timer(base, on_look, this);
    return this;
}

void
CrashEvidence_destroy(CrashEvidence_t *this)
{
    event_free(this->look);
    if (this->test) {
        ConnectTest_cancel(this->test);
        Upstream_unref(this->tested);
    }
    g_queue_clear_full(&this->losses, free_loss);
    g_free(this);
}

void
CrashEvidence_add(CrashEvidence_t *this, const CrashLoss_t *loss)
{
    if (loss->upstream->leaving || loss->upstream->removed) {
        return;
    }
    CrashLoss_t *kept = g_memdup2(loss, sizeof(*loss));
    kept->request = g_string_new(loss->request->str);
    kept->upstream = Upstream_ref(loss->upstream);
    g_queue_push_tail(&this->losses, kept);
    if (g_queue_get_length(&this->losses) > LOSSES_MAX) {
        drop(this, this->losses.head);
    }
    Clock_arm(this->look, LOOK_EVERY_MS);
}

static gboolean
is_open_cut_of(const CrashLoss_t *loss, const RequestDigest_t *digest)
{
    return loss->is_cut && Clock_nowMs() - loss->at_ms < OPEN_MS &&
           RequestDigest_equal(&loss->digest, digest);
}

/* Whether an earlier attempt was cut at the same upstream. */
static gboolean
is_repeated(const GList *link)
{
    const CrashLoss_t *loss = link->data;
    for (const GList *at = link->prev; at; at = at->prev) {
        const CrashLoss_t *other = at->data;
        if (other->upstream == loss->upstream &&
            is_open_cut_of(other, &loss->digest)) {
            return TRUE;
        }
    }
    return FALSE;
}

guint
CrashEvidence_count(const CrashEvidence_t *this, const RequestDigest_t *digest,
                    CrashLossTest_t is_counted, const void *data)
{
    guint found = 0;
    for (const GList *link = this->losses.head; link; link = link->next) {
        gboolean is_one = is_open_cut_of(link->data, digest) &&
                          !is_repeated(link) && !is_counted(link->data, data);
        found += is_one ? 1 : 0;
    }
    return found;
}

void
CrashEvidence_forget(CrashEvidence_t *this, const RequestDigest_t *digest)
{
    GList *next = NULL;
    for (GList *link = this->losses.head; link; link = next) {
        const CrashLoss_t *loss = link->data;
        next = link->next;
        if (RequestDigest_equal(&loss->digest, digest)) {
            drop(this, link);
        }
    }
}

gboolean
CrashEvidence_isEmpty(const CrashEvidence_t *this)
{
    return g_queue_is_empty((GQueue *)&this->losses);
}

void
CrashEvidence_noteUnreached(CrashEvidence_t *this, const Upstream_t *upstream)
{
    GList *next = NULL;
    for (GList *link = this->losses.head; link; link = next) {
        const CrashLoss_t *loss = link->data;
        next = link->next;
        if (loss->upstream == upstream && loss->is_cut) {
            count(this, link, "not_connected");
        }
    }
}

void
CrashEvidence_noteLives(CrashEvidence_t *this, const Upstream_t *upstream,
                        gint64 sent_ms)
{
    GList *next = NULL;
    for (GList *link = this->losses.head; link; link = next) {
        const CrashLoss_t *loss = link->data;
        next = link->next;
        if (loss->upstream == upstream && sent_ms > loss->at_ms &&
            loss->incarnation == upstream->incarnation) {
            drop(this, link);
        }
    }
}
