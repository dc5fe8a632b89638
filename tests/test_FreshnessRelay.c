#include "testing.h"

#include "Clock.h"
#include "FakeRouters.h"
#include "FreshnessRelay.h"
#include "PeerAge.h"

/* Above the number of routers of each test, so that they form a full mesh. */
#define MESH 16
/* Below the number of routers, so that they relay updates. */
#define NO_MESH 1
/* Three ticks of the relay. */
#define THREE_TICKS_MS 600
#define TICK_MS (THREE_TICKS_MS / 3)
/* Far less than a tick, and yet enough on a busy machine. */
#define RELAY_DELAY_MAX_MS 60
#define UPDATE_COUNT 12
#define UPDATES_PER_TICK 4
/* Longer than an iteration of a busy event loop. */
#define STALL_MS 800
/* Time that another callback takes before a tick. */
#define BUSY_MS 50
/* An age far above that of any other update. */
#define OLD_MS 10000
/* Version of the configuration in force. */
#define VERSION 3

static FakeRouters_t routers;
static FreshnessRelay_t *relay;
static guint64 fresh_offset;
static gint64 fresh_at_ms;
static guint fresh_calls;
static gboolean has_records; /* result of on_fresh() */

static gboolean
on_fresh(void *owner, Member_t *from, StorePosition_t end, gint64 at_ms)
{
    (void)owner;
    (void)from;
    fresh_calls++;
    fresh_offset = end.offset;
    fresh_at_ms = at_ms;
    return has_records;
}

static guint64
version_in_force(void *owner)
{
    (void)owner;
    return VERSION;
}

static gboolean receives; /* result of is_receiving() */

static gboolean
is_receiving(void *owner)
{
    (void)owner;
    return receives;
}

static const FreshnessRelayEvents_t events = {.fresh = on_fresh,
                                              .version = version_in_force,
                                              .is_receiving = is_receiving};

static FreshnessRelay_t *
create(guint which)
{
    return FreshnessRelay_create(routers.base, routers.list[which].membership,
                                 &events, NULL);
}

static void
begin(guint count, gint64 mesh)
{
    fresh_calls = 0;
    has_records = TRUE;
    receives = FALSE;
    FakeRouters_init(&routers, count, mesh);
    relay = create(0);
}

static void
end(void)
{
    FreshnessRelay_destroy(relay);
    FakeRouters_clear(&routers);
}

static void
receive_update(guint64 offset, guint32 age_ms)
{
    Wt__ConfigCurrent message = WT__CONFIG_CURRENT__INIT;
    message.offset = offset;
    message.age_ms = age_ms;
    FreshnessRelay_receive(relay, NULL, &message);
}

static void
note_end(guint64 offset, gint64 at_ms)
{
    FreshnessRelay_noteEnd(relay, (StorePosition_t){.offset = offset}, at_ms);
}

static guint
count_received(guint which)
{
    return FakeRouters_count(&routers, which,
                             WT__PEER_MESSAGE__BODY_CONFIG_CURRENT);
}

static gboolean
second_has_received(const FakeRouters_t *this)
{
    (void)this;
    return count_received(1) > 0;
}

START_TEST(update_age_includes_the_transit_time)
{
    begin(1, MESH);
    gint64 before_ms = Clock_nowMs();
    receive_update(7, 300);
    ck_assert_uint_eq(fresh_calls, 1);
    ck_assert_uint_eq(fresh_offset, 7);
    ck_assert_int_ge(fresh_at_ms, before_ms - 300 - PEER_TRANSIT_MIN_MS);
    ck_assert_int_le(fresh_at_ms, Clock_nowMs() - 300 - PEER_TRANSIT_MIN_MS);
    end();
}
END_TEST

/* A router that was cut off from the store accepted a revoked key after it had
 * stalled for more than config_max_age. It read updates that its peers had
 * sent before the revocation, and counted their age from the time of reading.
 */
START_TEST(updates_that_waited_during_a_stall_are_ignored)
{
    begin(1, MESH);
    FakeRouters_run(&routers, THREE_TICKS_MS);
    g_usleep(STALL_MS * CLOCK_US_PER_MS);
    receive_update(7, 0);
    ck_assert_uint_eq(fresh_calls, 0);
    event_base_loop(routers.base, EVLOOP_NONBLOCK);
    receive_update(7, 0);
    ck_assert_uint_eq(fresh_calls, 0);
    FakeRouters_run(&routers, THREE_TICKS_MS);
    receive_update(7, 0);
    ck_assert_uint_eq(fresh_calls, 1);
    end();
}
END_TEST

START_TEST(older_updates_that_arrive_later_change_nothing)
{
    begin(1, MESH);
    receive_update(7, 0);
    receive_update(9, OLD_MS);
    receive_update(5, OLD_MS);
    ck_assert_uint_eq(fresh_calls, 1);
    ck_assert_uint_eq(fresh_offset, 7);
    end();
}
END_TEST

