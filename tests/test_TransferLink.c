#include "testing.h"

#include "Clock.h"
#include "TransferLink.h"

#define NOW_US 50000000
#define NOW_MS (NOW_US / CLOCK_US_PER_MS)
#define TRANSFER_US 46000

START_TEST(transfers_wait_for_each_other_on_both_links)
{
    TransferLink_t source = {0};
    TransferLink_t first = {0};
    TransferLink_t second = {0};
    TransferLink_reserve(&source, &first, TRANSFER_US, NOW_US);
    TransferLink_reserve(&source, &second, TRANSFER_US, NOW_US);
    ck_assert_int_eq(TransferLink_waitUs(&source, NOW_US), 2 * TRANSFER_US);
    ck_assert_int_eq(TransferLink_waitUs(&first, NOW_US), TRANSFER_US);
    ck_assert_int_eq(TransferLink_waitUs(&second, NOW_US), 2 * TRANSFER_US);
    ck_assert_int_eq(TransferLink_waitUs(&second, NOW_US + 2 * TRANSFER_US),
                     0);
}
END_TEST

START_TEST(transfers_of_other_routers_add_to_the_wait)
{
    TransferLink_t link = {.others_us = TRANSFER_US};
    ck_assert_int_eq(TransferLink_waitUs(&link, NOW_US), TRANSFER_US);
    ck_assert_int_eq(TransferLink_localUs(&link, NOW_US), 0);
}
END_TEST

START_TEST(excess_of_a_slow_link_is_learned_and_decays)
{
    TransferLink_t link = {0};
    for (guint i = 0; i < 20; i++) {
        TransferLink_noteExcess(
            &link, 500000 - TransferLink_waitUs(&link, NOW_US), NOW_MS);
    }
    ck_assert_int_gt(TransferLink_waitUs(&link, NOW_US), 400000);
    ck_assert_int_lt(TransferLink_waitUs(&link, NOW_US + 4000000), 1000);
}
END_TEST

START_TEST(short_transfer_does_not_make_the_wait_negative)
{
    TransferLink_t link = {0};
    TransferLink_noteExcess(&link, -500000, NOW_MS);
    ck_assert_int_eq(TransferLink_waitUs(&link, NOW_US), 0);
}
END_TEST

TESTING_MAIN("TransferLink", transfers_wait_for_each_other_on_both_links,
             transfers_of_other_routers_add_to_the_wait,
             excess_of_a_slow_link_is_learned_and_decays,
             short_transfer_does_not_make_the_wait_negative)
