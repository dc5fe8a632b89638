#include "testing.h"

#include "UpstreamBackoff.h"

#define NOW_MS 1000
#define BACKOFF_MS 3000
/* Most by which a router ends its backoff later than asked. */
#define JITTER_MAX_MS 300

static UpstreamBackoff_t backoff;

static void
start_backoff(void)
{
    backoff = (UpstreamBackoff_t){0};
    ck_assert(UpstreamBackoff_note(&backoff, BACKOFF_MS, NOW_MS));
}

START_TEST(backoff_lasts_as_long_as_requested)
{
    start_backoff();
    ck_assert_int_ge(UpstreamBackoff_leftMs(&backoff, NOW_MS), BACKOFF_MS);
    ck_assert_int_le(UpstreamBackoff_leftMs(&backoff, NOW_MS),
                     BACKOFF_MS + JITTER_MAX_MS);
    ck_assert_int_gt(UpstreamBackoff_leftMs(&backoff, NOW_MS + BACKOFF_MS - 1),
                     0);
    ck_assert_int_eq(
        UpstreamBackoff_leftMs(&backoff, NOW_MS + BACKOFF_MS + JITTER_MAX_MS),
        0);
}
END_TEST

START_TEST(the_latest_end_applies)
{
    start_backoff();
    gint64 until_ms = backoff.until_ms;
    ck_assert(!UpstreamBackoff_note(&backoff, 1000, NOW_MS + 100));
    ck_assert(!UpstreamBackoff_note(&backoff, 0, NOW_MS + 100));
    ck_assert(!UpstreamBackoff_note(&backoff, -5, NOW_MS + 100));
    ck_assert_int_eq(backoff.until_ms, until_ms);
    ck_assert(UpstreamBackoff_note(&backoff, BACKOFF_MS, NOW_MS + 1000));
    ck_assert_int_ge(backoff.until_ms, NOW_MS + 1000 + BACKOFF_MS);
}
END_TEST

START_TEST(a_very_long_backoff_does_not_overflow)
{
    backoff = (UpstreamBackoff_t){0};
    ck_assert(UpstreamBackoff_note(&backoff, G_MAXINT64, NOW_MS));
    ck_assert_int_ge(UpstreamBackoff_leftMs(&backoff, NOW_MS),
                     UPSTREAM_BACKOFF_MAX_MS);
}
END_TEST

/* Counts the requests that are sent if one is ready in each millisecond. */
static guint
count_sent(gint64 from_ms, gint64 to_ms)
{
    guint sent = 0;
    for (gint64 now_ms = from_ms; now_ms < to_ms; now_ms++) {
        if (!UpstreamBackoff_isPaced(&backoff, now_ms)) {
            UpstreamBackoff_noteSent(&backoff, now_ms);
            sent++;
        }
    }
    return sent;
}

START_TEST(requests_are_paced_after_the_end)
{
    start_backoff();
    gint64 end_ms = backoff.until_ms;
    ck_assert_uint_eq(count_sent(end_ms, end_ms + 500), 3);
    guint paced = count_sent(end_ms + 500, end_ms + 1000);
    ck_assert_uint_ge(paced, 9);
    ck_assert_uint_le(paced, 11);
    ck_assert_uint_eq(count_sent(end_ms + 1000, end_ms + 1100), 100);
}
END_TEST

START_TEST(routers_end_their_backoff_at_different_times)
{
    GHashTable *ends = g_hash_table_new(g_direct_hash, g_direct_equal);
    for (guint i = 0; i < 100; i++) {
        start_backoff();
        g_hash_table_add(ends, GINT_TO_POINTER((gint)backoff.until_ms));
    }
    ck_assert_uint_ge(g_hash_table_size(ends), 50);
    g_hash_table_destroy(ends);
}
END_TEST

START_TEST(without_a_backoff_nothing_is_paced)
{
    backoff = (UpstreamBackoff_t){0};
    UpstreamBackoff_noteSent(&backoff, NOW_MS);
    ck_assert(!UpstreamBackoff_isPaced(&backoff, NOW_MS));
    ck_assert_int_eq(UpstreamBackoff_leftMs(&backoff, NOW_MS), 0);
}
END_TEST

TESTING_MAIN("UpstreamBackoff", backoff_lasts_as_long_as_requested,
             the_latest_end_applies, a_very_long_backoff_does_not_overflow,
             requests_are_paced_after_the_end,
             routers_end_their_backoff_at_different_times,
             without_a_backoff_nothing_is_paced)
