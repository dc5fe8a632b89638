#include "testing.h"

#include "Clock.h"
#include "ReplayEngine.h"

#define STEP_US ((gint64)4200)
#define US_PER_MS ((gint64)CLOCK_US_PER_MS)
#define LONG_TOKENS 17000
#define SHORT_TOKENS 400
#define OUT_TOKENS 45
#define WORKS_MAX 8

typedef struct {
    gint64 first_us[WORKS_MAX];
    gint64 done_us[WORKS_MAX];
} Times_t;

static void
on_token(void *owner, const ReplayWork_t *work, gboolean first, gint64 now_us)
{
    Times_t *times = owner;
    if (first) {
        times->first_us[work->id] = now_us;
    }
}

static void
on_done(void *owner, guint id, gint64 now_us)
{
    Times_t *times = owner;
    times->done_us[id] = now_us;
}

static const ReplayEngineHandlers_t handlers = {on_token, on_done};

static ReplayFleet_t
make_fleet(gint64 slots)
{
    return (ReplayFleet_t){.slots = slots,
                           .cache_tokens = 1000000,
                           .prompt_tokens_ms = 42,
                           .piece_tokens = 1024,
                           .piece_mode = REPLAY_PIECE_EACH,
                           .step_us = STEP_US};
}

static void
send_work(ReplayEngine_t *engine, guint id, guint rank, guint tokens)
{
    ReplayWork_t work = {.id = id,
                         .rank = rank,
                         .own_tokens = tokens,
                         .out_tokens = OUT_TOKENS};
    ReplayEngine_send(engine, g_memdup2(&work, sizeof(work)));
}

/* Runs the engine until nothing is left on it. */
static void
run_until_idle(ReplayEngine_t *engine)
{
    gint64 now_us = 0;
    while (!ReplayEngine_isIdle(engine)) {
        now_us += ReplayEngine_step(engine, now_us);
        ReplayEngine_finish(engine, now_us);
    }
}

static gint64
run_us(const Times_t *times, guint id)
{
    return times->done_us[id] - times->first_us[id];
}

START_TEST(a_stream_is_about_six_times_slower_beside_one_long_prompt)
{
    ReplayFleet_t fleet = make_fleet(16);
    Times_t alone = {0};
    Times_t beside = {0};
    ReplayEngine_t *engine = ReplayEngine_create(&fleet, &handlers, &alone);
    send_work(engine, 0, 0, SHORT_TOKENS);
    run_until_idle(engine);
    ReplayEngine_destroy(engine);
    engine = ReplayEngine_create(&fleet, &handlers, &beside);
    send_work(engine, 0, 0, SHORT_TOKENS);
    send_work(engine, 1, 0, LONG_TOKENS * 4);
    run_until_idle(engine);
    ReplayEngine_destroy(engine);
    ck_assert_int_eq(run_us(&alone, 0), (OUT_TOKENS - 1) * STEP_US);
    ck_assert_int_ge(run_us(&beside, 0), 6 * run_us(&alone, 0));
    ck_assert_int_le(run_us(&beside, 0), 7 * run_us(&alone, 0));
}
END_TEST

START_TEST(a_short_prompt_does_not_wait_for_the_long_ones_beside_it)
{
    ReplayFleet_t fleet = make_fleet(16);
    Times_t times = {0};
    ReplayEngine_t *engine = ReplayEngine_create(&fleet, &handlers, &times);
    send_work(engine, 0, 0, LONG_TOKENS);
    send_work(engine, 1, 0, LONG_TOKENS);
    send_work(engine, 2, 0, SHORT_TOKENS);
    run_until_idle(engine);
    ReplayEngine_destroy(engine);
    ck_assert_int_lt(times.first_us[2], 100 * US_PER_MS);
    ck_assert_int_gt(times.first_us[0], 800 * US_PER_MS);
    ck_assert_int_eq(times.first_us[0], times.first_us[1]);
}
END_TEST

START_TEST(a_slot_goes_to_the_most_urgent_and_then_to_the_first)
{
    static const guint ranks[] = {2, 2, 0, 1, 0, 2};
    static const guint order[] = {2, 4, 3, 0, 1, 5};
    ReplayFleet_t fleet = make_fleet(1);
    Times_t times = {0};
    ReplayEngine_t *engine = ReplayEngine_create(&fleet, &handlers, &times);
    for (guint i = 0; i < G_N_ELEMENTS(ranks); i++) {
        send_work(engine, i, ranks[i], SHORT_TOKENS);
    }
    run_until_idle(engine);
    ReplayEngine_destroy(engine);
    for (guint i = 1; i < G_N_ELEMENTS(order); i++) {
        ck_assert_int_gt(times.first_us[order[i]],
                         times.done_us[order[i - 1]]);
    }
}
END_TEST

/* A slot is held until the last token, and a prompt that is read leaves no
 * room. */
START_TEST(an_engine_has_room_with_a_free_slot_and_no_prompt_to_read)
{
    ReplayFleet_t fleet = make_fleet(2);
    Times_t times = {0};
    ReplayEngine_t *engine = ReplayEngine_create(&fleet, &handlers, &times);
    ck_assert(ReplayEngine_hasRoom(engine));
    send_work(engine, 0, 0, SHORT_TOKENS);
    ck_assert(!ReplayEngine_hasRoom(engine));
    gint64 now_us = ReplayEngine_step(engine, 0);
    ReplayEngine_finish(engine, now_us);
    ck_assert(ReplayEngine_hasRoom(engine));
    send_work(engine, 1, 0, LONG_TOKENS);
    now_us += ReplayEngine_step(engine, now_us);
    ReplayEngine_finish(engine, now_us);
    ck_assert(!ReplayEngine_hasRoom(engine));
    run_until_idle(engine);
    ck_assert(ReplayEngine_hasRoom(engine));
    ReplayEngine_destroy(engine);
}
END_TEST

TESTING_MAIN("ReplayEngine",
             a_stream_is_about_six_times_slower_beside_one_long_prompt,
             a_short_prompt_does_not_wait_for_the_long_ones_beside_it,
             a_slot_goes_to_the_most_urgent_and_then_to_the_first,
             an_engine_has_room_with_a_free_slot_and_no_prompt_to_read)
