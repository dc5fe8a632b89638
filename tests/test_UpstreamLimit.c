#include "testing.h"

#include "UpstreamLimit.h"

#define START_MS 1000

static UpstreamLimit_t limit;

static gboolean
hear(const char *text, gint64 sent_ms, gint64 now_ms)
{
    NamedLimit_t said = {.kind = LIMIT_ABSENT};
    if (text) {
        said = NamedLimit_parse(text);
    }
    return UpstreamLimit_noteAnswer(&limit, &said, sent_ms, now_ms);
}

static void
begin(void)
{
    limit = (UpstreamLimit_t){0};
    ck_assert(hear("2", START_MS - 50, START_MS));
}

START_TEST(a_limit_is_learned_once)
{
    begin();
    ck_assert(limit.is_named);
    ck_assert_double_eq(limit.per_s, 2);
    ck_assert(!hear("2", START_MS + 10, START_MS + 20));
    ck_assert_uint_eq(limit.version, 1);
    ck_assert_int_eq(limit.learned_ms, START_MS);
}
END_TEST

START_TEST(an_answer_to_an_older_request_does_not_end_it)
{
    begin();
    ck_assert(!hear(NULL, START_MS - 10, START_MS + 900));
    ck_assert(!hear(NULL, START_MS, START_MS + 900));
    ck_assert(limit.is_named);
    ck_assert(hear(NULL, START_MS + 1, START_MS + 900));
    ck_assert(!limit.is_named);
    ck_assert_uint_eq(limit.version, 2);
}
END_TEST

START_TEST(a_lower_one_counts_at_once_and_a_higher_one_only_if_newer)
{
    begin();
    ck_assert(hear("1.5", START_MS - 40, START_MS + 5));
    ck_assert(!hear("3", START_MS + 5, START_MS + 30));
    ck_assert_double_eq(limit.per_s, 1.5);
    ck_assert(hear("3", START_MS + 6, START_MS + 30));
    ck_assert_double_eq(limit.per_s, 3);
}
END_TEST

START_TEST(zero_is_a_limit)
{
    begin();
    ck_assert(hear("0", START_MS + 1, START_MS + 2));
    ck_assert(limit.is_named);
    ck_assert_double_eq(limit.per_s, 0);
    ck_assert(hear(NULL, START_MS + 3, START_MS + 4));
    ck_assert(!limit.is_named);
}
END_TEST

START_TEST(an_unreadable_one_changes_nothing_and_is_reported_seldom)
{
    begin();
    ck_assert(!hear("many", START_MS + 1, START_MS + 2));
    ck_assert_double_eq(limit.per_s, 2);
    ck_assert(!UpstreamLimit_isReported(&limit, START_MS));
    ck_assert(UpstreamLimit_isReported(&limit, START_MS + 1000));
    ck_assert(!UpstreamLimit_isReported(&limit, START_MS + 20000));
}
END_TEST

static gboolean
take(gboolean is_named, double per_s, guint64 version)
{
    UpstreamLimitFact_t fact = {is_named, per_s, version};
    return UpstreamLimit_takeFact(&limit, &fact, START_MS + 50);
}

START_TEST(a_newer_fact_of_a_peer_holds)
{
    begin();
    ck_assert(take(TRUE, 5, 2));
    ck_assert_double_eq(limit.per_s, 5);
    ck_assert(!take(FALSE, 0, 1));
    ck_assert(take(FALSE, 0, 3));
    ck_assert(!limit.is_named);
    ck_assert_int_eq(limit.learned_ms, START_MS + 50);
}
END_TEST

/* Routers that learn of different limits at once come to the same one. */
START_TEST(of_two_facts_of_one_version_the_lower_holds)
{
    begin();
    ck_assert(!take(TRUE, 2, 1));
    ck_assert(!take(TRUE, 3, 1));
    ck_assert(!take(FALSE, 0, 1));
    ck_assert(take(TRUE, 1, 1));
    ck_assert_double_eq(limit.per_s, 1);
}
END_TEST

START_TEST(zero_lets_a_trial_through)
{
    begin();
    ck_assert(hear("0", START_MS + 1, START_MS + 2));
    RateLimit_t rate = UpstreamLimit_rate(&limit);
    ck_assert_double_gt(rate.per_s, 0);
    ck_assert_double_le(rate.per_s * 4 + TokenBucket_depth(&rate), 4);
    ck_assert(rate.exact);
}
END_TEST

START_TEST(it_is_full_until_it_is_not_or_changes)
{
    begin();
    ck_assert_int_eq(UpstreamLimit_fullMs(&limit, START_MS), 0);
    UpstreamLimit_noteFull(&limit, 300, START_MS);
    ck_assert_int_eq(UpstreamLimit_fullMs(&limit, START_MS + 100), 200);
    ck_assert_int_eq(UpstreamLimit_fullMs(&limit, START_MS + 300), 0);
    ck_assert(take(TRUE, 9, 2));
    ck_assert_int_eq(UpstreamLimit_fullMs(&limit, START_MS + 100), 0);
}
END_TEST

TESTING_MAIN("UpstreamLimit", a_limit_is_learned_once,
             an_answer_to_an_older_request_does_not_end_it,
             a_lower_one_counts_at_once_and_a_higher_one_only_if_newer,
             zero_is_a_limit,
             an_unreadable_one_changes_nothing_and_is_reported_seldom,
             a_newer_fact_of_a_peer_holds,
             of_two_facts_of_one_version_the_lower_holds,
             zero_lets_a_trial_through, it_is_full_until_it_is_not_or_changes)
