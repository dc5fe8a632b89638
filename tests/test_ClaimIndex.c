#include "testing.h"

#include <string.h>

#include "ClaimIndex.h"

static ClaimIndex_t *claims;

static ClaimId_t
id(guint8 byte)
{
    ClaimId_t claim_id;
    memset(claim_id.bytes, byte, sizeof(claim_id.bytes));
    return claim_id;
}

static void
fold(Wt__ClaimKind kind, guint8 key, guint8 attempt, gint64 at_ms)
{
    ClaimId_t key_id = id(key);
    ClaimId_t attempt_id = id(attempt);
    Wt__ClaimEntry entry = WT__CLAIM_ENTRY__INIT;
    Wt__ClaimEntry *list[] = {&entry};
    Wt__ClaimRecord record = WT__CLAIM_RECORD__INIT;
    entry.kind = kind;
    entry.key.data = key_id.bytes;
    entry.key.len = CLAIM_ID_BYTES;
    entry.attempt.data = attempt_id.bytes;
    entry.attempt.len = CLAIM_ID_BYTES;
    record.n_entries = 1;
    record.entries = list;
    record.appended_ms = at_ms;
    ClaimIndex_fold(claims, &record);
}

static Wt__ClaimVerdict
verdict(guint8 key, guint8 attempt)
{
    ClaimId_t key_id = id(key);
    ClaimId_t attempt_id = id(attempt);
    return ClaimIndex_verdict(claims, &key_id, &attempt_id);
}

START_TEST(first_claim_is_granted_and_others_denied)
{
    claims = ClaimIndex_create();
    fold(WT__CLAIM_KIND__CLAIM, 1, 10, 0);
    fold(WT__CLAIM_KIND__CLAIM, 1, 11, 0);
    fold(WT__CLAIM_KIND__CLAIM, 2, 12, 0);
    ck_assert_int_eq(verdict(1, 10), WT__CLAIM_VERDICT__GRANTED);
    ck_assert_int_eq(verdict(1, 11), WT__CLAIM_VERDICT__IN_DOUBT);
    ck_assert_int_eq(verdict(2, 12), WT__CLAIM_VERDICT__GRANTED);
    ClaimIndex_destroy(claims);
}
END_TEST

START_TEST(claim_appended_twice_is_one_claim)
{
    claims = ClaimIndex_create();
    fold(WT__CLAIM_KIND__CLAIM, 1, 10, 0);
    fold(WT__CLAIM_KIND__CLAIM, 1, 10, 0);
    ck_assert_int_eq(verdict(1, 10), WT__CLAIM_VERDICT__GRANTED);
    ck_assert_uint_eq(ClaimIndex_size(claims), 1);
    ClaimIndex_destroy(claims);
}
END_TEST

START_TEST(released_key_may_be_claimed_again)
{
    claims = ClaimIndex_create();
    fold(WT__CLAIM_KIND__CLAIM, 1, 10, 0);
    fold(WT__CLAIM_KIND__RELEASE, 1, 10, 0);
    fold(WT__CLAIM_KIND__CLAIM, 1, 11, 0);
    ck_assert_int_eq(verdict(1, 11), WT__CLAIM_VERDICT__GRANTED);
    ClaimIndex_destroy(claims);
}
END_TEST

START_TEST(denied_attempt_stays_denied)
{
    claims = ClaimIndex_create();
    fold(WT__CLAIM_KIND__CLAIM, 1, 10, 0);
    fold(WT__CLAIM_KIND__CLAIM, 1, 11, 0);
    fold(WT__CLAIM_KIND__RELEASE, 1, 10, 0);
    fold(WT__CLAIM_KIND__CLAIM, 1, 11, 0);
    ck_assert_int_eq(verdict(1, 11), WT__CLAIM_VERDICT__IN_DOUBT);
    fold(WT__CLAIM_KIND__CLAIM, 1, 12, 0);
    ck_assert_int_eq(verdict(1, 12), WT__CLAIM_VERDICT__GRANTED);
    ClaimIndex_destroy(claims);
}
END_TEST

