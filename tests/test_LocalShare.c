#include "testing.h"

#include "LocalShare.h"
#include "Random.h"

static const RateLimit_t limit = {.per_s = 900, .burst = 900};

static guint
take_all(LocalShare_t *share, const LocalShareInput_t *input, double units,
         gint64 from_ms, gint64 to_ms)
{
    guint taken = 0;
    for (gint64 now = from_ms; now < to_ms; now += 5) {
        taken += LocalShare_take(share, input, units, now) ? 1 : 0;
    }
    return taken;
}

START_TEST(share_is_the_limit_divided_by_the_routers)
{
    LocalShare_t share = {0};
    LocalShareInput_t input = {.limit = limit, .routers = 90};
    ck_assert_uint_le(take_all(&share, &input, 1, 0, 10000), 111);
    ck_assert_uint_ge(take_all(&share, &input, 1, 10000, 20000), 99);
}
END_TEST

START_TEST(share_is_at_least_the_recently_admitted_rate)
{
    LocalShare_t share = {0};
    LocalShareInput_t input = {.limit = limit, .routers = 90};
    for (gint64 now = 0; now < 10000; now += 10) {
        LocalShare_noteAdmitted(&share, 1, now);
    }
    ck_assert_uint_ge(take_all(&share, &input, 1, 10000, 11000), 50);
}
END_TEST

START_TEST(exhausted_customer_gets_only_requests_within_its_share)
{
    LocalShare_t share = {0};
    LocalShareInput_t input = {
        .limit = limit, .routers = 90, .exhausted = TRUE};
    LocalShare_noteAdmitted(&share, 1000, 0);
    ck_assert_uint_eq(take_all(&share, &input, 50, 0, 10000), 0);
    ck_assert_uint_ge(take_all(&share, &input, 1, 10000, 20000), 99);
    ck_assert_uint_ge(LocalShare_noteRefused(&share, 50, 20000), 1);
}
END_TEST

START_TEST(without_routers_the_share_is_the_whole_limit)
{
    LocalShare_t share = {0};
    LocalShareInput_t input = {.limit = limit, .routers = 0};
    ck_assert_uint_ge(take_all(&share, &input, 900, 0, 2000), 2);
}
END_TEST

/* Each of 90 routers has less than one request of a limit of two per second.
 * Together they admit about the limit, and not 90 requests at once. */
START_TEST(routers_spread_an_exact_limit_over_time)
{
    RateLimit_t two_per_s = {.per_s = 2, .burst = 1, .exact = TRUE};
    LocalShareInput_t input = {
        .limit = two_per_s, .routers = 90, .exhausted = TRUE};
    guint first_4_s = 0;
    guint later = 0;
    Random_seed(3);
    for (guint router = 0; router < 90; router++) {
        LocalShare_t share = {0};
        first_4_s += take_all(&share, &input, 1, 0, 4000);
        later += take_all(&share, &input, 1, 4000, 100000);
    }
    ck_assert_uint_le(first_4_s, 17);
    ck_assert_uint_ge(first_4_s + later, 180);
    ck_assert_uint_le(first_4_s + later, 220);
}
END_TEST

TESTING_MAIN("LocalShare", share_is_the_limit_divided_by_the_routers,
             share_is_at_least_the_recently_admitted_rate,
             exhausted_customer_gets_only_requests_within_its_share,
             without_routers_the_share_is_the_whole_limit,
             routers_spread_an_exact_limit_over_time)
