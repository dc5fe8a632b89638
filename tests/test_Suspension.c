/* Guards against ages that leave out a suspension of the machine. The
 * monotonic clock stops while a machine is suspended; the time of day and
 * CLOCK_BOOTTIME continue. When ages were computed with the monotonic clock, a
 * router treated what it had known before a suspension of 30 s as still fresh:
 * it accepted a key revoked meanwhile, took a peer's message for new, and did
 * not treat weights named before as overdue. The tests advance the system's
 * clocks as a suspension does. */
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

/* Overrides the function of the C library in this program. */
int
clock_gettime(clockid_t clock, struct timespec *out)
{
    int failed = (int)syscall(SYS_clock_gettime, clock, out);
    if (clock == CLOCK_BOOTTIME || clock == CLOCK_REALTIME) {
        out->tv_sec += suspended_s;
    }
    return failed;
}

static const gint64 suspensions_s[] = {1, 5, 30};

static void
suspend(gint64 seconds)
{
    suspended_s += seconds;
}

START_TEST(test_clock_includes_a_suspension)
{
    gint64 before_ms = Clock_nowMs();
    suspend(30);
    ck_assert_int_ge(Clock_nowMs() - before_ms, 30000);
    ck_assert_int_lt(Clock_nowMs() - before_ms, 31000);
}
END_TEST

START_TEST(test_configuration_is_not_fresh_after_a_suspension)
{
    for (gsize i = 0; i < G_N_ELEMENTS(suspensions_s); i++) {
        RouteTable_t *routes = RouteTable_create();
        RouteTable_noteCurrent(routes, Clock_nowMs());
        ck_assert(RouteTable_isFresh(routes, 900));
        suspend(suspensions_s[i]);
        ck_assert(!RouteTable_isFresh(routes, 900));
        ck_assert_int_ge(RouteTable_ageMs(routes, Clock_nowMs()),
                         suspensions_s[i] * 1000);
        RouteTable_destroy(routes);
    }
}
END_TEST

START_TEST(test_age_from_a_peer_includes_a_suspension)
{
    gint64 at_ms = PeerAge_atMs(0, 0);
    suspend(5);
    ck_assert_uint_ge(PeerAge_of(at_ms), 5000);
}
END_TEST

START_TEST(test_weights_named_before_a_suspension_are_overdue_after_it)
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

/* A state with a time limit must not last longer either. */
START_TEST(test_pause_ends_during_a_suspension)
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

TESTING_MAIN("Suspension", test_clock_includes_a_suspension,
             test_configuration_is_not_fresh_after_a_suspension,
             test_age_from_a_peer_includes_a_suspension,
             test_weights_named_before_a_suspension_are_overdue_after_it,
             test_pause_ends_during_a_suspension)
