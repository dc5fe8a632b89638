/* Three crashes quarantine a request, in whatever order the routers learn of
 * them. Guards against a poison request that no router recognizes again, which
 * crashed 36 engines. Of some 30 requests that an engine takes with it, one is
 * the cause. */
#include "CrashTable.h"

#include <string.h>

#include "testing.h"

#define NOW_MS 1000000
#define CUSTOMER 7

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
    return (CrashFact_t){digest_of(request), CUSTOMER, crash, at_ms};
}

static CrashChange_t
add(guint request, guint64 crash, gint64 at_ms)
{
    CrashFact_t fact = fact_of(request, crash, at_ms);
    return CrashTable_add(table, &fact, at_ms);
}

static gint64
quarantine_ms(guint request, gint64 now_ms)
{
    RequestDigest_t digest = digest_of(request);
    const CrashEntry_t *entry = CrashTable_find(table, &digest);
    return entry ? CrashEntry_quarantineMs(entry, now_ms) : 0;
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

START_TEST(third_crashed_upstream_quarantines_the_request)
{
    begin();
    ck_assert_int_eq(add(1, 11, NOW_MS), CRASH_CHANGED);
    ck_assert_int_eq(add(1, 12, NOW_MS), CRASH_CHANGED);
    ck_assert_int_eq(quarantine_ms(1, NOW_MS), 0);
    ck_assert_int_eq(add(1, 13, NOW_MS), CRASH_QUARANTINED);
    ck_assert_int_eq(quarantine_ms(1, NOW_MS), QUARANTINE_MIN_MS);
    ck_assert_int_eq(quarantine_ms(2, NOW_MS), 0);
    end();
}
END_TEST

/* Each attempt that is lost with an upstream reports its crash, possibly at
 * several routers. */
START_TEST(crash_of_one_upstream_counts_once)
{
    begin();
    add(1, 11, NOW_MS);
    ck_assert_int_eq(add(1, 11, NOW_MS), CRASH_UNCHANGED);
    ck_assert_int_eq(add(1, 11, NOW_MS), CRASH_UNCHANGED);
    ck_assert_int_eq(quarantine_ms(1, NOW_MS), 0);
    end();
}
END_TEST

START_TEST(each_further_crash_doubles_the_quarantine)
{
    begin();
    for (guint64 crash = 1; crash <= CRASHES_TO_QUARANTINE; crash++) {
        add(1, crash, NOW_MS);
    }
    gint64 end_ms = NOW_MS + QUARANTINE_MIN_MS;
    ck_assert_int_eq(quarantine_ms(1, end_ms), 0);
    ck_assert_int_eq(add(1, 20, end_ms), CRASH_QUARANTINED);
    ck_assert_int_eq(quarantine_ms(1, end_ms), 2 * QUARANTINE_MIN_MS);
    for (guint64 crash = 21; crash < 40; crash++) {
        add(1, crash, end_ms);
    }
    ck_assert_int_eq(quarantine_ms(1, end_ms), QUARANTINE_MAX_MS);
    end();
}
END_TEST

START_TEST(voiding_all_crashes_releases_the_request)
{
    begin();
    RequestDigest_t digest = digest_of(1);
    for (guint64 crash = 1; crash <= CRASHES_TO_QUARANTINE; crash++) {
        add(1, crash, NOW_MS);
    }
    ck_assert(CrashTable_voidAll(table, &digest));
    ck_assert(!CrashTable_voidAll(table, &digest));
    ck_assert_int_eq(quarantine_ms(1, NOW_MS), 0);
    /* A voided crash stays voided when it is reported again. */
    ck_assert_int_eq(add(1, 2, NOW_MS), CRASH_UNCHANGED);
    add(1, 31, NOW_MS);
    add(1, 32, NOW_MS);
    ck_assert_int_eq(quarantine_ms(1, NOW_MS), 0);
    ck_assert_int_eq(add(1, 33, NOW_MS), CRASH_QUARANTINED);
    end();
}
END_TEST

START_TEST(retracted_crash_counts_for_no_request)
{
    begin();
    for (guint request = 1; request <= 2; request++) {
        add(request, 11, NOW_MS);
        add(request, 12, NOW_MS);
    }
    add(1, 13, NOW_MS);
    ck_assert(CrashTable_retract(table, 12));
    ck_assert(!CrashTable_retract(table, 12));
    ck_assert_int_eq(quarantine_ms(1, NOW_MS), 0);
    ck_assert_int_eq(add(2, 13, NOW_MS), CRASH_CHANGED);
    ck_assert_int_eq(add(3, 12, NOW_MS), CRASH_UNCHANGED);
    end();
}
END_TEST

/* Each of one customer's many requests has crashed an upstream. */
START_TEST(customer_evicts_only_its_own_entries)
{
    begin();
    CrashFact_t other = fact_of(1, 11, NOW_MS);
    other.customer_hash = CUSTOMER + 1;
    CrashTable_add(table, &other, NOW_MS);
    for (guint crash = 11; crash < 11 + CRASHES_TO_QUARANTINE; crash++) {
        add(2, crash, NOW_MS);
    }
    for (guint request = 10; request < 10 + 4 * CRASH_ENTRIES_PER_CUSTOMER_MAX;
         request++) {
        add(request, request, NOW_MS + request);
    }
    RequestDigest_t digest = digest_of(1);
    ck_assert_ptr_nonnull(CrashTable_find(table, &digest));
    ck_assert_int_gt(quarantine_ms(2, NOW_MS), 0);
    ck_assert_uint_eq(CrashTable_size(table),
                      CRASH_ENTRIES_PER_CUSTOMER_MAX + 1);
    end();
}
END_TEST

START_TEST(total_number_of_entries_is_limited)
{
    begin();
    guint number = 0;
    for (guint64 customer = 0; customer < 100; customer++) {
        for (guint i = 0; i < CRASH_ENTRIES_PER_CUSTOMER_MAX; i++) {
            CrashFact_t fact = fact_of(++number, 11, NOW_MS);
            fact.customer_hash = customer;
            CrashTable_add(table, &fact, NOW_MS);
        }
    }
    ck_assert_uint_eq(CrashTable_size(table), CRASH_ENTRIES_MAX);
    end();
}
END_TEST

START_TEST(old_entries_expire)
{
    begin();
    add(1, 11, NOW_MS);
    for (guint64 crash = 11; crash < 11 + CRASHES_TO_QUARANTINE; crash++) {
        add(2, crash, NOW_MS);
    }
    RequestDigest_t digest = digest_of(2);
    CrashTable_find(table, &digest)->is_stored = TRUE;
    GArray *stored =
        CrashTable_expire(table, NOW_MS + CRASH_SUSPECT_RETAIN_MS + 1);
    ck_assert_uint_eq(stored->len, 0);
    ck_assert_uint_eq(CrashTable_size(table), 1);
    g_array_unref(stored);
    stored =
        CrashTable_expire(table, NOW_MS + CRASH_QUARANTINED_RETAIN_MS + 1);
    ck_assert_uint_eq(stored->len, 1);
    ck_assert_uint_eq(CrashTable_size(table), 0);
    g_array_unref(stored);
    end();
}
END_TEST

TESTING_MAIN("CrashTable", third_crashed_upstream_quarantines_the_request,
             crash_of_one_upstream_counts_once,
             each_further_crash_doubles_the_quarantine,
             voiding_all_crashes_releases_the_request,
             retracted_crash_counts_for_no_request,
             customer_evicts_only_its_own_entries,
             total_number_of_entries_is_limited, old_entries_expire)
