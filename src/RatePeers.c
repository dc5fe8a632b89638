#include "RatePeers.h"

#include "Clock.h"
#include "PeerIdentity.h"
#include "Random.h"
#include "RateKeeper.h"

/* Size of a hash key. Longer names of subjects are truncated, in the same way
 * on all routers. */
#define KEY_SIZE 128

struct RatePeers {
    RatePeersSpec_t spec;
    RateKeeper_t *keeper;
    struct event *timer;
    gint64 tick_at_ms; /* when the timer fires; 0 if it is not armed */
};

static guint64
identity_of_seed(const RatePeers_t *this, guint i)
{
    const Address_t *seed = &g_array_index(this->spec.seeds, Address_t, i);
    struct sockaddr_in address = PeerDatagrams_toSockaddr(seed);
    return PeerIdentity_ofAddress(&address);
}

static guint64
local_identity(const RatePeers_t *this)
{
    struct sockaddr_in address =
        PeerDatagrams_toSockaddr(Membership_address(this->spec.membership));
    return PeerIdentity_ofAddress(&address);
}

/* Lists the seeds from an index that depends on the key, in the same order on
 * every router. */
static guint
find_seed_candidates(const RatePeers_t *this, const char *key,
                     guint64 out[RATE_CANDIDATES_MAX])
{
    guint seeds = this->spec.seeds ? this->spec.seeds->len : 0;
    guint count = MIN(seeds, RATE_CANDIDATES_MAX);
    guint64 local = local_identity(this);
    if (count == 0) {
        out[0] = RATE_SELF;
        return 1;
    }
    guint first = g_str_hash(key) % count;
    for (guint i = 0; i < count; i++) {
        guint64 seed = identity_of_seed(this, (first + i) % count);
        out[i] = seed == local ? RATE_SELF : seed;
    }
    return count;
}

static guint
find_candidates(void *owner, const char *subject,
                guint64 out[RATE_CANDIDATES_MAX])
{
    const RatePeers_t *this = owner;
    const Member_t *first[RATE_CANDIDATES_MAX];
    char key[KEY_SIZE];
    g_snprintf(key, sizeof(key), "rate/%s", subject);
    if (!Membership_isConverged(this->spec.membership)) {
        return find_seed_candidates(this, key, out);
    }
    guint count = Membership_findFirst(this->spec.membership, key, first,
                                       RATE_CANDIDATES_MAX);
    for (guint i = 0; i < count; i++) {
        out[i] = first[i] ? PeerIdentity_ofMember(first[i]) : RATE_SELF;
    }
    return count;
}

static guint
count_routers(void *owner)
{
    const RatePeers_t *this = owner;
    return Membership_countActive(this->spec.membership);
}

static gboolean
is_known(const RatePeers_t *this, guint64 identity)
{
    const GPtrArray *members = Membership_members(this->spec.membership);
    for (guint i = 0; i < members->len; i++) {
        if (PeerIdentity_ofMember(g_ptr_array_index(members, i)) == identity) {
            return TRUE;
        }
    }
    return identity == local_identity(this);
}

static FleetSizeView_t
view_of_fleet(const RatePeers_t *this)
{
    FleetSizeView_t view = {
        .known = Membership_countActive(this->spec.membership),
        .seeds = this->spec.seeds ? this->spec.seeds->len : 0,
        .is_settled = Membership_isConverged(this->spec.membership),
    };
    for (guint i = 0; i < view.seeds; i++) {
        view.seeds_known += is_known(this, identity_of_seed(this, i)) ? 1 : 0;
    }
    return view;
}

static guint
estimate_fleet_size(void *owner)
{
    const RatePeers_t *this = owner;
    FleetSizeView_t view = view_of_fleet(this);
    return FleetSize_estimate(this->spec.fleet_size, &view, Clock_nowMs());
}

static guint
remembered_size(void *owner)
{
    const RatePeers_t *this = owner;
    return FleetSize_remembered(this->spec.fleet_size, count_routers(owner),
                                Clock_nowMs());
}

static void
note_fleet_size(void *owner, guint routers)
{
    const RatePeers_t *this = owner;
    FleetSize_noteTold(this->spec.fleet_size, routers, Clock_nowMs());
}

/* Draws at even strides from a random start, so that no member is drawn twice.
 */
static void
draw_sample(void *owner, ReachSample_t *out)
{
    const RatePeers_t *this = owner;
    const GPtrArray *members = Membership_members(this->spec.membership);
    out->others = members->len;
    out->drawn = MIN(members->len, REACH_SAMPLE_MAX);
    guint start = members->len > 0 ? Random_below(members->len) : 0;
    guint stride = members->len / MAX(out->drawn, 1);
    for (guint i = 0; i < out->drawn; i++) {
        guint index = (start + i * stride) % members->len;
        out->routers[i] =
            PeerIdentity_ofMember(g_ptr_array_index(members, index));
    }
}

static void
send_message(void *owner, guint64 router, const Wt__PeerMessage *message)
{
    const RatePeers_t *this = owner;
    struct sockaddr_in address = PeerIdentity_address(router);
    PeerDatagrams_send(this->spec.datagrams, &address, message);
}

static void
schedule_tick(void *owner, gint64 in_ms)
{
    RatePeers_t *this = owner;
    gint64 tick_at_ms = Clock_nowMs() + MAX(in_ms, 0);
    if (this->tick_at_ms == 0 || tick_at_ms < this->tick_at_ms) {
        this->tick_at_ms = tick_at_ms;
        Clock_arm(this->timer, MAX(in_ms, 0));
    }
}

static const RateLinksClass_t links = {
    .candidates = find_candidates,
    .routers = count_routers,
    .fleet_size = estimate_fleet_size,
    .remembered_size = remembered_size,
    .note_fleet_size = note_fleet_size,
    .draw_sample = draw_sample,
    .send = send_message,
    .schedule_tick = schedule_tick,
};

static void
on_timer(evutil_socket_t fd, short what, void *data)
{
    (void)fd;
    (void)what;
    RatePeers_t *this = data;
    this->tick_at_ms = 0;
    RateKeeper_tick(this->keeper);
}

static void
on_message(void *owner, const Wt__PeerMessage *message,
           const struct sockaddr_in *from)
{
    const RatePeers_t *this = owner;
    RateKeeper_receive(this->keeper, message, PeerIdentity_ofAddress(from));
}

RatePeers_t *
RatePeers_create(struct event_base *base, const RatePeersSpec_t *spec)
{
    RatePeers_t *this = g_new0(RatePeers_t, 1);
    this->spec = *spec;
    this->timer = Clock_timer(base, on_timer, this);
    this->keeper = RateKeeper_create(&links, this, spec->counters);
    PeerDatagrams_addHandler(spec->datagrams, on_message, this);
    return this;
}

RateLimits_t *
RatePeers_limits(RatePeers_t *this)
{
    return RateKeeper_limits(this->keeper);
}

void
RatePeers_destroy(RatePeers_t *this)
{
    RateLimits_destroy(RateKeeper_limits(this->keeper));
    event_free(this->timer);
    g_free(this);
}
