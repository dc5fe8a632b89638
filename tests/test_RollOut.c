/* Simulates a roll-out of weights over 90 engines under load, in virtual time.
 * Long and short streams arrive and the policy places them. A fifth of the
 * engines loads at once, and each finishes its running streams first. */
#include "testing.h"

#include <math.h>

#include "HomePolicy.h"
#include "Random.h"
#include "WeightLoadSlots.h"

#define ENGINES 90
#define STEP_MS 10
#define START_MS 100000
/* Arrivals of a customer whose workload is history questions and reminders. */
#define LONG_PER_S 470
#define LONG_RUN_MS 1000
#define SHORT_PER_S 260
#define SHORT_RUN_MS 150
/* Pause before an order, and duration of a load. */
#define PAUSE_MS 220
#define LOAD_MS 760
/* Time under load before the roll-out starts. */
#define WARM_UP_MS 5000
#define LIMIT_MS 60000
#define LOAD_PERCENT 20
#define ANNOUNCE_MS 3000
#define SEEDS 4

typedef struct {
    Upstream_t *upstream;
    GArray *ends;     /* when its running streams end, gint64 */
    gint64 paused_ms; /* when its pause began, 0 before */
    gint64 load_ms;   /* when its load began, 0 before */
    gboolean loaded;
} Engine_t;

typedef struct {
    Engine_t engines[ENGINES];
    GPtrArray *serving;
    Policy_t *policy;
    gboolean announces;
    gint64 now_ms;
    guint max_runs; /* largest number of streams at one engine */
} Simulation_t;

static double
draw_fraction(void)
{
    return (Random_below(1000000) + 0.5) / 1000000;
}

static void
begin(Simulation_t *sim, gboolean announces, guint32 seed)
{
    UpstreamSpec_t spec = {.hall = g_string_new("h"),
                           .region = g_string_new("r"),
                           .serves = g_ptr_array_new(),
                           .slots = 64};
    *sim = (Simulation_t){.announces = announces, .now_ms = START_MS};
    Random_seed(seed);
    sim->serving = g_ptr_array_new();
    sim->policy = HomePolicy_create();
    for (guint i = 0; i < ENGINES; i++) {
        g_autofree char *name = g_strdup_printf("e%u", i);
        Engine_t *engine = &sim->engines[i];
        engine->upstream = Upstream_create(NULL, name, &spec, 0);
        engine->upstream->prefill_us_per_token = 17.6;
        engine->ends = g_array_new(FALSE, FALSE, sizeof(gint64));
        g_ptr_array_add(sim->serving, engine->upstream);
    }
    g_string_free(spec.hall, TRUE);
    g_string_free(spec.region, TRUE);
    g_ptr_array_unref(spec.serves);
}

static void
end(Simulation_t *sim)
{
    for (guint i = 0; i < ENGINES; i++) {
        Upstream_unref(sim->engines[i].upstream);
        g_array_unref(sim->engines[i].ends);
    }
    g_ptr_array_unref(sim->serving);
    Policy_destroy(sim->policy);
}

static Engine_t *
engine_of(Simulation_t *sim, const Upstream_t *upstream)
{
    for (guint i = 0; i < ENGINES; i++) {
        if (sim->engines[i].upstream == upstream) {
            return &sim->engines[i];
        }
    }
    return NULL;
}

static void
place_request(Simulation_t *sim, guint shared_tokens, guint tokens,
              gint64 run_ms)
{
    guint64 prefix = (guint64)Random_below(2000) << 32 | 7;
    Placement_t placement = {.target = "s",
                             .serving = sim->serving,
                             .generation = 1,
                             .level_count = 2,
                             .levels = {prefix, 1},
                             .level_tokens = {shared_tokens, tokens},
                             .prompt_tokens = tokens,
                             .hall = "h",
                             .region = "r",
                             .groups = 8,
                             .run_us = run_ms * 1000,
                             .now_ms = sim->now_ms};
    Choice_t choice = Policy_choose(sim->policy, &placement);
    if (!choice.upstream) {
        return;
    }
    Engine_t *engine = engine_of(sim, choice.upstream);
    gint64 ends_ms =
        sim->now_ms - (gint64)(log(draw_fraction()) * (double)run_ms);
    g_array_append_val(engine->ends, ends_ms);
    choice.upstream->in_flight++;
    sim->max_runs = MAX(sim->max_runs, engine->ends->len);
}

