/* What each router knows of crashes comes to all of them, in any order. */
#include "CrashNews.h"

#include <string.h>

#include "Clock.h"
#include "FakeRouters.h"
#include "testing.h"

#define MESH 16
#define NO_MESH 1
#define SEEDS 60
#define ROUTERS 6
#define CRASHES 8
/* More turns than news take. */
#define TURNS_MS 200

static FakeRouters_t routers;
static CrashTable_t *table;
static CrashNews_t *news;
static guint holds;

static void
on_changed(void *owner, const RequestDigest_t *digest, CrashChange_t change)
{
    (void)owner;
    (void)digest;
    holds += change == CRASH_HOLDS ? 1 : 0;
}

static const CrashNewsEvents_t events = {.changed = on_changed};

static void
begin(gint64 mesh)
{
    holds = 0;
    FakeRouters_init(&routers, 3, mesh);
    table = CrashTable_create();
    news = CrashNews_create(routers.base, routers.list[0].membership, table,
                            &events, NULL);
}

static void
end(void)
{
    CrashNews_destroy(news);
    CrashTable_destroy(table);
    FakeRouters_clear(&routers);
}

static CrashFact_t
fact_of(guint8 request, guint64 crash)
{
    return (CrashFact_t){{{request}}, 1, crash, Clock_nowMs()};
}

static void
add(guint8 request, guint64 crash)
{
    CrashFact_t fact = fact_of(request, crash);
    CrashTable_add(table, &fact, Clock_nowMs());
    CrashNews_tell(news, &fact.digest);
}

static guint
told(guint which)
{
    return FakeRouters_count(&routers, which,
                             WT__PEER_MESSAGE__BODY_CRASH_NEWS);
}

static const Wt__CrashNews *
newest(guint which)
{
    const Wt__PeerMessage *message =
        FakeRouters_find(&routers, which, WT__PEER_MESSAGE__BODY_CRASH_NEWS);
    ck_assert_ptr_nonnull(message);
    return message->crash_news;
}

START_TEST(a_crash_is_told_to_all_once)
{
    begin(MESH);
    add(1, 11);
    FakeRouters_run(&routers, TURNS_MS);
    for (guint which = 1; which < 3; which++) {
        ck_assert_uint_eq(told(which), 1);
        ck_assert_uint_eq(newest(which)->n_facts, 1);
        ck_assert_uint_eq(newest(which)->facts[0]->n_crashes, 1);
        ck_assert_uint_eq(newest(which)->facts[0]->crashes[0], 11);
    }
    end();
}
END_TEST

static Wt__CrashNews *
copy(const Wt__CrashNews *message)
{
    gsize size = wt__crash_news__get_packed_size(message);
    g_autofree guint8 *bytes = g_malloc(size + 1);
    wt__crash_news__pack(message, bytes);
    return wt__crash_news__unpack(NULL, size, bytes);
}

static void
take_again(gint64 mesh, guint passed_on)
{
    begin(mesh);
    for (guint64 crash = 11; crash < 11 + CRASHES_HELD; crash++) {
        add(1, crash);
    }
    FakeRouters_run(&routers, TURNS_MS);
    Wt__CrashNews *message = copy(newest(1));
    end();
    begin(mesh);
    CrashNews_take(news, message);
    CrashNews_take(news, message);
    ck_assert_uint_eq(holds, 1);
    FakeRouters_run(&routers, TURNS_MS);
    ck_assert_uint_eq(told(1), passed_on);
    wt__crash_news__free_unpacked(message, NULL);
    end();
}

START_TEST(what_a_peer_tells_holds_here)
{
    take_again(MESH, 0);
}
END_TEST

START_TEST(where_not_all_are_linked_it_is_passed_on_once)
{
    take_again(NO_MESH, 1);
}
END_TEST

START_TEST(a_new_link_is_told_all)
{
    begin(MESH);
    for (guint8 request = 1; request <= 5; request++) {
        CrashFact_t fact = fact_of(request, request);
        CrashTable_add(table, &fact, Clock_nowMs());
    }
    const GPtrArray *members = Membership_members(routers.list[0].membership);
    CrashNews_introduce(news, g_ptr_array_index(members, 0), FALSE);
    FakeRouters_run(&routers, TURNS_MS);
    ck_assert_uint_eq(told(1) + told(2), 1);
    ck_assert_uint_eq(newest(told(1) > 0 ? 1 : 2)->n_facts, 5);
    end();
}
END_TEST

START_TEST(an_upstream_that_lives_is_told)
{
    begin(MESH);
    CrashNews_tellAlive(news, 11);
    FakeRouters_run(&routers, TURNS_MS);
    ck_assert_uint_eq(newest(1)->n_alive, 1);
    ck_assert_uint_eq(newest(1)->alive[0], 11);
    end();
}
END_TEST

