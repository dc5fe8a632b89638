#include "testing.h"

#include "LeaseTable.h"

/* The largest whole number up to which JSON numbers are exact. */
#define JSON_EXACT_MOST ((guint64)1 << 53)

static gboolean
fold_over(LeaseTable_t *table, guint64 epoch, guint64 offset,
          const char *holder, guint64 expects, guint64 over)
{
    Wt__LeaseRecord record = WT__LEASE_RECORD__INIT;
    record.scope = "s";
    record.holder = (char *)holder;
    record.expects = expects;
    record.duration_ms = 1000;
    record.over = over;
    record.epoch = epoch;
    return LeaseTable_fold(table, offset, &record);
}

static gboolean
fold_of_epoch(LeaseTable_t *table, guint64 epoch, guint64 offset,
              const char *holder, guint64 expects)
{
    return fold_over(table, epoch, offset, holder, expects, 0);
}

static gboolean
fold(LeaseTable_t *table, guint64 offset, const char *scope,
     const char *holder, guint64 expects)
{
    Wt__LeaseRecord record = WT__LEASE_RECORD__INIT;
    record.scope = (char *)scope;
    record.holder = (char *)holder;
    record.expects = expects;
    record.duration_ms = 1000;
    return LeaseTable_fold(table, offset, &record);
}

START_TEST(of_two_takers_the_first_wins)
{
    LeaseTable_t *table = LeaseTable_create();
    ck_assert(fold(table, 0, "s", "a", 0));
    ck_assert(!fold(table, 1, "s", "b", 0));
    ck_assert_str_eq(LeaseTable_find(table, "s")->holder->str, "a");
    LeaseTable_destroy(table);
}
END_TEST

START_TEST(numbers_only_grow)
{
    LeaseTable_t *table = LeaseTable_create();
    guint64 last = 0;
    for (guint64 offset = 0; offset < 20; offset++) {
        ck_assert(fold(table, offset, "s", offset % 2 ? "a" : "b", last));
        guint64 number = LeaseTable_find(table, "s")->number;
        ck_assert_uint_gt(number, last);
        last = number;
    }
    LeaseTable_destroy(table);
}
END_TEST

START_TEST(late_renewal_of_a_lost_lease_is_not_taken)
{
    LeaseTable_t *table = LeaseTable_create();
    fold(table, 0, "s", "a", 0);
    fold(table, 1, "s", "b", 1);
    ck_assert(!fold(table, 2, "s", "a", 1));
    ck_assert_str_eq(LeaseTable_find(table, "s")->holder->str, "b");
    LeaseTable_destroy(table);
}
END_TEST

START_TEST(scopes_are_apart)
{
    LeaseTable_t *table = LeaseTable_create();
    ck_assert(fold(table, 0, "s", "a", 0));
    ck_assert(fold(table, 1, "t", "b", 0));
    ck_assert_ptr_null(LeaseTable_find(table, "u"));
    LeaseTable_destroy(table);
}
END_TEST

START_TEST(first_record_after_an_expiry_is_not_taken_for_granted)
{
    LeaseTable_t *table = LeaseTable_create();
    LeaseTable_setUnsure(table);
    ck_assert(!fold(table, 10, "s", "loser", 4));
    ck_assert(!fold(table, 11, "s", "holder", 9));
    ck_assert_ptr_null(LeaseTable_find(table, "s"));
    ck_assert(fold(table, 12, "s", "holder", 12));
    ck_assert_uint_eq(LeaseTable_find(table, "s")->number, 13);
    ck_assert(!LeaseTable_isUnsure(table, "s"));
    LeaseTable_destroy(table);
}
END_TEST

START_TEST(silence_makes_the_last_record_count)
{
    LeaseTable_t *table = LeaseTable_create();
    LeaseTable_setUnsure(table);
    fold(table, 10, "s", "a", 4);
    LeaseTable_setSure(table, 11);
    ck_assert_uint_eq(LeaseTable_find(table, "s")->number, 11);
    ck_assert(fold(table, 11, "s", "b", 11));
    LeaseTable_destroy(table);
}
END_TEST

