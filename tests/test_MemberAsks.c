#include "testing.h"

#include "MemberAsks.h"

#define OTHERS 5

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

START_TEST(who_knows_less_is_told_all)
{
    begin();
    MemberAsks_take(table, asker, OTHERS - 1);
    ck_assert(asker->wants_all);
    ck_assert_uint_eq(asker->told, 0);
    MemberTable_destroy(table);
}
END_TEST

START_TEST(who_knows_as_many_is_told_nothing)
{
    begin();
    MemberAsks_take(table, asker, OTHERS);
    ck_assert(!asker->wants_all);
    ck_assert_uint_eq(asker->told, 3);
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

TESTING_MAIN("MemberAsks", who_knows_less_is_told_all,
             who_knows_as_many_is_told_nothing,
             routers_without_a_place_do_not_count,
             nobody_is_asked_without_a_link)
