#include "testing.h"

#include "LeaseTable.h"

/* Integers up to this one are exact in JSON. */
#define JSON_EXACT_MAX ((guint64)1 << 53)

static gboolean
fold_with_max_ended(LeaseTable_t *table, guint64 epoch, guint64 offset,
                    const char *holder, guint64 expects, guint64 max_ended)
{
    Wt__LeaseRecord record = WT__LEASE_RECORD__INIT;
    record.scope = "s";
    record.holder = (char *)holder;
    record.expects = expects;
    record.duration_ms = 1000;
    record.over = max_ended;
    record.epoch = epoch;
    return LeaseTable_fold(table, offset, &record);
}

static gboolean
fold_of_epoch(LeaseTable_t *table, guint64 epoch, guint64 offset,
              const char *holder, guint64 expects)
{
    return fold_with_max_ended(table, epoch, offset, holder, expects, 0);
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

START_TEST(first_of_two_records_that_take_a_lease_wins)
{
    LeaseTable_t *table = LeaseTable_create();
    ck_assert(fold(table, 0, "s", "a", 0));
    ck_assert(!fold(table, 1, "s", "b", 0));
    ck_assert_str_eq(LeaseTable_find(table, "s")->holder->str, "a");
    LeaseTable_destroy(table);
}
END_TEST

START_TEST(fencing_numbers_only_grow)
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

START_TEST(late_renewal_of_a_lost_lease_has_no_effect)
{
    LeaseTable_t *table = LeaseTable_create();
    fold(table, 0, "s", "a", 0);
    fold(table, 1, "s", "b", 1);
    ck_assert(!fold(table, 2, "s", "a", 1));
    ck_assert_str_eq(LeaseTable_find(table, "s")->holder->str, "b");
    LeaseTable_destroy(table);
}
END_TEST

START_TEST(scopes_are_independent)
{
    LeaseTable_t *table = LeaseTable_create();
    ck_assert(fold(table, 0, "s", "a", 0));
    ck_assert(fold(table, 1, "t", "b", 0));
    ck_assert_ptr_null(LeaseTable_find(table, "u"));
    LeaseTable_destroy(table);
}
END_TEST

START_TEST(first_record_after_expired_records_is_unconfirmed)
{
    LeaseTable_t *table = LeaseTable_create();
    LeaseTable_setUnconfirmed(table);
    ck_assert(!fold(table, 10, "s", "loser", 4));
    ck_assert(!fold(table, 11, "s", "holder", 9));
    ck_assert_ptr_null(LeaseTable_find(table, "s"));
    ck_assert(fold(table, 12, "s", "holder", 12));
    ck_assert_uint_eq(LeaseTable_find(table, "s")->number, 13);
    ck_assert(!LeaseTable_isUnconfirmed(table, "s"));
    LeaseTable_destroy(table);
}
END_TEST

START_TEST(last_record_is_confirmed_after_silence)
{
    LeaseTable_t *table = LeaseTable_create();
    LeaseTable_setUnconfirmed(table);
    fold(table, 10, "s", "a", 4);
    LeaseTable_setConfirmed(table, 11);
    ck_assert_uint_eq(LeaseTable_find(table, "s")->number, 11);
    ck_assert(fold(table, 11, "s", "b", 11));
    LeaseTable_destroy(table);
}
END_TEST

START_TEST(fencing_numbers_grow_across_epochs_and_stay_exact_in_json)
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
    ck_assert_uint_lt(LeaseTable_find(table, "s")->number, JSON_EXACT_MAX);
    LeaseTable_destroy(table);
}
END_TEST

START_TEST(records_of_an_earlier_epoch_have_no_effect)
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

/* Regression: two routers held the lease at once. After all records had
 * expired from the log, a router that had started meanwhile knew no lease,
 * while the others expected a record to name the last lease that they knew. */
START_TEST(routers_that_know_and_do_not_know_the_last_lease_agree_on_the_next)
{
    LeaseTable_t *informed = LeaseTable_create();
    LeaseTable_t *uninformed = LeaseTable_create();
    ck_assert(fold(informed, 0, "s", "a", 0));
    ck_assert(fold(informed, 1, "s", "a", 1));
    LeaseTable_setUnconfirmed(uninformed);
    LeaseTable_setConfirmed(uninformed, 2);
    guint64 max_ended = LeaseTable_maxEndedNumber(uninformed);
    ck_assert(fold_with_max_ended(uninformed, 0, 2, "b", 0, max_ended));
    ck_assert(fold_with_max_ended(informed, 0, 2, "b", 0, max_ended));
    ck_assert(!fold_with_max_ended(uninformed, 0, 3, "a", 2, 0));
    ck_assert(!fold_with_max_ended(informed, 0, 3, "a", 2, 0));
    ck_assert_uint_eq(LeaseTable_find(informed, "s")->number, 3);
    ck_assert_uint_eq(LeaseTable_find(uninformed, "s")->number, 3);
    LeaseTable_destroy(informed);
    LeaseTable_destroy(uninformed);
}
END_TEST

START_TEST(lease_that_follows_an_unknown_ended_lease_takes_effect)
{
    LeaseTable_t *uninformed = LeaseTable_create();
    LeaseTable_setUnconfirmed(uninformed);
    LeaseTable_setConfirmed(uninformed, 2);
    ck_assert(fold_with_max_ended(uninformed, 0, 2, "a", 2, 0));
    ck_assert(!fold_with_max_ended(uninformed, 0, 3, "b", 0,
                                   LeaseTable_maxEndedNumber(uninformed)));
    ck_assert_str_eq(LeaseTable_find(uninformed, "s")->holder->str, "a");
    LeaseTable_destroy(uninformed);
}
END_TEST

TESTING_MAIN(
    "LeaseTable", first_of_two_records_that_take_a_lease_wins,
    fencing_numbers_only_grow, late_renewal_of_a_lost_lease_has_no_effect,
    scopes_are_independent, first_record_after_expired_records_is_unconfirmed,
    last_record_is_confirmed_after_silence,
    routers_that_know_and_do_not_know_the_last_lease_agree_on_the_next,
    lease_that_follows_an_unknown_ended_lease_takes_effect,
    fencing_numbers_grow_across_epochs_and_stay_exact_in_json,
    records_of_an_earlier_epoch_have_no_effect)
