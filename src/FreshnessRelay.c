#include "FreshnessRelay.h"

#include "Clock.h"
#include "PeerAge.h"

/* Routers that poll the store, those with the fastest links: all wait for the
 * records that they receive. With three, one may be down and another one cut
 * off. */
#define READER_COUNT 3
/* Key by which routers are ranked for the choice of the readers. */
#define RANK_KEY "freshness"
/* Interval of the ticks and minimum interval between a broadcast and one that
 * does not wait for the tick. An update that comes later than that after the
 * last broadcast is passed on at once. If it waited for the tick at each of
 * the five or six links between two of 1,000 routers, it would exceed the age
 * at which each router asks the store itself. */
#define TICK_MS 200
/* What is newer than the last broadcast by this much is told. It is less than
 * a tick, since the tick after a late one comes sooner. */
#define NEWS_MIN_MS (TICK_MS / 2)
/* A tick that is later than this shows that the event loop or the process has
 * stalled. A loop that is merely busy is late by less. */
#define STALL_MS 300
/* Time after a stall within which the messages that came during the stall
 * have been read. */
#define CATCH_UP_MS 200

/* Age up to which it is believed that a reader is receiving: some ticks, and
 * the time to pass it on. */
#define RECEIVING_AGE_MAX_MS 1000

struct FreshnessRelay {
    Membership_t *membership;
    const FreshnessRelayEvents_t *events;
    void *owner;
    struct event *tick;
    StorePosition_t end;
    gint64 at_ms;           /* when the topic ended there; 0 for never */
    gint64 broadcast_at_ms; /* at_ms of the last broadcast */
    gint64 sent_ms;         /* time of the last broadcast */
    gint64 ticked_ms;       /* time of the last tick */
    gint64 caught_up_ms;    /* until then peers' messages may be stale */
    gint64 receiving_ms;    /* when a reader was last receiving; 0 for never */
    gint64 told_receiving_ms; /* receiving_ms of the last broadcast */
};

static Wt__ConfigCurrent
make_current(const FreshnessRelay_t *this)
{
    Wt__ConfigCurrent current = WT__CONFIG_CURRENT__INIT;
    current.epoch = this->end.epoch;
    current.offset = this->end.offset;
    current.age_ms = PeerAge_of(this->at_ms);
    current.version = this->events->version(this->owner);
    if (FreshnessRelay_isReaderReceiving(this)) {
        current.receiving_age_ms = PeerAge_of(this->receiving_ms) + 1;
    }
    return current;
}

static void
broadcast_current(FreshnessRelay_t *this)
{
    Wt__ConfigCurrent current = make_current(this);
    Wt__PeerMessage message = WT__PEER_MESSAGE__INIT;
    message.body_case = WT__PEER_MESSAGE__BODY_CONFIG_CURRENT;
    message.config_current = &current;
    Membership_broadcast(this->membership, &message);
    this->broadcast_at_ms = this->at_ms;
    this->told_receiving_ms = this->receiving_ms;
    this->sent_ms = Clock_nowMs();
}

void
FreshnessRelay_syncPeer(const FreshnessRelay_t *this, Member_t *member)
{
    Wt__ConfigCurrent current = make_current(this);
    Wt__PeerMessage message = WT__PEER_MESSAGE__INIT;
    message.body_case = WT__PEER_MESSAGE__BODY_CONFIG_CURRENT;
    message.config_current = &current;
    if (current.version > 0 && this->at_ms > 0) {
        Membership_send(this->membership, member, &message);
    }
}

static gboolean
has_news(const FreshnessRelay_t *this)
{
    return this->at_ms >= this->broadcast_at_ms + NEWS_MIN_MS ||
           (this->at_ms > 0 &&
            this->receiving_ms >= this->told_receiving_ms + NEWS_MIN_MS);
}

/* In a full mesh the readers reach every router, so no other router needs to
 * pass their updates on. */
static gboolean
should_broadcast(const FreshnessRelay_t *this)
{
    return has_news(this) && (FreshnessRelay_isReader(this) ||
                              !Membership_isMesh(this->membership));
}

void
FreshnessRelay_broadcastNow(FreshnessRelay_t *this)
{
    broadcast_current(this);
}

