#include "testing.h"

#include "TokenBucket.h"

static const RateLimit_t limit = {.per_s = 10, .burst = 5, .version = 3};

static TokenBucket_t
full(const RateLimit_t *of)
{
    TokenBucket_t bucket;
    TokenBucket_init(&bucket, of, 1, 0);
    return bucket;
}

START_TEST(rate_is_held_over_time)
{
    TokenBucket_t bucket = full(&limit);
    guint entered = 0;
    for (gint64 now = 0; now <= 10000; now += 10) {
        entered += TokenBucket_take(&bucket, 1, now) ? 1 : 0;
    }
    ck_assert_uint_ge(entered, 104);
    ck_assert_uint_le(entered, 106);
}
END_TEST

START_TEST(what_is_larger_than_the_depth_is_served_and_owed)
{
    TokenBucket_t bucket = full(&limit);
    ck_assert(TokenBucket_take(&bucket, 25, 0));
    ck_assert(!TokenBucket_take(&bucket, 1, 1990));
    ck_assert(TokenBucket_take(&bucket, 1, 2010));
}
END_TEST

START_TEST(a_limit_without_a_burst_lets_its_rate_through)
{
    RateLimit_t bare = {.per_s = 10};
    TokenBucket_t bucket = full(&bare);
    guint entered = 0;
    for (gint64 now = 0; now <= 10000; now += 200) {
        entered += TokenBucket_take(&bucket, 1, now) ? 1 : 0;
        entered += TokenBucket_take(&bucket, 1, now) ? 1 : 0;
    }
    ck_assert_uint_ge(entered, 98);
}
END_TEST

START_TEST(a_lower_limit_takes_what_is_left_and_an_older_one_nothing)
{
    TokenBucket_t bucket = full(&limit);
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

/* Those that were refused at one moment come back one after the other. */
START_TEST(who_is_refused_comes_back_in_turn)
{
    TokenBucket_t bucket = full(&limit);
    ck_assert(TokenBucket_take(&bucket, 6, 0));
    guint first = TokenBucket_refuse(&bucket, 5, 0);
    guint second = TokenBucket_refuse(&bucket, 5, 0);
    guint third = TokenBucket_refuse(&bucket, 5, 0);
    ck_assert_uint_eq(first, 100);
    ck_assert_uint_eq(second, 600);
    ck_assert_uint_eq(third, 1100);
    ck_assert(TokenBucket_take(&bucket, 5, first + 1));
    ck_assert(TokenBucket_take(&bucket, 5, second + 1));
    ck_assert(TokenBucket_take(&bucket, 5, third + 1));
}
END_TEST

START_TEST(what_is_given_back_is_there_again)
{
    TokenBucket_t bucket = full(&limit);
    ck_assert(TokenBucket_take(&bucket, 6, 0));
    TokenBucket_giveBack(&bucket, 6, 0);
    ck_assert(TokenBucket_take(&bucket, 5, 0));
    ck_assert(!TokenBucket_take(&bucket, 1, 0));
    TokenBucket_giveBack(&bucket, 1000, 0);
    ck_assert_double_eq(TokenBucket_part(&bucket, 0), 1);
}
END_TEST

START_TEST(time_that_goes_back_fills_nothing)
{
    TokenBucket_t bucket = full(&limit);
    ck_assert(TokenBucket_take(&bucket, 5, 10000));
    ck_assert(!TokenBucket_take(&bucket, 1, 0));
    ck_assert(!TokenBucket_take(&bucket, 1, 10000));
}
END_TEST

START_TEST(very_large_and_very_small_limits_stay_numbers)
{
    static const double rates[] = {1e-9, 0.3, 1, 1e18, 1e300};
    for (gsize i = 0; i < G_N_ELEMENTS(rates); i++) {
        RateLimit_t odd = {.per_s = rates[i], .burst = rates[i]};
        TokenBucket_t bucket = full(&odd);
        ck_assert(TokenBucket_take(&bucket, 9000, 0));
        guint wait = TokenBucket_refuse(&bucket, 9000, 1);
        ck_assert_uint_ge(wait, 1);
        ck_assert_uint_le(wait, 10000);
        ck_assert(TokenBucket_part(&bucket, 1) <= 1);
    }
}
END_TEST

TESTING_MAIN("TokenBucket", rate_is_held_over_time,
             what_is_larger_than_the_depth_is_served_and_owed,
             a_limit_without_a_burst_lets_its_rate_through,
             a_lower_limit_takes_what_is_left_and_an_older_one_nothing,
             who_is_refused_comes_back_in_turn,
             what_is_given_back_is_there_again,
             time_that_goes_back_fills_nothing,
             very_large_and_very_small_limits_stay_numbers)
