#include "testing.h"

#include "UpstreamPath.h"

#define UPSTREAMS 9
#define START_MS 100000
/* After a failure, when a sample of other upstreams is probed. */
#define DOUBT_MS (START_MS + 200)

static UpstreamSet_t *upstreams;
static UpstreamPath_t *path;

static Upstream_t *
upstream_at(guint index)
{
    return g_ptr_array_index(UpstreamSet_all(upstreams), index);
}

static void
begin(guint count)
{
    UpstreamSpec_t spec = {.hall = g_string_new("h"),
                           .region = g_string_new("r"),
                           .serves = g_ptr_array_new(),
                           .slots = 64};
    upstreams = UpstreamSet_create(NULL, 0);
    for (guint i = 0; i < count; i++) {
        g_autofree char *name = g_strdup_printf("u%u", i);
        UpstreamSet_put(upstreams, name, &spec);
    }
    g_string_free(spec.hall, TRUE);
    g_string_free(spec.region, TRUE);
    g_ptr_array_unref(spec.serves);
    path = UpstreamPath_create(upstreams);
}

static void
end(void)
{
    UpstreamPath_destroy(path);
    UpstreamSet_destroy(upstreams);
}

static void
fail_upstream(guint index, gint64 now_ms)
{
    Upstream_noteUnreachable(upstream_at(index));
    UpstreamPath_noteFailure(path, now_ms);
}

static guint
count_probes_wanted(void)
{
    guint count = 0;
    for (guint i = 0; i < UPSTREAMS; i++) {
        count += upstream_at(i)->probe_wanted ? 1 : 0;
    }
    return count;
}

/* Ends all wanted probes without an answer. */
static void
fail_probes(void)
{
    for (guint i = 0; i < UPSTREAMS; i++) {
        if (upstream_at(i)->probe_wanted) {
            Upstream_noteUnreachable(upstream_at(i));
        }
    }
}

static void
lose_path(void)
{
    fail_upstream(0, START_MS);
    UpstreamPath_update(path, DOUBT_MS);
    fail_probes();
    ck_assert(UpstreamPath_update(path, START_MS + 500));
    ck_assert(UpstreamPath_isLost(path));
}

START_TEST(a_path_is_lost_if_none_of_a_sample_answers)
{
    begin(UPSTREAMS);
    fail_upstream(0, START_MS);
    ck_assert(!UpstreamPath_update(path, DOUBT_MS));
    ck_assert(!UpstreamPath_isLost(path));
    ck_assert_uint_ge(count_probes_wanted(), 2);
    ck_assert_uint_lt(count_probes_wanted(), UPSTREAMS - 1);
    fail_probes();
    ck_assert(UpstreamPath_update(path, START_MS + 500));
    ck_assert(UpstreamPath_isLost(path));
    ck_assert_int_eq(UpstreamPath_lostMs(path, START_MS + 800), 300);
    end();
}
END_TEST

START_TEST(one_answer_of_the_sample_keeps_the_path)
{
    begin(UPSTREAMS);
    fail_upstream(0, START_MS);
    UpstreamPath_update(path, DOUBT_MS);
    for (guint i = 1; i < UPSTREAMS; i++) {
        if (upstream_at(i)->probe_wanted) {
            Upstream_noteReachable(upstream_at(i), DOUBT_MS + 10);
            break;
        }
    }
    fail_probes();
    ck_assert(!UpstreamPath_update(path, START_MS + 500));
    ck_assert(!UpstreamPath_isLost(path));
    ck_assert(UpstreamPath_hasWorkedSince(path, START_MS));
    end();
}
END_TEST

START_TEST(nothing_is_probed_if_another_upstream_answers_anyway)
{
    begin(UPSTREAMS);
    fail_upstream(0, START_MS);
    UpstreamPath_update(path, START_MS + 50);
    ck_assert_uint_eq(count_probes_wanted(), 0);
    Upstream_noteReachable(upstream_at(1), START_MS + 150);
    UpstreamPath_update(path, DOUBT_MS);
    ck_assert_uint_eq(count_probes_wanted(), 0);
    ck_assert(!UpstreamPath_isInDoubt(path));
    end();
}
END_TEST

START_TEST(any_answer_finds_the_path_again)
{
    begin(UPSTREAMS);
    lose_path();
    ck_assert(!UpstreamPath_update(path, START_MS + 9000));
    Upstream_noteReachable(upstream_at(5), START_MS + 9010);
    ck_assert(UpstreamPath_update(path, START_MS + 9020));
    ck_assert(!UpstreamPath_isLost(path));
    ck_assert_int_eq(UpstreamPath_lostMs(path, START_MS + 9020), 0);
    end();
}
END_TEST

START_TEST(a_path_may_be_lost_twice)
{
    begin(UPSTREAMS);
    lose_path();
    for (guint i = 0; i < UPSTREAMS; i++) {
        Upstream_noteReachable(upstream_at(i), START_MS + 1000);
    }
    UpstreamPath_update(path, START_MS + 1000);
    fail_upstream(3, START_MS + 2000);
    UpstreamPath_update(path, START_MS + 2200);
    fail_probes();
    UpstreamPath_update(path, START_MS + 2500);
    ck_assert(UpstreamPath_isLost(path));
    end();
}
END_TEST

