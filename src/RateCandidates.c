#include "RateCandidates.h"

#include "Clock.h"
#include "Log.h"

/* A router of which a message was received within this time is alive. */
#define SEEN_RECENTLY_MS 500

/* State of a router that may keep a count. */
typedef struct {
    gint64 seen_ms;
    gint64 probed_ms; /* when an open probe was sent, 0 for none */
    gboolean silent;  /* no reply to a probe, and no message since */
} Peer_t;

struct RateCandidates {
    RateLinks_t *links;
    Counters_t *counters;
    GHashTable *peers; /* &router -> Peer_t */
    guint open_probes; /* number of peers with an open probe */
};

RateCandidates_t *
RateCandidates_create(RateLinks_t *links, Counters_t *counters)
{
    RateCandidates_t *this = g_new0(RateCandidates_t, 1);
    this->links = links;
    this->counters = counters;
    this->peers =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    return this;
}

void
RateCandidates_destroy(RateCandidates_t *this)
{
    g_hash_table_destroy(this->peers);
    g_free(this);
}

static Peer_t *
get_peer(RateCandidates_t *this, guint64 router)
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
RateCandidates_findKeeper(RateCandidates_t *this, const char *subject)
{
    guint64 routers[RATE_CANDIDATES_MAX];
    guint count = RateLinks_candidates(this->links, subject, routers);
    for (guint i = 0; i < count; i++) {
        if (routers[i] == RATE_SELF || !get_peer(this, routers[i])->silent) {
            return routers[i];
        }
    }
    return RATE_NO_ROUTER;
}

static void
send_probe(RateCandidates_t *this, guint64 router)
{
    Peer_t *peer = get_peer(this, router);
    if (peer->probed_ms > 0) {
        return;
    }
    peer->probed_ms = Clock_nowMs();
    this->open_probes++;
    RateLinks_scheduleTick(this->links, RATE_REPLY_TIMEOUT_MS);
    RateLinks_sendProbe(this->links, router,
                        RateLinks_nextTicket(this->links));
}

guint64
RateCandidates_findHigherRanked(RateCandidates_t *this, const char *subject,
                                guint64 requester)
{
    guint64 routers[RATE_CANDIDATES_MAX];
    guint count = RateLinks_candidates(this->links, subject, routers);
    gint64 now_ms = Clock_nowMs();
    for (guint i = 0; i < count && routers[i] != RATE_SELF; i++) {
        const Peer_t *peer = get_peer(this, routers[i]);
        if (routers[i] == requester) {
            continue;
        }
        if (peer->seen_ms > 0 && now_ms - peer->seen_ms < SEEN_RECENTLY_MS) {
            return routers[i];
        }
        if (!peer->silent) {
            send_probe(this, routers[i]);
        }
    }
    return RATE_SELF;
}

void
RateCandidates_probe(RateCandidates_t *this, const char *subject)
{
    guint64 routers[RATE_CANDIDATES_MAX];
    guint count = RateLinks_candidates(this->links, subject, routers);
    for (guint i = 0; i < count && routers[i] != RATE_SELF; i++) {
        send_probe(this, routers[i]);
    }
}

void
RateCandidates_noteSeen(RateCandidates_t *this, guint64 router)
{
    Peer_t *peer = g_hash_table_lookup(this->peers, &router);
    if (!peer) {
        return;
    }
    this->open_probes -= peer->probed_ms > 0 ? 1 : 0;
    *peer = (Peer_t){.seen_ms = Clock_nowMs()};
}

void
RateCandidates_clearSilent(RateCandidates_t *this, guint64 router)
{
    get_peer(this, router)->silent = FALSE;
}

static void
note_silent(const RateCandidates_t *this, guint64 router, Peer_t *peer)
{
    if (peer->silent) {
        return;
    }
    peer->silent = TRUE;
    Counters_add(this->counters, "rate_keepers_silent_total", NULL, 1);
    Log_begin(LOG_LEVEL_INFO, "limit_keeper_silent");
    Log_number("router", (gint64)router);
    Log_number("heard_ms_ago",
               peer->seen_ms > 0 ? Clock_nowMs() - peer->seen_ms : -1);
    Log_end();
}

void
RateCandidates_expireProbes(RateCandidates_t *this, gint64 now_ms)
{
    GHashTableIter iter;
    gpointer router = NULL;
    gpointer value = NULL;
    if (this->open_probes == 0) {
        return;
    }
    g_hash_table_iter_init(&iter, this->peers);
    while (g_hash_table_iter_next(&iter, &router, &value)) {
        Peer_t *peer = value;
        if (peer->probed_ms > 0 &&
            now_ms - peer->probed_ms >= RATE_REPLY_TIMEOUT_MS) {
            peer->probed_ms = 0;
            this->open_probes--;
            note_silent(this, *(guint64 *)router, peer);
        }
    }
}

gboolean
RateCandidates_isWaiting(const RateCandidates_t *this)
{
    return this->open_probes > 0;
}