static gboolean
has_stalled(const FreshnessRelay_t *this, gint64 now_ms)
{
    return now_ms - this->ticked_ms > TICK_MS + STALL_MS;
}

static void
note_tick(FreshnessRelay_t *this)
{
    gint64 now_ms = Clock_nowMs();
    if (has_stalled(this, now_ms)) {
        this->caught_up_ms = now_ms + CATCH_UP_MS;
    }
    this->ticked_ms = now_ms;
}

static void
on_tick(evutil_socket_t fd, short what, void *data)
{
    (void)fd;
    (void)what;
    FreshnessRelay_t *this = data;
    note_tick(this);
    if (this->events->is_receiving &&
        this->events->is_receiving(this->owner)) {
        this->receiving_ms = this->ticked_ms;
    }
    if (should_broadcast(this)) {
        broadcast_current(this);
    }
    Clock_arm(this->tick, TICK_MS);
}

FreshnessRelay_t *
FreshnessRelay_create(struct event_base *base, Membership_t *membership,
                      const FreshnessRelayEvents_t *events, void *owner)
{
    FreshnessRelay_t *this = g_new0(FreshnessRelay_t, 1);
    this->membership = membership;
    this->events = events;
    this->owner = owner;
    this->ticked_ms = Clock_nowMs();
    this->tick = Clock_timer(base, on_tick, this);
    Clock_arm(this->tick, TICK_MS);
    return this;
}

void
FreshnessRelay_destroy(FreshnessRelay_t *this)
{
    event_free(this->tick);
    g_free(this);
}

guint
FreshnessRelay_rank(const FreshnessRelay_t *this)
{
    return Membership_isConverged(this->membership)
               ? Membership_rankByLink(this->membership, RANK_KEY)
               : G_MAXUINT;
}

gboolean
FreshnessRelay_isReader(const FreshnessRelay_t *this)
{
    return FreshnessRelay_rank(this) < READER_COUNT;
}

void
FreshnessRelay_noteEnd(FreshnessRelay_t *this, StorePosition_t end,
                       gint64 at_ms)
{
    if (at_ms > this->at_ms || StorePosition_compare(end, this->end) > 0) {
        this->end = end;
        this->at_ms = MAX(at_ms, this->at_ms);
    }
}

static void
relay_update(FreshnessRelay_t *this)
{
    if (should_broadcast(this) && Clock_nowMs() - this->sent_ms >= TICK_MS) {
        broadcast_current(this);
    }
}

/* The age of a message counts from the time at which it is read. Messages
 * that wait while this router is stalled therefore seem newer than they are,
 * and a key that was revoked in the meantime would be accepted. */
gboolean
FreshnessRelay_mayBeStale(const FreshnessRelay_t *this)
{
    gint64 now_ms = Clock_nowMs();
    return has_stalled(this, now_ms) || now_ms < this->caught_up_ms;
}

gboolean
FreshnessRelay_isReaderReceiving(const FreshnessRelay_t *this)
{
    return this->receiving_ms > 0 &&
           Clock_nowMs() - this->receiving_ms <= RECEIVING_AGE_MAX_MS;
}

static void
note_receiving(FreshnessRelay_t *this, const Member_t *from,
               const Wt__ConfigCurrent *message)
{
    if (message->receiving_age_ms == 0) {
        return;
    }
    gint64 at_ms =
        PeerAge_atMs(message->receiving_age_ms - 1, Member_transitMs(from));
    if (at_ms > this->receiving_ms) {
        this->receiving_ms = at_ms;
        relay_update(this);
    }
}

void
FreshnessRelay_receive(FreshnessRelay_t *this, Member_t *from,
                       const Wt__ConfigCurrent *message)
{
    if (FreshnessRelay_mayBeStale(this)) {
        return;
    }
    note_receiving(this, from, message);
    gint64 at_ms = PeerAge_atMs(message->age_ms, Member_transitMs(from));
    StorePosition_t end = {message->epoch, message->offset};
    if (at_ms > this->at_ms &&
        this->events->fresh(this->owner, from, end, at_ms)) {
        FreshnessRelay_noteEnd(this, end, at_ms);
        relay_update(this);
    }
}
