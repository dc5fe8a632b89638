#include "testing.h"

#include <math.h>
#include <string.h>
#include <xxhash.h>

#include "Clock.h"
#include "FakeRouters.h"
#include "FakeUpstreams.h"
#include "NoticeNews.h"

#define MESH 16
#define NO_MESH 1
/* More turns than news take. */
#define TURNS_MS 120

static FakeRouters_t routers;
static UpstreamSet_t *upstreams;
static NoticeNews_t *news;
static guint taken;

static gboolean
on_fact(void *owner, Upstream_t *upstream, const NoticeFact_t *fact)
{
    (void)owner;
    gboolean is_news =
        UpstreamLimit_applyFact(&upstream->limit, &fact->limit, Clock_nowMs());
    is_news =
        (fact->leaving && Upstream_noteLeaving(upstream, 0, 1)) || is_news;
    taken += is_news ? 1 : 0;
    return is_news;
}

static Upstream_t *
put(const char *name)
{
    return FakeUpstreams_put(upstreams, name);
}

static void
begin(gint64 mesh)
{
    taken = 0;
    FakeRouters_init(&routers, 3, mesh);
    upstreams = UpstreamSet_create(routers.base, 1);
    NoticeNewsSpec_t spec = {
        .membership = routers.list[0].membership,
        .upstreams = upstreams,
        .take = on_fact,
    };
    news = NoticeNews_create(routers.base, &spec);
}

static void
end(void)
{
    NoticeNews_destroy(news);
    UpstreamSet_destroy(upstreams);
    FakeRouters_clear(&routers);
}

static Upstream_t *
limited(const char *name, double per_s)
{
    Upstream_t *upstream = put(name);
    AdvertisedLimit_t said = {LIMIT_ADVERTISED, per_s};
    Upstream_noteIncarnation(upstream, 1, 0);
    UpstreamLimit_noteAnswer(&upstream->limit, &said, 0, 1);
    return upstream;
}

static guint
told(guint which)
{
    return FakeRouters_count(&routers, which,
                             WT__PEER_MESSAGE__BODY_NOTICE_NEWS);
}

static const Wt__NoticeNews *
newest(guint which)
{
    const Wt__PeerMessage *message =
        FakeRouters_find(&routers, which, WT__PEER_MESSAGE__BODY_NOTICE_NEWS);
    ck_assert_ptr_nonnull(message);
    return message->notice_news;
}

static guint64
hash_of(const char *name)
{
    return XXH3_64bits(name, strlen(name));
}

static void
hear(const char *name, guint64 incarnation, guint64 version, double per_s)
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
    NoticeNews_take(news, &message);
}

START_TEST(a_limit_is_told_to_all_as_it_is_then)
{
    begin(MESH);
    Upstream_t *upstream = limited("u", 3);
    NoticeNews_tell(news, upstream);
    NoticeNews_tell(news, upstream);
    upstream->limit.per_s = 2;
    FakeRouters_run(&routers, TURNS_MS);
    for (guint which = 1; which < 3; which++) {
        ck_assert_uint_eq(told(which), 1);
        ck_assert_uint_eq(newest(which)->n_facts, 1);
        ck_assert_double_eq(newest(which)->facts[0]->per_s, 2);
        ck_assert_uint_eq(newest(which)->facts[0]->upstream, upstream->hash);
    }
    end();
}
END_TEST

START_TEST(what_a_peer_tells_is_passed_on_where_not_all_are_linked)
{
    begin(MESH);
    put("u");
    hear("u", 1, 1, 3);
    ck_assert_uint_eq(taken, 1);
    FakeRouters_run(&routers, TURNS_MS);
    ck_assert_uint_eq(told(1), 0);
    end();
    begin(NO_MESH);
    put("u");
    hear("u", 1, 1, 3);
    hear("u", 1, 1, 3);
    ck_assert_uint_eq(taken, 1);
    FakeRouters_run(&routers, TURNS_MS);
    ck_assert_uint_eq(told(1), 1);
    end();
}
END_TEST

START_TEST(a_new_link_is_told_all_limits)
{
    begin(MESH);
    limited("u", 3);
    limited("v", 0);
    put("w");
    const GPtrArray *members = Membership_members(routers.list[0].membership);
    NoticeNews_introduce(news, g_ptr_array_index(members, 0));
    FakeRouters_run(&routers, TURNS_MS);
    ck_assert_uint_eq(told(1) + told(2), 1);
    ck_assert_uint_eq(newest(told(1) > 0 ? 1 : 2)->n_facts, 2);
    end();
}
END_TEST

START_TEST(a_new_link_is_told_of_those_that_leave)
{
    begin(MESH);
    Upstream_noteLeaving(put("u"), 0, 1);
    put("v");
    const GPtrArray *members = Membership_members(routers.list[0].membership);
    NoticeNews_introduce(news, g_ptr_array_index(members, 0));
    FakeRouters_run(&routers, TURNS_MS);
    guint which = told(1) > 0 ? 1 : 2;
    ck_assert_uint_eq(newest(which)->n_facts, 1);
    ck_assert(newest(which)->facts[0]->leaving);
    ck_assert_uint_eq(newest(which)->facts[0]->version, 0);
    end();
}
END_TEST

START_TEST(a_fact_waits_for_its_upstream_to_be_listed)
{
    begin(MESH);
    hear("u", 4, 1, 3);
    ck_assert_uint_eq(taken, 0);
    Upstream_t *upstream = put("u");
    ck_assert_uint_eq(taken, 1);
    ck_assert(upstream->limit.is_named);
    ck_assert_uint_eq(upstream->incarnation, 4);
    end();
}
END_TEST

START_TEST(a_fact_of_a_former_start_is_passed_over)
{
    begin(MESH);
    Upstream_t *upstream = put("u");
    Upstream_noteIncarnation(upstream, 5, 0);
    hear("u", 4, 9, 3);
    ck_assert(!upstream->limit.is_named);
    hear("u", 6, 1, 3);
    ck_assert(upstream->limit.is_named);
    ck_assert_uint_eq(upstream->incarnation, 6);
    end();
}
END_TEST

START_TEST(what_is_no_rate_is_passed_over)
{
    static const double rates[] = {-1, NAN, INFINITY, 1e300};
    begin(MESH);
    put("u");
    for (gsize i = 0; i < G_N_ELEMENTS(rates); i++) {
        hear("u", 1, 9, rates[i]);
    }
    ck_assert_uint_eq(taken, 0);
    end();
}
END_TEST

TESTING_MAIN("NoticeNews", a_limit_is_told_to_all_as_it_is_then,
             what_a_peer_tells_is_passed_on_where_not_all_are_linked,
             a_new_link_is_told_all_limits,
             a_new_link_is_told_of_those_that_leave,
             a_fact_waits_for_its_upstream_to_be_listed,
             a_fact_of_a_former_start_is_passed_over,
             what_is_no_rate_is_passed_over)
