/* Bodies of requests took a router over its memory. */
#include "BodyBudget.h"

#include "testing.h"

#define ROOM 1000

static BodyBudget_t *budget;
static BodyClaim_t *claims[4];

static void
begin(gsize max)
{
    budget = BodyBudget_create(max);
    for (guint i = 0; i < G_N_ELEMENTS(claims); i++) {
        claims[i] = BodyClaim_create(budget);
    }
}

static void
end(void)
{
    for (guint i = 0; i < G_N_ELEMENTS(claims); i++) {
        BodyClaim_destroy(claims[i]);
    }
    ck_assert_uint_eq(BodyBudget_used(budget), 0);
    ck_assert_uint_eq(BodyBudget_waiting(budget), 0);
    BodyBudget_unref(budget);
}

START_TEST(bodies_are_admitted_while_there_is_room)
{
    begin(ROOM);
    ck_assert(BodyClaim_try(claims[0], 600, 0));
    ck_assert(!BodyClaim_try(claims[1], 600, 0));
    ck_assert_uint_eq(BodyBudget_used(budget), 600);
    BodyClaim_release(claims[0]);
    ck_assert(BodyClaim_try(claims[1], 600, 50));
    ck_assert(BodyClaim_isGranted(claims[1]));
    ck_assert(!BodyClaim_isGranted(claims[0]));
    end();
}
END_TEST

START_TEST(bodies_are_admitted_in_order)
{
    begin(ROOM);
    ck_assert(BodyClaim_try(claims[0], 900, 0));
    ck_assert(!BodyClaim_try(claims[1], 500, 0));
    ck_assert(!BodyClaim_try(claims[2], 50, 1));
    BodyClaim_release(claims[0]);
    ck_assert(!BodyClaim_try(claims[2], 50, 10));
    ck_assert(BodyClaim_try(claims[1], 500, 20));
    ck_assert(BodyClaim_try(claims[2], 50, 30));
    end();
}
END_TEST

static void
set_callers(guint64 first, guint64 second, guint64 third, guint64 fourth)
{
    BodyClaim_setCaller(claims[0], first);
    BodyClaim_setCaller(claims[1], second);
    BodyClaim_setCaller(claims[2], third);
    BodyClaim_setCaller(claims[3], fourth);
}

/* The bodies of one caller took the room of all others. */
START_TEST(the_caller_with_the_fewest_bytes_is_next)
{
    begin(ROOM);
    set_callers(1, 1, 1, 2);
    ck_assert(BodyClaim_try(claims[0], 500, 0));
    ck_assert(BodyClaim_try(claims[1], 500, 0));
    ck_assert(!BodyClaim_try(claims[2], 500, 0));
    ck_assert(!BodyClaim_try(claims[3], 500, 1));
    BodyClaim_release(claims[0]);
    ck_assert(!BodyClaim_try(claims[2], 500, 10));
    ck_assert(BodyClaim_try(claims[3], 500, 20));
    BodyClaim_release(claims[1]);
    ck_assert(BodyClaim_try(claims[2], 500, 30));
    end();
}
END_TEST

START_TEST(received_bodies_count_for_their_callers)
{
    begin(ROOM);
    set_callers(1, 2, 1, 2);
    BodyClaim_setBytes(claims[0], 400);
    BodyClaim_setBytes(claims[1], 300);
    ck_assert(!BodyClaim_try(claims[2], 400, 0));
    ck_assert(!BodyClaim_try(claims[3], 400, 0));
    BodyClaim_setBytes(claims[0], 301);
    BodyClaim_setBytes(claims[1], 299);
    ck_assert(!BodyClaim_try(claims[2], 400, 10));
    ck_assert(BodyClaim_try(claims[3], 400, 10));
    end();
}
END_TEST

