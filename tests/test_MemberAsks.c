#include "testing.h"

#include <string.h>

#include "MemberAsks.h"
#include "NameFilter.h"

#define OTHERS 5
#define MANY 1000
/* Asks after which a router that is missed each time has a chance of one in
 * some million. */
#define SEEDS 8

static MemberTable_t *table;
static Member_t *asker;

static void
begin(void)
{
    table = MemberTable_create("r0", "h", 1);
    for (guint i = 1; i <= OTHERS; i++) {
        g_autofree char *name = g_strdup_printf("r%u", i);
        Member_t *member = MemberTable_findOrMake(table, name);
        member->address.port = (guint16)i;
    }
    asker = MemberTable_find(table, "r1");
    asker->told = 3;
}

/* Asks as one that knows the first so many. */
static GPtrArray *
ask_knowing(guint known, guint32 seed)
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
    GPtrArray *unknown = MemberAsks_take(table, asker, &body);
    NameFilter_clear(&filter);
    return unknown;
}

static gboolean
names(const GPtrArray *members, const char *name)
{
    for (guint i = 0; i < members->len; i++) {
        const Member_t *member = g_ptr_array_index(members, i);
        if (strcmp(member->name->str, name) == 0) {
            return TRUE;
        }
    }
    return FALSE;
}

START_TEST(who_knows_less_is_told_the_rest)
{
    begin();
    table->self.address.port = 1;
    g_autoptr(GPtrArray) unknown = ask_knowing(OTHERS - 2, 1);
    ck_assert(names(unknown, "r0"));
    ck_assert(names(unknown, "r4"));
    ck_assert(names(unknown, "r5"));
    ck_assert(!names(unknown, "r1"));
    ck_assert(!names(unknown, "r3"));
    MemberTable_destroy(table);
}
END_TEST

START_TEST(who_knows_nobody_is_told_all_but_itself)
{
    Wt__MembersAsk body = WT__MEMBERS_ASK__INIT;
    begin();
    g_autoptr(GPtrArray) unknown = MemberAsks_take(table, asker, &body);
    ck_assert_uint_eq(unknown->len, OTHERS - 1);
    ck_assert(!names(unknown, "r1"));
    MemberTable_destroy(table);
}
END_TEST

START_TEST(who_knows_all_is_told_nothing)
{
    begin();
    g_autoptr(GPtrArray) unknown = ask_knowing(OTHERS, 1);
    ck_assert_uint_eq(unknown->len, 0);
    ck_assert_uint_eq(asker->told, 3);
    MemberTable_destroy(table);
}
END_TEST

/* Who takes one for known that it does not know would never hear of it. */
START_TEST(what_one_ask_takes_for_known_another_does_not)
{
    table = MemberTable_create("r0", "h", 1);
    asker = MemberTable_findOrMake(table, "r1");
    for (guint i = 1; i <= MANY; i++) {
        g_autofree char *name = g_strdup_printf("r%u", i);
        MemberTable_findOrMake(table, name)->address.port = 1;
    }
    g_autoptr(GHashTable) told = g_hash_table_new(g_direct_hash, NULL);
    for (guint32 seed = 1; seed <= SEEDS; seed++) {
        g_autoptr(GPtrArray) unknown = ask_knowing(MANY / 2, seed);
        ck_assert_uint_ge(unknown->len, MANY / 2 * 9 / 10);
        for (guint i = 0; i < unknown->len; i++) {
            g_hash_table_add(told, g_ptr_array_index(unknown, i));
        }
    }
    ck_assert_uint_eq(g_hash_table_size(told), MANY / 2);
    MemberTable_destroy(table);
}
END_TEST

/* A heartbeat names a router without its place, which is no use to anybody. */
START_TEST(routers_without_a_place_do_not_count)
{
    begin();
    MemberTable_findOrMake(table, "r9");
    ck_assert_uint_eq(MemberTable_placed(table), OTHERS);
    MemberTable_destroy(table);
}
END_TEST

START_TEST(nobody_is_asked_without_a_link)
{
    MemberAsks_t asks;
    begin();
    MemberAsks_init(&asks, 0);
    MemberAsks_tick(&asks, table, 100000);
    ck_assert_uint_eq(asks.sent, 0);
    MemberTable_destroy(table);
}
END_TEST

TESTING_MAIN("MemberAsks", who_knows_less_is_told_the_rest,
             who_knows_nobody_is_told_all_but_itself,
             who_knows_all_is_told_nothing,
             what_one_ask_takes_for_known_another_does_not,
             routers_without_a_place_do_not_count,
             nobody_is_asked_without_a_link)
