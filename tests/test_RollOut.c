/* A roll-out of weights over 90 engines under load, in virtual time: long and
 * short streams arrive, the policy places them, engines load a fifth at once,
 * and each waits for its runs to end before it loads. */
#include "testing.h"

#include <math.h>

#include "HomePolicy.h"
#include "OrderPlaces.h"
#include "Random.h"

#define ENGINES 90
#define STEP_MS 10
#define START_MS 100000
/* The streams of a customer of history questions and reminders. */
#define LONG_PER_S 470
#define LONG_RUN_MS 1000
#define SHORT_PER_S 260
#define SHORT_RUN_MS 150
/* A pause before the order, and a load. */
#define PAUSE_MS 220
#define LOAD_MS 760
#define SETTLE_MS 5000
#define LIMIT_MS 60000
#define LOAD_PERCENT 20
#define WARN_MS 3000
#define SEEDS 4

typedef struct {
    Upstream_t *upstream;
    GArray *ends; /* when its runs end, gint64 */
    gint64 paused_ms;
    gint64 loads_ms; /* when its load began, 0 before */
    gboolean loaded;
} Engine_t;

typedef struct {
    Engine_t engines[ENGINES];
    GPtrArray *serving;
    Policy_t *policy;
    gboolean warns;
    gint64 now_ms;
    guint most_runs; /* at one engine */
} Play_t;

static double
draw(void)
{
    return (Random_below(1000000) + 0.5) / 1000000;
}

static void
begin(Play_t *play, gboolean warns, guint32 seed)
{
    UpstreamSpec_t spec = {.hall = g_string_new("h"),
                           .region = g_string_new("r"),
                           .serves = g_ptr_array_new(),
                           .slots = 64};
    *play = (Play_t){.warns = warns, .now_ms = START_MS};
    Random_seed(seed);
    play->serving = g_ptr_array_new();
    play->policy = HomePolicy_create();
    for (guint i = 0; i < ENGINES; i++) {
        g_autofree char *name = g_strdup_printf("e%u", i);
        Engine_t *engine = &play->engines[i];
        engine->upstream = Upstream_create(NULL, name, &spec, 0);
        engine->upstream->prefill_us_per_token = 17.6;
        engine->ends = g_array_new(FALSE, FALSE, sizeof(gint64));
        g_ptr_array_add(play->serving, engine->upstream);
    }
    g_string_free(spec.hall, TRUE);
    g_string_free(spec.region, TRUE);
    g_ptr_array_unref(spec.serves);
}

static void
end(Play_t *play)
{
    for (guint i = 0; i < ENGINES; i++) {
        Upstream_unref(play->engines[i].upstream);
        g_array_unref(play->engines[i].ends);
    }
    g_ptr_array_unref(play->serving);
    Policy_destroy(play->policy);
}

static Engine_t *
engine_of(Play_t *play, const Upstream_t *upstream)
{
    for (guint i = 0; i < ENGINES; i++) {
        if (play->engines[i].upstream == upstream) {
            return &play->engines[i];
        }
    }
    return NULL;
}

static void
place(Play_t *play, guint shared_tokens, guint tokens, gint64 run_ms)
{
    guint64 prefix = (guint64)Random_below(2000) << 32 | 7;
    Placement_t wish = {.target = "s",
                        .serving = play->serving,
                        .generation = 1,
                        .level_count = 2,
                        .levels = {prefix, 1},
                        .level_tokens = {shared_tokens, tokens},
                        .prompt_tokens = tokens,
                        .hall = "h",
                        .region = "r",
                        .groups = 8,
                        .run_us = run_ms * 1000,
                        .now_ms = play->now_ms};
    Choice_t choice = Policy_choose(play->policy, &wish);
    if (!choice.upstream) {
        return;
    }
    Engine_t *engine = engine_of(play, choice.upstream);
    gint64 ends_ms = play->now_ms - (gint64)(log(draw()) * (double)run_ms);
    g_array_append_val(engine->ends, ends_ms);
    choice.upstream->in_flight++;
    play->most_runs = MAX(play->most_runs, engine->ends->len);
}