static void
add_arrivals(Simulation_t *sim)
{
    static const double steps_per_s = 1000.0 / STEP_MS;
    for (double remaining = LONG_PER_S / steps_per_s;
         draw_fraction() < remaining; remaining--) {
        place_request(sim, 200, 830, LONG_RUN_MS);
    }
    for (double remaining = SHORT_PER_S / steps_per_s;
         draw_fraction() < remaining; remaining--) {
        place_request(sim, 6300, 9200, SHORT_RUN_MS);
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
advance_load(Engine_t *engine, gint64 now_ms)
{
    gboolean ordered =
        engine->paused_ms > 0 && now_ms - engine->paused_ms >= PAUSE_MS;
    if (ordered && engine->load_ms == 0 && engine->ends->len == 0) {
        engine->load_ms = now_ms;
    }
    if (engine->load_ms > 0 && !engine->loaded &&
        now_ms - engine->load_ms >= LOAD_MS) {
        engine->loaded = TRUE;
        engine->upstream->paused_until_ms = 0;
        engine->upstream->load_soon_until_ms = 0;
    }
}

static guint
count_loading(const Simulation_t *sim)
{
    guint count = 0;
    for (guint i = 0; i < ENGINES; i++) {
        const Engine_t *engine = &sim->engines[i];
        count += engine->paused_ms > 0 && !engine->loaded ? 1 : 0;
    }
    return count;
}

static void
send_orders(Simulation_t *sim)
{
    WeightLoadSlotsInput_t input = {.reachable = ENGINES,
                                    .serving = ENGINES,
                                    .loading = count_loading(sim),
                                    .min_loading = 1,
                                    .loading_percent = LOAD_PERCENT};
    WeightLoadSlots_t slots = WeightLoadSlots_compute(&input);
    guint announced = 0;
    for (guint i = 0; i < ENGINES; i++) {
        Engine_t *engine = &sim->engines[i];
        if (engine->paused_ms > 0) {
            continue;
        }
        if (WeightLoadSlots_isAvailable(&slots, FALSE)) {
            WeightLoadSlots_acquire(&slots, FALSE);
            engine->paused_ms = sim->now_ms;
            Upstream_noteUnloading(engine->upstream, LIMIT_MS, sim->now_ms);
        }
        else if (sim->announces && announced < slots.max_loading) {
            announced++;
            Upstream_noteLoadSoon(engine->upstream, ANNOUNCE_MS, sim->now_ms);
        }
    }
}

static guint
count_loaded(const Simulation_t *sim)
{
    guint count = 0;
    for (guint i = 0; i < ENGINES; i++) {
        count += sim->engines[i].loaded ? 1 : 0;
    }
    return count;
}

/* Returns the time until nine tenths of the engines have loaded, in ms. */
static gint64
roll_out(gboolean announces, guint32 seed, guint *max_runs)
{
    Simulation_t sim;
    begin(&sim, announces, seed);
    while (count_loaded(&sim) * 10 < ENGINES * 9 &&
           sim.now_ms < START_MS + LIMIT_MS) {
        sim.now_ms += STEP_MS;
        add_arrivals(&sim);
        for (guint i = 0; i < ENGINES; i++) {
            end_runs(&sim.engines[i], sim.now_ms);
            advance_load(&sim.engines[i], sim.now_ms);
        }
        if (sim.now_ms >= START_MS + WARM_UP_MS) {
            send_orders(&sim);
        }
    }
    *max_runs = sim.max_runs;
    gint64 took_ms = sim.now_ms - START_MS - WARM_UP_MS;
    end(&sim);
    return took_ms;
}

START_TEST(announcing_loads_shortens_a_roll_out_that_waits_for_long_streams)
{
    gint64 announced_ms = 0;
    gint64 unannounced_ms = 0;
    for (guint32 seed = 1; seed <= SEEDS; seed++) {
        guint runs = 0;
        guint runs_unannounced = 0;
        unannounced_ms += roll_out(FALSE, seed, &runs_unannounced);
        announced_ms += roll_out(TRUE, seed, &runs);
        ck_assert_uint_le(runs, runs_unannounced * 2);
    }
    ck_assert_msg(announced_ms * 100 <= unannounced_ms * 85, "%ld and %ld ms",
                  (long)(announced_ms / SEEDS),
                  (long)(unannounced_ms / SEEDS));
}
END_TEST

TESTING_MAIN("RollOut",
             announcing_loads_shortens_a_roll_out_that_waits_for_long_streams)
