#include "SoftwareVersions.h"

#include "testing.h"

#define WINDOW_MS 1000

static guint mixed_calls;

static void
on_mixed(void *owner, const char *service)
{
    ck_assert_ptr_eq(owner, &mixed_calls);
    ck_assert_str_eq(service, "s");
    mixed_calls++;
}

static SoftwareVersions_t *
create(gboolean is_learned)
{
    SoftwareVersions_t *this = SoftwareVersions_create();
    mixed_calls = 0;
    SoftwareVersions_addMixedCallback(this, on_mixed, &mixed_calls);
    if (is_learned) {
        SoftwareVersions_noteBefore(this, "s", "v1", 0);
        SoftwareVersions_learn(this);
    }
    return this;
}

static const char *
find(const SoftwareVersions_t *this, gint64 now_ms)
{
    return SoftwareVersions_findOnly(this, "s", WINDOW_MS, now_ms);
}

START_TEST(a_service_that_had_one_version_before_is_known_at_once)
{
    SoftwareVersions_t *this = create(FALSE);
    SoftwareVersions_noteBefore(this, "s", "v1", 0);
    SoftwareVersions_put(this, "a", "s", "v1", 1);
    ck_assert_ptr_null(find(this, 1));
    SoftwareVersions_learn(this);
    ck_assert_str_eq(find(this, 1), "v1");
    SoftwareVersions_destroy(this);
}
END_TEST

/* The version that was found after a restart was taken for the only one,
 * although it had replaced another one meanwhile. */
START_TEST(a_version_that_served_before_counts_for_the_window)
{
    SoftwareVersions_t *this = create(TRUE);
    SoftwareVersions_put(this, "a", "s", "v2", 1);
    ck_assert_uint_eq(mixed_calls, 1);
    ck_assert_ptr_null(find(this, WINDOW_MS - 1));
    ck_assert_str_eq(find(this, WINDOW_MS + 1), "v2");
    SoftwareVersions_destroy(this);
}
END_TEST

START_TEST(a_service_of_which_nothing_is_recorded_is_not_known)
{
    SoftwareVersions_t *this = create(TRUE);
    SoftwareVersions_put(this, "a", "third", "v1", 1);
    ck_assert_ptr_null(
        SoftwareVersions_findOnly(this, "third", WINDOW_MS, WINDOW_MS));
    ck_assert_str_eq(
        SoftwareVersions_findOnly(this, "third", WINDOW_MS, 1 + WINDOW_MS),
        "v1");
    SoftwareVersions_destroy(this);
}
END_TEST

static void
check_serving(const SoftwareVersions_t *this, gint64 at_ms, const char *first,
              const char *second)
{
    g_autoptr(GPtrArray) serving =
        SoftwareVersions_listServing(this, "s", WINDOW_MS, at_ms);
    ck_assert_uint_eq(serving->len, (first ? 1 : 0) + (second ? 1 : 0));
    if (first) {
        ck_assert_str_eq(g_ptr_array_index(serving, 0), first);
    }
    if (second) {
        ck_assert_str_eq(g_ptr_array_index(serving, 1), second);
    }
}

START_TEST(versions_that_serve_are_listed_in_order)
{
    SoftwareVersions_t *this = create(FALSE);
    check_serving(this, 0, NULL, NULL);
    SoftwareVersions_noteBefore(this, "s", "v2", 0);
    SoftwareVersions_put(this, "a", "s", "v1", 1);
    check_serving(this, 1, "v1", "v2");
    check_serving(this, WINDOW_MS, "v1", NULL);
    SoftwareVersions_remove(this, "a", WINDOW_MS);
    check_serving(this, 2 * WINDOW_MS, NULL, NULL);
    SoftwareVersions_destroy(this);
}
END_TEST

START_TEST(a_router_that_did_not_learn_is_sure_after_the_window)
{
    SoftwareVersions_t *this = create(FALSE);
    SoftwareVersions_put(this, "a", "s", "v1", 10);
    ck_assert_ptr_null(find(this, 10 + WINDOW_MS - 1));
    ck_assert_str_eq(find(this, 10 + WINDOW_MS), "v1");
    SoftwareVersions_destroy(this);
}
END_TEST

START_TEST(what_served_unseen_is_not_known)
{
    SoftwareVersions_t *this = create(TRUE);
    SoftwareVersions_noteGap(this, 1);
    SoftwareVersions_put(this, "a", "s", "v1", 1);
    ck_assert_str_eq(find(this, 1), "v1");
    SoftwareVersions_noteGap(this, 2);
    ck_assert_uint_eq(mixed_calls, 1);
    ck_assert_ptr_null(find(this, 2));
    ck_assert_ptr_null(find(this, WINDOW_MS + 1));
    ck_assert_str_eq(find(this, WINDOW_MS + 2), "v1");
    SoftwareVersions_destroy(this);
}
END_TEST

START_TEST(a_service_that_had_several_versions_before_is_not_known)
{
    SoftwareVersions_t *this = create(TRUE);
    SoftwareVersions_noteMixedBefore(this, "s");
    SoftwareVersions_noteBefore(this, "other", "v1", 0);
    SoftwareVersions_put(this, "a", "s", "v1", 10);
    SoftwareVersions_put(this, "b", "other", "v1", 10);
    ck_assert_ptr_null(find(this, 10 + WINDOW_MS - 1));
    ck_assert_str_eq(find(this, 10 + WINDOW_MS), "v1");
    ck_assert_str_eq(SoftwareVersions_findOnly(this, "other", WINDOW_MS, 11),
                     "v1");
    SoftwareVersions_destroy(this);
}
END_TEST

