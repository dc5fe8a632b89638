/* A machine may be suspended for seconds: no process runs, the monotonic clock
 * stands still meanwhile, and the time of day and CLOCK_BOOTTIME go on. A
 * router that reckoned ages by the monotonic clock took what it had known
 * before a suspension of 30 s for as fresh as then: a key revoked meanwhile
 * was let in, a peer's word counted as new, weights named before it were not
 * overdue. Settled by reading: 290 places asked the monotonic clock, one, the
 * lease, CLOCK_BOOTTIME. Here the system's clock is moved as by a suspension.
 */
#include <sys/syscall.h>
#include <time.h>
#include <unistd.h>

#include "Clock.h"
#include "ModelVersions.h"
#include "PeerAge.h"
#include "RouteTable.h"
#include "Upstream.h"
#include "testing.h"

static gint64 suspended_s;

/* Takes the place of the C library's in this program. */
int
clock_gettime(clockid_t clock, struct timespec *out)
{
    int failed = (int)syscall(SYS_clock_gettime, clock, out);
    if (clock == CLOCK_BOOTTIME || clock == CLOCK_REALTIME) {
        out->tv_sec += suspended_s;
    }
    return failed;
}

static const gint64 spans_s[] = {1, 5, 30};

static void
suspend(gint64 seconds)
{
    suspended_s += seconds;
}

START_TEST(test_the_clock_counts_a_suspension)
{
    gint64 before_ms = Clock_nowMs();
    suspend(30);
    ck_assert_int_ge(Clock_nowMs() - before_ms, 30000);
    ck_assert_int_lt(Clock_nowMs() - before_ms, 31000);
}
END_TEST

START_TEST(test_a_configuration_is_not_fresh_after_a_suspension)
{
    for (gsize i = 0; i < G_N_ELEMENTS(spans_s); i++) {
        RouteTable_t *routes = RouteTable_create();
        RouteTable_noteCurrent(routes, Clock_nowMs());
        ck_assert(RouteTable_isFresh(routes, 900));
        suspend(spans_s[i]);
        ck_assert(!RouteTable_isFresh(routes, 900));
        ck_assert_int_ge(RouteTable_ageMs(routes, Clock_nowMs()),
                         spans_s[i] * 1000);
        RouteTable_destroy(routes);
    }
}
END_TEST

START_TEST(test_what_a_peer_told_before_ages_meanwhile)
{
    gint64 at_ms = PeerAge_atMs(0);
    suspend(5);
    ck_assert_uint_ge(PeerAge_of(at_ms), 5000);
}
END_TEST

START_TEST(test_weights_named_before_are_overdue_after_it)
{
    ModelVersions_t *weights = ModelVersions_create();
    ModelVersions_add(weights, "m", 1, Clock_nowMs() - 100000);
    ModelVersions_add(weights, "m", 2, Clock_nowMs());
    ck_assert_uint_eq(
        ModelVersions_minVersion(weights, "m", 10000, Clock_nowMs()), 1);
    suspend(30);
    ck_assert_uint_eq(
        ModelVersions_minVersion(weights, "m", 10000, Clock_nowMs()), 2);
    ModelVersions_destroy(weights);
}
END_TEST

/* The other way round: what only holds for a while must not hold for longer.
 */
START_TEST(test_a_pause_told_before_is_over_after_it)
{
    UpstreamSpec_t spec = {.hall = g_string_new("a"),
                           .region = g_string_new("r"),
                           .serves = g_ptr_array_new(),
                           .slots = 4};
    Upstream_t *upstream = Upstream_create(NULL, "e1", &spec, 0);
    Upstream_noteIncarnation(upstream, 1, Clock_nowMs());
    Upstream_notePause(upstream, 3000, Clock_nowMs());
    ck_assert(!Upstream_isUsable(upstream, Clock_nowMs()));
    suspend(5);
    ck_assert(Upstream_isUsable(upstream, Clock_nowMs()));
    Upstream_unref(upstream);
    g_string_free(spec.hall, TRUE);
    g_string_free(spec.region, TRUE);
    g_ptr_array_unref(spec.serves);
}
END_TEST

TESTING_MAIN("Suspension", test_the_clock_counts_a_suspension,
             test_a_configuration_is_not_fresh_after_a_suspension,
             test_what_a_peer_told_before_ages_meanwhile,
             test_weights_named_before_are_overdue_after_it,
             test_a_pause_told_before_is_over_after_it)
