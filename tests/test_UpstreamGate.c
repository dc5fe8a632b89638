#include "testing.h"

#include <event2/event.h>

#include "Clock.h"
#include "FakeRouters.h"
#include "FakeUpstreams.h"
#include "UpstreamGate.h"

/* A count that answers as it is told, at once or later. */
typedef struct {
    RateLimits_t super;
    RateVerdict_t verdict;
    gboolean answers_later;
    guint asked;
    guint cancelled;
    guint given_back;
    RateDone_t done;
    void *owner;
} FakeCount_t;

static RateQuery_t *
acquire(RateLimits_t *super, const RateRequest_t *request, RateVerdict_t *out,
        RateDone_t done, void *owner)
{
    FakeCount_t *this = (FakeCount_t *)super;
    ck_assert(request->limit.exact);
    ck_assert_double_eq(request->units, 1);
    this->asked++;
    this->done = done;
    this->owner = owner;
    *out = this->verdict;
    return this->answers_later ? (RateQuery_t *)this : NULL;
}

static void
cancel(RateQuery_t *ask)
{
    ((FakeCount_t *)ask)->cancelled++;
}

static void
refund(RateLimits_t *super, const RateRequest_t *request)
{
    ck_assert_double_eq(request->units, 1);
    ((FakeCount_t *)super)->given_back++;
}

static const RateLimitsClass_t class = {
    .name = "fake", .acquire = acquire, .cancel = cancel, .refund = refund};

static FakeRouters_t routers;
static Counters_t *counters;
static UpstreamSet_t *upstreams;
static UpstreamLimits_t *limits;
static FakeCount_t count;
static UpstreamGate_t gate;
static Upstream_t *upstream;
static guint answers;
static UpstreamGateStep_t answer;

static Upstream_t *
put(const char *name)
{
    return FakeUpstreams_put(upstreams, name);
}

static void
name_limit(Upstream_t *to, const char *text)
{
    AdvertisedLimit_t said = {.kind = LIMIT_ABSENT};
    if (text) {
        said = AdvertisedLimit_parse(text);
    }
    UpstreamLimits_noteAnswer(limits, to, &said, G_MAXINT64, "r1");
}

static void
begin(void)
{
    FakeRouters_init(&routers, 1, 16);
    counters = Counters_create();
    upstreams = UpstreamSet_create(routers.base, 1);
    limits = UpstreamLimits_create(routers.list[0].membership, counters);
    upstream = put("u");
    count = (FakeCount_t){.super = {&class}, .verdict = {.admitted = TRUE}};
    gate = (UpstreamGate_t){0};
    answers = 0;
    name_limit(upstream, "2");
}

static void
end(void)
{
    UpstreamGate_leave(&gate);
    UpstreamLimits_destroy(limits);
    UpstreamSet_destroy(upstreams);
    Counters_destroy(counters);
    FakeRouters_clear(&routers);
}

static void
on_answer(void *owner, UpstreamGateStep_t step)
{
    (void)owner;
    answers++;
    answer = step;
}

static UpstreamGateStep_t
go_to(Upstream_t *to)
{
    UpstreamGateSpec_t spec = {
        .limits = limits,
        .rates = &count.super,
        .request_id = "r1",
        .done = on_answer,
    };
    return UpstreamGate_enter(&gate, to, &spec);
}

START_TEST(without_a_limit_nothing_is_asked)
{
    begin();
    name_limit(upstream, NULL);
    ck_assert_int_eq(go_to(upstream), UPSTREAM_GATE_OPEN);
    ck_assert_uint_eq(count.asked, 0);
    end();
}
END_TEST

START_TEST(room_is_for_one_attempt)
{
    begin();
    ck_assert_int_eq(go_to(upstream), UPSTREAM_GATE_OPEN);
    ck_assert_ptr_eq(UpstreamGate_permitted(&gate), upstream);
    ck_assert_int_eq(go_to(upstream), UPSTREAM_GATE_OPEN);
    ck_assert_uint_eq(count.asked, 1);
    UpstreamGate_use(&gate, upstream);
    ck_assert_ptr_null(UpstreamGate_permitted(&gate));
    ck_assert_int_eq(go_to(upstream), UPSTREAM_GATE_OPEN);
    ck_assert_uint_eq(count.asked, 2);
    UpstreamGate_use(&gate, upstream);
    ck_assert_uint_eq(count.given_back, 0);
    end();
}
END_TEST

START_TEST(room_that_was_not_used_is_given_back)
{
    begin();
    go_to(upstream);
    UpstreamGate_use(&gate, put("v"));
    ck_assert_uint_eq(count.given_back, 1);
    go_to(upstream);
    UpstreamGate_leave(&gate);
    ck_assert_uint_eq(count.given_back, 2);
    end();
}
END_TEST

START_TEST(an_upstream_without_room_is_full_for_all_requests_here)
{
    begin();
    count.verdict = (RateVerdict_t){.by = "keeper", .retry_after_ms = 60000};
    ck_assert_int_eq(go_to(upstream), UPSTREAM_GATE_FULL);
    ck_assert_uint_eq(gate.refusals, 1);
    ck_assert_ptr_eq(gate.full, upstream);
    ck_assert_int_gt(UpstreamLimit_fullMs(&upstream->limit, Clock_nowMs()),
                     50000);
    ck_assert_uint_eq(answers, 0);
    end();
}
END_TEST

START_TEST(a_later_answer_is_told)
{
    begin();
    count.answers_later = TRUE;
    ck_assert_int_eq(go_to(upstream), UPSTREAM_GATE_ASKED);
    ck_assert_ptr_null(UpstreamGate_permitted(&gate));
    count.done(count.owner, &count.verdict);
    ck_assert_uint_eq(answers, 1);
    ck_assert_int_eq(answer, UPSTREAM_GATE_OPEN);
    ck_assert_ptr_eq(UpstreamGate_permitted(&gate), upstream);
    end();
}
END_TEST

START_TEST(a_request_that_ends_asks_no_more)
{
    begin();
    count.answers_later = TRUE;
    go_to(upstream);
    UpstreamGate_leave(&gate);
    ck_assert_uint_eq(count.cancelled, 1);
    ck_assert_uint_eq(answers, 0);
    end();
}
END_TEST

/* Callers that are told the same moment come back at once and are refused
 * again. */
START_TEST(those_refused_come_back_one_after_the_other)
{
    begin();
    LimitedCapacity_t room = {.count = 1, .per_s = 4, .full_ms = 100};
    g_autoptr(GHashTable) told = g_hash_table_new(NULL, NULL);
    guint latest = 0;
    for (guint i = 0; i < 20; i++) {
        guint wait_ms = UpstreamLimits_retryAfterMs(limits, "s", &room);
        ck_assert_uint_gt(wait_ms, 100);
        ck_assert_uint_le(wait_ms, 10000);
        g_hash_table_add(told, GUINT_TO_POINTER(wait_ms));
        latest = MAX(latest, wait_ms);
    }
    ck_assert_uint_ge(g_hash_table_size(told), 15);
    ck_assert_uint_ge(latest, 1000);
    end();
}
END_TEST

TESTING_MAIN("UpstreamGate", without_a_limit_nothing_is_asked,
             room_is_for_one_attempt, room_that_was_not_used_is_given_back,
             an_upstream_without_room_is_full_for_all_requests_here,
             a_later_answer_is_told, a_request_that_ends_asks_no_more,
             those_refused_come_back_one_after_the_other)
