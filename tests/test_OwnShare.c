#include "testing.h"

#include "OwnShare.h"
#include "Random.h"

static const RateLimit_t limit = {.per_s = 900, .burst = 900};

static guint
take_all(OwnShare_t *share, const OwnShareFacts_t *facts, double units,
         gint64 from_ms, gint64 to_ms)
{
    guint taken = 0;
    for (gint64 now = from_ms; now < to_ms; now += 5) {
        taken += OwnShare_take(share, facts, units, now) ? 1 : 0;
    }
    return taken;
}

START_TEST(it_is_a_part_by_the_number_of_routers)
{
    OwnShare_t share = {0};
    OwnShareFacts_t facts = {.limit = limit, .routers = 90};
    ck_assert_uint_le(take_all(&share, &facts, 1, 0, 10000), 111);
    ck_assert_uint_ge(take_all(&share, &facts, 1, 10000, 20000), 99);
}
END_TEST

START_TEST(what_was_let_in_of_late_goes_on)
{
    OwnShare_t share = {0};
    OwnShareFacts_t facts = {.limit = limit, .routers = 90};
    for (gint64 now = 0; now < 10000; now += 10) {
        OwnShare_note(&share, 1, now);
    }
    ck_assert_uint_ge(take_all(&share, &facts, 1, 10000, 11000), 50);
}
END_TEST

START_TEST(near_the_limit_nothing_larger_than_the_part_is_let_in)
{
    OwnShare_t share = {0};
    OwnShareFacts_t facts = {.limit = limit, .routers = 90, .pressed = TRUE};
    OwnShare_note(&share, 1000, 0);
    ck_assert_uint_eq(take_all(&share, &facts, 50, 0, 10000), 0);
    ck_assert_uint_ge(take_all(&share, &facts, 1, 10000, 20000), 99);
    ck_assert_uint_ge(OwnShare_refuse(&share, 50, 20000), 1);
}
END_TEST

START_TEST(without_routers_it_is_the_whole)
{
    OwnShare_t share = {0};
    OwnShareFacts_t facts = {.limit = limit, .routers = 0};
    ck_assert_uint_ge(take_all(&share, &facts, 900, 0, 2000), 2);
}
END_TEST

/* Of a limit of two a second that 90 routers keep each has less than one
 * request; together they let in the limit, and not 90 at once. */
START_TEST(routers_take_turns_at_an_exact_limit)
{
    RateLimit_t two = {.per_s = 2, .burst = 1, .exact = TRUE};
    OwnShareFacts_t facts = {.limit = two, .routers = 90, .pressed = TRUE};
    guint first = 0;
    guint all = 0;
    Random_seed(3);
    for (guint router = 0; router < 90; router++) {
        OwnShare_t share = {0};
        first += take_all(&share, &facts, 1, 0, 4000);
        all += take_all(&share, &facts, 1, 4000, 100000);
    }
    ck_assert_uint_le(first, 17);
    ck_assert_uint_ge(first + all, 180);
    ck_assert_uint_le(first + all, 220);
}
END_TEST

TESTING_MAIN("OwnShare", it_is_a_part_by_the_number_of_routers,
             what_was_let_in_of_late_goes_on,
             near_the_limit_nothing_larger_than_the_part_is_let_in,
             without_routers_it_is_the_whole,
             routers_take_turns_at_an_exact_limit)
