#include "testing.h"

#include "UpstreamLimit.h"

#define START_MS 1000

static UpstreamLimit_t limit;

static gboolean
receive_limit(const char *text, gint64 sent_ms, gint64 now_ms)
{
    AdvertisedLimit_t advertised = {.kind = LIMIT_ABSENT};
    if (text) {
        advertised = AdvertisedLimit_parse(text);
    }
    return UpstreamLimit_noteAnswer(&limit, &advertised, sent_ms, now_ms);
}

static void
learn_limit_of_two(void)
{
    limit = (UpstreamLimit_t){0};
    ck_assert(receive_limit("2", START_MS - 50, START_MS));
}

START_TEST(a_limit_is_learned_once)
{
    learn_limit_of_two();
    ck_assert(limit.is_named);
    ck_assert_double_eq(limit.per_s, 2);
    ck_assert(!receive_limit("2", START_MS + 10, START_MS + 20));
    ck_assert_uint_eq(limit.version, 1);
    ck_assert_int_eq(limit.learned_ms, START_MS);
}
END_TEST

START_TEST(an_answer_to_an_older_request_does_not_remove_the_limit)
{
    learn_limit_of_two();
    ck_assert(!receive_limit(NULL, START_MS - 10, START_MS + 900));
    ck_assert(!receive_limit(NULL, START_MS, START_MS + 900));
    ck_assert(limit.is_named);
    ck_assert(receive_limit(NULL, START_MS + 1, START_MS + 900));
    ck_assert(!limit.is_named);
    ck_assert_uint_eq(limit.version, 2);
}
END_TEST

START_TEST(a_lower_limit_applies_at_once_and_a_higher_one_only_if_newer)
{
    learn_limit_of_two();
    ck_assert(receive_limit("1.5", START_MS - 40, START_MS + 5));
    ck_assert(!receive_limit("3", START_MS + 5, START_MS + 30));
    ck_assert_double_eq(limit.per_s, 1.5);
    ck_assert(receive_limit("3", START_MS + 6, START_MS + 30));
    ck_assert_double_eq(limit.per_s, 3);
}
END_TEST

START_TEST(zero_is_a_limit)
{
    learn_limit_of_two();
    ck_assert(receive_limit("0", START_MS + 1, START_MS + 2));
    ck_assert(limit.is_named);
    ck_assert_double_eq(limit.per_s, 0);
    ck_assert(receive_limit(NULL, START_MS + 3, START_MS + 4));
    ck_assert(!limit.is_named);
}
END_TEST

START_TEST(an_unreadable_limit_changes_nothing_and_reports_are_rate_limited)
{
    learn_limit_of_two();
    ck_assert(!receive_limit("many", START_MS + 1, START_MS + 2));
    ck_assert_double_eq(limit.per_s, 2);
    ck_assert(!UpstreamLimit_noteReport(&limit, START_MS));
    ck_assert(UpstreamLimit_noteReport(&limit, START_MS + 1000));
    ck_assert(!UpstreamLimit_noteReport(&limit, START_MS + 20000));
}
END_TEST

static gboolean
apply_fact(gboolean is_named, double per_s, guint64 version)
{
    UpstreamLimitFact_t fact = {is_named, per_s, version};
    return UpstreamLimit_applyFact(&limit, &fact, START_MS + 50);
}

START_TEST(a_newer_fact_of_a_peer_applies)
{
    learn_limit_of_two();
    ck_assert(apply_fact(TRUE, 5, 2));
    ck_assert_double_eq(limit.per_s, 5);
    ck_assert(!apply_fact(FALSE, 0, 1));
    ck_assert(apply_fact(FALSE, 0, 3));
    ck_assert(!limit.is_named);
    ck_assert_int_eq(limit.learned_ms, START_MS + 50);
}
END_TEST

/* Routers that learn different limits at the same time converge on one. */
START_TEST(of_two_facts_of_one_version_the_lower_applies)
{
    learn_limit_of_two();
    ck_assert(!apply_fact(TRUE, 2, 1));
    ck_assert(!apply_fact(TRUE, 3, 1));
    ck_assert(!apply_fact(FALSE, 0, 1));
    ck_assert(apply_fact(TRUE, 1, 1));
    ck_assert_double_eq(limit.per_s, 1);
}
END_TEST

START_TEST(a_limit_of_zero_still_admits_occasional_requests)
{
    learn_limit_of_two();
    ck_assert(receive_limit("0", START_MS + 1, START_MS + 2));
    RateLimit_t rate = UpstreamLimit_rate(&limit);
    ck_assert_double_gt(rate.per_s, 0);
    ck_assert_double_le(rate.per_s * 4 + TokenBucket_depth(&rate), 4);
    ck_assert(rate.exact);
}
END_TEST

START_TEST(full_ends_with_its_time_or_with_a_new_limit)
{
    learn_limit_of_two();
    ck_assert_int_eq(UpstreamLimit_fullMs(&limit, START_MS), 0);
    UpstreamLimit_noteFull(&limit, 300, START_MS);
    ck_assert_int_eq(UpstreamLimit_fullMs(&limit, START_MS + 100), 200);
    ck_assert_int_eq(UpstreamLimit_fullMs(&limit, START_MS + 300), 0);
    ck_assert(apply_fact(TRUE, 9, 2));
    ck_assert_int_eq(UpstreamLimit_fullMs(&limit, START_MS + 100), 0);
}
END_TEST

TESTING_MAIN("UpstreamLimit", a_limit_is_learned_once,
             an_answer_to_an_older_request_does_not_remove_the_limit,
             a_lower_limit_applies_at_once_and_a_higher_one_only_if_newer,
             zero_is_a_limit,
             an_unreadable_limit_changes_nothing_and_reports_are_rate_limited,
             a_newer_fact_of_a_peer_applies,
             of_two_facts_of_one_version_the_lower_applies,
             a_limit_of_zero_still_admits_occasional_requests,
             full_ends_with_its_time_or_with_a_new_limit)