START_TEST(numbers_grow_over_epochs_and_stay_exact)
{
    LeaseTable_t *table = LeaseTable_create();
    guint64 last = 0;
    for (guint64 epoch = 0; epoch < 5; epoch++) {
        LeaseTable_beginEpoch(table, epoch);
        ck_assert_ptr_null(LeaseTable_find(table, "s"));
        ck_assert(fold_of_epoch(table, epoch, 9 - epoch, "a", 0));
        guint64 number = LeaseTable_find(table, "s")->number;
        ck_assert_uint_gt(number, last);
        last = number;
    }
    LeaseTable_beginEpoch(table, 1000000);
    ck_assert(fold_of_epoch(table, 1000000, 7, "a", 0));
    ck_assert_uint_lt(LeaseTable_find(table, "s")->number, JSON_EXACT_MOST);
    LeaseTable_destroy(table);
}
END_TEST

START_TEST(what_was_appended_before_a_return_counts_for_nothing)
{
    LeaseTable_t *table = LeaseTable_create();
    LeaseTable_beginEpoch(table, 2);
    ck_assert(!fold_of_epoch(table, 1, 0, "in the copy", 0));
    ck_assert(fold_of_epoch(table, 2, 1, "a", 0));
    guint64 number = LeaseTable_find(table, "s")->number;
    ck_assert(!fold_of_epoch(table, 1, 2, "late", number));
    ck_assert_str_eq(LeaseTable_find(table, "s")->holder->str, "a");
    LeaseTable_destroy(table);
}
END_TEST

/* Two routers held the lease at once: nothing had been done for longer than
 * the log keeps its records, one router had started meanwhile and found no
 * lease, and the others expected a record to name the last one that they knew.
 * In 5 of 96 worlds of test_Lease, for up to 673 looks of 2 ms. */
START_TEST(who_knows_the_last_lease_and_who_does_not_agree_on_the_next)
{
    LeaseTable_t *old = LeaseTable_create();
    LeaseTable_t *young = LeaseTable_create();
    ck_assert(fold(old, 0, "s", "a", 0));
    ck_assert(fold(old, 1, "s", "a", 1));
    LeaseTable_setUnsure(young);
    LeaseTable_setSure(young, 2);
    guint64 over = LeaseTable_over(young);
    ck_assert(fold_over(young, 0, 2, "b", 0, over));
    ck_assert(fold_over(old, 0, 2, "b", 0, over));
    ck_assert(!fold_over(young, 0, 3, "a", 2, 0));
    ck_assert(!fold_over(old, 0, 3, "a", 2, 0));
    ck_assert_uint_eq(LeaseTable_find(old, "s")->number, 3);
    ck_assert_uint_eq(LeaseTable_find(young, "s")->number, 3);
    LeaseTable_destroy(old);
    LeaseTable_destroy(young);
}
END_TEST

START_TEST(a_lease_after_one_that_is_not_known_here_is_taken)
{
    LeaseTable_t *young = LeaseTable_create();
    LeaseTable_setUnsure(young);
    LeaseTable_setSure(young, 2);
    ck_assert(fold_over(young, 0, 2, "a", 2, 0));
    ck_assert(!fold_over(young, 0, 3, "b", 0, LeaseTable_over(young)));
    ck_assert_str_eq(LeaseTable_find(young, "s")->holder->str, "a");
    LeaseTable_destroy(young);
}
END_TEST

TESTING_MAIN("LeaseTable", of_two_takers_the_first_wins, numbers_only_grow,
             late_renewal_of_a_lost_lease_is_not_taken, scopes_are_apart,
             first_record_after_an_expiry_is_not_taken_for_granted,
             silence_makes_the_last_record_count,
             who_knows_the_last_lease_and_who_does_not_agree_on_the_next,
             a_lease_after_one_that_is_not_known_here_is_taken,
             numbers_grow_over_epochs_and_stay_exact,
             what_was_appended_before_a_return_counts_for_nothing)
