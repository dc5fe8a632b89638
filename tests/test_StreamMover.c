#include "testing.h"

#include <event2/event.h>

#include "StreamMover.h"

#define ENGINES 3
#define TARGET "engines"
#define NOW_MS 100000
#define PAUSE_MS 2500
#define PERCENT 20
/* The one router's share: two retries, one of them reserved for failures. */
#define ALLOWANCE 2

typedef struct {
    const Upstream_t *upstream;
    guint moves;
} Stream_t;

static struct event_base *base;
static UpstreamSet_t *upstreams;
static RetryBudget_t *budget;
static StreamMover_t *mover;
static Stream_t stream;

static const Upstream_t *
upstream_of(const void *data)
{
    return ((const Stream_t *)data)->upstream;
}

static const char *
target_of(const void *data)
{
    (void)data;
    return TARGET;
}

static void
move(void *data)
{
    ((Stream_t *)data)->moves++;
    StreamMover_remove(mover, data);
}

static const MovableClass_t class = {upstream_of, target_of, move};

static void
add_engines(void)
{
    UpstreamSpec_t spec = {.role = ROLE_SERVICE,
                           .hall = g_string_new("h"),
                           .region = g_string_new("r"),
                           .serves = g_ptr_array_new(),
                           .slots = 4};
    GString *target = g_string_new(TARGET);
    g_ptr_array_add(spec.serves, target);
    for (guint i = 0; i < ENGINES; i++) {
        g_autofree char *name = g_strdup_printf("e%u", i);
        UpstreamSet_put(upstreams, name, &spec);
    }
    g_string_free(spec.hall, TRUE);
    g_string_free(spec.region, TRUE);
}

static Upstream_t *
engine(guint number)
{
    g_autofree char *name = g_strdup_printf("e%u", number);
    return UpstreamSet_find(upstreams, name);
}

static void
set_up(void)
{
    base = event_base_new();
    upstreams = UpstreamSet_create(base, 0);
    add_engines();
    budget = RetryBudget_create(PERCENT, ALLOWANCE);
    mover = StreamMover_create(base, upstreams, budget);
    stream = (Stream_t){.upstream = engine(0)};
    StreamMover_add(mover, &stream, &class);
}

static void
tear_down(void)
{
    StreamMover_destroy(mover);
    RetryBudget_destroy(budget);
    UpstreamSet_destroy(upstreams);
    event_base_free(base);
}

static guint
moves_at(gint64 now_ms)
{
    StreamMover_tick(mover, now_ms);
    return stream.moves;
}

START_TEST(a_stream_leaves_an_engine_that_is_to_load)
{
    set_up();
    ck_assert_uint_eq(moves_at(NOW_MS), 0);
    Upstream_noteUnloading(engine(0), PAUSE_MS, NOW_MS);
    ck_assert_uint_eq(moves_at(NOW_MS + MOVE_DELAY_MS - 1), 0);
    ck_assert_uint_eq(moves_at(NOW_MS + MOVE_DELAY_MS), 1);
    ck_assert_uint_eq(moves_at(NOW_MS + MOVE_DELAY_MS), 1);
    tear_down();
}
END_TEST

START_TEST(a_stream_stays_where_its_engine_only_sheds)
{
    set_up();
    Upstream_notePause(engine(0), PAUSE_MS, NOW_MS);
    ck_assert_uint_eq(moves_at(NOW_MS + MOVE_DELAY_MS), 0);
    tear_down();
}
END_TEST

START_TEST(a_stream_stays_once_its_engine_has_loaded)
{
    set_up();
    Upstream_noteUnloading(engine(0), PAUSE_MS, NOW_MS);
    Upstream_noteWeights(engine(0), "2");
    ck_assert_uint_eq(moves_at(NOW_MS + MOVE_DELAY_MS), 0);
    tear_down();
}
END_TEST

START_TEST(a_stream_stays_where_too_few_engines_are_left)
{
    set_up();
    Upstream_noteUnloading(engine(0), PAUSE_MS, NOW_MS);
    Upstream_noteUnreachable(engine(1));
    ck_assert_uint_eq(moves_at(NOW_MS + MOVE_DELAY_MS), 0);
    tear_down();
}
END_TEST

START_TEST(half_of_the_retries_are_kept_for_failures)
{
    set_up();
    Upstream_noteUnloading(engine(0), PAUSE_MS, NOW_MS);
    RetryBudget_withdraw(budget, TARGET);
    ck_assert(RetryBudget_hasRetry(budget, TARGET));
    ck_assert_uint_eq(moves_at(NOW_MS + MOVE_DELAY_MS), 0);
    tear_down();
}
END_TEST

TESTING_MAIN("StreamMover", a_stream_leaves_an_engine_that_is_to_load,
             a_stream_stays_where_its_engine_only_sheds,
             a_stream_stays_once_its_engine_has_loaded,
             a_stream_stays_where_too_few_engines_are_left,
             half_of_the_retries_are_kept_for_failures)
