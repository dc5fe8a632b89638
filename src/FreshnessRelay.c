#include "FreshnessRelay.h"

#include "Clock.h"
#include "PeerAge.h"

/* Routers that ask often: one may be gone and one cut off. */
#define READERS 3
/* Name under which routers are ranked for it. */
#define RANK_KEY "freshness"
/* News is passed on as it comes, but not more often than this: to wait at each
 * of the five or six links that lie between two of 1,000 routers would make it
 * older than what each waits for before it asks the store. */
#define TICK_MS 200
/* A loop that turns so much later than it should has stood still, or its
 * process has; a busy one is late by less. */
#define STANDSTILL_MS 300
/* What came in the meantime has been read so long after it went on. */
#define CATCH_UP_MS 200

struct FreshnessRelay {
    Membership_t *membership;
    const FreshnessRelayEvents_t *events;
    void *owner;
    struct event *tick;
    StorePosition_t end;
    gint64 at_ms;        /* 0 for never */
    gint64 told_ms;      /* the time that was told last */
    gint64 sent_ms;      /* when that was */
    gint64 turned_ms;    /* when the last tick was */
    gint64 caught_up_ms; /* peers' news before may be older than they say */
};

static Wt__ConfigCurrent
make_current(const FreshnessRelay_t *this)
{
    Wt__ConfigCurrent current = WT__CONFIG_CURRENT__INIT;
    current.epoch = this->end.epoch;
    current.offset = this->end.offset;
    current.age_ms = PeerAge_of(this->at_ms);
    current.version = this->events->version(this->owner);
    return current;
}

static void
send_to_linked(FreshnessRelay_t *this)
{
    Wt__ConfigCurrent current = make_current(this);
    Wt__PeerMessage message = WT__PEER_MESSAGE__INIT;
    message.body_case = WT__PEER_MESSAGE__BODY_CONFIG_CURRENT;
    message.config_current = &current;
    Membership_broadcast(this->membership, &message);
    this->told_ms = this->at_ms;
    this->sent_ms = Clock_nowMs();
}

void
FreshnessRelay_introduce(const FreshnessRelay_t *this, Member_t *member)
{
    Wt__ConfigCurrent current = make_current(this);
    Wt__PeerMessage message = WT__PEER_MESSAGE__INIT;
    message.body_case = WT__PEER_MESSAGE__BODY_CONFIG_CURRENT;
    message.config_current = &current;
    if (current.version > 0 && this->at_ms > 0) {
        Membership_send(this->membership, member, &message);
    }
}

/* Where all are linked with all, the readers' own word is enough. */
static gboolean
is_to_tell(const FreshnessRelay_t *this)
{
    if (this->at_ms < this->told_ms + TICK_MS) {
        return FALSE;
    }
    return FreshnessRelay_isReader(this) ||
           !Membership_isMesh(this->membership);
}

void
FreshnessRelay_tellNow(FreshnessRelay_t *this)
{
    send_to_linked(this);
}

static gboolean
stood_still(const FreshnessRelay_t *this, gint64 now_ms)
{
    return now_ms - this->turned_ms > TICK_MS + STANDSTILL_MS;
}

static void
note_turn(FreshnessRelay_t *this)
{
    gint64 now_ms = Clock_nowMs();
    if (stood_still(this, now_ms)) {
        this->caught_up_ms = now_ms + CATCH_UP_MS;
    }
    this->turned_ms = now_ms;
}

static void
on_tick(evutil_socket_t fd, short what, void *data)
{
    (void)fd;
    (void)what;
    FreshnessRelay_t *this = data;
    note_turn(this);
    if (is_to_tell(this)) {
        send_to_linked(this);
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
    this->turned_ms = Clock_nowMs();
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
               ? Membership_localRank(this->membership, RANK_KEY, NULL)
               : G_MAXUINT;
}

gboolean
FreshnessRelay_isReader(const FreshnessRelay_t *this)
{
    return FreshnessRelay_rank(this) < READERS;
}

void
FreshnessRelay_note(FreshnessRelay_t *this, StorePosition_t end, gint64 at_ms)
{
    if (at_ms > this->at_ms || StorePosition_compare(end, this->end) > 0) {
        this->end = end;
        this->at_ms = MAX(at_ms, this->at_ms);
    }
}

static void
pass_on(FreshnessRelay_t *this)
{
    if (is_to_tell(this) && Clock_nowMs() - this->sent_ms >= TICK_MS) {
        send_to_linked(this);
    }
}

/* An age counts from when the message is read. While this router stands still
 * messages wait, so that what they tell seems newer than it is, and a key that
 * was revoked since would be let in. */
gboolean
FreshnessRelay_mayHaveWaited(const FreshnessRelay_t *this)
{
    gint64 now_ms = Clock_nowMs();
    return stood_still(this, now_ms) || now_ms < this->caught_up_ms;
}

void
FreshnessRelay_take(FreshnessRelay_t *this, Member_t *from,
                    const Wt__ConfigCurrent *message)
{
    if (FreshnessRelay_mayHaveWaited(this)) {
        return;
    }
    gint64 at_ms = PeerAge_atMs(message->age_ms);
    StorePosition_t end = {message->epoch, message->offset};
    if (at_ms > this->at_ms &&
        this->events->fresh(this->owner, from, end, at_ms)) {
        FreshnessRelay_note(this, end, at_ms);
        pass_on(this);
    }
}
