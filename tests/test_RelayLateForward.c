#include "testing.h"

#include "RelayLateForward.h"

/* A request that could not be sent, while nothing shows that there is a path.
 */
static LateForwardInput_t
unsent_request(void)
{
    return (LateForwardInput_t){
        .run = RUN_NOT, .is_unsent = TRUE, .left_ms = 1000};
}

START_TEST(request_that_could_not_be_sent_goes_to_another_router)
{
    LateForwardInput_t input = unsent_request();
    ck_assert(RelayLateForward_decide(&input));
}
END_TEST

START_TEST(request_that_may_have_run_stays)
{
    LateForwardInput_t input = unsent_request();
    input.is_path_lost = TRUE;
    input.run = RUN_MAYBE;
    ck_assert(!RelayLateForward_decide(&input));
    input.run = RUN_DONE;
    ck_assert(!RelayLateForward_decide(&input));
}
END_TEST

START_TEST(forwarded_request_is_not_forwarded_again)
{
    LateForwardInput_t input = unsent_request();
    input.is_path_lost = TRUE;
    input.is_from_router = TRUE;
    ck_assert(!RelayLateForward_decide(&input));
}
END_TEST

START_TEST(request_stays_while_other_upstreams_answer)
{
    LateForwardInput_t input = unsent_request();
    input.has_path_worked = TRUE;
    ck_assert(!RelayLateForward_decide(&input));
    input.has_path_worked = FALSE;
    input.is_unsent = FALSE;
    ck_assert(!RelayLateForward_decide(&input));
}
END_TEST

START_TEST(request_without_an_attempt_goes_once_the_path_is_doubtful)
{
    LateForwardInput_t input = unsent_request();
    input.is_unsent = FALSE;
    input.is_path_in_doubt = TRUE;
    ck_assert(RelayLateForward_decide(&input));
    input.is_path_in_doubt = FALSE;
    input.is_path_lost = TRUE;
    ck_assert(RelayLateForward_decide(&input));
}
END_TEST

/* Its calls were refused as long as upstreams of another service answered. */
START_TEST(request_of_a_service_that_is_not_reached_goes_to_another_router)
{
    LateForwardInput_t input = unsent_request();
    input.is_unsent = FALSE;
    input.has_path_worked = TRUE;
    input.is_service_unreached = TRUE;
    ck_assert(RelayLateForward_decide(&input));
    input.is_unserved = TRUE;
    ck_assert(!RelayLateForward_decide(&input));
}
END_TEST

/* A stream went to a router that knew less of its engines, and got 502 in
 * place of 503. */
START_TEST(request_that_an_upstream_refused_stays_while_there_is_a_path)
{
    LateForwardInput_t input = {
        .run = RUN_NOT,
        .is_answered = TRUE,
        .is_path_in_doubt = TRUE,
        .is_service_unreached = TRUE,
        .left_ms = 1000,
    };
    ck_assert(!RelayLateForward_decide(&input));
    input.is_path_lost = TRUE;
    ck_assert(RelayLateForward_decide(&input));
}
END_TEST

START_TEST(request_whose_time_is_over_stays)
{
    LateForwardInput_t input = unsent_request();
    input.left_ms = 0;
    ck_assert(!RelayLateForward_decide(&input));
}
END_TEST

TESTING_MAIN("RelayLateForward",
             request_that_could_not_be_sent_goes_to_another_router,
             request_that_may_have_run_stays,
             forwarded_request_is_not_forwarded_again,
             request_stays_while_other_upstreams_answer,
             request_without_an_attempt_goes_once_the_path_is_doubtful,
             request_of_a_service_that_is_not_reached_goes_to_another_router,
             request_that_an_upstream_refused_stays_while_there_is_a_path,
             request_whose_time_is_over_stays)
