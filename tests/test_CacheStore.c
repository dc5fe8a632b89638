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

/* Regression: shared prefixes were computed again although the store held
 * them. All copies of a store counted as one link, so that with many prefixes
 * fetched from several copies a move seemed slower than computing. */
START_TEST(each_copy_has_its_own_link)
{
    CacheStore_t *store = create(3);
    TransferLink_t destination = {0};
    TransferLink_reserve(CacheStore_link(store, 3), &destination, 50000,
                         NOW_US);
    ck_assert_int_eq(TransferLink_waitUs(CacheStore_link(store, 3), NOW_US),
                     50000);
    ck_assert_int_eq(TransferLink_waitUs(CacheStore_link(store, 6), NOW_US),
                     50000);
    ck_assert_int_eq(TransferLink_waitUs(CacheStore_link(store, 4), NOW_US),
                     0);
    ck_assert_int_eq(CacheStore_localUs(store, NOW_US), 50000);
    ck_assert_str_eq(CacheStore_hall(store, 4), "b");
    CacheStore_destroy(store);
}
END_TEST

START_TEST(moves_of_other_routers_are_split_among_the_copies)
{
    CacheStore_t *store = create(3);
    CacheStore_setOthersUs(store, 90000);
    ck_assert_int_eq(TransferLink_waitUs(CacheStore_link(store, 0), NOW_US),
                     30000);
    ck_assert_int_eq(TransferLink_waitUs(CacheStore_link(store, 2), NOW_US),
                     30000);
    CacheStore_destroy(store);
}
END_TEST

START_TEST(links_in_use_survive_a_change_of_copies)
{
    CacheStore_t *store = create(3);
    TransferLink_t *removed = CacheStore_link(store, 2);
    g_autoptr(GPtrArray) halls = g_ptr_array_new();
    CacheStore_setCopies(store, halls);
    ck_assert_ptr_eq(CacheStore_link(store, 1), CacheStore_link(store, 2));
    TransferLink_noteExcess(removed, 1000, NOW_US / 1000);
    g_ptr_array_add(halls, (gpointer) "x");
    g_ptr_array_add(halls, (gpointer) "y");
    CacheStore_setCopies(store, halls);
    ck_assert_str_eq(CacheStore_hall(store, 1), "y");
    CacheStore_destroy(store);
}
END_TEST

TESTING_MAIN("CacheStore", each_copy_has_its_own_link,
             moves_of_other_routers_are_split_among_the_copies,
             links_in_use_survive_a_change_of_copies)
