#include "testing.h"

#include "FakeRouters.h"

#define ROUTERS 6
#define MESH_ROUTERS 16
/* Ten times the time that a new link takes to carry all urgent updates. */
#define CONVERGE_MS 1000

static FakeRouters_t routers;

static guint
count_addressed(const FakeRouter_t *router)
{
    const GPtrArray *members = Membership_members(router->membership);
    guint known = 0;
    for (guint i = 0; i < members->len; i++) {
        const Member_t *member = g_ptr_array_index(members, i);
        known += member->address.port != 0 && member->hall->len > 0 ? 1 : 0;
    }
    return known;
}

/* Guards against a router that never learns the address and hall of a linked
 * peer. When all routers start at once, each sends its full fact a few times
 * over its first links; links that come up later carried only heartbeats, as a
 * new link was sent the full fact only by chance. */
START_TEST(linked_routers_know_the_address_and_hall_of_their_peer)
{
    FakeRouters_init(&routers, ROUTERS, MESH_ROUTERS);
    FakeRouters_run(&routers, CONVERGE_MS);
    for (guint i = 0; i < ROUTERS; i++) {
        ck_assert_uint_eq(count_addressed(&routers.list[i]), ROUTERS - 1);
    }
    FakeRouters_clear(&routers);
}
END_TEST

/* A fleet whose routers know its first few routers as seeds and have the
 * budget of a small machine. */
#define FLEET_ROUTERS 60
#define FLEET_SEEDS 3
#define FLEET_BUDGET 2000
/* Time for a few attempts to find peers, one second each. */
#define FLEET_MS 5000

/* Guards against slow discovery when all routers start at once with three
 * seeds. Each fact was sent 19 times over random links, under a budget of 2000
 * bytes per second for all facts, so that dozens of routers each ranked
 * themselves first to place requests on a group of engines or to read the
 * store for all. */
START_TEST(routers_that_start_at_once_know_each_other_within_seconds)
{
    FakeRouters_start(&routers, FLEET_ROUTERS, MESH_ROUTERS, FLEET_SEEDS,
                      FLEET_BUDGET);
    FakeRouters_run(&routers, FLEET_MS);
    for (guint i = 0; i < FLEET_ROUTERS; i++) {
        ck_assert_uint_eq(count_addressed(&routers.list[i]),
                          FLEET_ROUTERS - 1);
    }
    FakeRouters_clear(&routers);
}
END_TEST

/* So small that the allowance is spent on updates before a third of the
 * routers is known. */
#define SMALL_BUDGET 110

/* Guards against routers that stay unknown in large fleets, where the facts of
 * a start over each link exceed the allowance: a third of 1,000 routers was
 * known, and the others never became known. */
START_TEST(routers_know_each_other_when_the_allowance_is_spent)
{
    FakeRouters_start(&routers, FLEET_ROUTERS, MESH_ROUTERS, FLEET_SEEDS,
                      SMALL_BUDGET);
    FakeRouters_run(&routers, FLEET_MS);
    for (guint i = 0; i < FLEET_ROUTERS; i++) {
        ck_assert_uint_eq(count_addressed(&routers.list[i]),
                          FLEET_ROUTERS - 1);
    }
    FakeRouters_clear(&routers);
}
END_TEST

/* The allowance holds one fact: each router tells its only seed of itself. */
#define ONE_FACT_BUDGET 1
#define SINGLE_SEED 1

/* A router whose seeds had spent their allowance knew its seeds alone, took
 * them for a complete mesh and did not query them. */
START_TEST(routers_whose_seed_has_no_allowance_know_each_other)
{
    FakeRouters_start(&routers, FLEET_ROUTERS, MESH_ROUTERS, SINGLE_SEED,
                      ONE_FACT_BUDGET);
    FakeRouters_run(&routers, FLEET_MS);
    for (guint i = 0; i < FLEET_ROUTERS; i++) {
        ck_assert_uint_eq(count_addressed(&routers.list[i]),
                          FLEET_ROUTERS - 1);
    }
    FakeRouters_clear(&routers);
}
END_TEST

/* Time by which the first routers have opened their links. */
#define FIRST_ROUTERS 24
#define FIRST_MS 700

/* Guards against a customer that exceeds its limit because several routers
 * each take themselves for the keeper of its count. Routers that start half a
 * second before the others have all the links that they want when the others
 * link to them. Updates go first to peers that opened the link, and no router
 * queried for them, so that the first routers sent updates to the others and
 * received none from them. */
