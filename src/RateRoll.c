#include "RateRoll.h"

#include "Clock.h"
#include "Log.h"

/* Who was heard of so lately lives. */
#define PROOF_MS 500

/* A router that may keep a count. */
typedef struct {
    gint64 heard_ms;
    gint64 probed_ms; /* when a sign of life was asked for, 0 for none open */
    gboolean silent;  /* it gave none, and was not heard of since */
} Peer_t;

struct RateRoll {
    RateLinks_t *links;
    Counters_t *counters;
    GHashTable *peers; /* &router -> Peer_t */
    guint probes;      /* signs of life that are waited for */
};

RateRoll_t *
RateRoll_create(RateLinks_t *links, Counters_t *counters)
{
    RateRoll_t *this = g_new0(RateRoll_t, 1);
    this->links = links;
    this->counters = counters;
    this->peers =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    return this;
}

void
RateRoll_destroy(RateRoll_t *this)
{
    g_hash_table_destroy(this->peers);
    g_free(this);
}

static Peer_t *
peer_of(RateRoll_t *this, guint64 router)
{
    Peer_t *peer = g_hash_table_lookup(this->peers, &router);
    if (!peer) {
        peer = g_new0(Peer_t, 1);
        g_hash_table_insert(this->peers, g_memdup2(&router, sizeof(router)),
                            peer);
    }
    return peer;
}

guint64
RateRoll_keeper(RateRoll_t *this, const char *subject)
{
    guint64 routers[RATE_CANDIDATES];
    guint count = RateLinks_candidates(this->links, subject, routers);
    for (guint i = 0; i < count; i++) {
        if (routers[i] == RATE_SELF || !peer_of(this, routers[i])->silent) {
            return routers[i];
        }
    }
    return RATE_NOBODY;
}

static void
probe(RateRoll_t *this, guint64 router)
{
    Peer_t *peer = peer_of(this, router);
    if (peer->probed_ms > 0) {
        return;
    }
    peer->probed_ms = Clock_nowMs();
    this->probes++;
    RateLinks_wake(this->links, RATE_WAIT_MS);
    RateLinks_probe(this->links, router, RateLinks_nextTicket(this->links));
}

guint64
RateRoll_better(RateRoll_t *this, const char *subject, guint64 asker)
{
    guint64 routers[RATE_CANDIDATES];
    guint count = RateLinks_candidates(this->links, subject, routers);
    gint64 now_ms = Clock_nowMs();
    for (guint i = 0; i < count && routers[i] != RATE_SELF; i++) {
        const Peer_t *peer = peer_of(this, routers[i]);
        if (routers[i] == asker) {
            continue;
        }
        if (peer->heard_ms > 0 && now_ms - peer->heard_ms < PROOF_MS) {
            return routers[i];
        }
        if (!peer->silent) {
            probe(this, routers[i]);
        }
    }
    return RATE_SELF;
}

void
RateRoll_call(RateRoll_t *this, const char *subject)
{
    guint64 routers[RATE_CANDIDATES];
    guint count = RateLinks_candidates(this->links, subject, routers);
    for (guint i = 0; i < count && routers[i] != RATE_SELF; i++) {
        probe(this, routers[i]);
    }
}

void
RateRoll_noteHeard(RateRoll_t *this, guint64 router)
{
    Peer_t *peer = g_hash_table_lookup(this->peers, &router);
    if (!peer) {
        return;
    }
    this->probes -= peer->probed_ms > 0 ? 1 : 0;
    *peer = (Peer_t){.heard_ms = Clock_nowMs()};
}

void
RateRoll_trust(RateRoll_t *this, guint64 router)
{
    peer_of(this, router)->silent = FALSE;
}

static void
note_silent(const RateRoll_t *this, guint64 router, Peer_t *peer)
{
    if (peer->silent) {
        return;
    }
    peer->silent = TRUE;
    Counters_add(this->counters, "rate_keepers_silent_total", NULL, 1);
    Log_begin(LOG_LEVEL_INFO, "limit_keeper_silent");
    Log_number("router", (gint64)router);
    Log_number("heard_ms_ago",
               peer->heard_ms > 0 ? Clock_nowMs() - peer->heard_ms : -1);
    Log_end();
}

void
RateRoll_expire(RateRoll_t *this, gint64 now_ms)
{
    GHashTableIter iter;
    gpointer router = NULL;
    gpointer value = NULL;
    if (this->probes == 0) {
        return;
    }
    g_hash_table_iter_init(&iter, this->peers);
    while (g_hash_table_iter_next(&iter, &router, &value)) {
        Peer_t *peer = value;
        if (peer->probed_ms > 0 && now_ms - peer->probed_ms >= RATE_WAIT_MS) {
            peer->probed_ms = 0;
            this->probes--;
            note_silent(this, *(guint64 *)router, peer);
        }
    }
}

gboolean
RateRoll_isWaiting(const RateRoll_t *this)
{
    return this->probes > 0;
}
