#include "testing.h"

#include "CacheStore.h"

#define NOW_US 1000000

static CacheStore_t *
create(guint copies)
{
    g_autoptr(GPtrArray) halls = g_ptr_array_new();
    static const char *const names[] = {"a", "b", "c"};
    for (guint i = 0; i < copies; i++) {
        g_ptr_array_add(halls, (gpointer)names[i]);
    }
    CacheStore_t *store = CacheStore_create(NULL);
    CacheStore_setCopies(store, halls);
    return store;
}

/* Symptom: shared prefixes were computed anew although they were kept beside
 * the engines. Sequence: a store has several copies, and a dispatcher has many
 * prefixes taken from them. Cause: one link was counted for all copies, so
 * that a move seemed to take longer than to compute. Settled by: a replay of
 * a load whose read tokens grew with fewer copies. */
START_TEST(each_copy_has_a_link_of_its_own)
{
    CacheStore_t *store = create(3);
    Link_t taker = {0};
    Link_begin(CacheStore_link(store, 3), &taker, 50000, NOW_US);
    ck_assert_int_eq(Link_waitUs(CacheStore_link(store, 3), NOW_US), 50000);
    ck_assert_int_eq(Link_waitUs(CacheStore_link(store, 6), NOW_US), 50000);
    ck_assert_int_eq(Link_waitUs(CacheStore_link(store, 4), NOW_US), 0);
    ck_assert_int_eq(CacheStore_ownUs(store, NOW_US), 50000);
    ck_assert_str_eq(CacheStore_hall(store, 4), "b");
    CacheStore_destroy(store);
}
END_TEST

START_TEST(what_others_take_is_shared_out_among_the_copies)
{
    CacheStore_t *store = create(3);
    CacheStore_setOthersUs(store, 90000);
    ck_assert_int_eq(Link_waitUs(CacheStore_link(store, 0), NOW_US), 30000);
    ck_assert_int_eq(Link_waitUs(CacheStore_link(store, 2), NOW_US), 30000);
    CacheStore_destroy(store);
}
END_TEST

START_TEST(copies_may_come_and_go_under_requests)
{
    CacheStore_t *store = create(3);
    Link_t *held = CacheStore_link(store, 2);
    g_autoptr(GPtrArray) none = g_ptr_array_new();
    CacheStore_setCopies(store, none);
    ck_assert_ptr_eq(CacheStore_link(store, 1), CacheStore_link(store, 2));
    Link_noteExcess(held, 1000, NOW_US / 1000);
    g_ptr_array_add(none, (gpointer) "x");
    g_ptr_array_add(none, (gpointer) "y");
    CacheStore_setCopies(store, none);
    ck_assert_str_eq(CacheStore_hall(store, 1), "y");
    CacheStore_destroy(store);
}
END_TEST

TESTING_MAIN("CacheStore", each_copy_has_a_link_of_its_own,
             what_others_take_is_shared_out_among_the_copies,
             copies_may_come_and_go_under_requests)
