#include "testing.h"

#include <string.h>

#include "MemberQueries.h"
#include "NameFilter.h"

#define OTHER_ROUTERS 5
#define MANY_ROUTERS 1000
/* Number of queries after which the chance that the filters hid the same
 * router each time is about one in some million. */
#define SEEDS 8

static MemberTable_t *table;
static Member_t *requester;

static void
set_up(void)
{
    table = MemberTable_create("r0", "h", 1);
    for (guint i = 1; i <= OTHER_ROUTERS; i++) {
        g_autofree char *name = g_strdup_printf("r%u", i);
        Member_t *member = MemberTable_findOrCreate(table, name);
        member->address.port = (guint16)i;
    }
    requester = MemberTable_find(table, "r1");
    requester->sent_seq = 3;
}

/* Handles a query of a requester that knows the first @known routers. */
static GPtrArray *
query_knowing(guint known, guint32 seed)
{
    NameFilter_t filter;
    Wt__MembersAsk body = WT__MEMBERS_ASK__INIT;
    NameFilter_init(&filter, known, seed);
    for (guint i = 1; i <= known; i++) {
        g_autofree char *name = g_strdup_printf("r%u", i);
        NameFilter_add(&filter, name, 0);
    }
    body.known = known;
    body.filter.data = filter.bits->data;
    body.filter.len = filter.bits->len;
    body.seed = seed;
    GPtrArray *unknown = MemberQueries_receive(table, requester, &body);
    NameFilter_clear(&filter);
    return unknown;
}

static gboolean
contains(const GPtrArray *members, const char *name)
{
    for (guint i = 0; i < members->len; i++) {
        const Member_t *member = g_ptr_array_index(members, i);
        if (strcmp(member->name->str, name) == 0) {
            return TRUE;
        }
    }
    return FALSE;
}

START_TEST(requester_is_sent_the_routers_it_lacks)
{
    set_up();
    table->self.address.port = 1;
    g_autoptr(GPtrArray) unknown = query_knowing(OTHER_ROUTERS - 2, 1);
    ck_assert(contains(unknown, "r0"));
    ck_assert(contains(unknown, "r4"));
    ck_assert(contains(unknown, "r5"));
    ck_assert(!contains(unknown, "r1"));
    ck_assert(!contains(unknown, "r3"));
    MemberTable_destroy(table);
}
END_TEST

START_TEST(requester_that_knows_no_router_is_sent_all_but_itself)
{
    Wt__MembersAsk body = WT__MEMBERS_ASK__INIT;
    set_up();
    g_autoptr(GPtrArray) unknown =
        MemberQueries_receive(table, requester, &body);
    ck_assert_uint_eq(unknown->len, OTHER_ROUTERS - 1);
    ck_assert(!contains(unknown, "r1"));
    MemberTable_destroy(table);
}
END_TEST

START_TEST(requester_that_knows_all_is_sent_none)
{
    set_up();
    g_autoptr(GPtrArray) unknown = query_knowing(OTHER_ROUTERS, 1);
    ck_assert_uint_eq(unknown->len, 0);
    ck_assert_uint_eq(requester->sent_seq, 3);
    MemberTable_destroy(table);
}
END_TEST

/* A false positive of the filter must not hide a router from the requester for
 * good: each query uses another seed. */
START_TEST(false_positive_of_one_query_is_not_repeated_by_others)
{
    table = MemberTable_create("r0", "h", 1);
    requester = MemberTable_findOrCreate(table, "r1");
    for (guint i = 1; i <= MANY_ROUTERS; i++) {
        g_autofree char *name = g_strdup_printf("r%u", i);
        MemberTable_findOrCreate(table, name)->address.port = 1;
    }
    g_autoptr(GHashTable) sent = g_hash_table_new(g_direct_hash, NULL);
    for (guint32 seed = 1; seed <= SEEDS; seed++) {
        g_autoptr(GPtrArray) unknown = query_knowing(MANY_ROUTERS / 2, seed);
        ck_assert_uint_ge(unknown->len, MANY_ROUTERS / 2 * 9 / 10);
        for (guint i = 0; i < unknown->len; i++) {
            g_hash_table_add(sent, g_ptr_array_index(unknown, i));
        }
    }
    ck_assert_uint_eq(g_hash_table_size(sent), MANY_ROUTERS / 2);
    MemberTable_destroy(table);
}
END_TEST

/* A heartbeat adds a router without its address, which other routers can't
 * use. */
START_TEST(routers_without_address_are_not_counted)
{
    set_up();
    MemberTable_findOrCreate(table, "r9");
    ck_assert_uint_eq(MemberTable_countAddressed(table), OTHER_ROUTERS);
    MemberTable_destroy(table);
}
END_TEST

START_TEST(no_query_is_sent_without_a_link)
{
    MemberQueries_t queries;
    set_up();
    MemberQueries_init(&queries, 0);
    MemberQueries_tick(&queries, table, 100000);
    ck_assert_uint_eq(queries.unproductive_count, 0);
    MemberTable_destroy(table);
}
END_TEST

TESTING_MAIN("MemberQueries", requester_is_sent_the_routers_it_lacks,
             requester_that_knows_no_router_is_sent_all_but_itself,
             requester_that_knows_all_is_sent_none,
             false_positive_of_one_query_is_not_repeated_by_others,
             routers_without_address_are_not_counted,
             no_query_is_sent_without_a_link)
