#include "testing.h"

#include "NamedWeights.h"

START_TEST(only_newer_versions_are_taken)
{
    NamedWeights_t *weights = NamedWeights_create();
    ck_assert_ptr_null(NamedWeights_find(weights, "m"));
    ck_assert(NamedWeights_take(weights, "m", 2, 100));
    ck_assert(!NamedWeights_take(weights, "m", 2, 200));
    ck_assert(!NamedWeights_take(weights, "m", 1, 300));
    ck_assert_str_eq(NamedWeights_find(weights, "m"), "2");
    ck_assert_int_eq(NamedWeights_ageMs(weights, "m", 400), 300);
    NamedWeights_destroy(weights);
}
END_TEST

/* A newer name must not hide that an older one is overdue. */
START_TEST(each_version_is_due_by_its_own_name)
{
    NamedWeights_t *weights = NamedWeights_create();
    NamedWeights_take(weights, "m", 2, 2000);
    NamedWeights_take(weights, "m", 3, 6000);
    NamedWeights_take(weights, "m", 5, 10000);
    ck_assert_uint_eq(NamedWeights_due(weights, "m", 8000, 9999), 0);
    ck_assert_uint_eq(NamedWeights_due(weights, "m", 8000, 10000), 2);
    ck_assert_uint_eq(NamedWeights_due(weights, "m", 8000, 14000), 3);
    ck_assert_uint_eq(NamedWeights_due(weights, "m", 8000, 18000), 5);
    ck_assert_uint_eq(NamedWeights_due(weights, "other", 0, 18000), 0);
    NamedWeights_destroy(weights);
}
END_TEST

START_TEST(a_lag_counts_from_the_first_newer_name)
{
    NamedWeights_t *weights = NamedWeights_create();
    NamedWeights_take(weights, "m", 2, 2000);
    NamedWeights_take(weights, "m", 4, 6000);
    ck_assert_int_eq(NamedWeights_lagMs(weights, "m", 1, 7000), 5000);
    ck_assert_int_eq(NamedWeights_lagMs(weights, "m", 2, 7000), 1000);
    ck_assert_int_eq(NamedWeights_lagMs(weights, "m", 4, 7000), 0);
    NamedWeights_destroy(weights);
}
END_TEST

START_TEST(many_names_in_a_row_keep_the_newest)
{
    NamedWeights_t *weights = NamedWeights_create();
    for (guint64 version = 1; version <= 100; version++) {
        NamedWeights_take(weights, "m", version, (gint64)version * 10);
    }
    ck_assert_str_eq(NamedWeights_find(weights, "m"), "100");
    ck_assert_uint_eq(NamedWeights_due(weights, "m", 50, 1000), 95);
    NamedWeights_destroy(weights);
}
END_TEST

TESTING_MAIN("NamedWeights", only_newer_versions_are_taken,
             each_version_is_due_by_its_own_name,
             a_lag_counts_from_the_first_newer_name,
             many_names_in_a_row_keep_the_newest)
