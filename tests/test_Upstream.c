#include "testing.h"

#include <event2/event.h>

#include "Upstream.h"

#define NOW_MS 100000
/* After the interval in which repeated suspicions are dropped. */
#define LATER_MS (NOW_MS + 10000)

static struct event_base *base;
static Upstream_t *upstream;

static void
begin(void)
{
    UpstreamSpec_t spec = {.address = {"127.0.0.1", 9},
                           .hall = g_string_new("h"),
                           .region = g_string_new("r"),
                           .serves = g_ptr_array_new(),
                           .slots = 4};
    base = event_base_new();
    upstream = Upstream_create(base, "u", &spec, 2);
    g_string_free(spec.hall, TRUE);
    g_string_free(spec.region, TRUE);
    g_ptr_array_unref(spec.serves);
}

static void
end(void)
{
    Upstream_unref(upstream);
    event_base_free(base);
}

static void
receive_suspicion(gint64 now_ms)
{
    if (Upstream_noteSuspicionReport(upstream, now_ms)) {
        Upstream_notePeerSuspicion(upstream);
    }
}

START_TEST(peer_suspicion_is_resolved_by_a_peer)
{
    begin();
    receive_suspicion(NOW_MS);
    ck_assert(!Upstream_isUsable(upstream, NOW_MS));
    ck_assert(Upstream_resolveSuspicion(upstream));
    ck_assert(Upstream_isUsable(upstream, NOW_MS));
    end();
}
END_TEST

START_TEST(local_suspicion_is_not_resolved_by_a_peer)
{
    begin();
    receive_suspicion(NOW_MS);
    ck_assert(!Upstream_noteUnreachable(upstream));
    ck_assert(Upstream_resolveSuspicion(upstream));
    ck_assert(!Upstream_isUsable(upstream, NOW_MS));
    Upstream_noteReachable(upstream, NOW_MS);
    ck_assert(Upstream_isUsable(upstream, NOW_MS));
    end();
}
END_TEST

START_TEST(a_silent_upstream_stays_in_use_until_it_is_reached)
{
    begin();
    Upstream_noteSilent(upstream);
    ck_assert(upstream->probe_wanted);
    ck_assert(Upstream_isUsable(upstream, NOW_MS));
    Upstream_noteReachable(upstream, NOW_MS);
    ck_assert(!upstream->probe_wanted);
    ck_assert(Upstream_isUsable(upstream, NOW_MS));
    end();
}
END_TEST

START_TEST(silence_of_a_former_incarnation_asks_for_no_probe)
{
    begin();
    Upstream_noteIncarnation(upstream, 1, NOW_MS);
    Upstream_noteSilent(upstream);
    Upstream_noteIncarnation(upstream, 2, NOW_MS);
    ck_assert(!upstream->probe_wanted);
    end();
}
END_TEST

START_TEST(suspicion_of_a_silent_upstream_ends_its_use)
{
    begin();
    Upstream_noteSilent(upstream);
    ck_assert(Upstream_noteUnreachable(upstream));
    ck_assert(!upstream->probe_wanted);
    ck_assert(!Upstream_isUsable(upstream, NOW_MS));
    Upstream_noteSilent(upstream);
    ck_assert(!upstream->probe_wanted);
    end();
}
END_TEST

START_TEST(silence_adds_a_probe_to_a_peers_suspicion)
{
    begin();
    receive_suspicion(NOW_MS);
    Upstream_noteSilent(upstream);
    ck_assert(upstream->probe_wanted);
    ck_assert(!Upstream_isUsable(upstream, NOW_MS));
    end();
}
END_TEST

START_TEST(suspicion_is_resolved_once_and_not_repeated_at_once)
{
    begin();
    ck_assert(!Upstream_resolveSuspicion(upstream));
    receive_suspicion(NOW_MS);
    ck_assert(Upstream_resolveSuspicion(upstream));
    ck_assert(!Upstream_resolveSuspicion(upstream));
    receive_suspicion(NOW_MS + 1);
    ck_assert(Upstream_isUsable(upstream, NOW_MS + 1));
    receive_suspicion(LATER_MS);
    ck_assert(!Upstream_isUsable(upstream, LATER_MS));
    ck_assert(Upstream_resolveSuspicion(upstream));
    end();
}
END_TEST

START_TEST(connection_is_warm_up_to_the_given_idle_time)
{
    begin();
    ck_assert(!Upstream_hasWarmConnection(upstream, 1000, NOW_MS));
    PooledConnection_t *connection =
        Upstream_takeConnection(upstream, 0, NULL, FALSE, NOW_MS);
    Upstream_poolConnection(upstream, connection, NOW_MS);
    ck_assert(Upstream_hasWarmConnection(upstream, 1000, NOW_MS + 1000));
    ck_assert(!Upstream_hasWarmConnection(upstream, 1000, NOW_MS + 1001));
    Upstream_notePeerSuspicion(upstream);
    ck_assert(!Upstream_hasWarmConnection(upstream, 1000, NOW_MS));
    end();
}
END_TEST

static void
pool_connection(const char *request_id, gint64 now_ms)
{
    PooledConnection_t *connection = Upstream_takeConnection(
        upstream, UPSTREAM_NO_IDLE, NULL, FALSE, now_ms);
    PooledConnection_addRequest(connection, request_id);
    Upstream_poolConnection(upstream, connection, now_ms);
}

static guint64
take_number(const char *request_id, gint64 idle_max_ms)
{
    PooledConnection_t *connection = Upstream_takeConnection(
        upstream, idle_max_ms, request_id, FALSE, NOW_MS + 10);
    guint64 number = PooledConnection_number(connection);
    Upstream_poolConnection(upstream, connection, NOW_MS + 10);
    return number;
}

/* A late second answer to an earlier attempt passed for the answer to a later
 * one on the same connection. */
START_TEST(a_request_uses_no_connection_that_carried_it_before)
{
    begin();
    pool_connection("a", NOW_MS);
    pool_connection("b", NOW_MS + 1);
    guint64 first = take_number("b", 100);
    guint64 second = take_number("a", 100);
    ck_assert(first != second);
    ck_assert(take_number("c", 100) == second);
    ck_assert(take_number("b", 5) == first);
    PooledConnection_t *connection =
        Upstream_takeConnection(upstream, 100, "b", FALSE, NOW_MS + 20);
    ck_assert(PooledConnection_number(connection) == first);
    PooledConnection_t *other =
        Upstream_takeConnection(upstream, 100, "b", FALSE, NOW_MS + 20);
    ck_assert_uint_eq(PooledConnection_countRequests(other), 0);
    PooledConnection_destroy(connection);
    PooledConnection_destroy(other);
    end();
}
END_TEST

TESTING_MAIN("Upstream", peer_suspicion_is_resolved_by_a_peer,
             local_suspicion_is_not_resolved_by_a_peer,
             a_silent_upstream_stays_in_use_until_it_is_reached,
             silence_of_a_former_incarnation_asks_for_no_probe,
             suspicion_of_a_silent_upstream_ends_its_use,
             silence_adds_a_probe_to_a_peers_suspicion,
             suspicion_is_resolved_once_and_not_repeated_at_once,
             connection_is_warm_up_to_the_given_idle_time,
             a_request_uses_no_connection_that_carried_it_before)
