#include "testing.h"

#include "CatchUp.h"
#include "Clock.h"

/* Longer than a peer may take to begin its answer, with a margin. */
#define ANSWER_WAIT_MS 600

static const StorePosition_t known = {0, 10};
static const StorePosition_t next_end = {0, 12};

static CatchUp_t *
create_behind(void)
{
    CatchUp_t *catch_up = CatchUp_create(NULL);
    CatchUp_noteBehind(catch_up, known, next_end, "r1");
    return catch_up;
}

START_TEST(router_is_behind_until_it_has_all_records)
{
    CatchUp_t *catch_up = create_behind();
    StorePosition_t between = {0, 11};
    g_usleep(2 * CLOCK_US_PER_MS);
    ck_assert_int_gt(CatchUp_behindMs(catch_up), 0);
    CatchUp_notePosition(catch_up, between);
    ck_assert_int_gt(CatchUp_behindMs(catch_up), 0);
    CatchUp_notePosition(catch_up, next_end);
    ck_assert_int_eq(CatchUp_behindMs(catch_up), 0);
    CatchUp_destroy(catch_up);
}
END_TEST

START_TEST(transfer_ends_with_the_answer_of_the_queried_peer)
{
    CatchUp_t *catch_up = create_behind();
    ck_assert(!CatchUp_isTransferring(catch_up, TRUE));
    CatchUp_noteQuery(catch_up, "r1");
    ck_assert_str_eq(CatchUp_queriedPeer(catch_up), "r1");
    ck_assert(CatchUp_isTransferring(catch_up, FALSE));
    CatchUp_noteAnswer(catch_up, "r2");
    ck_assert(CatchUp_isTransferring(catch_up, FALSE));
    CatchUp_noteAnswer(catch_up, "r1");
    ck_assert(!CatchUp_isTransferring(catch_up, TRUE));
    CatchUp_destroy(catch_up);
}
END_TEST

START_TEST(transfer_without_a_byte_is_given_up)
{
    CatchUp_t *catch_up = create_behind();
    CatchUp_noteQuery(catch_up, "r1");
    g_usleep(ANSWER_WAIT_MS * CLOCK_US_PER_MS);
    ck_assert(!CatchUp_isTransferring(catch_up, FALSE));
    ck_assert(CatchUp_isTransferring(catch_up, TRUE));
    CatchUp_destroy(catch_up);
}
END_TEST

START_TEST(peer_that_refuses_is_not_a_source_until_it_tells_again)
{
    CatchUp_t *catch_up = create_behind();
    CatchUp_noteBehind(catch_up, known, next_end, "r2");
    CatchUp_noteQuery(catch_up, "r1");
    CatchUp_noteRefusal(catch_up, "r1");
    ck_assert(!CatchUp_isTransferring(catch_up, TRUE));
    ck_assert_str_eq(CatchUp_nextSource(catch_up), "r2");
    CatchUp_noteRefusal(catch_up, "r2");
    ck_assert_ptr_null(CatchUp_nextSource(catch_up));
    CatchUp_noteBehind(catch_up, known, next_end, "r1");
    ck_assert_str_eq(CatchUp_nextSource(catch_up), "r1");
    CatchUp_destroy(catch_up);
}
END_TEST

START_TEST(peer_with_fewer_records_is_no_source)
{
    CatchUp_t *catch_up = create_behind();
    StorePosition_t further = {0, 13};
    CatchUp_noteBehind(catch_up, known, further, "r2");
    CatchUp_noteBehind(catch_up, known, next_end, "r3");
    ck_assert_str_eq(CatchUp_nextSource(catch_up), "r2");
    CatchUp_noteRefusal(catch_up, "r2");
    ck_assert_ptr_null(CatchUp_nextSource(catch_up));
    CatchUp_notePosition(catch_up, further);
    ck_assert_ptr_null(CatchUp_nextSource(catch_up));
    CatchUp_destroy(catch_up);
}
END_TEST

START_TEST(new_epoch_ends_the_transfer)
{
    CatchUp_t *catch_up = create_behind();
    CatchUp_noteQuery(catch_up, "r1");
    CatchUp_reset(catch_up);
    ck_assert_int_eq(CatchUp_behindMs(catch_up), 0);
    ck_assert(!CatchUp_isTransferring(catch_up, TRUE));
    ck_assert_ptr_null(CatchUp_queriedPeer(catch_up));
    CatchUp_destroy(catch_up);
}
END_TEST

TESTING_MAIN("CatchUp", router_is_behind_until_it_has_all_records,
             transfer_ends_with_the_answer_of_the_queried_peer,
             transfer_without_a_byte_is_given_up,
             peer_that_refuses_is_not_a_source_until_it_tells_again,
             peer_with_fewer_records_is_no_source, new_epoch_ends_the_transfer)
