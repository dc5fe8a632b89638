#include "testing.h"

#include "UpstreamRest.h"

#define NOW_MS 1000
#define FOR_MS 3000
/* A router may end its rest so much later than asked. */
#define LATER_MS 300

static UpstreamRest_t rest;

static void
begin(void)
{
    rest = (UpstreamRest_t){0};
    ck_assert(UpstreamRest_note(&rest, FOR_MS, NOW_MS));
}

START_TEST(it_lasts_as_long_as_it_was_asked_for)
{
    begin();
    ck_assert_int_ge(UpstreamRest_leftMs(&rest, NOW_MS), FOR_MS);
    ck_assert_int_le(UpstreamRest_leftMs(&rest, NOW_MS), FOR_MS + LATER_MS);
    ck_assert_int_gt(UpstreamRest_leftMs(&rest, NOW_MS + FOR_MS - 1), 0);
    ck_assert_int_eq(UpstreamRest_leftMs(&rest, NOW_MS + FOR_MS + LATER_MS),
                     0);
}
END_TEST

START_TEST(the_latest_end_holds)
{
    begin();
    gint64 until_ms = rest.until_ms;
    ck_assert(!UpstreamRest_note(&rest, 1000, NOW_MS + 100));
    ck_assert(!UpstreamRest_note(&rest, 0, NOW_MS + 100));
    ck_assert(!UpstreamRest_note(&rest, -5, NOW_MS + 100));
    ck_assert_int_eq(rest.until_ms, until_ms);
    ck_assert(UpstreamRest_note(&rest, FOR_MS, NOW_MS + 1000));
    ck_assert_int_ge(rest.until_ms, NOW_MS + 1000 + FOR_MS);
}
END_TEST

START_TEST(a_very_long_one_holds)
{
    rest = (UpstreamRest_t){0};
    ck_assert(UpstreamRest_note(&rest, G_MAXINT64, NOW_MS));
    ck_assert_int_ge(UpstreamRest_leftMs(&rest, NOW_MS),
                     UPSTREAM_REST_MOST_MS);
}
END_TEST

/* So many would go there in a second of one request a ms. */
static guint
sent_in(gint64 from_ms, gint64 to_ms)
{
    guint sent = 0;
    for (gint64 now_ms = from_ms; now_ms < to_ms; now_ms++) {
        if (!UpstreamRest_isPaced(&rest, now_ms)) {
            UpstreamRest_noteSent(&rest, now_ms);
            sent++;
        }
    }
    return sent;
}

START_TEST(few_requests_go_there_at_first)
{
    begin();
    gint64 end_ms = rest.until_ms;
    ck_assert_uint_eq(sent_in(end_ms, end_ms + 500), 3);
    guint second = sent_in(end_ms + 500, end_ms + 1000);
    ck_assert_uint_ge(second, 9);
    ck_assert_uint_le(second, 11);
    ck_assert_uint_eq(sent_in(end_ms + 1000, end_ms + 1100), 100);
}
END_TEST

START_TEST(routers_do_not_return_at_one_moment)
{
    GHashTable *ends = g_hash_table_new(g_direct_hash, g_direct_equal);
    for (guint i = 0; i < 100; i++) {
        begin();
        g_hash_table_add(ends, GINT_TO_POINTER((gint)rest.until_ms));
    }
    ck_assert_uint_ge(g_hash_table_size(ends), 50);
    g_hash_table_destroy(ends);
}
END_TEST

START_TEST(without_one_nothing_is_held)
{
    rest = (UpstreamRest_t){0};
    UpstreamRest_noteSent(&rest, NOW_MS);
    ck_assert(!UpstreamRest_isPaced(&rest, NOW_MS));
    ck_assert_int_eq(UpstreamRest_leftMs(&rest, NOW_MS), 0);
}
END_TEST

TESTING_MAIN("UpstreamRest", it_lasts_as_long_as_it_was_asked_for,
             the_latest_end_holds, a_very_long_one_holds,
             few_requests_go_there_at_first,
             routers_do_not_return_at_one_moment, without_one_nothing_is_held)
