/* Crashes reach the tables of all routers, in any order of messages. */
#include "CrashUpdates.h"

#include <string.h>

#include "Clock.h"
#include "FakeRouters.h"
#include "testing.h"

#define MESH 16
#define NO_MESH 1
#define SEEDS 60
#define ROUTERS 6
#define CRASHES 8
/* Longer than all broadcasts of a test take. */
#define BROADCASTS_MS 200

static FakeRouters_t routers;
static CrashTable_t *table;
static CrashUpdates_t *updates;
static guint quarantines;

static void
on_changed(void *owner, const RequestDigest_t *digest, CrashChange_t change)
{
    (void)owner;
    (void)digest;
    quarantines += change == CRASH_QUARANTINED ? 1 : 0;
}

static const CrashUpdatesEvents_t events = {.changed = on_changed};

static void
begin(gint64 mesh)
{
    quarantines = 0;
    FakeRouters_init(&routers, 3, mesh);
    table = CrashTable_create();
    updates = CrashUpdates_create(routers.base, routers.list[0].membership,
                                  table, &events, NULL);
}

static void
end(void)
{
    CrashUpdates_destroy(updates);
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
    CrashUpdates_broadcast(updates, &fact.digest);
}

static guint
count_sent(guint which)
{
    return FakeRouters_count(&routers, which,
                             WT__PEER_MESSAGE__BODY_CRASH_NEWS);
}

static const Wt__CrashNews *
find_newest(guint which)
{
    const Wt__PeerMessage *message =
        FakeRouters_find(&routers, which, WT__PEER_MESSAGE__BODY_CRASH_NEWS);
    ck_assert_ptr_nonnull(message);
    return message->crash_news;
}

START_TEST(crash_is_sent_to_each_peer_once)
{
    begin(MESH);
    add(1, 11);
    FakeRouters_run(&routers, BROADCASTS_MS);
    for (guint which = 1; which < 3; which++) {
        ck_assert_uint_eq(count_sent(which), 1);
        ck_assert_uint_eq(find_newest(which)->n_facts, 1);
        ck_assert_uint_eq(find_newest(which)->facts[0]->n_crashes, 1);
        ck_assert_uint_eq(find_newest(which)->facts[0]->crashes[0], 11);
    }
    end();
}
END_TEST

static Wt__CrashNews *
copy_message(const Wt__CrashNews *message)
{
    gsize size = wt__crash_news__get_packed_size(message);
    g_autofree guint8 *bytes = g_malloc(size + 1);
    wt__crash_news__pack(message, bytes);
    return wt__crash_news__unpack(NULL, size, bytes);
}

static void
receive_twice(gint64 mesh, guint forwarded)
{
    begin(mesh);
    for (guint64 crash = 11; crash < 11 + CRASHES_TO_QUARANTINE; crash++) {
        add(1, crash);
    }
    FakeRouters_run(&routers, BROADCASTS_MS);
    Wt__CrashNews *message = copy_message(find_newest(1));
    end();
    begin(mesh);
    CrashUpdates_receive(updates, message, 0);
    CrashUpdates_receive(updates, message, 0);
    ck_assert_uint_eq(quarantines, 1);
    FakeRouters_run(&routers, BROADCASTS_MS);
    ck_assert_uint_eq(count_sent(1), forwarded);
    wt__crash_news__free_unpacked(message, NULL);
    end();
}

START_TEST(crashes_from_a_peer_quarantine_the_request)
{
    receive_twice(MESH, 0);
}
END_TEST

START_TEST(facts_are_forwarded_once_without_a_full_mesh)
{
    receive_twice(NO_MESH, 1);
}
END_TEST

START_TEST(new_peer_receives_all_entries)
{
    begin(MESH);
    for (guint8 request = 1; request <= 5; request++) {
        CrashFact_t fact = fact_of(request, request);
        CrashTable_add(table, &fact, Clock_nowMs());
    }
    const GPtrArray *members = Membership_members(routers.list[0].membership);
    CrashUpdates_syncPeer(updates, g_ptr_array_index(members, 0), FALSE);
    FakeRouters_run(&routers, BROADCASTS_MS);
    ck_assert_uint_eq(count_sent(1) + count_sent(2), 1);
    ck_assert_uint_eq(find_newest(count_sent(1) > 0 ? 1 : 2)->n_facts, 5);
    end();
}
END_TEST