START_TEST(older_update_does_not_replace_an_end_read_from_the_store)
{
    begin(1, MESH);
    note_end(8, Clock_nowMs());
    receive_update(7, 0);
    ck_assert_uint_eq(fresh_calls, 0);
    end();
}
END_TEST

START_TEST(overtaken_answer_of_the_store_is_not_broadcast)
{
    begin(2, NO_MESH);
    gint64 now_ms = Clock_nowMs();
    note_end(8, now_ms);
    note_end(7, now_ms - 1);
    FakeRouters_await(&routers, second_has_received);
    const Wt__PeerMessage *message =
        FakeRouters_find(&routers, 1, WT__PEER_MESSAGE__BODY_CONFIG_CURRENT);
    ck_assert_uint_eq(message->config_current->offset, 8);
    end();
}
END_TEST

START_TEST(age_only_grows_when_an_update_is_relayed)
{
    begin(2, NO_MESH);
    receive_update(7, 1000);
    FakeRouters_await(&routers, second_has_received);
    const Wt__PeerMessage *message =
        FakeRouters_find(&routers, 1, WT__PEER_MESSAGE__BODY_CONFIG_CURRENT);
    ck_assert_uint_eq(message->config_current->offset, 7);
    ck_assert_uint_ge(message->config_current->age_ms,
                      1000 + PEER_TRANSIT_MIN_MS);
    end();
}
END_TEST

START_TEST(newly_connected_peer_receives_the_version_in_force)
{
    begin(2, MESH);
    Member_t *member =
        g_ptr_array_index(Membership_members(routers.list[0].membership), 0);
    FreshnessRelay_syncPeer(relay, member);
    FakeRouters_run(&routers, THREE_TICKS_MS);
    ck_assert_uint_eq(count_received(1), 0);
    note_end(7, Clock_nowMs());
    FreshnessRelay_syncPeer(relay, member);
    FakeRouters_await(&routers, second_has_received);
    const Wt__PeerMessage *message =
        FakeRouters_find(&routers, 1, WT__PEER_MESSAGE__BODY_CONFIG_CURRENT);
    ck_assert_uint_eq(message->config_current->version, VERSION);
    end();
}
END_TEST

START_TEST(unchanged_end_is_broadcast_once)
{
    begin(2, NO_MESH);
    gint64 at_ms = Clock_nowMs();
    note_end(7, at_ms);
    note_end(7, at_ms);
    FakeRouters_run(&routers, THREE_TICKS_MS);
    note_end(7, at_ms);
    FakeRouters_run(&routers, THREE_TICKS_MS);
    ck_assert_uint_eq(count_received(1), 1);
    end();
}
END_TEST

/* When updates waited for the tick at each router, they were so old after the
 * links between 1,000 routers that every router asked the store itself. */
START_TEST(update_is_relayed_without_waiting_for_the_tick)
{
    begin(2, NO_MESH);
    FakeRouters_run(&routers, THREE_TICKS_MS);
    gint64 received_ms = Clock_nowMs();
    receive_update(7, 0);
    FakeRouters_await(&routers, second_has_received);
    ck_assert_int_lt(Clock_nowMs() - received_ms, RELAY_DELAY_MAX_MS);
    end();
}
END_TEST

START_TEST(updates_are_relayed_at_most_once_per_tick)
{
    begin(2, NO_MESH);
    FakeRouters_run(&routers, THREE_TICKS_MS);
    gint64 began_ms = Clock_nowMs();
    for (guint i = 0; i < UPDATE_COUNT; i++) {
        receive_update(7, 0);
        FakeRouters_run(&routers, TICK_MS / UPDATES_PER_TICK);
    }
    gint64 ticks = (Clock_nowMs() - began_ms) / TICK_MS;
    ck_assert_uint_le(count_received(1), ticks + 1);
    end();
}
END_TEST

/* While the readers received a long record, every other router took them for
 * departed and read the record from the store itself. */
START_TEST(peers_are_told_while_a_long_answer_is_arriving)
{
    begin(2, NO_MESH);
    note_end(7, Clock_nowMs());
    FakeRouters_run(&routers, THREE_TICKS_MS);
    guint before = count_received(1);
    receives = TRUE;
    FakeRouters_run(&routers, THREE_TICKS_MS);
    ck_assert_uint_ge(count_received(1) - before, 2);
    const Wt__PeerMessage *message =
        FakeRouters_find(&routers, 1, WT__PEER_MESSAGE__BODY_CONFIG_CURRENT);
    ck_assert_uint_gt(message->config_current->receiving_age_ms, 0);
    ck_assert(FreshnessRelay_isReaderReceiving(relay));
    end();
}
END_TEST

static void
on_busy(evutil_socket_t fd, short what, void *data)
{
    (void)fd;
    (void)what;
    (void)data;
    gint64 end_ms = Clock_nowMs() + BUSY_MS;
    while (Clock_nowMs() < end_ms) {
    }
}

