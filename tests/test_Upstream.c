#include "testing.h"

#include <event2/event.h>

#include "Upstream.h"

#define NOW_MS 100000
/* Longer than routers pass over a doubt that they have heard. */
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
hear_doubt(gint64 now_ms)
{
    if (Upstream_noteDoubt(upstream, now_ms)) {
        Upstream_noteHeardDoubt(upstream);
    }
}

START_TEST(a_peers_doubt_ends_with_a_peers_word)
{
    begin();
    hear_doubt(NOW_MS);
    ck_assert(!Upstream_isUsable(upstream, NOW_MS));
    ck_assert(Upstream_settleDoubt(upstream));
    ck_assert(Upstream_isUsable(upstream, NOW_MS));
    end();
}
END_TEST

START_TEST(an_own_doubt_does_not_end_with_a_peers_word)
{
    begin();
    hear_doubt(NOW_MS);
    ck_assert(!Upstream_noteUnreached(upstream));
    ck_assert(Upstream_settleDoubt(upstream));
    ck_assert(!Upstream_isUsable(upstream, NOW_MS));
    Upstream_noteReached(upstream, NOW_MS);
    ck_assert(Upstream_isUsable(upstream, NOW_MS));
    end();
}
END_TEST

START_TEST(a_doubt_is_settled_once_and_does_not_come_back_at_once)
{
    begin();
    ck_assert(!Upstream_settleDoubt(upstream));
    hear_doubt(NOW_MS);
    ck_assert(Upstream_settleDoubt(upstream));
    ck_assert(!Upstream_settleDoubt(upstream));
    hear_doubt(NOW_MS + 1);
    ck_assert(Upstream_isUsable(upstream, NOW_MS + 1));
    hear_doubt(LATER_MS);
    ck_assert(!Upstream_isUsable(upstream, LATER_MS));
    ck_assert(Upstream_settleDoubt(upstream));
    end();
}
END_TEST

START_TEST(a_connection_is_warm_for_as_long_as_is_asked)
{
    begin();
    ck_assert(!Upstream_isWarm(upstream, 1000, NOW_MS));
    struct evhttp_connection *connection =
        Upstream_takeConnection(upstream, 0, NOW_MS);
    Upstream_keepConnection(upstream, connection, NOW_MS);
    ck_assert(Upstream_isWarm(upstream, 1000, NOW_MS + 1000));
    ck_assert(!Upstream_isWarm(upstream, 1000, NOW_MS + 1001));
    Upstream_noteHeardDoubt(upstream);
    ck_assert(!Upstream_isWarm(upstream, 1000, NOW_MS));
    end();
}
END_TEST

TESTING_MAIN("Upstream", a_peers_doubt_ends_with_a_peers_word,
             an_own_doubt_does_not_end_with_a_peers_word,
             a_doubt_is_settled_once_and_does_not_come_back_at_once,
             a_connection_is_warm_for_as_long_as_is_asked)
