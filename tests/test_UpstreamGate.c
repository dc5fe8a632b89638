#include "testing.h"

#include <event2/event.h>

#include "Clock.h"
#include "FakeRouters.h"
#include "FakeUpstreams.h"
#include "UpstreamGate.h"

/* Rate limits that return a preset verdict, at once or later. */
typedef struct {
    RateLimits_t super;
    RateVerdict_t verdict;
    gboolean is_late;
    guint acquired;
    guint cancelled;
    guint refunded;
    RateDone_t done;
    void *owner;
} FakeRateLimits_t;

static RateQuery_t *
acquire(RateLimits_t *super, const RateRequest_t *request, RateVerdict_t *out,
        RateDone_t done, void *owner)
{
    FakeRateLimits_t *this = (FakeRateLimits_t *)super;
    ck_assert(request->limit.exact);
    ck_assert_double_eq(request->units, 1);
    this->acquired++;
    this->done = done;
    this->owner = owner;
    *out = this->verdict;
    return this->is_late ? (RateQuery_t *)this : NULL;
}

static void
cancel(RateQuery_t *query)
{
    ((FakeRateLimits_t *)query)->cancelled++;
}

static void
refund(RateLimits_t *super, const RateRequest_t *request)
{
    ck_assert_double_eq(request->units, 1);
    ((FakeRateLimits_t *)super)->refunded++;
}

static const RateLimitsClass_t class = {
    .name = "fake", .acquire = acquire, .cancel = cancel, .refund = refund};

static FakeRouters_t routers;
static Counters_t *counters;
static UpstreamSet_t *upstreams;
static UpstreamLimits_t *limits;
static FakeRateLimits_t rates;
static UpstreamGate_t gate;
static Upstream_t *upstream;
static guint result_count;
static UpstreamGateResult_t last_result;

static Upstream_t *
put(const char *name)
{
    return FakeUpstreams_put(upstreams, name);
}

static void
set_limit(Upstream_t *to, const char *text)
{
    AdvertisedLimit_t advertised = {.kind = LIMIT_ABSENT};
    if (text) {
        advertised = AdvertisedLimit_parse(text);
    }
    UpstreamLimits_noteAnswer(limits, to, &advertised, G_MAXINT64, "r1");
}

static void
begin(void)
{
    FakeRouters_init(&routers, 1, 16);
    counters = Counters_create();
    upstreams = UpstreamSet_create(routers.base, 1);
    limits = UpstreamLimits_create(routers.list[0].membership, counters);
    upstream = put("u");
    rates =
        (FakeRateLimits_t){.super = {&class}, .verdict = {.admitted = TRUE}};
    gate = (UpstreamGate_t){0};
    result_count = 0;
    set_limit(upstream, "2");
}

static void
end(void)
{
    UpstreamGate_release(&gate);
    UpstreamLimits_destroy(limits);
    UpstreamSet_destroy(upstreams);
    Counters_destroy(counters);
    FakeRouters_clear(&routers);
}

static void
on_result(void *owner, UpstreamGateResult_t result)
{
    (void)owner;
    result_count++;
    last_result = result;
}

static UpstreamGateResult_t
acquire_gate(Upstream_t *to)
{
    UpstreamGateSpec_t spec = {
        .limits = limits,
        .rates = &rates.super,
        .request_id = "r1",
        .done = on_result,
    };
    return UpstreamGate_acquire(&gate, to, &spec);
}

START_TEST(no_capacity_is_requested_without_a_limit)
{
    begin();
    set_limit(upstream, NULL);
    ck_assert_int_eq(acquire_gate(upstream), UPSTREAM_GATE_OPEN);
    ck_assert_uint_eq(rates.acquired, 0);
    end();
}
END_TEST