/* The tick after one that ran late came less than a tick later, and told the
 * peers nothing. */
START_TEST(peers_are_told_at_the_tick_after_a_late_one)
{
    FakeRouters_init(&routers, 2, NO_MESH);
    FakeRouters_run(&routers, TICK_MS);
    struct event *busy = Clock_timer(routers.base, on_busy, NULL);
    has_records = TRUE;
    receives = TRUE;
    Clock_arm(busy, TICK_MS);
    relay = create(0);
    note_end(7, Clock_nowMs());
    FakeRouters_run(&routers, 2 * TICK_MS + BUSY_MS);
    ck_assert_uint_eq(count_received(1), 2);
    event_free(busy);
    end();
}
END_TEST

static void
receive_receiving(guint32 receiving_age_ms)
{
    Wt__ConfigCurrent message = WT__CONFIG_CURRENT__INIT;
    message.offset = 7;
    message.age_ms = OLD_MS;
    message.receiving_age_ms = receiving_age_ms;
    FreshnessRelay_receive(relay, NULL, &message);
}

/* Relayed without an age, it would go round between routers for ever. */
START_TEST(what_a_reader_receives_is_relayed_until_it_is_old)
{
    begin(2, NO_MESH);
    note_end(7, Clock_nowMs());
    FakeRouters_run(&routers, THREE_TICKS_MS);
    receive_receiving(1);
    ck_assert(FreshnessRelay_isReaderReceiving(relay));
    FakeRouters_run(&routers, THREE_TICKS_MS);
    const Wt__PeerMessage *message =
        FakeRouters_find(&routers, 1, WT__PEER_MESSAGE__BODY_CONFIG_CURRENT);
    guint32 told = message->config_current->receiving_age_ms;
    ck_assert_uint_gt(told, PEER_TRANSIT_MIN_MS);
    receive_receiving(told);
    receive_receiving(OLD_MS);
    FakeRouters_run(&routers, 2 * THREE_TICKS_MS);
    ck_assert(!FreshnessRelay_isReaderReceiving(relay));
    end();
}
END_TEST

START_TEST(nothing_is_broadcast_before_an_end_is_known)
{
    begin(2, NO_MESH);
    FakeRouters_run(&routers, THREE_TICKS_MS);
    ck_assert_uint_eq(count_received(1), 0);
    end();
}
END_TEST

/* A long configuration came into force a second late on routers that are
 * connected through others. A router relayed a newer end before it had the
 * records before that end, so it could not answer when peers asked for them.
 */
START_TEST(end_whose_records_are_missing_here_is_not_relayed)
{
    begin(2, NO_MESH);
    has_records = FALSE;
    receive_update(7, 0);
    FakeRouters_run(&routers, THREE_TICKS_MS);
    ck_assert_uint_eq(fresh_calls, 1);
    ck_assert_uint_eq(count_received(1), 0);
    note_end(7, Clock_nowMs());
    FakeRouters_run(&routers, THREE_TICKS_MS);
    ck_assert_uint_eq(count_received(1), 1);
    end();
}
END_TEST

/* Three readers suffice, even if one is down and another one is cut off. */
START_TEST(three_routers_are_readers_and_in_a_mesh_only_they_broadcast)
{
    begin(6, MESH);
    guint readers = 0;
    for (guint i = 0; i < routers.count; i++) {
        FreshnessRelay_destroy(relay);
        relay = create(i);
        guint other = i == 0 ? 1 : 0;
        guint before = count_received(other);
        note_end(7, Clock_nowMs());
        FakeRouters_run(&routers, THREE_TICKS_MS);
        gboolean reads = FreshnessRelay_isReader(relay);
        readers += reads ? 1 : 0;
        ck_assert_uint_eq(count_received(other) - before, reads ? 1 : 0);
    }
    ck_assert_uint_eq(readers, 3);
    end();
}
END_TEST

TESTING_MAIN("FreshnessRelay",
             end_whose_records_are_missing_here_is_not_relayed,
             update_age_includes_the_transit_time,
             updates_that_waited_during_a_stall_are_ignored,
             older_updates_that_arrive_later_change_nothing,
             older_update_does_not_replace_an_end_read_from_the_store,
             overtaken_answer_of_the_store_is_not_broadcast,
             age_only_grows_when_an_update_is_relayed,
             newly_connected_peer_receives_the_version_in_force,
             unchanged_end_is_broadcast_once,
             update_is_relayed_without_waiting_for_the_tick,
             updates_are_relayed_at_most_once_per_tick,
             peers_are_told_while_a_long_answer_is_arriving,
             peers_are_told_at_the_tick_after_a_late_one,
             what_a_reader_receives_is_relayed_until_it_is_old,
             nothing_is_broadcast_before_an_end_is_known,
             three_routers_are_readers_and_in_a_mesh_only_they_broadcast)