START_TEST(release_voids_a_claim_that_is_appended_later)
{
    claims = ClaimIndex_create();
    fold(WT__CLAIM_KIND__RELEASE, 1, 10, 0);
    fold(WT__CLAIM_KIND__CLAIM, 1, 10, 0);
    ck_assert_int_eq(verdict(1, 10), WT__CLAIM_VERDICT__IN_DOUBT);
    ck_assert_uint_eq(ClaimIndex_size(claims), 0);
    ClaimIndex_destroy(claims);
}
END_TEST

START_TEST(release_of_another_attempt_does_not_free_the_key)
{
    claims = ClaimIndex_create();
    fold(WT__CLAIM_KIND__CLAIM, 1, 10, 0);
    fold(WT__CLAIM_KIND__RELEASE, 1, 11, 0);
    ck_assert_int_eq(verdict(1, 10), WT__CLAIM_VERDICT__GRANTED);
    ClaimIndex_destroy(claims);
}
END_TEST

START_TEST(claim_that_ran_is_never_released)
{
    claims = ClaimIndex_create();
    fold(WT__CLAIM_KIND__CLAIM, 1, 10, 0);
    fold(WT__CLAIM_KIND__OUTCOME, 1, 10, 0);
    fold(WT__CLAIM_KIND__RELEASE, 1, 10, 0);
    fold(WT__CLAIM_KIND__CLAIM, 1, 11, 0);
    ck_assert_int_eq(verdict(1, 11), WT__CLAIM_VERDICT__ALREADY_RAN);
    ClaimIndex_destroy(claims);
}
END_TEST

START_TEST(old_claims_expire_and_recent_ones_stay)
{
    claims = ClaimIndex_create();
    fold(WT__CLAIM_KIND__CLAIM, 1, 10, 100);
    fold(WT__CLAIM_KIND__CLAIM, 2, 11, 200);
    ClaimIndex_expire(claims, 150);
    ck_assert_uint_eq(ClaimIndex_size(claims), 1);
    ck_assert_int_eq(verdict(2, 11), WT__CLAIM_VERDICT__GRANTED);
    ClaimIndex_destroy(claims);
}
END_TEST

/* In random orders of records, at most one attempt is granted a key at a time,
 * and a granted attempt keeps its claim until its own release. */
START_TEST(random_orders_never_grant_a_key_twice)
{
    GRand *random = g_rand_new_with_seed(7);
    for (int round = 0; round < 2000; round++) {
        claims = ClaimIndex_create();
        guint8 holder = 0;
        for (int step = 0; step < 40; step++) {
            guint8 attempt = (guint8)g_rand_int_range(random, 1, 6);
            Wt__ClaimKind kind = (Wt__ClaimKind)g_rand_int_range(random, 0, 3);
            fold(kind, 1, attempt, 0);
            guint granted = 0;
            for (guint8 i = 1; i < 6; i++) {
                if (verdict(1, i) == WT__CLAIM_VERDICT__GRANTED) {
                    granted++;
                    ck_assert(holder == 0 || holder == i ||
                              (kind == WT__CLAIM_KIND__CLAIM && i == attempt));
                    holder = i;
                }
            }
            ck_assert_uint_le(granted, 1);
            if (granted == 0) {
                holder = 0;
            }
        }
        ClaimIndex_destroy(claims);
    }
    g_rand_free(random);
}
END_TEST

TESTING_MAIN("ClaimIndex", first_claim_is_granted_and_others_denied,
             claim_appended_twice_is_one_claim,
             released_key_may_be_claimed_again, denied_attempt_stays_denied,
             release_voids_a_claim_that_is_appended_later,
             release_of_another_attempt_does_not_free_the_key,
             claim_that_ran_is_never_released,
             old_claims_expire_and_recent_ones_stay,
             random_orders_never_grant_a_key_twice)