START_TEST(a_claim_takes_its_bytes_to_another_caller)
{
    begin(ROOM);
    set_callers(1, 2, 1, 2);
    BodyClaim_setBytes(claims[0], 600);
    BodyClaim_setCaller(claims[0], 2);
    ck_assert_uint_eq(BodyClaim_caller(claims[0]), 2);
    ck_assert(!BodyClaim_try(claims[3], 500, 0));
    ck_assert(!BodyClaim_try(claims[2], 500, 1));
    BodyClaim_setBytes(claims[0], 500);
    ck_assert(!BodyClaim_try(claims[3], 500, 10));
    ck_assert(BodyClaim_try(claims[2], 500, 10));
    end();
}
END_TEST

/* Its connection may have been closed. */
START_TEST(a_claim_that_no_longer_tries_does_not_hold_up_others)
{
    begin(ROOM);
    ck_assert(BodyClaim_try(claims[0], 900, 0));
    ck_assert(!BodyClaim_try(claims[1], 900, 0));
    BodyClaim_release(claims[0]);
    ck_assert(!BodyClaim_try(claims[2], 100, 100));
    ck_assert(BodyClaim_try(claims[2], 100, 300));
    end();
}
END_TEST

START_TEST(a_body_without_progress_gives_way)
{
    begin(ROOM);
    ck_assert(BodyClaim_try(claims[0], 600, 0));
    ck_assert(BodyClaim_try(claims[1], 300, 0));
    BodyClaim_noteProgress(claims[1], 500);
    ck_assert(!BodyClaim_try(claims[2], 600, 400));
    ck_assert(BodyClaim_try(claims[2], 600, 600));
    ck_assert(!BodyClaim_isGranted(claims[0]));
    ck_assert(BodyClaim_isGranted(claims[1]));
    end();
}
END_TEST

/* A body that paused gave its claim back, and its bytes stayed. */
START_TEST(a_body_that_stops_keeps_the_bytes_that_have_come)
{
    begin(ROOM);
    ck_assert(BodyClaim_try(claims[0], 900, 0));
    BodyClaim_setHeld(claims[0], 400);
    ck_assert(!BodyClaim_try(claims[1], 700, 600));
    ck_assert_uint_eq(BodyClaim_bytes(claims[0]), 400);
    ck_assert(BodyClaim_try(claims[2], 600, 900));
    ck_assert_uint_eq(BodyBudget_used(budget), ROOM);
    ck_assert(!BodyClaim_try(claims[0], 900, 1000));
    BodyClaim_release(claims[2]);
    BodyClaim_release(claims[1]);
    ck_assert(BodyClaim_try(claims[0], 900, 1100));
    ck_assert_uint_eq(BodyBudget_used(budget), 900);
    end();
}
END_TEST

START_TEST(bytes_to_come_must_fit_in_the_memory_that_is_left)
{
    begin(ROOM);
    BodyBudget_setRoom(budget, 500);
    ck_assert(BodyClaim_try(claims[0], 400, 0));
    ck_assert(!BodyClaim_try(claims[1], 200, 0));
    BodyClaim_setHeld(claims[0], 300);
    ck_assert(BodyClaim_try(claims[1], 200, 10));
    BodyBudget_setRoom(budget, 0);
    ck_assert(!BodyClaim_try(claims[2], 1, 20));
    BodyClaim_release(claims[0]);
    BodyClaim_release(claims[1]);
    ck_assert(BodyClaim_try(claims[2], 200, 30));
    end();
}
END_TEST

/* The kernel held a part of each body that waited. */
START_TEST(only_so_many_claims_wait)
{
    enum { CLAIMS = 65 };
    BodyClaim_t *more[CLAIMS];
    begin(ROOM);
    ck_assert(BodyClaim_try(claims[0], ROOM, 0));
    for (guint i = 0; i < CLAIMS; i++) {
        ck_assert_int_eq(BodyBudget_isCrowded(budget), i == CLAIMS - 1);
        more[i] = BodyClaim_create(budget);
        ck_assert(!BodyClaim_try(more[i], ROOM, 0));
    }
    for (guint i = 0; i < CLAIMS; i++) {
        BodyClaim_destroy(more[i]);
    }
    ck_assert(!BodyBudget_isCrowded(budget));
    end();
}
END_TEST

