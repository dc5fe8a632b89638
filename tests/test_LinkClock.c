#include "testing.h"

#include "LinkClock.h"

/* Two routers whose monotonic clocks differ by far more than any transit. */
#define START_MS 5000000
#define SKEW_MS 777000
#define TRANSIT_MS 3
#define HELD_MS 4000
#define SUSPENDED_MS 30000

typedef struct {
    LinkClock_t clock;
    gint64 skew_ms;
} End_t;

static End_t near_end;
static End_t far_end;
static gint64 now_ms; /* by the clock of near_end */

static gint64
clock_of(const End_t *end)
{
    return now_ms + end->skew_ms;
}

static void
begin(void)
{
    now_ms = START_MS;
    near_end = (End_t){.skew_ms = 0};
    far_end = (End_t){.skew_ms = SKEW_MS};
    LinkClock_init(&near_end.clock, clock_of(&near_end));
    now_ms += TRANSIT_MS;
    LinkClock_init(&far_end.clock, clock_of(&far_end));
}

static Wt__LinkTime
stamp(const End_t *from)
{
    Wt__LinkTime time;
    LinkClock_stamp(&from->clock, clock_of(from), &time);
    return time;
}

/* Returns the bound on the time in transit of a message that takes
 * @transit_ms. */
static gint64
transmit(const End_t *from, End_t *to, gint64 transit_ms)
{
    Wt__LinkTime time = stamp(from);
    now_ms += transit_ms;
    return LinkClock_receive(&to->clock, &time, clock_of(to));
}

static void
exchange(gint64 transit_ms)
{
    transmit(&near_end, &far_end, transit_ms);
    transmit(&far_end, &near_end, transit_ms);
}

START_TEST(bound_covers_a_message_that_was_held_up)
{
    begin();
    exchange(TRANSIT_MS);
    gint64 bound_ms = transmit(&near_end, &far_end, HELD_MS);
    ck_assert_int_ge(bound_ms, HELD_MS);
    ck_assert_int_le(bound_ms, HELD_MS + 2 * TRANSIT_MS);
    bound_ms = transmit(&near_end, &far_end, TRANSIT_MS);
    ck_assert_int_ge(bound_ms, TRANSIT_MS);
    ck_assert_int_le(bound_ms, 3 * TRANSIT_MS);
}
END_TEST

/* Nothing tells how much of the round trip was each way. */
START_TEST(bound_covers_messages_that_are_all_held_up)
{
    begin();
    exchange(HELD_MS);
    exchange(HELD_MS);
    gint64 bound_ms = transmit(&far_end, &near_end, HELD_MS);
    ck_assert_int_ge(bound_ms, HELD_MS);
    ck_assert_int_le(bound_ms, 2 * HELD_MS);
}
END_TEST

START_TEST(bound_holds_whatever_the_transit_times)
{
    for (guint32 seed = 1; seed <= 50; seed++) {
        g_autoptr(GRand) random = g_rand_new_with_seed(seed);
        begin();
        for (guint i = 0; i < 200; i++) {
            gboolean away = g_rand_boolean(random);
            gint64 transit_ms = g_rand_int_range(random, 0, HELD_MS);
            End_t *from = away ? &near_end : &far_end;
            End_t *to = away ? &far_end : &near_end;
            gboolean has_heard = stamp(from).has_heard;
            gint64 bound_ms = transmit(from, to, transit_ms);
            ck_assert(!has_heard || bound_ms >= transit_ms);
            now_ms += g_rand_int_range(random, 0, HELD_MS);
        }
    }
}
END_TEST

/* A clock that stands still during a suspension of its machine differs from
 * its peer's by more afterwards. */
START_TEST(bound_holds_again_after_a_clock_stood_still)
{
    begin();
    exchange(TRANSIT_MS);
    near_end.skew_ms -= SUSPENDED_MS;
    exchange(TRANSIT_MS);
    now_ms += LINK_CLOCK_WINDOW_MS;
    exchange(TRANSIT_MS);
    now_ms += LINK_CLOCK_WINDOW_MS;
    exchange(TRANSIT_MS);
    ck_assert_int_ge(transmit(&near_end, &far_end, HELD_MS), HELD_MS);
    ck_assert_int_ge(transmit(&far_end, &near_end, HELD_MS), HELD_MS);
}
END_TEST

START_TEST(first_message_is_as_old_as_the_link)
{
    begin();
    now_ms += TRANSIT_MS;
    ck_assert_int_eq(transmit(&near_end, &far_end, HELD_MS),
                     TRANSIT_MS + HELD_MS);
}
END_TEST

START_TEST(message_of_an_earlier_build_has_no_bound)
{
    begin();
    ck_assert_int_eq(LinkClock_receive(&far_end.clock, NULL, START_MS), 0);
}
END_TEST

START_TEST(numbers_beyond_any_clock_are_ignored)
{
    begin();
    exchange(TRANSIT_MS);
    Wt__LinkTime time = stamp(&near_end);
    time.sent_ms = G_MAXUINT64;
    ck_assert_int_eq(
        LinkClock_receive(&far_end.clock, &time, clock_of(&far_end)), 0);
    time = stamp(&near_end);
    time.ahead_ms = G_MININT64;
    ck_assert_int_eq(
        LinkClock_receive(&far_end.clock, &time, clock_of(&far_end)), 0);
    ck_assert_int_ge(transmit(&near_end, &far_end, HELD_MS), HELD_MS);
}
END_TEST

TESTING_MAIN("LinkClock", bound_covers_a_message_that_was_held_up,
             bound_covers_messages_that_are_all_held_up,
             bound_holds_whatever_the_transit_times,
             bound_holds_again_after_a_clock_stood_still,
             first_message_is_as_old_as_the_link,
             message_of_an_earlier_build_has_no_bound,
             numbers_beyond_any_clock_are_ignored)
