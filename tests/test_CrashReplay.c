/* Simulates loads with poison requests, or with engines that end by
 * themselves, against the crash table. Nine engines, 60 requests per second,
 * and one poison request five times per second: without a table, engines crash
 * again as soon as they are back, 131 in a minute under this request alone,
 * and only a third of the harmless requests is served. */
#include "CrashReplay.h"

#include "testing.h"

#define SEEDS 5
/* Times that a poison request is sent although its third crash had time to
 * reach the sending router. */
#define LATE_MAX 3
/* Harmless requests refused for crashes of other requests. */
#define REFUSED_PER_1000_MAX 1

typedef struct {
    guint late;
    double served;
    guint refused;
    guint harmless_requests;
} PlaySum_t;

static PlaySum_t
play(CrashMemory_t memory, guint poison, guint outage_percent)
{
    PlaySum_t sum = {0};
    for (guint32 seed = 1; seed <= SEEDS; seed++) {
        CrashReplaySpec_t spec = CrashReplaySpec_default(seed);
        spec.poison_count = poison;
        spec.outage_percent = outage_percent;
        spec.outage_count = outage_percent > 0 ? 3 : 0;
        spec.outage_interval_ms = 5000;
        spec.memory = memory;
        CrashReplayResult_t result = CrashReplay_run(&spec);
        sum.late = MAX(sum.late, result.late_max);
        sum.served += (double)result.served / result.harmless_requests / SEEDS;
        sum.refused += result.refused;
        sum.harmless_requests += result.harmless_requests;
    }
    return sum;
}

START_TEST(poison_request_is_quarantined_soon)
{
    static const guint poison[] = {1, 5, 20};
    for (gsize i = 0; i < G_N_ELEMENTS(poison); i++) {
        PlaySum_t with = play(CRASH_MEMORY_ALL, poison[i], 0);
        PlaySum_t without = play(CRASH_MEMORY_NONE, poison[i], 0);
        ck_assert_uint_le(with.late, LATE_MAX);
        ck_assert_uint_gt(without.late, LATE_MAX);
        ck_assert(with.served > 2 * without.served);
    }
}
END_TEST

/* Without gossip a poison request goes on through the other routers. */
START_TEST(local_knowledge_of_each_router_is_not_enough)
{
    ck_assert_uint_gt(play(CRASH_MEMORY_LOCAL, 1, 0).late, LATE_MAX);
}
END_TEST

START_TEST(engines_that_end_by_themselves_quarantine_no_request)
{
    PlaySum_t sum = play(CRASH_MEMORY_ALL, 0, 34);
    ck_assert_uint_le(sum.refused * 1000,
                      sum.harmless_requests * REFUSED_PER_1000_MAX);
}
END_TEST

START_TEST(harmless_requests_are_served_beside_a_poison_request)
{
    PlaySum_t sum = play(CRASH_MEMORY_ALL, 1, 0);
    ck_assert_uint_le(sum.refused * 1000,
                      sum.harmless_requests * REFUSED_PER_1000_MAX);
    ck_assert(sum.served > 0.99);
}
END_TEST

/* With five poison requests all nine engines are down at times. Harmless
 * requests that repeat then collect crashes; a recent completed answer exempts
 * them. */
START_TEST(requests_completed_before_are_exempt)
{
    CrashReplaySpec_t spec = CrashReplaySpec_default(1);
    spec.poison_count = 5;
    spec.memory = CRASH_MEMORY_ALL;
    guint with = CrashReplay_run(&spec).refused;
    spec.success_memory_ms = 0;
    ck_assert_uint_lt(2 * with, CrashReplay_run(&spec).refused);
}
END_TEST

TESTING_MAIN("CrashReplay", poison_request_is_quarantined_soon,
             local_knowledge_of_each_router_is_not_enough,
             engines_that_end_by_themselves_quarantine_no_request,
             harmless_requests_are_served_beside_a_poison_request,
             requests_completed_before_are_exempt)