START_TEST(a_failure_is_not_the_upstreams_before_another_one_answers)
{
    begin(UPSTREAMS);
    Upstream_noteReachable(upstream_at(1), START_MS - 10);
    UpstreamPath_update(path, START_MS);
    ck_assert(!UpstreamPath_hasWorkedSince(path, START_MS));
    Upstream_noteReachable(upstream_at(1), START_MS + 10);
    UpstreamPath_update(path, START_MS + 10);
    ck_assert(!UpstreamPath_hasWorkedSince(path, START_MS));
    Upstream_noteReachable(upstream_at(1), START_MS + 200);
    UpstreamPath_update(path, START_MS + 200);
    ck_assert(UpstreamPath_hasWorkedSince(path, START_MS));
    end();
}
END_TEST

START_TEST(a_single_upstream_that_fails_is_no_lost_path)
{
    begin(1);
    fail_upstream(0, START_MS);
    ck_assert(!UpstreamPath_update(path, DOUBT_MS));
    ck_assert(!UpstreamPath_update(path, START_MS + 5000));
    ck_assert(!UpstreamPath_isLost(path));
    ck_assert(UpstreamPath_hasWorkedSince(path, START_MS));
    end();
}
END_TEST

START_TEST(upstreams_that_rest_do_not_lose_the_path)
{
    begin(UPSTREAMS);
    for (guint i = 1; i < UPSTREAMS; i++) {
        UpstreamBackoff_note(&upstream_at(i)->backoff, 3000, START_MS);
    }
    fail_upstream(0, START_MS);
    ck_assert(!UpstreamPath_update(path, DOUBT_MS));
    ck_assert(!UpstreamPath_isInDoubt(path));
    ck_assert_uint_eq(count_probes_wanted(), 0);
    end();
}
END_TEST

START_TEST(a_check_probes_only_without_a_recent_answer)
{
    begin(UPSTREAMS);
    Upstream_noteReachable(upstream_at(1), START_MS);
    UpstreamPath_update(path, START_MS);
    UpstreamPath_check(path, START_MS + 100);
    ck_assert(!UpstreamPath_isInDoubt(path));
    UpstreamPath_check(path, START_MS + 2000);
    UpstreamPath_update(path, START_MS + 2200);
    ck_assert(UpstreamPath_isInDoubt(path));
    ck_assert_uint_ge(count_probes_wanted(), 2);
    Upstream_noteReachable(upstream_at(1), START_MS + 2210);
    UpstreamPath_update(path, START_MS + 2210);
    ck_assert(!UpstreamPath_isInDoubt(path));
    end();
}
END_TEST

START_TEST(a_lost_path_is_found_although_the_first_sample_has_ended)
{
    begin(UPSTREAMS);
    lose_path();
    ck_assert_uint_eq(count_probes_wanted(), 0);
    UpstreamPath_update(path, START_MS + 1000);
    ck_assert_uint_ge(count_probes_wanted(), 2);
    fail_probes();
    UpstreamPath_update(path, START_MS + 1500);
    ck_assert(UpstreamPath_isLost(path));
    end();
}
END_TEST

START_TEST(upstreams_that_a_peer_could_not_reach_are_probed_last)
{
    begin(UPSTREAMS);
    for (guint i = 3; i < UPSTREAMS; i++) {
        Upstream_notePeerSuspicion(upstream_at(i));
    }
    fail_upstream(0, START_MS);
    UpstreamPath_update(path, DOUBT_MS);
    ck_assert(upstream_at(1)->probe_wanted && upstream_at(2)->probe_wanted);
    ck_assert_uint_eq(count_probes_wanted(), 2);
    end();
}
END_TEST

/* An answer that was on its way ended the doubt, and nothing proved later that
 * the path works. */
START_TEST(an_answer_in_flight_does_not_end_the_doubt)
{
    begin(UPSTREAMS);
    fail_upstream(0, START_MS);
    Upstream_noteReachable(upstream_at(1), START_MS + 5);
    UpstreamPath_update(path, START_MS + 10);
    ck_assert(UpstreamPath_isInDoubt(path));
    UpstreamPath_update(path, DOUBT_MS);
    ck_assert_uint_ge(count_probes_wanted(), 2);
    Upstream_noteReachable(upstream_at(1), DOUBT_MS + 1);
    UpstreamPath_update(path, DOUBT_MS + 1);
    ck_assert(!UpstreamPath_isInDoubt(path));
    ck_assert(UpstreamPath_hasWorkedSince(path, START_MS));
    end();
}
END_TEST

TESTING_MAIN("UpstreamPath", an_answer_in_flight_does_not_end_the_doubt,
             a_lost_path_is_found_although_the_first_sample_has_ended,
             upstreams_that_a_peer_could_not_reach_are_probed_last,
             upstreams_that_rest_do_not_lose_the_path,
             a_check_probes_only_without_a_recent_answer,
             a_path_is_lost_if_none_of_a_sample_answers,
             one_answer_of_the_sample_keeps_the_path,
             nothing_is_probed_if_another_upstream_answers_anyway,
             any_answer_finds_the_path_again, a_path_may_be_lost_twice,
             a_failure_is_not_the_upstreams_before_another_one_answers,
             a_single_upstream_that_fails_is_no_lost_path)
