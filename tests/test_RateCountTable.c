#include "testing.h"

#include "RateCountTable.h"

#define CUSTOMER "c"
#define ROUTERS 90

static RateCountTable_t *table;

static RateDecision_t
query(double units, const RateLimit_t *limit, gint64 now_ms)
{
    RateClaim_t claim = {
        .subject = CUSTOMER, .limit = *limit, .units = units, .from = 1};
    return RateCountTable_decide(table, &claim, now_ms);
}

static const RateLimit_t limit = {.per_s = 100, .burst = 100, .version = 5};
static const RateLimit_t lower = {.per_s = 10, .burst = 10, .version = 6};
static const RateLimit_t higher = {.per_s = 500, .burst = 500, .version = 7};

START_TEST(a_new_count_starts_with_a_fraction_of_the_depth)
{
    table = RateCountTable_create();
    ck_assert(query(13, &limit, 0).admitted);
    RateDecision_t refused = query(1, &limit, 0);
    ck_assert(!refused.admitted && !refused.open);
    ck_assert_uint_ge(refused.retry_after_ms, 1);
    RateCountTable_destroy(table);
}
END_TEST

START_TEST(a_new_count_of_an_exhausted_customer_starts_with_a_debt)
{
    table = RateCountTable_create();
    RateClaim_t claim = {
        .subject = CUSTOMER, .limit = limit, .units = 1, .exhausted = TRUE};
    ck_assert(!RateCountTable_decide(table, &claim, 0).admitted);
    ck_assert(!RateCountTable_decide(table, &claim, 490).admitted);
    ck_assert(RateCountTable_decide(table, &claim, 520).admitted);
    RateCountTable_destroy(table);
}
END_TEST

static void
count_requester(guint64 from, void *data)
{
    (void)from;
    (*(guint *)data)++;
}

START_TEST(requesters_are_notified_once_when_the_limit_closes)
{
    table = RateCountTable_create();
    for (guint64 from = 1; from <= ROUTERS; from++) {
        RateClaim_t claim = {
            .subject = CUSTOMER, .limit = limit, .from = from};
        RateCountTable_decide(table, &claim, 0);
    }
    ck_assert(query(1, &limit, 2000).open);
    RateDecision_t decision = query(60, &limit, 2000);
    ck_assert(decision.admitted && !decision.open && decision.closed_now);
    ck_assert(!query(1, &limit, 2000).closed_now);
    guint notified = 0;
    RateCountTable_forEachRequester(table, CUSTOMER, 2000, count_requester,
                                    &notified);
    ck_assert_uint_eq(notified, ROUTERS);
    notified = 0;
    RateCountTable_forEachRequester(table, CUSTOMER, 2000 + 10001,
                                    count_requester, &notified);
    ck_assert_uint_eq(notified, 0);
    RateCountTable_destroy(table);
}
END_TEST

START_TEST(the_newest_limit_version_applies)
{
    table = RateCountTable_create();
    query(0, &limit, 0);
    query(0, &limit, 2000);
    ck_assert(query(20, &lower, 2000).admitted);
    ck_assert(!query(1, &limit, 2000).admitted);
    ck_assert(!query(1, &lower, 2500).admitted);
    RateCountTable_destroy(table);
}
END_TEST

/* Regression: calls were refused right after a limit was raised from 1 to
 * 1,000 per second. Twenty calls under the lower limit had left a debt, which
 * refilled at the lower rate until the first query under the higher limit. */
START_TEST(a_raised_limit_admits_its_larger_burst_at_once)
{
    table = RateCountTable_create();
    query(11, &lower, 0);
    ck_assert(!query(1, &lower, 500).admitted);
    ck_assert(query(1, &higher, 500).admitted);
    RateCountTable_destroy(table);
}
END_TEST

START_TEST(a_reachable_fraction_of_the_routers_gets_that_fraction_of_the_limit)
{
    table = RateCountTable_create();
    guint admitted = 0;
    RateCountTable_setReach(table, 0.25, 0.5);
    for (gint64 now = 0; now < 10000; now += 2) {
        admitted += query(1, &limit, now).admitted ? 1 : 0;
    }
    ck_assert_uint_ge(admitted, 245);
    ck_assert_uint_le(admitted, 275);
    RateCountTable_destroy(table);
}
END_TEST

START_TEST(units_reported_later_are_charged)
{
    table = RateCountTable_create();
    query(0, &limit, 0);
    RateClaim_t report = {.subject = CUSTOMER, .limit = limit, .spent = 300};
    RateCountTable_decide(table, &report, 2000);
    ck_assert(!query(1, &limit, 3900).admitted);
    ck_assert(query(1, &limit, 4100).admitted);
    report.spent = -50;
    RateCountTable_decide(table, &report, 4100);
    ck_assert(query(1, &limit, 4100).admitted);
    RateCountTable_destroy(table);
}
END_TEST

START_TEST(idle_customers_are_removed)
{
    table = RateCountTable_create();
    query(1, &limit, 0);
    RateCountTable_sweep(table, 59000);
    ck_assert_uint_eq(RateCountTable_size(table), 1);
    RateCountTable_sweep(table, 61000);
    ck_assert_uint_eq(RateCountTable_size(table), 0);
    RateCountTable_destroy(table);
}
END_TEST

/* If 90 routers admitted one request each without a query, an upstream with a
 * limit of two per second would get many times its limit. */
START_TEST(an_exact_limit_is_never_open)
{
    RateLimit_t exact = limit;
    exact.exact = TRUE;
    table = RateCountTable_create();
    query(1, &limit, 0);
    ck_assert(query(1, &limit, 5000).open);
    ck_assert(!query(1, &exact, 5000).open);
    RateCountTable_destroy(table);
}
END_TEST

TESTING_MAIN(
    "RateCountTable", a_new_count_starts_with_a_fraction_of_the_depth,
    a_new_count_of_an_exhausted_customer_starts_with_a_debt,
    requesters_are_notified_once_when_the_limit_closes,
    the_newest_limit_version_applies,
    a_raised_limit_admits_its_larger_burst_at_once,
    a_reachable_fraction_of_the_routers_gets_that_fraction_of_the_limit,
    units_reported_later_are_charged, idle_customers_are_removed,
    an_exact_limit_is_never_open)
