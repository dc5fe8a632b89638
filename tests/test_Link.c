#include "testing.h"

#include "Clock.h"
#include "Link.h"

#define NOW_US 50000000
#define NOW_MS (NOW_US / CLOCK_US_PER_MS)
#define MOVE_US 46000

START_TEST(moves_wait_for_each_other_on_both_links)
{
    Link_t giver = {0};
    Link_t first = {0};
    Link_t second = {0};
    Link_begin(&giver, &first, MOVE_US, NOW_US);
    Link_begin(&giver, &second, MOVE_US, NOW_US);
    ck_assert_int_eq(Link_waitUs(&giver, NOW_US), 2 * MOVE_US);
    ck_assert_int_eq(Link_waitUs(&first, NOW_US), MOVE_US);
    ck_assert_int_eq(Link_waitUs(&second, NOW_US), 2 * MOVE_US);
    ck_assert_int_eq(Link_waitUs(&second, NOW_US + 2 * MOVE_US), 0);
}
END_TEST

START_TEST(what_others_move_counts)
{
    Link_t link = {.others_us = MOVE_US};
    ck_assert_int_eq(Link_waitUs(&link, NOW_US), MOVE_US);
    ck_assert_int_eq(Link_ownUs(&link, NOW_US), 0);
}
END_TEST

START_TEST(a_slow_link_is_learned_and_forgotten)
{
    Link_t link = {0};
    for (guint i = 0; i < 20; i++) {
        Link_noteExcess(&link, 500000 - Link_waitUs(&link, NOW_US), NOW_MS);
    }
    ck_assert_int_gt(Link_waitUs(&link, NOW_US), 400000);
    ck_assert_int_lt(Link_waitUs(&link, NOW_US + 4000000), 1000);
}
END_TEST

START_TEST(a_move_that_was_quick_does_not_make_a_wait_negative)
{
    Link_t link = {0};
    Link_noteExcess(&link, -500000, NOW_MS);
    ck_assert_int_eq(Link_waitUs(&link, NOW_US), 0);
}
END_TEST

TESTING_MAIN("Link", moves_wait_for_each_other_on_both_links,
             what_others_move_counts, a_slow_link_is_learned_and_forgotten,
             a_move_that_was_quick_does_not_make_a_wait_negative)
