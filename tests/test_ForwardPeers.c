#include "testing.h"

#include <string.h>

#include "Clock.h"
#include "FakeRouters.h"
#include "ForwardPeers.h"

#define ROUTERS 4
#define MESH 16
#define LONG_MS 60000

static FakeRouters_t routers;
static ForwardPeers_t *peers;
static gint64 now_ms;

static void
begin(void)
{
    FakeRouters_init(&routers, ROUTERS, MESH);
    peers = ForwardPeers_create(routers.base, routers.list[0].membership, 4);
    now_ms = Clock_nowMs();
}

static void
end(void)
{
    ForwardPeers_destroy(peers);
    FakeRouters_clear(&routers);
}

START_TEST(requests_spread_over_the_other_routers)
{
    begin();
    for (guint i = 0; i < 3 * (ROUTERS - 1); i++) {
        ForwardPeer_t *peer = ForwardPeers_choose(peers, NULL, now_ms);
        ck_assert_ptr_nonnull(peer);
        peer->open++;
        ck_assert_uint_le(peer->open, i / (ROUTERS - 1) + 1);
    }
    end();
}
END_TEST

START_TEST(a_router_is_reached_where_it_listens_for_callers)
{
    begin();
    const ForwardPeer_t *peer = ForwardPeers_choose(peers, NULL, now_ms);
    const char *name = peer->upstream->name->str;
    guint index = (guint)(name[strlen(name) - 1] - '0');
    ck_assert_str_eq(peer->upstream->address.host, "127.0.0.1");
    ck_assert_uint_eq(peer->upstream->address.port, FAKE_CALLERS_PORT + index);
    end();
}
END_TEST

START_TEST(routers_that_could_not_serve_are_left_out_for_a_moment)
{
    begin();
    for (guint i = 0; i < ROUTERS - 1; i++) {
        ForwardPeers_noteRefusal(ForwardPeers_choose(peers, NULL, now_ms),
                                 now_ms);
    }
    ck_assert_ptr_null(ForwardPeers_choose(peers, NULL, now_ms));
    ck_assert_ptr_nonnull(ForwardPeers_choose(peers, NULL, now_ms + LONG_MS));
    end();
}
END_TEST

START_TEST(unreachable_routers_are_left_out_for_longer)
{
    begin();
    ForwardPeer_t *refusing = ForwardPeers_choose(peers, NULL, now_ms);
    ForwardPeers_noteRefusal(refusing, now_ms);
    for (guint i = 1; i < ROUTERS - 1; i++) {
        ForwardPeers_noteUnreachable(ForwardPeers_choose(peers, NULL, now_ms),
                                     now_ms);
    }
    ck_assert_ptr_eq(ForwardPeers_choose(peers, NULL, now_ms + 1000),
                     refusing);
    end();
}
END_TEST

START_TEST(routers_that_leave_or_name_no_address_get_no_requests)
{
    begin();
    const GPtrArray *members = Membership_members(routers.list[0].membership);
    for (guint i = 0; i < members->len; i++) {
        Member_t *member = g_ptr_array_index(members, i);
        member->leaving = i % 2 == 0;
        member->callers.port = i % 2 == 0 ? member->callers.port : 0;
    }
    ck_assert_ptr_null(ForwardPeers_choose(peers, NULL, now_ms));
    end();
}
END_TEST

START_TEST(a_router_is_not_tried_twice)
{
    g_autoptr(GPtrArray) tried = g_ptr_array_new();
    begin();
    for (guint i = 0; i < ROUTERS - 1; i++) {
        ForwardPeer_t *peer = ForwardPeers_choose(peers, tried, now_ms);
        ck_assert_ptr_nonnull(peer);
        ck_assert(!g_ptr_array_find(tried, peer, NULL));
        g_ptr_array_add(tried, peer);
    }
    ck_assert_ptr_null(ForwardPeers_choose(peers, tried, now_ms));
    ck_assert_ptr_nonnull(ForwardPeers_choose(peers, NULL, now_ms));
    end();
}
END_TEST

START_TEST(a_service_that_no_router_serves_is_known_for_a_moment)
{
    begin();
    ForwardPeers_noteUnserved(peers, "s", now_ms);
    ck_assert(ForwardPeers_isUnserved(peers, "s", now_ms));
    ck_assert(!ForwardPeers_isUnserved(peers, "t", now_ms));
    ck_assert(!ForwardPeers_isUnserved(peers, "s", now_ms + LONG_MS));
    ForwardPeers_noteUnserved(peers, "t", now_ms + LONG_MS);
    ck_assert(!ForwardPeers_isUnserved(peers, "s", now_ms));
    end();
}
END_TEST

TESTING_MAIN("ForwardPeers", a_router_is_not_tried_twice,
             a_service_that_no_router_serves_is_known_for_a_moment,
             requests_spread_over_the_other_routers,
             a_router_is_reached_where_it_listens_for_callers,
             routers_that_could_not_serve_are_left_out_for_a_moment,
             unreachable_routers_are_left_out_for_longer,
             routers_that_leave_or_name_no_address_get_no_requests)
