/* What three crashes under one request lead to, in any order in which routers
 * come to know of them. A request that ended 36 engines was not known again by
 * anyone; of some thirty requests that an engine takes with it one did it. */
#include "CrashTable.h"

#include <string.h>

#include "testing.h"

#define NOW_MS 1000000
#define OWNER 7

static CrashTable_t *table;

static RequestDigest_t
digest_of(guint number)
{
    RequestDigest_t digest = {{0}};
    memcpy(digest.bytes, &number, sizeof(number));
    return digest;
}

static CrashFact_t
fact_of(guint request, guint64 crash, gint64 at_ms)
{
    return (CrashFact_t){digest_of(request), OWNER, crash, at_ms};
}

static CrashChange_t
add(guint request, guint64 crash, gint64 at_ms)
{
    CrashFact_t fact = fact_of(request, crash, at_ms);
    return CrashTable_add(table, &fact, at_ms);
}

static gint64
held_ms(guint request, gint64 now_ms)
{
    RequestDigest_t digest = digest_of(request);
    const CrashEntry_t *entry = CrashTable_find(table, &digest);
    return entry ? CrashEntry_heldMs(entry, now_ms) : 0;
}

static void
begin(void)
{
    table = CrashTable_create();
}

static void
end(void)
{
    CrashTable_destroy(table);
}

START_TEST(the_third_upstream_holds_it_back)
{
    begin();
    ck_assert_int_eq(add(1, 11, NOW_MS), CRASH_NEWS);
    ck_assert_int_eq(add(1, 12, NOW_MS), CRASH_NEWS);
    ck_assert_int_eq(held_ms(1, NOW_MS), 0);
    ck_assert_int_eq(add(1, 13, NOW_MS), CRASH_HOLDS);
    ck_assert_int_eq(held_ms(1, NOW_MS), CRASH_HOLD_MS);
    ck_assert_int_eq(held_ms(2, NOW_MS), 0);
    end();
}
END_TEST

/* All that ran there tell of it, at several routers. */
START_TEST(one_upstream_counts_once)
{
    begin();
    add(1, 11, NOW_MS);
    ck_assert_int_eq(add(1, 11, NOW_MS), CRASH_KNOWN);
    ck_assert_int_eq(add(1, 11, NOW_MS), CRASH_KNOWN);
    ck_assert_int_eq(held_ms(1, NOW_MS), 0);
    end();
}
END_TEST

START_TEST(each_further_crash_holds_it_back_for_twice_as_long)
{
    begin();
    for (guint64 crash = 1; crash <= CRASHES_HELD; crash++) {
        add(1, crash, NOW_MS);
    }
    gint64 over_ms = NOW_MS + CRASH_HOLD_MS;
    ck_assert_int_eq(held_ms(1, over_ms), 0);
    ck_assert_int_eq(add(1, 20, over_ms), CRASH_HOLDS);
    ck_assert_int_eq(held_ms(1, over_ms), 2 * CRASH_HOLD_MS);
    for (guint64 crash = 21; crash < 40; crash++) {
        add(1, crash, over_ms);
    }
    ck_assert_int_eq(held_ms(1, over_ms), CRASH_HOLD_MOST_MS);
    end();
}
END_TEST

START_TEST(a_request_that_comes_through_is_let_go)
{
    begin();
    RequestDigest_t digest = digest_of(1);
    for (guint64 crash = 1; crash <= CRASHES_HELD; crash++) {
        add(1, crash, NOW_MS);
    }
    ck_assert(CrashTable_clear(table, &digest));
    ck_assert(!CrashTable_clear(table, &digest));
    ck_assert_int_eq(held_ms(1, NOW_MS), 0);
    /* What is told of it again counts no more. */
    ck_assert_int_eq(add(1, 2, NOW_MS), CRASH_KNOWN);
    add(1, 31, NOW_MS);
    add(1, 32, NOW_MS);
    ck_assert_int_eq(held_ms(1, NOW_MS), 0);
    ck_assert_int_eq(add(1, 33, NOW_MS), CRASH_HOLDS);
    end();
}
END_TEST

START_TEST(an_upstream_that_lives_counts_for_none)
{
    begin();
    for (guint request = 1; request <= 2; request++) {
        add(request, 11, NOW_MS);
        add(request, 12, NOW_MS);
    }
    add(1, 13, NOW_MS);
    ck_assert(CrashTable_retract(table, 12));
    ck_assert(!CrashTable_retract(table, 12));
    ck_assert_int_eq(held_ms(1, NOW_MS), 0);
    ck_assert_int_eq(add(2, 13, NOW_MS), CRASH_NEWS);
    ck_assert_int_eq(add(3, 12, NOW_MS), CRASH_KNOWN);
    end();
}
END_TEST

/* A flood of requests of one customer, each of which ended an upstream. */
START_TEST(a_customer_pushes_out_only_its_own)
{
    begin();
    CrashFact_t other = fact_of(1, 11, NOW_MS);
    other.owner = OWNER + 1;
    CrashTable_add(table, &other, NOW_MS);
    for (guint crash = 11; crash < 11 + CRASHES_HELD; crash++) {
        add(2, crash, NOW_MS);
    }
    for (guint request = 10; request < 10 + 4 * CRASH_ENTRIES_OF_ONE;
         request++) {
        add(request, request, NOW_MS + request);
    }
    RequestDigest_t digest = digest_of(1);
    ck_assert_ptr_nonnull(CrashTable_find(table, &digest));
    ck_assert_int_gt(held_ms(2, NOW_MS), 0);
    ck_assert_uint_eq(CrashTable_size(table), CRASH_ENTRIES_OF_ONE + 1);
    end();
}
END_TEST

START_TEST(all_customers_together_are_bounded)
{
    begin();
    guint number = 0;
    for (guint64 owner = 0; owner < 100; owner++) {
        for (guint i = 0; i < CRASH_ENTRIES_OF_ONE; i++) {
            CrashFact_t fact = fact_of(++number, 11, NOW_MS);
            fact.owner = owner;
            CrashTable_add(table, &fact, NOW_MS);
        }
    }
    ck_assert_uint_eq(CrashTable_size(table), CRASH_ENTRIES);
    end();
}
END_TEST

START_TEST(what_is_old_is_forgotten)
{
    begin();
    add(1, 11, NOW_MS);
    for (guint64 crash = 11; crash < 11 + CRASHES_HELD; crash++) {
        add(2, crash, NOW_MS);
    }
    RequestDigest_t digest = digest_of(2);
    CrashTable_find(table, &digest)->is_recorded = TRUE;
    GArray *recorded = CrashTable_forget(table, NOW_MS + CRASH_SUSPECT_MS + 1);
    ck_assert_uint_eq(recorded->len, 0);
    ck_assert_uint_eq(CrashTable_size(table), 1);
    g_array_unref(recorded);
    recorded = CrashTable_forget(table, NOW_MS + CRASH_MEMORY_MS + 1);
    ck_assert_uint_eq(recorded->len, 1);
    ck_assert_uint_eq(CrashTable_size(table), 0);
    g_array_unref(recorded);
    end();
}
END_TEST

TESTING_MAIN("CrashTable", the_third_upstream_holds_it_back,
             one_upstream_counts_once,
             each_further_crash_holds_it_back_for_twice_as_long,
             a_request_that_comes_through_is_let_go,
             an_upstream_that_lives_counts_for_none,
             a_customer_pushes_out_only_its_own,
             all_customers_together_are_bounded, what_is_old_is_forgotten)
