#include "testing.h"

#include "Gossip.h"

#define LINK_MBIT 100

static MemberTable_t *table;
static UpstreamSet_t *upstreams;
static Counters_t *counters;
static PeersSection_t settings = {.gossip_budget = 10000, .mesh_routers = 16};
static Gossip_t *gossip;

static void
set_up(void)
{
    table = MemberTable_create("r0", "h", 1);
    upstreams = UpstreamSet_create(NULL, 0);
    counters = Counters_create();
    gossip = Gossip_create(table, upstreams, counters, &settings);
}

static void
tear_down(void)
{
    Gossip_destroy(gossip);
    Counters_destroy(counters);
    UpstreamSet_destroy(upstreams);
    MemberTable_destroy(table);
}

/* Receives a fact of router r1; an empty address makes it a heartbeat, without
 * address and hall. */
static void
receive_fact(guint64 incarnation, guint64 heartbeat, const char *address,
             gboolean leaving)
{
    Wt__MemberFact fact = WT__MEMBER_FACT__INIT;
    Wt__MemberFact *facts = &fact;
    Wt__Gossip message = WT__GOSSIP__INIT;
    fact.name = "r1";
    fact.incarnation = incarnation;
    fact.heartbeat = heartbeat;
    fact.address = (char *)address;
    fact.hall = *address ? "h" : "";
    fact.link_mbit = *address ? LINK_MBIT : 0;
    fact.leaving = leaving;
    message.n_members = 1;
    message.members = &facts;
    Gossip_receive(gossip, &message, 0);
}

static const Member_t *
find_member(void)
{
    return MemberTable_find(table, "r1");
}

/* Guards against a router whose address and hall stay unknown. A heartbeat may
 * arrive before the full fact with the same count, which was then ignored as
 * not newer, so that queries to the router went to no port. */
START_TEST(full_fact_is_applied_after_its_own_heartbeat)
{
    set_up();
    receive_fact(1, 3, "", FALSE);
    ck_assert_uint_eq(find_member()->address.port, 0);
    receive_fact(1, 3, "127.0.0.1:7", FALSE);
    ck_assert_uint_eq(find_member()->address.port, 7);
    ck_assert_str_eq(find_member()->hall->str, "h");
    tear_down();
}
END_TEST

START_TEST(routers_with_faster_links_rank_first)
{
    set_up();
    receive_fact(1, 3, "127.0.0.1:7", FALSE);
    guint before = MemberTable_rankByLink(table, "key");
    table->self.link_mbit = LINK_MBIT - 1;
    ck_assert_uint_eq(MemberTable_rankByLink(table, "key"), 1);
    receive_fact(1, 4, "", FALSE);
    ck_assert_uint_eq(MemberTable_rankByLink(table, "key"), 1);
    table->self.link_mbit = LINK_MBIT + 1;
    ck_assert_uint_eq(MemberTable_rankByLink(table, "key"), 0);
    table->self.link_mbit = LINK_MBIT;
    guint equal = MemberTable_rankByLink(table, "key");
    ck_assert_uint_eq(equal, MemberTable_localRank(table, "key", NULL));
    ck_assert_uint_eq(before, 1);
    receive_fact(1, 5, "127.0.0.1:7", TRUE);
    table->self.link_mbit = 0;
    ck_assert_uint_eq(MemberTable_rankByLink(table, "key"), 0);
    tear_down();
}
END_TEST

START_TEST(older_full_fact_supplies_an_unknown_address)
{
    set_up();
    receive_fact(1, 5, "", FALSE);
    receive_fact(1, 3, "127.0.0.1:7", FALSE);
    ck_assert_uint_eq(find_member()->address.port, 7);
    ck_assert_uint_eq(find_member()->heartbeat, 5);
    tear_down();
}
END_TEST

START_TEST(restarted_router_is_known_at_its_new_address)
{
    set_up();
    receive_fact(1, 3, "127.0.0.1:7", FALSE);
    receive_fact(2, 1, "", FALSE);
    receive_fact(2, 1, "127.0.0.1:8", FALSE);
    ck_assert_uint_eq(find_member()->address.port, 8);
    receive_fact(1, 3, "127.0.0.1:7", FALSE);
    ck_assert_uint_eq(find_member()->address.port, 8);
    tear_down();
}
END_TEST

START_TEST(fact_of_an_older_incarnation_is_ignored)
{
    set_up();
    receive_fact(2, 1, "", FALSE);
    receive_fact(1, 9, "127.0.0.1:7", TRUE);
    ck_assert_uint_eq(find_member()->address.port, 0);
    ck_assert(!find_member()->leaving);
    ck_assert_uint_eq(find_member()->incarnation, 2);
    tear_down();
}
END_TEST

START_TEST(leaving_is_not_reset_by_late_or_repeated_facts)
{
    set_up();
    receive_fact(1, 3, "127.0.0.1:7", FALSE);
    receive_fact(1, 4, "127.0.0.1:7", TRUE);
    receive_fact(1, 4, "127.0.0.1:7", TRUE);
    receive_fact(1, 3, "127.0.0.1:7", FALSE);
    receive_fact(1, 5, "", FALSE);
    ck_assert(find_member()->leaving);
    receive_fact(2, 1, "127.0.0.1:8", FALSE);
    ck_assert(!find_member()->leaving);
    ck_assert_uint_eq(find_member()->address.port, 8);
    tear_down();
}
END_TEST

TESTING_MAIN("Gossip", full_fact_is_applied_after_its_own_heartbeat,
             routers_with_faster_links_rank_first,
             older_full_fact_supplies_an_unknown_address,
             restarted_router_is_known_at_its_new_address,
             fact_of_an_older_incarnation_is_ignored,
             leaving_is_not_reset_by_late_or_repeated_facts)
