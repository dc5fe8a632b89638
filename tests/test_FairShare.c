#include "testing.h"

#include "FairShare.h"

#define ROOM 1000000.0
#define REQUEST_US 10000

/* A customer asks for @asked requests each 100 ms and gets @served of them. */
static void
send(FairShare_t *shares, guint64 customer, guint asked, guint served,
     gint64 now_ms)
{
    for (guint i = 0; i < asked; i++) {
        FairShare_noteDemand(shares, customer, REQUEST_US, now_ms);
    }
    for (guint i = 0; i < served; i++) {
        FairShare_noteServed(shares, customer, REQUEST_US, now_ms);
    }
}

START_TEST(nobody_is_over_while_all_demand_fits)
{
    FairShare_t *shares = FairShare_create(16);
    for (gint64 now_ms = 0; now_ms < 10000; now_ms += 100) {
        send(shares, 1, 8, 8, now_ms);
        send(shares, 2, 1, 1, now_ms);
        ck_assert(!FairShare_isOver(shares, 1, ROOM, now_ms));
        ck_assert(!FairShare_isOver(shares, 2, ROOM, now_ms));
    }
    FairShare_destroy(shares);
}
END_TEST

START_TEST(customer_with_most_demand_is_over_and_small_ones_are_not)
{
    FairShare_t *shares = FairShare_create(16);
    gint64 now_ms = 0;
    for (; now_ms < 10000; now_ms += 100) {
        send(shares, 1, 20, 8, now_ms);
        send(shares, 2, 2, 2, now_ms);
        send(shares, 3, 1, 1, now_ms);
    }
    ck_assert(FairShare_isOver(shares, 1, ROOM, now_ms));
    ck_assert(!FairShare_isOver(shares, 2, ROOM, now_ms));
    ck_assert(!FairShare_isOver(shares, 3, ROOM, now_ms));
    FairShare_destroy(shares);
}
END_TEST

START_TEST(large_customer_may_have_what_small_ones_leave)
{
    FairShare_t *shares = FairShare_create(16);
    gint64 now_ms = 0;
    for (; now_ms < 10000; now_ms += 100) {
        send(shares, 1, 20, 6, now_ms);
        send(shares, 2, 2, 2, now_ms);
        send(shares, 3, 1, 1, now_ms);
    }
    ck_assert(!FairShare_isOver(shares, 1, ROOM, now_ms));
    FairShare_destroy(shares);
}
END_TEST

START_TEST(share_that_was_not_used_is_not_saved_up)
{
    FairShare_t *shares = FairShare_create(16);
    gint64 now_ms = 0;
    for (; now_ms < 60000; now_ms += 100) {
        send(shares, 1, 20, 10, now_ms);
    }
    for (; now_ms < 65000; now_ms += 100) {
        send(shares, 1, 20, 1, now_ms);
        send(shares, 2, 20, 9, now_ms);
    }
    ck_assert(!FairShare_isOver(shares, 1, ROOM, now_ms));
    ck_assert(FairShare_isOver(shares, 2, ROOM, now_ms));
    FairShare_destroy(shares);
}
END_TEST

START_TEST(nobody_is_over_soon_after_a_burst)
{
    FairShare_t *shares = FairShare_create(16);
    gint64 now_ms = 0;
    for (; now_ms < 5000; now_ms += 100) {
        send(shares, 1, 20, 10, now_ms);
        send(shares, 2, 1, 1, now_ms);
    }
    ck_assert(FairShare_isOver(shares, 1, ROOM / 2, now_ms));
    ck_assert(!FairShare_isOver(shares, 2, ROOM / 2, now_ms));
    ck_assert(!FairShare_isOver(shares, 2, ROOM / 2, now_ms + 4000));
    ck_assert(!FairShare_isOver(shares, 1, ROOM / 2, now_ms + 4000));
    FairShare_destroy(shares);
}
END_TEST

START_TEST(loss_of_room_counts_at_once)
{
    FairShare_t *shares = FairShare_create(16);
    gint64 now_ms = 0;
    for (; now_ms < 10000; now_ms += 100) {
        send(shares, 1, 7, 7, now_ms);
        send(shares, 2, 1, 1, now_ms);
    }
    ck_assert(!FairShare_isOver(shares, 1, ROOM, now_ms));
    ck_assert(FairShare_isOver(shares, 1, ROOM / 2, now_ms));
    ck_assert(!FairShare_isOver(shares, 2, ROOM / 2, now_ms));
    FairShare_destroy(shares);
}
END_TEST

START_TEST(customers_that_come_and_go_do_not_displace_the_largest)
{
    FairShare_t *shares = FairShare_create(1024);
    gint64 now_ms = 0;
    guint64 passing = 1000;
    for (; now_ms < 5000; now_ms += 100) {
        send(shares, 1, 20, 9, now_ms);
        for (guint i = 0; i < 100; i++) {
            FairShare_noteDemand(shares, passing++, 10, now_ms);
        }
    }
    ck_assert(FairShare_isOver(shares, 1, ROOM / 2, now_ms));
    ck_assert(!FairShare_isOver(shares, passing - 1, ROOM / 2, now_ms));
    ck_assert(!FairShare_isOver(shares, 1000, ROOM / 2, now_ms));
    FairShare_destroy(shares);
}
END_TEST

/* A customer without others got no promise of a return in a shortage. */
START_TEST(lone_customer_is_never_over)
{
    FairShare_t *shares = FairShare_create(16);
    for (gint64 now_ms = 0; now_ms < 10000; now_ms += 100) {
        send(shares, 1, 30, 10, now_ms);
        ck_assert(!FairShare_isOver(shares, 1, ROOM, now_ms));
    }
    FairShare_destroy(shares);
}
END_TEST

TESTING_MAIN("FairShare", nobody_is_over_while_all_demand_fits,
             customer_with_most_demand_is_over_and_small_ones_are_not,
             large_customer_may_have_what_small_ones_leave,
             share_that_was_not_used_is_not_saved_up,
             nobody_is_over_soon_after_a_burst, loss_of_room_counts_at_once,
             customers_that_come_and_go_do_not_displace_the_largest,
             lone_customer_is_never_over)
