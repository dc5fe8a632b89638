#include "testing.h"

#include "LeaseRank.h"

/* Longest time by which an outage may delay the next lease. */
#define DELAY_MAX_MS 1500
/* With a smaller difference, the next router would take the lease before it
 * could read that another router has taken it. */
#define DELAY_STEP_MIN_MS 100
/* Up to this number of routers, an outage of a third leaves a candidate. */
#define ROUTERS_MAX 21
#define LONG_STALL_MS 10000

START_TEST(a_candidate_remains_if_a_third_of_the_routers_is_unreachable)
{
    for (guint routers = 2; routers <= ROUTERS_MAX; routers++) {
        guint rank = (routers + 2) / 3; /* all before it are unreachable */
        ck_assert(rank >= routers || LeaseRank_isCandidate(rank, 0));
        ck_assert_int_le(LeaseRank_delayMs(rank), DELAY_MAX_MS);
    }
}
END_TEST

START_TEST(each_candidate_waits_longer_than_those_ranked_before_it)
{
    ck_assert_int_eq(LeaseRank_delayMs(0), 0);
    for (guint rank = 1; rank < LEASE_RANK_CANDIDATES; rank++) {
        ck_assert_int_ge(LeaseRank_delayMs(rank) - LeaseRank_delayMs(rank - 1),
                         DELAY_STEP_MIN_MS);
    }
}
END_TEST

START_TEST(any_router_takes_over_a_stalled_roll_out)
{
    guint last_rank = 559;
    ck_assert(!LeaseRank_isCandidate(last_rank, 0));
    ck_assert(LeaseRank_isCandidate(last_rank, LONG_STALL_MS));
    ck_assert_int_le(LeaseRank_delayMs(last_rank), DELAY_MAX_MS);
}
END_TEST

START_TEST(less_than_a_tenth_of_the_routers_take_over_at_once)
{
    guint candidates = 0;
    for (guint rank = LEASE_RANK_CANDIDATES; rank < 560; rank++) {
        candidates += LeaseRank_isCandidate(rank, 2500) ? 1 : 0;
    }
    ck_assert_uint_gt(candidates, 0);
    ck_assert_uint_lt(candidates, 560 / 10);
}
END_TEST

TESTING_MAIN("LeaseRank",
             a_candidate_remains_if_a_third_of_the_routers_is_unreachable,
             each_candidate_waits_longer_than_those_ranked_before_it,
             any_router_takes_over_a_stalled_roll_out,
             less_than_a_tenth_of_the_routers_take_over_at_once)
