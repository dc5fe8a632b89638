#include "testing.h"

#include "TokenBucket.h"

static const RateLimit_t limit = {.per_s = 10, .burst = 5, .version = 3};

static TokenBucket_t
create_full_bucket(const RateLimit_t *of)
{
    TokenBucket_t bucket;
    TokenBucket_init(&bucket, of, 1, 0);
    return bucket;
}

START_TEST(rate_is_enforced_over_time)
{
    TokenBucket_t bucket = create_full_bucket(&limit);
    guint admitted = 0;
    for (gint64 now = 0; now <= 10000; now += 10) {
        admitted += TokenBucket_take(&bucket, 1, now) ? 1 : 0;
    }
    ck_assert_uint_ge(admitted, 104);
    ck_assert_uint_le(admitted, 106);
}
END_TEST

START_TEST(a_request_larger_than_the_depth_is_admitted_and_leaves_a_debt)
{
    TokenBucket_t bucket = create_full_bucket(&limit);
    ck_assert(TokenBucket_take(&bucket, 25, 0));
    ck_assert(!TokenBucket_take(&bucket, 1, 1990));
    ck_assert(TokenBucket_take(&bucket, 1, 2010));
}
END_TEST

START_TEST(a_limit_without_a_burst_admits_its_rate)
{
    RateLimit_t rate_only = {.per_s = 10};
    TokenBucket_t bucket = create_full_bucket(&rate_only);
    guint admitted = 0;
    for (gint64 now = 0; now <= 10000; now += 200) {
        admitted += TokenBucket_take(&bucket, 1, now) ? 1 : 0;
        admitted += TokenBucket_take(&bucket, 1, now) ? 1 : 0;
    }
    ck_assert_uint_ge(admitted, 98);
}
END_TEST

START_TEST(a_lower_limit_caps_the_level_and_an_older_version_is_ignored)
{
    TokenBucket_t bucket = create_full_bucket(&limit);
    RateLimit_t lower = {.per_s = 1, .burst = 1, .version = 4};
    TokenBucket_setLimit(&bucket, &lower, 0);
    ck_assert_double_le(bucket.level, 1);
    TokenBucket_setLimit(&bucket, &limit, 0);
    ck_assert_double_eq(bucket.limit.per_s, 1);
    ck_assert(TokenBucket_take(&bucket, 2, 0));
    ck_assert(!TokenBucket_take(&bucket, 1, 900));
    ck_assert(TokenBucket_take(&bucket, 1, 1010));
}
END_TEST

/* Requests refused at the same time get different retry times.
 */
START_TEST(refused_requests_get_increasing_retry_times)
{
    TokenBucket_t bucket = create_full_bucket(&limit);
    ck_assert(TokenBucket_take(&bucket, 6, 0));
    guint first = TokenBucket_noteRefused(&bucket, 5, 0);
    guint second = TokenBucket_noteRefused(&bucket, 5, 0);
    guint third = TokenBucket_noteRefused(&bucket, 5, 0);
    ck_assert_uint_eq(first, 100);
    ck_assert_uint_eq(second, 600);
    ck_assert_uint_eq(third, 1100);
    ck_assert(TokenBucket_take(&bucket, 5, first + 1));
    ck_assert(TokenBucket_take(&bucket, 5, second + 1));
    ck_assert(TokenBucket_take(&bucket, 5, third + 1));
}
END_TEST

START_TEST(refunded_units_can_be_taken_again)
{
    TokenBucket_t bucket = create_full_bucket(&limit);
    ck_assert(TokenBucket_take(&bucket, 6, 0));
    TokenBucket_refund(&bucket, 6, 0);
    ck_assert(TokenBucket_take(&bucket, 5, 0));
    ck_assert(!TokenBucket_take(&bucket, 1, 0));
    TokenBucket_refund(&bucket, 1000, 0);
    ck_assert_double_eq(TokenBucket_fraction(&bucket, 0), 1);
}
END_TEST

START_TEST(a_clock_that_goes_back_does_not_refill)
{
    TokenBucket_t bucket = create_full_bucket(&limit);
    ck_assert(TokenBucket_take(&bucket, 5, 10000));
    ck_assert(!TokenBucket_take(&bucket, 1, 0));
    ck_assert(!TokenBucket_take(&bucket, 1, 10000));
}
END_TEST

START_TEST(very_large_and_very_small_limits_give_finite_results)
{
    static const double rates[] = {1e-9, 0.3, 1, 1e18, 1e300};
    for (gsize i = 0; i < G_N_ELEMENTS(rates); i++) {
        RateLimit_t extreme = {.per_s = rates[i], .burst = rates[i]};
        TokenBucket_t bucket = create_full_bucket(&extreme);
        ck_assert(TokenBucket_take(&bucket, 9000, 0));
        guint retry_after_ms = TokenBucket_noteRefused(&bucket, 9000, 1);
        ck_assert_uint_ge(retry_after_ms, 1);
        ck_assert_uint_le(retry_after_ms, 10000);
        ck_assert(TokenBucket_fraction(&bucket, 1) <= 1);
    }
}
END_TEST

TESTING_MAIN("TokenBucket", rate_is_enforced_over_time,
             a_request_larger_than_the_depth_is_admitted_and_leaves_a_debt,
             a_limit_without_a_burst_admits_its_rate,
             a_lower_limit_caps_the_level_and_an_older_version_is_ignored,
             refused_requests_get_increasing_retry_times,
             refunded_units_can_be_taken_again,
             a_clock_that_goes_back_does_not_refill,
             very_large_and_very_small_limits_give_finite_results)