static void
arrive(Play_t *play)
{
    static const double steps_per_s = 1000.0 / STEP_MS;
    for (double left = LONG_PER_S / steps_per_s; draw() < left; left--) {
        place(play, 200, 830, LONG_RUN_MS);
    }
    for (double left = SHORT_PER_S / steps_per_s; draw() < left; left--) {
        place(play, 6300, 9200, SHORT_RUN_MS);
    }
}

static void
end_runs(Engine_t *engine, gint64 now_ms)
{
    for (guint i = engine->ends->len; i > 0; i--) {
        if (g_array_index(engine->ends, gint64, i - 1) <= now_ms) {
            g_array_remove_index_fast(engine->ends, i - 1);
            engine->upstream->in_flight--;
        }
    }
}

static void
go_on(Engine_t *engine, gint64 now_ms)
{
    gboolean ordered =
        engine->paused_ms > 0 && now_ms - engine->paused_ms >= PAUSE_MS;
    if (ordered && engine->loads_ms == 0 && engine->ends->len == 0) {
        engine->loads_ms = now_ms;
    }
    if (engine->loads_ms > 0 && !engine->loaded &&
        now_ms - engine->loads_ms >= LOAD_MS) {
        engine->loaded = TRUE;
        engine->upstream->paused_until_ms = 0;
        engine->upstream->load_soon_until_ms = 0;
    }
}

static guint
count_loading(const Play_t *play)
{
    guint count = 0;
    for (guint i = 0; i < ENGINES; i++) {
        const Engine_t *engine = &play->engines[i];
        count += engine->paused_ms > 0 && !engine->loaded ? 1 : 0;
    }
    return count;
}

static void
give_orders(Play_t *play)
{
    OrderPlacesFacts_t facts = {.reached = ENGINES,
                                .serving = ENGINES,
                                .loading = count_loading(play),
                                .least = 1,
                                .percent = LOAD_PERCENT};
    OrderPlaces_t places = OrderPlaces_count(&facts);
    guint warned = 0;
    for (guint i = 0; i < ENGINES; i++) {
        Engine_t *engine = &play->engines[i];
        if (engine->paused_ms > 0) {
            continue;
        }
        if (OrderPlaces_has(&places, FALSE)) {
            OrderPlaces_take(&places, FALSE);
            engine->paused_ms = play->now_ms;
            Upstream_noteUnloading(engine->upstream, LIMIT_MS, play->now_ms);
        }
        else if (play->warns && warned < places.most) {
            warned++;
            Upstream_noteLoadSoon(engine->upstream, WARN_MS, play->now_ms);
        }
    }
}

static guint
count_loaded(const Play_t *play)
{
    guint count = 0;
    for (guint i = 0; i < ENGINES; i++) {
        count += play->engines[i].loaded ? 1 : 0;
    }
    return count;
}

/* How long until nine tenths have loaded, in ms. */
static gint64
roll_out(gboolean warns, guint32 seed, guint *most_runs)
{
    Play_t play;
    begin(&play, warns, seed);
    while (count_loaded(&play) * 10 < ENGINES * 9 &&
           play.now_ms < START_MS + LIMIT_MS) {
        play.now_ms += STEP_MS;
        arrive(&play);
        for (guint i = 0; i < ENGINES; i++) {
            end_runs(&play.engines[i], play.now_ms);
            go_on(&play.engines[i], play.now_ms);
        }
        if (play.now_ms >= START_MS + SETTLE_MS) {
            give_orders(&play);
        }
    }
    *most_runs = play.most_runs;
    gint64 took_ms = play.now_ms - START_MS - SETTLE_MS;
    end(&play);
    return took_ms;
}

START_TEST(long_runs_hold_up_a_roll_out_less_where_routers_know_of_it)
{
    gint64 warned_ms = 0;
    gint64 unwarned_ms = 0;
    for (guint32 seed = 1; seed <= SEEDS; seed++) {
        guint runs = 0;
        guint runs_before = 0;
        unwarned_ms += roll_out(FALSE, seed, &runs_before);
        warned_ms += roll_out(TRUE, seed, &runs);
        ck_assert_uint_le(runs, runs_before * 2);
    }
    ck_assert_msg(warned_ms * 100 <= unwarned_ms * 85, "%ld and %ld ms",
                  (long)(warned_ms / SEEDS), (long)(unwarned_ms / SEEDS));
}
END_TEST

TESTING_MAIN("RollOut",
             long_runs_hold_up_a_roll_out_less_where_routers_know_of_it)