START_TEST(a_version_that_ended_counts_for_the_window)
{
    SoftwareVersions_t *this = create(TRUE);
    SoftwareVersions_put(this, "a", "s", "v1", 1);
    SoftwareVersions_put(this, "b", "s", "v2", 2);
    ck_assert_ptr_null(find(this, 2));
    SoftwareVersions_remove(this, "a", 100);
    ck_assert_ptr_null(find(this, 100 + WINDOW_MS - 1));
    ck_assert_str_eq(find(this, 100 + WINDOW_MS), "v2");
    SoftwareVersions_remove(this, "a", 5000);
    SoftwareVersions_remove(this, "b", 5000);
    ck_assert_str_eq(find(this, 5000), "v2");
    ck_assert_ptr_null(find(this, 5000 + WINDOW_MS));
    SoftwareVersions_destroy(this);
}
END_TEST

START_TEST(an_upstream_that_starts_again_with_other_software_changes_version)
{
    SoftwareVersions_t *this = create(TRUE);
    SoftwareVersions_put(this, "a", "s", "v1", 1);
    SoftwareVersions_put(this, "a", "s", "v1", 2);
    ck_assert_uint_eq(mixed_calls, 0);
    SoftwareVersions_put(this, "a", "s", "v2", 3);
    ck_assert_uint_eq(mixed_calls, 1);
    ck_assert_ptr_null(find(this, 3));
    ck_assert_str_eq(find(this, 3 + WINDOW_MS), "v2");
    SoftwareVersions_destroy(this);
}
END_TEST

/* After a roll-back the streams of the later version were not told. */
START_TEST(a_version_that_comes_back_makes_the_service_mixed_again)
{
    SoftwareVersions_t *this = create(TRUE);
    SoftwareVersions_put(this, "a", "s", "v1", 1);
    SoftwareVersions_put(this, "b", "s", "v2", 2);
    SoftwareVersions_remove(this, "a", 3);
    ck_assert_str_eq(find(this, 3 + WINDOW_MS), "v2");
    SoftwareVersions_put(this, "c", "s", "v1", 4 + WINDOW_MS);
    ck_assert_uint_eq(mixed_calls, 2);
    ck_assert_ptr_null(find(this, 4 + WINDOW_MS));
    SoftwareVersions_put(this, "d", "s", "v1", 5 + WINDOW_MS);
    ck_assert_uint_eq(mixed_calls, 2);
    SoftwareVersions_destroy(this);
}
END_TEST

START_TEST(versions_of_other_services_do_not_count)
{
    SoftwareVersions_t *this = create(TRUE);
    SoftwareVersions_put(this, "a", "s", "v1", 1);
    SoftwareVersions_put(this, "b", "other", "v2", 2);
    ck_assert_uint_eq(mixed_calls, 0);
    ck_assert_str_eq(find(this, 2), "v1");
    SoftwareVersions_destroy(this);
}
END_TEST

/* A service would keep the versions of all roll-outs ever. */
START_TEST(versions_that_ended_long_ago_are_forgotten)
{
    SoftwareVersions_t *this = create(TRUE);
    SoftwareVersions_put(this, "a", "s", "v1", 1);
    SoftwareVersions_remove(this, "a", 2);
    gint64 later_ms = 3 + SOFTWARE_VERSIONS_KEEP_MS;
    SoftwareVersions_put(this, "a", "s", "v2", later_ms);
    ck_assert_uint_eq(mixed_calls, 0);
    ck_assert_str_eq(
        SoftwareVersions_findOnly(this, "s", G_MAXINT64, later_ms), "v2");
    SoftwareVersions_destroy(this);
}
END_TEST

/* A version that joined while the only one had no upstream was used. */
START_TEST(a_base_without_an_upstream_at_the_join_is_not_served)
{
    SoftwareVersions_t *this = create(FALSE);
    SoftwareVersions_setWindow(this, WINDOW_MS);
    SoftwareVersions_noteFirstStart(this);
    SoftwareVersions_learn(this);
    SoftwareVersions_put(this, "a", "s", "v1", 1);
    SoftwareVersions_noteStart(this, "a", 5);
    SoftwareVersions_put(this, "b", "s", "v2", 2);
    ck_assert(SoftwareVersions_isBaseServed(this, "s"));
    SoftwareVersions_destroy(this);
    this = create(FALSE);
    SoftwareVersions_setWindow(this, WINDOW_MS);
    SoftwareVersions_noteFirstStart(this);
    SoftwareVersions_learn(this);
    SoftwareVersions_put(this, "a", "s", "v1", 1);
    SoftwareVersions_noteStart(this, "a", 5);
    SoftwareVersions_remove(this, "a", 2);
    SoftwareVersions_put(this, "b", "s", "v2", 3);
    ck_assert_str_eq(SoftwareVersions_findBase(this, "s"), "v1");
    ck_assert(!SoftwareVersions_isBaseServed(this, "s"));
    SoftwareVersions_destroy(this);
}
END_TEST

TESTING_MAIN("SoftwareVersions",
             a_service_that_had_one_version_before_is_known_at_once,
             a_version_that_served_before_counts_for_the_window,
             a_service_of_which_nothing_is_recorded_is_not_known,
             versions_that_serve_are_listed_in_order,
             a_router_that_did_not_learn_is_sure_after_the_window,
             what_served_unseen_is_not_known,
             a_service_that_had_several_versions_before_is_not_known,
             a_version_that_ended_counts_for_the_window,
             an_upstream_that_starts_again_with_other_software_changes_version,
             a_version_that_comes_back_makes_the_service_mixed_again,
             versions_of_other_services_do_not_count,
             versions_that_ended_long_ago_are_forgotten,
             a_base_without_an_upstream_at_the_join_is_not_served)
