#include "testing.h"

#include "OrderTurn.h"

/* An outage must not delay the next lease by more than this, in ms. */
#define PATIENCE_MOST_MS 1500
/* Below the calls that show who has taken it, routers would take it at once.
 */
#define STEP_LEAST_MS 100
/* Up to so many routers a third of them leaves a candidate. */
#define ROUTERS_MOST 21
#define LONG_STALL_MS 10000

START_TEST(a_third_of_the_routers_may_be_out_of_reach)
{
    for (guint routers = 2; routers <= ROUTERS_MOST; routers++) {
        guint rank = (routers + 2) / 3; /* all before it are out of reach */
        ck_assert(rank >= routers || OrderTurn_isCandidate(rank, 0));
        ck_assert_int_le(OrderTurn_patienceMs(rank), PATIENCE_MOST_MS);
    }
}
END_TEST

START_TEST(each_waits_for_those_before_it)
{
    ck_assert_int_eq(OrderTurn_patienceMs(0), 0);
    for (guint rank = 1; rank < ORDER_TURN_CANDIDATES; rank++) {
        ck_assert_int_ge(OrderTurn_patienceMs(rank) -
                             OrderTurn_patienceMs(rank - 1),
                         STEP_LEAST_MS);
    }
}
END_TEST

START_TEST(any_router_steps_in_where_nothing_comes_of_it)
{
    guint last = 559;
    ck_assert(!OrderTurn_isCandidate(last, 0));
    ck_assert(OrderTurn_isCandidate(last, LONG_STALL_MS));
    ck_assert_int_le(OrderTurn_patienceMs(last), PATIENCE_MOST_MS);
}
END_TEST

START_TEST(few_step_in_at_once)
{
    guint at_once = 0;
    for (guint rank = ORDER_TURN_CANDIDATES; rank < 560; rank++) {
        at_once += OrderTurn_isCandidate(rank, 2500) ? 1 : 0;
    }
    ck_assert_uint_gt(at_once, 0);
    ck_assert_uint_lt(at_once, 560 / 10);
}
END_TEST

TESTING_MAIN("OrderTurn", a_third_of_the_routers_may_be_out_of_reach,
             each_waits_for_those_before_it,
             any_router_steps_in_where_nothing_comes_of_it,
             few_step_in_at_once)