START_TEST(routers_that_start_first_know_routers_that_start_later)
{
    FakeRouters_start(&routers, FIRST_ROUTERS, MESH_ROUTERS, FLEET_SEEDS,
                      FLEET_BUDGET);
    FakeRouters_run(&routers, FIRST_MS);
    FakeRouters_join(&routers, FLEET_ROUTERS - FIRST_ROUTERS, MESH_ROUTERS,
                     FLEET_SEEDS, FLEET_BUDGET);
    FakeRouters_run(&routers, FLEET_MS);
    for (guint i = 0; i < FLEET_ROUTERS; i++) {
        ck_assert_uint_eq(count_addressed(&routers.list[i]),
                          FLEET_ROUTERS - 1);
    }
    FakeRouters_clear(&routers);
}
END_TEST

#define HALLS 6
#define ROUTERS_PER_HALL 20
#define LOCAL_MIN 5
#define REMOTE_MIN 3

/* Any pointer that is not NULL: the tests only check whether a link is set. */
static PeerLink_t *const some_link = (PeerLink_t *)&routers;

static MemberTable_t *
make_table(void)
{
    MemberTable_t *table = MemberTable_create("r50", "h0", 1);
    for (guint i = 0; i < HALLS * ROUTERS_PER_HALL; i++) {
        g_autofree char *name = g_strdup_printf("r%u", 100 + i);
        Member_t *member = MemberTable_findOrCreate(table, name);
        g_string_printf(member->hall, "h%u", i % HALLS);
        member->link = some_link;
    }
    return table;
}

static void
free_table(MemberTable_t *table)
{
    for (guint i = 0; i < table->live->len; i++) {
        ((Member_t *)g_ptr_array_index(table->live, i))->link = NULL;
    }
    MemberTable_destroy(table);
}

static guint
count_local_update_peers(MemberTable_t *table)
{
    const GPtrArray *linked = MemberTable_listLinked(table);
    guint local = 0;
    for (guint i = 0; i < MIN(linked->len, MEMBER_TABLE_UPDATE_PEERS); i++) {
        local +=
            MemberTable_isInLocalHall(table, g_ptr_array_index(linked, i));
    }
    return local;
}

/* Updates between halls cost more, but some have to cross. */
START_TEST(most_update_peers_are_in_the_local_hall)
{
    MemberTable_t *table = make_table();
    ck_assert_uint_ge(count_local_update_peers(table), LOCAL_MIN);
    ck_assert_uint_le(count_local_update_peers(table),
                      MEMBER_TABLE_UPDATE_PEERS - REMOTE_MIN);
    ck_assert_uint_eq(MemberTable_listLinked(table)->len,
                      HALLS * ROUTERS_PER_HALL);
    g_string_assign(table->self.hall, "elsewhere");
    ck_assert_uint_eq(count_local_update_peers(table), 0);
    ck_assert_uint_eq(MemberTable_listLinked(table)->len,
                      HALLS * ROUTERS_PER_HALL);
    free_table(table);
}
END_TEST

/* Index in the local hall of the router with the incoming link; not the first
 * by name. */
#define INCOMING_INDEX 7

/* Guards against a router that stays without updates after a start of all
 * routers. When update peers were chosen by name alone, a router could be sent
 * updates by none of the peers that it linked to, as each peer has more links
 * than update peers; it knew only the routers of its first second. */
START_TEST(peers_with_incoming_links_are_update_peers_first)
{
    MemberTable_t *table = make_table();
    g_autofree char *name =
        g_strdup_printf("r%u", 100 + INCOMING_INDEX * HALLS);
    Member_t *incoming = MemberTable_find(table, name);
    ck_assert_ptr_ne(g_ptr_array_index(MemberTable_listLinked(table), 0),
                     incoming);
    incoming->is_incoming = TRUE;
    ck_assert_ptr_eq(g_ptr_array_index(MemberTable_listLinked(table), 0),
                     incoming);
    ck_assert_uint_ge(count_local_update_peers(table), LOCAL_MIN);
    free_table(table);
}
END_TEST

TESTING_MAIN("Membership",
             linked_routers_know_the_address_and_hall_of_their_peer,
             routers_that_start_at_once_know_each_other_within_seconds,
             routers_know_each_other_when_the_allowance_is_spent,
             routers_whose_seed_has_no_allowance_know_each_other,
             routers_that_start_first_know_routers_that_start_later,
             most_update_peers_are_in_the_local_hall,
             peers_with_incoming_links_are_update_peers_first)
