#include "testing.h"

#include <math.h>
#include <string.h>
#include <xxhash.h>

#include "Clock.h"
#include "FakeRouters.h"
#include "FakeUpstreams.h"
#include "NoticeUpdates.h"

#define MESH 16
#define NO_MESH 1
/* Longer than a batch of updates takes to arrive. */
#define DELIVERY_MS 120

static FakeRouters_t routers;
static UpstreamSet_t *upstreams;
static NoticeUpdates_t *updates;
static guint applied_count;

static gboolean
on_fact(void *owner, Upstream_t *upstream, const NoticeFact_t *fact)
{
    (void)owner;
    gboolean is_new =
        UpstreamLimit_applyFact(&upstream->limit, &fact->limit, Clock_nowMs());
    is_new = (fact->leaving && Upstream_noteLeaving(upstream, 0, 1)) || is_new;
    applied_count += is_new ? 1 : 0;
    return is_new;
}

static Upstream_t *
put(const char *name)
{
    return FakeUpstreams_put(upstreams, name);
}

static void
begin(gint64 mesh)
{
    applied_count = 0;
    FakeRouters_init(&routers, 3, mesh);
    upstreams = UpstreamSet_create(routers.base, 1);
    NoticeUpdatesSpec_t spec = {
        .membership = routers.list[0].membership,
        .upstreams = upstreams,
        .handler = on_fact,
    };
    updates = NoticeUpdates_create(routers.base, &spec);
}

static void
end(void)
{
    NoticeUpdates_destroy(updates);
    UpstreamSet_destroy(upstreams);
    FakeRouters_clear(&routers);
}

static Upstream_t *
put_limited(const char *name, double per_s)
{
    Upstream_t *upstream = put(name);
    AdvertisedLimit_t advertised = {LIMIT_ADVERTISED, per_s};
    Upstream_noteIncarnation(upstream, 1, 0);
    UpstreamLimit_noteAnswer(&upstream->limit, &advertised, 0, 1);
    return upstream;
}

static guint
count_messages(guint router)
{
    return FakeRouters_count(&routers, router,
                             WT__PEER_MESSAGE__BODY_NOTICE_NEWS);
}

static const Wt__NoticeNews *
last_message(guint router)
{
    const Wt__PeerMessage *message =
        FakeRouters_find(&routers, router, WT__PEER_MESSAGE__BODY_NOTICE_NEWS);
    ck_assert_ptr_nonnull(message);
    return message->notice_news;
}

static guint64
hash_of(const char *name)
{
    return XXH3_64bits(name, strlen(name));
}

static void
receive_fact(const char *name, guint64 incarnation, guint64 version,
             double per_s)
{
    Wt__NoticeFact fact = WT__NOTICE_FACT__INIT;
    Wt__NoticeFact *list[] = {&fact};
    Wt__NoticeNews message = WT__NOTICE_NEWS__INIT;
    fact.upstream = hash_of(name);
    fact.incarnation = incarnation;
    fact.version = version;
    fact.is_named = TRUE;
    fact.per_s = per_s;
    message.n_facts = 1;
    message.facts = list;
    NoticeUpdates_receive(updates, &message);
}

START_TEST(limit_is_broadcast_with_its_value_when_sent)
{
    begin(MESH);
    Upstream_t *upstream = put_limited("u", 3);
    NoticeUpdates_broadcast(updates, upstream);
    NoticeUpdates_broadcast(updates, upstream);
    upstream->limit.per_s = 2;
    FakeRouters_run(&routers, DELIVERY_MS);
    for (guint router = 1; router < 3; router++) {
        ck_assert_uint_eq(count_messages(router), 1);
        ck_assert_uint_eq(last_message(router)->n_facts, 1);
        ck_assert_double_eq(last_message(router)->facts[0]->per_s, 2);
        ck_assert_uint_eq(last_message(router)->facts[0]->upstream,
                          upstream->hash);
    }
    end();
}
END_TEST

START_TEST(facts_are_forwarded_only_without_a_full_mesh)
{
    begin(MESH);
    put("u");
    receive_fact("u", 1, 1, 3);
    ck_assert_uint_eq(applied_count, 1);
    FakeRouters_run(&routers, DELIVERY_MS);
    ck_assert_uint_eq(count_messages(1), 0);
    end();
    begin(NO_MESH);
    put("u");
    receive_fact("u", 1, 1, 3);
    receive_fact("u", 1, 1, 3);
    ck_assert_uint_eq(applied_count, 1);
    FakeRouters_run(&routers, DELIVERY_MS);
    ck_assert_uint_eq(count_messages(1), 1);
    end();
}
END_TEST

START_TEST(new_peer_receives_all_limits)
{
    begin(MESH);
    put_limited("u", 3);
    put_limited("v", 0);
    put("w");
    const GPtrArray *members = Membership_members(routers.list[0].membership);
    NoticeUpdates_syncPeer(updates, g_ptr_array_index(members, 0));
    FakeRouters_run(&routers, DELIVERY_MS);
    ck_assert_uint_eq(count_messages(1) + count_messages(2), 1);
    ck_assert_uint_eq(last_message(count_messages(1) > 0 ? 1 : 2)->n_facts, 2);
    end();
}
END_TEST

START_TEST(new_peer_receives_leaving_upstreams)
{
    begin(MESH);
    Upstream_noteLeaving(put("u"), 0, 1);
    put("v");
    const GPtrArray *members = Membership_members(routers.list[0].membership);
    NoticeUpdates_syncPeer(updates, g_ptr_array_index(members, 0));
    FakeRouters_run(&routers, DELIVERY_MS);
    guint router = count_messages(1) > 0 ? 1 : 2;
    ck_assert_uint_eq(last_message(router)->n_facts, 1);
    ck_assert(last_message(router)->facts[0]->leaving);
    ck_assert_uint_eq(last_message(router)->facts[0]->version, 0);
    end();
}
END_TEST

START_TEST(fact_is_stored_until_its_upstream_is_listed)
{
    begin(MESH);
    receive_fact("u", 4, 1, 3);
    ck_assert_uint_eq(applied_count, 0);
    Upstream_t *upstream = put("u");
    ck_assert_uint_eq(applied_count, 1);
    ck_assert(upstream->limit.is_named);
    ck_assert_uint_eq(upstream->incarnation, 4);
    end();
}
END_TEST

START_TEST(fact_about_a_former_incarnation_is_ignored)
{
    begin(MESH);
    Upstream_t *upstream = put("u");
    Upstream_noteIncarnation(upstream, 5, 0);
    receive_fact("u", 4, 9, 3);
    ck_assert(!upstream->limit.is_named);
    receive_fact("u", 6, 1, 3);
    ck_assert(upstream->limit.is_named);
    ck_assert_uint_eq(upstream->incarnation, 6);
    end();
}
END_TEST

START_TEST(invalid_rates_are_ignored)
{
    static const double rates[] = {-1, NAN, INFINITY, 1e300};
    begin(MESH);
    put("u");
    for (gsize i = 0; i < G_N_ELEMENTS(rates); i++) {
        receive_fact("u", 1, 9, rates[i]);
    }
    ck_assert_uint_eq(applied_count, 0);
    end();
}
END_TEST

TESTING_MAIN("NoticeNews", limit_is_broadcast_with_its_value_when_sent,
             facts_are_forwarded_only_without_a_full_mesh,
             new_peer_receives_all_limits, new_peer_receives_leaving_upstreams,
             fact_is_stored_until_its_upstream_is_listed,
             fact_about_a_former_incarnation_is_ignored,
             invalid_rates_are_ignored)
