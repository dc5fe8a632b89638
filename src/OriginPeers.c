#include "OriginPeers.h"

#include <string.h>

#include "Clock.h"
#include "PeerIdentity.h"

/* Prefix of the hash key, which keeps the ranks apart from those of other
 * uses. */
#define KEY_PREFIX "origin/"
#define KEY_SIZE 64

struct OriginPeers {
    OriginPeersSpec_t spec;
    OriginKeeper_t *keeper;
    struct event *timer;
    gint64 tick_at_ms; /* when the timer fires; 0 if it is not armed */
};

static guint
find_owners(void *owner, const RequestDigest_t *digest, guint64 *out,
            guint max)
{
    const OriginPeers_t *this = owner;
    g_autofree const Member_t **first = g_new(const Member_t *, max);
    char key[KEY_SIZE] = KEY_PREFIX;
    RequestDigest_write(digest, key + strlen(KEY_PREFIX));
    guint count = Membership_findFirst(this->spec.membership, key, first, max);
    for (guint i = 0; i < count; i++) {
        out[i] = first[i] ? PeerIdentity_ofMember(first[i]) : ORIGIN_SELF;
    }
    return count;
}

static void
send_message(void *owner, guint64 router, const Wt__PeerMessage *message)
{
    const OriginPeers_t *this = owner;
    struct sockaddr_in address = PeerIdentity_address(router);
    PeerDatagrams_send(this->spec.datagrams, &address, message);
}

static void
schedule_tick(void *owner, gint64 in_ms)
{
    OriginPeers_t *this = owner;
    gint64 tick_at_ms = Clock_nowMs() + MAX(in_ms, 0);
    if (this->tick_at_ms == 0 || tick_at_ms < this->tick_at_ms) {
        this->tick_at_ms = tick_at_ms;
        Clock_arm(this->timer, MAX(in_ms, 0));
    }
}

static gboolean
is_list_current(void *owner)
{
    const OriginPeers_t *this = owner;
    return UpstreamListing_isCurrent(this->spec.listing);
}

static gint64
list_ms(void *owner)
{
    const OriginPeers_t *this = owner;
    return UpstreamListing_endMs(this->spec.listing);
}

static void
check_list(void *owner)
{
    const OriginPeers_t *this = owner;
    UpstreamListing_checkEnd(this->spec.listing);
}

static gboolean
is_store_lost(void *owner)
{
    const OriginPeers_t *this = owner;
    return UpstreamListing_isLost(this->spec.listing);
}

static void
learn(void *owner, gboolean is_urgent)
{
    const OriginPeers_t *this = owner;
    SoftwareRecords_scheduleRead(this->spec.software, is_urgent);
    OriginRecords_scheduleRead(this->spec.records, is_urgent);
}

static void
record(void *owner)
{
    const OriginPeers_t *this = owner;
    OriginRecords_scheduleWrite(this->spec.records);
}

/* The address of a router that has just connected is told after its name. */
static guint
find_all(void *owner, AskedRouter_t *out, guint max)
{
    const OriginPeers_t *this = owner;
    const GPtrArray *members = Membership_members(this->spec.membership);
    guint found = 0;
    for (guint i = 0; i < members->len; i++) {
        const Member_t *member = g_ptr_array_index(members, i);
        if (member->address.port == 0) {
            continue;
        }
        if (found < max) {
            out[found].router = PeerIdentity_ofMember(member);
            out[found].start = member->incarnation;
        }
        found++;
    }
    return found;
}

static gboolean
is_settled(void *owner)
{
    const OriginPeers_t *this = owner;
    return Membership_isConverged(this->spec.membership);
}

static void
read_records(void *owner)
{
    const OriginPeers_t *this = owner;
    OriginRecords_readAgain(this->spec.records);
}

static const OriginLinksClass_t links = {
    .find_owners = find_owners,
    .send = send_message,
    .schedule_tick = schedule_tick,
    .is_list_current = is_list_current,
    .list_ms = list_ms,
    .check_list = check_list,
    .is_store_lost = is_store_lost,
    .learn = learn,
    .record = record,
    .find_all = find_all,
    .is_settled = is_settled,
    .read_records = read_records,
};

static void
on_timer(evutil_socket_t fd, short what, void *data)
{
    (void)fd;
    (void)what;
    OriginPeers_t *this = data;
    this->tick_at_ms = 0;
    OriginKeeper_tick(this->keeper);
}

static void
on_message(void *owner, const Wt__PeerMessage *message,
           const struct sockaddr_in *from)
{
    const OriginPeers_t *this = owner;
    OriginKeeper_receive(this->keeper, message, PeerIdentity_ofAddress(from));
}

OriginPeers_t *
OriginPeers_create(struct event_base *base, const OriginPeersSpec_t *spec)
{
    OriginPeers_t *this = g_new0(OriginPeers_t, 1);
    this->spec = *spec;
    this->timer = Clock_timer(base, on_timer, this);
    OriginKeeperSpec_t keeper = {
        .links = &links,
        .owner = this,
        .versions = spec->versions,
        .gate = spec->gate,
        .counters = spec->counters,
        .window_ms = spec->window_ms,
    };
    this->keeper = OriginKeeper_create(&keeper);
    OriginRecords_setKeeper(spec->records, this->keeper);
    PeerDatagrams_addHandler(spec->datagrams, on_message, this);
    return this;
}

OriginKeeper_t *
OriginPeers_keeper(const OriginPeers_t *this)
{
    return this->keeper;
}

void
OriginPeers_destroy(OriginPeers_t *this)
{
    OriginKeeper_destroy(this->keeper);
    event_free(this->timer);
    g_free(this);
}