/* Upstreams that are lost at once are told of in turns; a request with two
 * crashes does not wait behind those with one. */
START_TEST(the_likely_cause_is_told_first)
{
    begin(MESH);
    for (guint request = 2; request < 200; request++) {
        add((guint8)request, 11);
    }
    add(1, 11);
    add(1, 12);
    FakeRouters_run(&routers, TURNS_MS);
    ck_assert_uint_gt(told(1), 1);
    for (guint i = 0; i < routers.list[1].told->len; i++) {
        const Wt__PeerMessage *message =
            g_ptr_array_index(routers.list[1].told, i);
        if (message->body_case == WT__PEER_MESSAGE__BODY_CRASH_NEWS) {
            ck_assert_uint_le(message->crash_news->n_facts, 32);
            ck_assert_uint_eq(message->crash_news->facts[0]->n_crashes, 2);
            break;
        }
    }
    end();
}
END_TEST

START_TEST(a_digest_of_another_length_is_none)
{
    guint8 bytes[4] = {0};
    Wt__CrashFact fact = WT__CRASH_FACT__INIT;
    fact.digest.data = bytes;
    fact.digest.len = sizeof(bytes);
    CrashTable_t *empty = CrashTable_create();
    ck_assert_int_eq(CrashNews_read(empty, &fact, 0), CRASH_KNOWN);
    ck_assert_uint_eq(CrashTable_size(empty), 0);
    CrashTable_destroy(empty);
}
END_TEST

static void
merge(CrashTable_t *to, const CrashTable_t *from, const RequestDigest_t *about)
{
    const CrashEntry_t *entry = CrashTable_find(from, about);
    Wt__CrashFact fact;
    guint64 ids[CRASHES_OF_ONE];
    if (entry) {
        CrashNews_write(entry, &fact, ids);
        CrashNews_read(to, &fact, entry->last_ms);
    }
}

static guint
counted(const CrashTable_t *known, const RequestDigest_t *about)
{
    const CrashEntry_t *entry = CrashTable_find(known, about);
    return entry ? CrashEntry_counted(entry) : 0;
}

/* Each router learns of some crashes, of some of which it is said that they
 * were none; some are restarted with nothing, and they tell each other in any
 * order. In the end all know the same: what was counted and not voided. */
static void
converge(guint32 seed)
{
    GRand *random = g_rand_new_with_seed(seed);
    CrashTable_t *all[ROUTERS];
    RequestDigest_t about = {{1}};
    gboolean is_void[CRASHES] = {FALSE};
    gboolean is_known[CRASHES] = {FALSE};
    for (guint i = 0; i < ROUTERS; i++) {
        all[i] = CrashTable_create();
    }
    for (guint step = 0; step < 60; step++) {
        guint router = (guint)g_rand_int_range(random, 0, ROUTERS);
        guint crash = (guint)g_rand_int_range(random, 0, CRASHES);
        CrashFact_t fact = fact_of(1, crash + 1);
        switch (g_rand_int_range(random, 0, 6)) {
        case 0:
            CrashTable_void(all[router], &fact);
            is_void[crash] = TRUE;
            break;
        case 1:
            CrashTable_add(all[router], &fact, Clock_nowMs());
            is_known[crash] = TRUE;
            break;
        default:
            merge(all[router], all[(router + crash) % ROUTERS], &about);
        }
    }
    for (guint round = 0; round < 2 * ROUTERS; round++) {
        merge(all[(round + 1) % ROUTERS], all[round % ROUTERS], &about);
    }
    guint expected = 0;
    for (guint crash = 0; crash < CRASHES; crash++) {
        expected += is_known[crash] && !is_void[crash] ? 1 : 0;
    }
    for (guint i = 0; i < ROUTERS; i++) {
        ck_assert_msg(counted(all[i], &about) == expected,
                      "seed %u: router %u counts %u of %u", seed, i,
                      counted(all[i], &about), expected);
        CrashTable_destroy(all[i]);
    }
    g_rand_free(random);
}

START_TEST(all_come_to_know_the_same_in_any_order)
{
    for (guint32 seed = 1; seed <= SEEDS; seed++) {
        converge(seed);
    }
}
END_TEST

TESTING_MAIN("CrashNews", a_crash_is_told_to_all_once,
             what_a_peer_tells_holds_here,
             where_not_all_are_linked_it_is_passed_on_once,
             a_new_link_is_told_all, an_upstream_that_lives_is_told,
             the_likely_cause_is_told_first,
             a_digest_of_another_length_is_none,
             all_come_to_know_the_same_in_any_order)
