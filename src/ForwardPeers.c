#include "ForwardPeers.h"

#include <string.h>

#include "Random.h"

/* A router without a path, or without room, is not tried again for this time.
 * It bounds the requests that are forwarded in vain to a few a second for each
 * router, also if all routers are cut off. */
#define REFUSED_AVOID_MS 500
/* A router that is not reached costs the caller a timeout. */
#define UNREACHABLE_AVOID_MS 1500
/* Calls of a service whose upstreams have ended are forwarded in vain once in
 * this time. */
#define UNSERVED_MS 1000

struct ForwardPeers {
    struct event_base *base;
    const Membership_t *membership;
    guint idle_max;
    GHashTable *peers;    /* address -> ForwardPeer_t */
    GHashTable *unserved; /* service -> gint64, until when */
};

static void
free_peer(gpointer data)
{
    ForwardPeer_t *peer = data;
    Upstream_unref(peer->upstream);
    g_free(peer);
}

ForwardPeers_t *
ForwardPeers_create(struct event_base *base, const Membership_t *membership,
                    guint idle_max)
{
    ForwardPeers_t *this = g_new0(ForwardPeers_t, 1);
    this->base = base;
    this->membership = membership;
    this->idle_max = idle_max;
    this->peers =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_peer);
    this->unserved =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return this;
}

void
ForwardPeers_destroy(ForwardPeers_t *this)
{
    g_hash_table_destroy(this->peers);
    g_hash_table_destroy(this->unserved);
    g_free(this);
}

static ForwardPeer_t *
create_peer(const ForwardPeers_t *this, const Member_t *member)
{
    UpstreamSpec_t spec = {
        .address = member->callers,
        .hall = member->hall,
        .region = member->hall,
        .serves = g_ptr_array_new(),
        .slots = G_MAXINT32,
    };
    ForwardPeer_t *peer = g_new0(ForwardPeer_t, 1);
    peer->upstream =
        Upstream_create(this->base, member->name->str, &spec, this->idle_max);
    g_ptr_array_unref(spec.serves);
    return peer;
}

static ForwardPeer_t *
find_or_create(const ForwardPeers_t *this, const Member_t *member)
{
    g_autofree char *key =
        g_strdup_printf("%s %s:%u", member->name->str, member->callers.host,
                        member->callers.port);
    ForwardPeer_t *peer = g_hash_table_lookup(this->peers, key);
    if (!peer) {
        peer = create_peer(this, member);
        g_hash_table_insert(this->peers, g_steal_pointer(&key), peer);
    }
    return peer;
}

static gboolean
is_able(const Member_t *member)
{
    return member->link && !member->leaving && member->callers.port != 0;
}

/* The local hall comes first among equals, as bytes between halls cost more.
 * The order of the rest begins at a random router. */
static gboolean
is_better(const ForwardPeers_t *this, const ForwardPeer_t *peer,
          const ForwardPeer_t *best)
{
    const char *hall = Membership_hall(this->membership);
    if (!best || peer->open != best->open) {
        return !best || peer->open < best->open;
    }
    return strcmp(peer->upstream->hall->str, hall) == 0 &&
           strcmp(best->upstream->hall->str, hall) != 0;
}

static gboolean
was_tried(const GPtrArray *tried, const ForwardPeer_t *peer)
{
    return tried && g_ptr_array_find((GPtrArray *)tried, peer, NULL);
}

ForwardPeer_t *
ForwardPeers_choose(ForwardPeers_t *this, const GPtrArray *tried,
                    gint64 now_ms)
{
    const GPtrArray *members = Membership_members(this->membership);
    guint first = members->len > 0 ? Random_below(members->len) : 0;
    ForwardPeer_t *best = NULL;
    for (guint i = 0; i < members->len; i++) {
        const Member_t *member =
            g_ptr_array_index(members, (first + i) % members->len);
        if (!is_able(member)) {
            continue;
        }
        ForwardPeer_t *peer = find_or_create(this, member);
        if (now_ms >= peer->avoid_until_ms && !was_tried(tried, peer) &&
            is_better(this, peer, best)) {
            best = peer;
        }
    }
    return best;
}

static gboolean
is_over(gpointer service, gpointer until_ms, gpointer now_ms)
{
    (void)service;
    return *(const gint64 *)until_ms <= *(const gint64 *)now_ms;
}

void
ForwardPeers_noteUnserved(ForwardPeers_t *this, const char *service,
                          gint64 now_ms)
{
    gint64 *until_ms = g_new(gint64, 1);
    *until_ms = now_ms + UNSERVED_MS;
    g_hash_table_foreach_remove(this->unserved, is_over, &now_ms);
    g_hash_table_replace(this->unserved, g_strdup(service), until_ms);
}

gboolean
ForwardPeers_isUnserved(const ForwardPeers_t *this, const char *service,
                        gint64 now_ms)
{
    const gint64 *until_ms = g_hash_table_lookup(this->unserved, service);
    return until_ms && now_ms < *until_ms;
}

static void
avoid(ForwardPeer_t *peer, gint64 until_ms)
{
    peer->avoid_until_ms = MAX(peer->avoid_until_ms, until_ms);
}

void
ForwardPeers_noteRefusal(ForwardPeer_t *peer, gint64 now_ms)
{
    avoid(peer, now_ms + REFUSED_AVOID_MS);
}

void
ForwardPeers_noteUnreachable(ForwardPeer_t *peer, gint64 now_ms)
{
    avoid(peer, now_ms + UNREACHABLE_AVOID_MS);
}