START_TEST(a_body_that_was_received_stays)
{
    begin(ROOM);
    BodyClaim_setBytes(claims[0], 600);
    ck_assert(!BodyClaim_try(claims[1], 600, 0));
    ck_assert(!BodyClaim_try(claims[1], 600, 10000));
    ck_assert_uint_eq(BodyBudget_used(budget), 600);
    end();
}
END_TEST

START_TEST(a_body_beyond_the_budget_is_admitted_alone)
{
    begin(ROOM);
    ck_assert(BodyClaim_try(claims[0], 1, 0));
    ck_assert(!BodyClaim_try(claims[1], 5000, 0));
    BodyClaim_release(claims[0]);
    ck_assert(BodyClaim_try(claims[1], 5000, 10));
    ck_assert(!BodyClaim_try(claims[2], 1, 20));
    end();
}
END_TEST

START_TEST(a_claim_may_grow)
{
    begin(ROOM);
    ck_assert(BodyClaim_try(claims[0], 100, 0));
    ck_assert(BodyClaim_try(claims[0], 0, 0));
    ck_assert_uint_eq(BodyBudget_used(budget), 100);
    ck_assert(BodyClaim_try(claims[1], 500, 0));
    ck_assert(!BodyClaim_try(claims[0], 600, 0));
    ck_assert_uint_eq(BodyBudget_used(budget), 600);
    BodyClaim_release(claims[1]);
    ck_assert(BodyClaim_try(claims[0], 600, 0));
    ck_assert_uint_eq(BodyBudget_used(budget), 600);
    end();
}
END_TEST

START_TEST(without_a_limit_all_bodies_are_admitted)
{
    begin(0);
    for (guint i = 0; i < G_N_ELEMENTS(claims); i++) {
        ck_assert(BodyClaim_try(claims[i], G_MAXSIZE / 8, 0));
    }
    BodyBudget_setMax(budget, ROOM);
    BodyClaim_release(claims[0]);
    ck_assert(!BodyClaim_try(claims[0], 1, 0));
    end();
}
END_TEST

/* The oracle is a plain sum; no order of calls may lose bytes. */
START_TEST(random_calls_keep_the_sum)
{
    GRand *draws = g_rand_new_with_seed(7);
    gsize granted[G_N_ELEMENTS(claims)] = {0};
    begin(ROOM);
    for (gint64 at_ms = 0; at_ms < 20000; at_ms += 10) {
        guint i = g_rand_int_range(draws, 0, G_N_ELEMENTS(claims));
        gsize bytes = g_rand_int_range(draws, 1, ROOM);
        for (guint j = 0; j < G_N_ELEMENTS(claims); j++) {
            BodyClaim_noteProgress(claims[j], at_ms);
        }
        BodyClaim_setCaller(claims[i], g_rand_int_range(draws, 0, 3));
        if (g_rand_boolean(draws)) {
            BodyClaim_release(claims[i]);
            granted[i] = 0;
        }
        else if (BodyClaim_try(claims[i], bytes, at_ms)) {
            granted[i] = MAX(granted[i], bytes);
        }
        gsize sum = 0;
        for (guint j = 0; j < G_N_ELEMENTS(claims); j++) {
            sum += granted[j];
        }
        ck_assert_uint_eq(BodyBudget_used(budget), sum);
        ck_assert_uint_le(sum, ROOM);
    }
    g_rand_free(draws);
    end();
}
END_TEST

TESTING_MAIN("BodyBudget", bodies_are_admitted_while_there_is_room,
             bodies_are_admitted_in_order,
             the_caller_with_the_fewest_bytes_is_next,
             received_bodies_count_for_their_callers,
             a_claim_takes_its_bytes_to_another_caller,
             a_claim_that_no_longer_tries_does_not_hold_up_others,
             a_body_without_progress_gives_way,
             a_body_that_stops_keeps_the_bytes_that_have_come,
             bytes_to_come_must_fit_in_the_memory_that_is_left,
             only_so_many_claims_wait, a_body_that_was_received_stays,
             a_body_beyond_the_budget_is_admitted_alone, a_claim_may_grow,
             without_a_limit_all_bodies_are_admitted,
             random_calls_keep_the_sum)
