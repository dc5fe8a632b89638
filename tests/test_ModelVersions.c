#include "testing.h"

#include "ModelVersions.h"

START_TEST(only_newer_versions_are_added)
{
    ModelVersions_t *versions = ModelVersions_create();
    ck_assert_ptr_null(ModelVersions_findNewest(versions, "m"));
    ck_assert(ModelVersions_add(versions, "m", 2, 100));
    ck_assert(!ModelVersions_add(versions, "m", 2, 200));
    ck_assert(!ModelVersions_add(versions, "m", 1, 300));
    ck_assert_str_eq(ModelVersions_findNewest(versions, "m"), "2");
    ck_assert_int_eq(ModelVersions_ageMs(versions, "m", 400), 300);
    ModelVersions_destroy(versions);
}
END_TEST

/* Declaring a newer version must not restart the grace period of an older one.
 */
START_TEST(grace_of_each_version_counts_from_its_own_declaration)
{
    ModelVersions_t *versions = ModelVersions_create();
    ModelVersions_add(versions, "m", 2, 2000);
    ModelVersions_add(versions, "m", 3, 6000);
    ModelVersions_add(versions, "m", 5, 10000);
    ck_assert_uint_eq(ModelVersions_minVersion(versions, "m", 8000, 9999), 0);
    ck_assert_uint_eq(ModelVersions_minVersion(versions, "m", 8000, 10000), 2);
    ck_assert_uint_eq(ModelVersions_minVersion(versions, "m", 8000, 14000), 3);
    ck_assert_uint_eq(ModelVersions_minVersion(versions, "m", 8000, 18000), 5);
    ck_assert_uint_eq(ModelVersions_minVersion(versions, "other", 0, 18000),
                      0);
    ModelVersions_destroy(versions);
}
END_TEST

START_TEST(lag_counts_from_the_first_newer_version)
{
    ModelVersions_t *versions = ModelVersions_create();
    ModelVersions_add(versions, "m", 2, 2000);
    ModelVersions_add(versions, "m", 4, 6000);
    ck_assert_int_eq(ModelVersions_lagMs(versions, "m", 1, 7000), 5000);
    ck_assert_int_eq(ModelVersions_lagMs(versions, "m", 2, 7000), 1000);
    ck_assert_int_eq(ModelVersions_lagMs(versions, "m", 4, 7000), 0);
    ModelVersions_destroy(versions);
}
END_TEST

START_TEST(newest_versions_are_kept_when_many_are_declared)
{
    ModelVersions_t *versions = ModelVersions_create();
    for (guint64 version = 1; version <= 100; version++) {
        ModelVersions_add(versions, "m", version, (gint64)version * 10);
    }
    ck_assert_str_eq(ModelVersions_findNewest(versions, "m"), "100");
    ck_assert_uint_eq(ModelVersions_minVersion(versions, "m", 50, 1000), 95);
    ModelVersions_destroy(versions);
}
END_TEST

TESTING_MAIN("ModelVersions", only_newer_versions_are_added,
             grace_of_each_version_counts_from_its_own_declaration,
             lag_counts_from_the_first_newer_version,
             newest_versions_are_kept_when_many_are_declared)
