#include "testing.h"

#include "RateBook.h"

#define CUSTOMER "c"
#define ROUTERS 90

static RateBook_t *book;

static RateRuling_t
ask(double units, const RateLimit_t *limit, gint64 now_ms)
{
    RateClaim_t claim = {
        .subject = CUSTOMER, .limit = *limit, .units = units, .from = 1};
    return RateBook_rule(book, &claim, now_ms);
}

static const RateLimit_t limit = {.per_s = 100, .burst = 100, .version = 5};
static const RateLimit_t lower = {.per_s = 10, .burst = 10, .version = 6};
static const RateLimit_t higher = {.per_s = 500, .burst = 500, .version = 7};

START_TEST(a_new_count_begins_with_a_part)
{
    book = RateBook_create();
    ck_assert(ask(13, &limit, 0).admitted);
    RateRuling_t refused = ask(1, &limit, 0);
    ck_assert(!refused.admitted && !refused.open);
    ck_assert_uint_ge(refused.retry_after_ms, 1);
    RateBook_destroy(book);
}
END_TEST

START_TEST(a_new_count_of_a_pressed_customer_begins_with_a_debt)
{
    book = RateBook_create();
    RateClaim_t claim = {
        .subject = CUSTOMER, .limit = limit, .units = 1, .pressed = TRUE};
    ck_assert(!RateBook_rule(book, &claim, 0).admitted);
    ck_assert(!RateBook_rule(book, &claim, 490).admitted);
    ck_assert(RateBook_rule(book, &claim, 520).admitted);
    RateBook_destroy(book);
}
END_TEST

static void
count_told(guint64 from, void *data)
{
    (void)from;
    (*(guint *)data)++;
}

START_TEST(askers_are_told_once_when_little_is_left)
{
    book = RateBook_create();
    for (guint64 from = 1; from <= ROUTERS; from++) {
        RateClaim_t claim = {
            .subject = CUSTOMER, .limit = limit, .from = from};
        RateBook_rule(book, &claim, 0);
    }
    ck_assert(ask(1, &limit, 2000).open);
    RateRuling_t ruling = ask(60, &limit, 2000);
    ck_assert(ruling.admitted && !ruling.open && ruling.closed_now);
    ck_assert(!ask(1, &limit, 2000).closed_now);
    guint told = 0;
    RateBook_forEachAsker(book, CUSTOMER, 2000, count_told, &told);
    ck_assert_uint_eq(told, ROUTERS);
    told = 0;
    RateBook_forEachAsker(book, CUSTOMER, 2000 + 10001, count_told, &told);
    ck_assert_uint_eq(told, 0);
    RateBook_destroy(book);
}
END_TEST

START_TEST(the_newest_limit_holds)
{
    book = RateBook_create();
    ask(0, &limit, 0);
    ask(0, &limit, 2000);
    ck_assert(ask(20, &lower, 2000).admitted);
    ck_assert(!ask(1, &limit, 2000).admitted);
    ck_assert(!ask(1, &lower, 2500).admitted);
    RateBook_destroy(book);
}
END_TEST

/*
 * Symptom: right after a limit was raised from 1 to 1,000 a second, calls were
 * refused. Sequence: twenty calls under the lower limit, then the raise, then
 * a call. Cause: what was owed under the lower limit had filled at its rate
 * until the first question under the higher one. Settled by: a raise lets the
 * larger burst in at once.
 */
START_TEST(a_raise_lets_its_burst_in_at_once)
{
    book = RateBook_create();
    ask(11, &lower, 0);
    ck_assert(!ask(1, &lower, 500).admitted);
    ck_assert(ask(1, &higher, 500).admitted);
    RateBook_destroy(book);
}
END_TEST

START_TEST(a_part_of_the_routers_gets_a_part_of_the_limit)
{
    book = RateBook_create();
    guint admitted = 0;
    RateBook_setReach(book, 0.25);
    for (gint64 now = 0; now < 10000; now += 2) {
        admitted += ask(1, &limit, now).admitted ? 1 : 0;
    }
    ck_assert_uint_ge(admitted, 245);
    ck_assert_uint_le(admitted, 275);
    RateBook_destroy(book);
}
END_TEST

START_TEST(what_is_told_later_counts)
{
    book = RateBook_create();
    ask(0, &limit, 0);
    RateClaim_t told = {.subject = CUSTOMER, .limit = limit, .spent = 300};
    RateBook_rule(book, &told, 2000);
    ck_assert(!ask(1, &limit, 3900).admitted);
    ck_assert(ask(1, &limit, 4100).admitted);
    told.spent = -50;
    RateBook_rule(book, &told, 4100);
    ck_assert(ask(1, &limit, 4100).admitted);
    RateBook_destroy(book);
}
END_TEST

START_TEST(customers_that_rest_are_forgotten)
{
    book = RateBook_create();
    ask(1, &limit, 0);
    RateBook_sweep(book, 59000);
    ck_assert_uint_eq(RateBook_counts(book), 1);
    RateBook_sweep(book, 61000);
    ck_assert_uint_eq(RateBook_counts(book), 0);
    RateBook_destroy(book);
}
END_TEST

/* Ninety routers that let in one request each unasked are many times what an
 * upstream takes that names two a second. */
START_TEST(an_exact_limit_is_asked_for_however_much_is_left)
{
    RateLimit_t exact = limit;
    exact.exact = TRUE;
    book = RateBook_create();
    ask(1, &limit, 0);
    ck_assert(ask(1, &limit, 5000).open);
    ck_assert(!ask(1, &exact, 5000).open);
    RateBook_destroy(book);
}
END_TEST

TESTING_MAIN("RateBook", a_new_count_begins_with_a_part,
             a_new_count_of_a_pressed_customer_begins_with_a_debt,
             askers_are_told_once_when_little_is_left, the_newest_limit_holds,
             a_raise_lets_its_burst_in_at_once,
             a_part_of_the_routers_gets_a_part_of_the_limit,
             what_is_told_later_counts, customers_that_rest_are_forgotten,
             an_exact_limit_is_asked_for_however_much_is_left)