START_TEST(retraction_is_sent_to_peers)
{
    begin(MESH);
    CrashUpdates_broadcastAlive(updates, 11);
    FakeRouters_run(&routers, BROADCASTS_MS);
    ck_assert_uint_eq(find_newest(1)->n_alive, 1);
    ck_assert_uint_eq(find_newest(1)->alive[0], 11);
    end();
}
END_TEST

/* If many upstreams are lost at once, their facts take several broadcasts; a
 * request with two crashes must not wait behind those with one. */
START_TEST(requests_with_two_crashes_are_sent_first)
{
    begin(MESH);
    for (guint request = 2; request < 200; request++) {
        add((guint8)request, 11);
    }
    add(1, 11);
    add(1, 12);
    FakeRouters_run(&routers, BROADCASTS_MS);
    ck_assert_uint_gt(count_sent(1), 1);
    for (guint i = 0; i < routers.list[1].received->len; i++) {
        const Wt__PeerMessage *message =
            g_ptr_array_index(routers.list[1].received, i);
        if (message->body_case == WT__PEER_MESSAGE__BODY_CRASH_NEWS) {
            ck_assert_uint_le(message->crash_news->n_facts, 32);
            ck_assert_uint_eq(message->crash_news->facts[0]->n_crashes, 2);
            break;
        }
    }
    end();
}
END_TEST

START_TEST(digest_of_wrong_length_is_ignored)
{
    guint8 bytes[4] = {0};
    Wt__CrashFact fact = WT__CRASH_FACT__INIT;
    fact.digest.data = bytes;
    fact.digest.len = sizeof(bytes);
    CrashTable_t *empty = CrashTable_create();
    ck_assert_int_eq(CrashUpdates_apply(empty, &fact, 0), CRASH_UNCHANGED);
    ck_assert_uint_eq(CrashTable_size(empty), 0);
    CrashTable_destroy(empty);
}
END_TEST

static void
merge_entry(CrashTable_t *to, const CrashTable_t *from,
            const RequestDigest_t *digest)
{
    const CrashEntry_t *entry = CrashTable_find(from, digest);
    Wt__CrashFact fact;
    guint64 ids[CRASHES_PER_REQUEST_MAX];
    if (entry) {
        CrashUpdates_encode(entry, &fact, ids);
        CrashUpdates_apply(to, &fact, entry->last_ms);
    }
}

static guint
count_valid(const CrashTable_t *table_of_router, const RequestDigest_t *digest)
{
    const CrashEntry_t *entry = CrashTable_find(table_of_router, digest);
    return entry ? CrashEntry_countValid(entry) : 0;
}

/* Random routers add crashes, void crashes or merge the entry of another
 * router. After a final exchange between all of them every table must hold the
 * crashes that were added and not voided. */
static void
converge(guint32 seed)
{
    GRand *random = g_rand_new_with_seed(seed);
    CrashTable_t *all[ROUTERS];
    RequestDigest_t digest = {{1}};
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
            merge_entry(all[router], all[(router + crash) % ROUTERS], &digest);
        }
    }
    for (guint round = 0; round < 2 * ROUTERS; round++) {
        merge_entry(all[(round + 1) % ROUTERS], all[round % ROUTERS], &digest);
    }
    guint expected = 0;
    for (guint crash = 0; crash < CRASHES; crash++) {
        expected += is_known[crash] && !is_void[crash] ? 1 : 0;
    }
    for (guint i = 0; i < ROUTERS; i++) {
        ck_assert_msg(count_valid(all[i], &digest) == expected,
                      "seed %u: router %u counts %u of %u", seed, i,
                      count_valid(all[i], &digest), expected);
        CrashTable_destroy(all[i]);
    }
    g_rand_free(random);
}

START_TEST(tables_converge_in_any_order_of_messages)
{
    for (guint32 seed = 1; seed <= SEEDS; seed++) {
        converge(seed);
    }
}
END_TEST

TESTING_MAIN("CrashNews", crash_is_sent_to_each_peer_once,
             crashes_from_a_peer_quarantine_the_request,
             facts_are_forwarded_once_without_a_full_mesh,
             new_peer_receives_all_entries, retraction_is_sent_to_peers,
             requests_with_two_crashes_are_sent_first,
             digest_of_wrong_length_is_ignored,
             tables_converge_in_any_order_of_messages)
