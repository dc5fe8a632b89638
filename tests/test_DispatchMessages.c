#include "testing.h"

#include "DispatchMessages.h"
#include "PromptTime.h"

#define ENGINES 8
#define LEFT_MS 2000

static const Choice_t choice = {
    .expected_cached = 100,
    .cost_us = 30000,
    .own_us = 12000,
    .group = 3,
    .reserved = 5,
    .supply = {.kind = SUPPLY_STORE, .tokens = 100, .move_us = 7},
};
static const GroupDecision_t refused = {.verdict = GROUP_OVER_SHARE,
                                        .retry_after_ms = 700,
                                        .promised_us = 9,
                                        .is_over_share = TRUE};

static Choice_t
read_choice(const Wt__PlaceAnswer *answer)
{
    UpstreamSet_t *none = UpstreamSet_create(NULL, 0);
    Choice_t read = DispatchMessages_readChoice(answer, none);
    UpstreamSet_destroy(none);
    return read;
}

START_TEST(answer_is_read_as_it_was_written)
{
    Wt__PlaceAnswer answer = WT__PLACE_ANSWER__INIT;
    DispatchMessages_fillAnswer(&answer, &choice, &refused);
    Choice_t read = read_choice(&answer);
    ck_assert_int_eq(read.cost_us, choice.cost_us);
    ck_assert_int_eq(read.own_us, choice.own_us);
    ck_assert_uint_eq(read.group, choice.group);
    ck_assert_uint_eq(read.reserved, choice.reserved);
    ck_assert_int_eq(read.supply.kind, SUPPLY_STORE);
    GroupDecision_t decision = DispatchMessages_readDecision(&answer);
    ck_assert_int_eq(decision.verdict, GROUP_OVER_SHARE);
    ck_assert_uint_eq(decision.retry_after_ms, 700);
    ck_assert(decision.is_over_share);
}
END_TEST

START_TEST(usable_answer_is_not_changed)
{
    Wt__PlaceAnswer answer = WT__PLACE_ANSWER__INIT;
    DispatchMessages_fillAnswer(&answer, &choice, &refused);
    ck_assert(!DispatchMessages_boundAnswer(&answer, ENGINES, LEFT_MS));
}
END_TEST

START_TEST(absurd_numbers_are_brought_into_range)
{
    Wt__PlaceAnswer answer = WT__PLACE_ANSWER__INIT;
    answer.reserved = G_MAXUINT32;
    answer.retry_after_ms = G_MAXUINT32;
    answer.ktoken_us = G_MAXUINT32;
    ck_assert(DispatchMessages_boundAnswer(&answer, ENGINES, LEFT_MS));
    ck_assert_uint_lt(answer.reserved, ENGINES);
    ck_assert_uint_le(answer.retry_after_ms, LEFT_MS);
    ck_assert_double_le(DispatchMessages_readUsPerToken(&answer),
                        PROMPT_TIME_SLOPE_US_MAX);
    ck_assert(DispatchMessages_boundAnswer(&answer, 0, 0));
    ck_assert_uint_eq(answer.reserved, 0);
}
END_TEST

/* A router of a newer build may send kinds that this one does not know. */
START_TEST(unknown_kinds_are_read_as_the_safe_ones)
{
    Wt__PlaceAnswer answer = WT__PLACE_ANSWER__INIT;
    answer.supply = 99;
    answer.verdict = 99;
    ck_assert_int_eq(read_choice(&answer).supply.kind, SUPPLY_UNKNOWN);
    ck_assert_int_eq(DispatchMessages_readDecision(&answer).verdict,
                     GROUP_LATE);
}
END_TEST

TESTING_MAIN("DispatchMessages", answer_is_read_as_it_was_written,
             usable_answer_is_not_changed,
             absurd_numbers_are_brought_into_range,
             unknown_kinds_are_read_as_the_safe_ones)