START_TEST(capacity_is_valid_for_one_attempt)
{
    begin();
    ck_assert_int_eq(acquire_gate(upstream), UPSTREAM_GATE_OPEN);
    ck_assert_ptr_eq(UpstreamGate_permitted(&gate), upstream);
    ck_assert_int_eq(acquire_gate(upstream), UPSTREAM_GATE_OPEN);
    ck_assert_uint_eq(rates.acquired, 1);
    UpstreamGate_consume(&gate, upstream);
    ck_assert_ptr_null(UpstreamGate_permitted(&gate));
    ck_assert_int_eq(acquire_gate(upstream), UPSTREAM_GATE_OPEN);
    ck_assert_uint_eq(rates.acquired, 2);
    UpstreamGate_consume(&gate, upstream);
    ck_assert_uint_eq(rates.refunded, 0);
    end();
}
END_TEST

START_TEST(unused_capacity_is_refunded)
{
    begin();
    acquire_gate(upstream);
    UpstreamGate_consume(&gate, put("v"));
    ck_assert_uint_eq(rates.refunded, 1);
    acquire_gate(upstream);
    UpstreamGate_release(&gate);
    ck_assert_uint_eq(rates.refunded, 2);
    end();
}
END_TEST

START_TEST(upstream_without_capacity_is_full_for_all_local_requests)
{
    begin();
    rates.verdict = (RateVerdict_t){.by = "keeper", .retry_after_ms = 60000};
    ck_assert_int_eq(acquire_gate(upstream), UPSTREAM_GATE_FULL);
    ck_assert_uint_eq(gate.refusals, 1);
    ck_assert_ptr_eq(gate.full, upstream);
    ck_assert_int_gt(UpstreamLimit_fullMs(&upstream->limit, Clock_nowMs()),
                     50000);
    ck_assert_uint_eq(result_count, 0);
    end();
}
END_TEST

START_TEST(late_verdict_is_passed_to_the_callback)
{
    begin();
    rates.is_late = TRUE;
    ck_assert_int_eq(acquire_gate(upstream), UPSTREAM_GATE_PENDING);
    ck_assert_ptr_null(UpstreamGate_permitted(&gate));
    rates.done(rates.owner, &rates.verdict);
    ck_assert_uint_eq(result_count, 1);
    ck_assert_int_eq(last_result, UPSTREAM_GATE_OPEN);
    ck_assert_ptr_eq(UpstreamGate_permitted(&gate), upstream);
    end();
}
END_TEST

START_TEST(release_cancels_a_pending_query)
{
    begin();
    rates.is_late = TRUE;
    acquire_gate(upstream);
    UpstreamGate_release(&gate);
    ck_assert_uint_eq(rates.cancelled, 1);
    ck_assert_uint_eq(result_count, 0);
    end();
}
END_TEST

/* Callers with the same retry time would all be refused
 * again. */
START_TEST(refused_requests_retry_at_different_times)
{
    begin();
    LimitedCapacity_t capacity = {.count = 1, .per_s = 4, .full_ms = 100};
    g_autoptr(GHashTable) wait_times = g_hash_table_new(NULL, NULL);
    guint latest = 0;
    for (guint i = 0; i < 20; i++) {
        guint wait_ms = UpstreamLimits_retryAfterMs(limits, "s", &capacity);
        ck_assert_uint_gt(wait_ms, 100);
        ck_assert_uint_le(wait_ms, 10000);
        g_hash_table_add(wait_times, GUINT_TO_POINTER(wait_ms));
        latest = MAX(latest, wait_ms);
    }
    ck_assert_uint_ge(g_hash_table_size(wait_times), 15);
    ck_assert_uint_ge(latest, 1000);
    end();
}
END_TEST

TESTING_MAIN("UpstreamGate", no_capacity_is_requested_without_a_limit,
             capacity_is_valid_for_one_attempt, unused_capacity_is_refunded,
             upstream_without_capacity_is_full_for_all_local_requests,
             late_verdict_is_passed_to_the_callback,
             release_cancels_a_pending_query,
             refused_requests_retry_at_different_times)
