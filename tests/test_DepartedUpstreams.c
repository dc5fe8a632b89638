#include "testing.h"

#include "DepartedUpstreams.h"
#include "UpstreamSet.h"

#define NAME "a"
/* Longer than a departed upstream is retained. */
#define LATER_MS 400000

static struct event_base *base;
static UpstreamSet_t *upstreams;
static DepartedUpstreams_t *departed;

static void
begin(void)
{
    base = event_base_new();
    upstreams = UpstreamSet_create(base, 1);
    departed = DepartedUpstreams_create();
}

static void
end(void)
{
    DepartedUpstreams_destroy(departed);
    UpstreamSet_destroy(upstreams);
    event_base_free(base);
}

static void
note_departed(const char *name, guint64 incarnation, gboolean leaving,
              gint64 now_ms)
{
    UpstreamSpec_t spec = {
        .hall = g_string_new("h"),
        .region = g_string_new("r"),
        .serves = g_ptr_array_new(),
    };
    Upstream_t *upstream = UpstreamSet_put(upstreams, name, &spec);
    Upstream_noteIncarnation(upstream, incarnation, now_ms);
    upstream->leaving = leaving;
    DepartedUpstreams_note(departed, upstream, 1, now_ms);
    g_string_free(spec.hall, TRUE);
    g_string_free(spec.region, TRUE);
    g_ptr_array_unref(spec.serves);
}

START_TEST(an_older_list_does_not_restore_a_departed_upstream)
{
    begin();
    note_departed(NAME, 5, TRUE, 0);
    note_departed("b", 5, FALSE, 0);
    ck_assert_int_eq(DepartedUpstreams_check(departed, NAME, 5, 2),
                     DEPARTED_LEFT);
    ck_assert_int_eq(DepartedUpstreams_check(departed, NAME, 4, 2),
                     DEPARTED_LEFT);
    ck_assert_int_eq(DepartedUpstreams_check(departed, "b", 5, 2),
                     DEPARTED_LAPSED);
    ck_assert_int_eq(DepartedUpstreams_check(departed, "c", 5, 2),
                     DEPARTED_NOT);
    end();
}
END_TEST

START_TEST(an_entry_of_a_later_incarnation_or_the_same_epoch_is_valid)
{
    begin();
    note_departed(NAME, 5, TRUE, 0);
    note_departed("b", 5, FALSE, 0);
    ck_assert_int_eq(DepartedUpstreams_check(departed, NAME, 6, 2),
                     DEPARTED_NOT);
    ck_assert_int_eq(DepartedUpstreams_check(departed, "b", 5, 1),
                     DEPARTED_NOT);
    DepartedUpstreams_remove(departed, NAME);
    ck_assert_int_eq(DepartedUpstreams_check(departed, NAME, 5, 2),
                     DEPARTED_NOT);
    end();
}
END_TEST

START_TEST(an_upstream_that_announced_leaving_stays_leaving_until_restart)
{
    begin();
    note_departed(NAME, 5, TRUE, 0);
    ck_assert_int_eq(DepartedUpstreams_check(departed, NAME, 5, 1),
                     DEPARTED_LEFT);
    ck_assert_int_eq(DepartedUpstreams_check(departed, NAME, 6, 1),
                     DEPARTED_NOT);
    end();
}
END_TEST

START_TEST(an_upstream_that_departed_long_ago_is_forgotten)
{
    begin();
    note_departed(NAME, 5, TRUE, 0);
    note_departed("b", 5, TRUE, LATER_MS);
    ck_assert_int_eq(DepartedUpstreams_check(departed, NAME, 5, 2),
                     DEPARTED_NOT);
    ck_assert_int_eq(DepartedUpstreams_check(departed, "b", 5, 2),
                     DEPARTED_LEFT);
    end();
}
END_TEST

TESTING_MAIN("DepartedUpstreams",
             an_older_list_does_not_restore_a_departed_upstream,
             an_entry_of_a_later_incarnation_or_the_same_epoch_is_valid,
             an_upstream_that_announced_leaving_stays_leaving_until_restart,
             an_upstream_that_departed_long_ago_is_forgotten)
