#include "testing.h"

#include "PrefixSupply.h"

#define NOW_MS 100000
#define ENGINES 3
#define SHARED_TOKENS 6300
#define KEY 42
/* SHARED_TOKENS take 46 ms: 1 GB over 180 Gbit/s. */
#define MOVE_US_PER_TOKEN 7.28
#define CAPACITY_TOKENS 100000

static GPtrArray *engines;
static Residency_t *residency;
static GHashTable *by_hash;
static Placement_t placement;

static void
unref_engine(gpointer engine)
{
    Upstream_unref(engine);
}

static Upstream_t *
engine_at(guint i)
{
    return g_ptr_array_index(engines, i);
}

/* The last engine is in another hall. */
static void
set_up(void)
{
    UpstreamSpec_t spec = {.hall = g_string_new("h"),
                           .region = g_string_new("r"),
                           .serves = g_ptr_array_new(),
                           .slots = 64};
    by_hash = g_hash_table_new(g_int64_hash, g_int64_equal);
    engines = g_ptr_array_new_with_free_func(unref_engine);
    for (guint i = 0; i < ENGINES; i++) {
        g_autofree char *name = g_strdup_printf("i-%u", i);
        g_string_assign(spec.hall, i + 1 < ENGINES ? "h" : "other");
        Upstream_t *engine = Upstream_create(NULL, name, &spec, 0);
        engine->prefill_us_per_token = 24.5;
        Upstream_noteWeights(engine, "1");
        g_ptr_array_add(engines, engine);
        g_hash_table_insert(by_hash, &engine->hash, engine);
    }
    g_string_free(spec.hall, TRUE);
    g_string_free(spec.region, TRUE);
    g_ptr_array_unref(spec.serves);
    residency = Residency_create(RESIDENCY_PREFIXES_DEFAULT);
    placement = (Placement_t){.target = "s",
                              .serving = engines,
                              .level_count = 2,
                              .levels = {KEY, 0},
                              .level_tokens = {SHARED_TOKENS, 9000},
                              .prompt_tokens = 9000,
                              .cache_tokens = CAPACITY_TOKENS,
                              .move_us_per_token = MOVE_US_PER_TOKEN,
                              .now_ms = NOW_MS};
}

static void
tear_down(void)
{
    Residency_destroy(residency);
    g_hash_table_destroy(by_hash);
    g_ptr_array_unref(engines);
}

static Supply_t
find_supply(guint to)
{
    PrefixHolders_t holders;
    PrefixSupply_findHolders(residency, &placement, by_hash, &holders);
    return PrefixSupply_find(&holders, &placement, engine_at(to));
}

START_TEST(a_prefix_that_was_never_read_has_no_known_source)
{
    set_up();
    ck_assert_int_eq(find_supply(0).kind, SUPPLY_UNKNOWN);
    ck_assert_uint_eq(find_supply(0).tokens, 0);
    tear_down();
}
END_TEST

START_TEST(a_held_prefix_is_not_moved)
{
    set_up();
    Residency_note(residency, KEY, engine_at(0), NOW_MS);
    ck_assert_int_eq(find_supply(0).kind, SUPPLY_HELD);
    ck_assert_uint_eq(find_supply(0).tokens, SHARED_TOKENS);
    ck_assert_int_eq(find_supply(0).move_us, 0);
    EngineMemory_notePeerTokens(&engine_at(0)->memory, CAPACITY_TOKENS + 1);
    ck_assert_int_eq(find_supply(0).kind, SUPPLY_UNKNOWN);
    tear_down();
}
END_TEST

START_TEST(a_move_between_halls_takes_twice_as_long)
{
    set_up();
    Residency_note(residency, KEY, engine_at(0), NOW_MS);
    Supply_t near = find_supply(1);
    Supply_t far = find_supply(2);
    ck_assert_int_eq(near.kind, SUPPLY_ENGINE);
    ck_assert_ptr_eq(near.source, engine_at(0));
    ck_assert_int_gt(near.move_us, 45000);
    ck_assert_int_lt(near.move_us, 55000);
    ck_assert_int_gt(far.move_us, 90000);
    tear_down();
}
END_TEST

START_TEST(the_source_with_a_free_link_is_chosen)
{
    set_up();
    Residency_note(residency, KEY, engine_at(0), NOW_MS);
    Residency_note(residency, KEY, engine_at(2), NOW_MS);
    ck_assert_ptr_eq(find_supply(1).source, engine_at(0));
    engine_at(0)->link.others_us = 100000;
    ck_assert_ptr_eq(find_supply(1).source, engine_at(2));
    tear_down();
}
END_TEST

START_TEST(a_prefix_is_computed_where_all_links_are_busy)
{
    set_up();
    Residency_note(residency, KEY, engine_at(0), NOW_MS);
    engine_at(0)->link.others_us = 2000000;
    Supply_t supply = find_supply(1);
    ck_assert_int_eq(supply.kind, SUPPLY_COMPUTED);
    ck_assert_uint_eq(supply.tokens, 0);
    tear_down();
}
END_TEST

START_TEST(engines_with_other_weights_neither_hold_nor_supply)
{
    set_up();
    Residency_note(residency, KEY, engine_at(0), NOW_MS);
    Upstream_noteWeights(engine_at(1), "2");
    ck_assert_int_eq(find_supply(1).kind, SUPPLY_UNKNOWN);
    Upstream_noteWeights(engine_at(0), "2");
    ck_assert_int_eq(find_supply(0).kind, SUPPLY_UNKNOWN);
    tear_down();
}
END_TEST

START_TEST(a_replaced_engine_is_not_a_source)
{
    set_up();
    Residency_note(residency, KEY, engine_at(0), NOW_MS);
    engine_at(0)->leaving = TRUE;
    ck_assert_int_eq(find_supply(1).kind, SUPPLY_ENGINE);
    engine_at(0)->replaced = TRUE;
    ck_assert_int_eq(find_supply(1).kind, SUPPLY_UNKNOWN);
    tear_down();
}
END_TEST

START_TEST(a_commit_counts_on_the_links_and_in_the_memory)
{
    set_up();
    Residency_note(residency, KEY, engine_at(0), NOW_MS);
    Choice_t choice = {.upstream = engine_at(1), .supply = find_supply(1)};
    PrefixSupply_commit(&placement, &choice);
    ck_assert_uint_eq(engine_at(1)->memory.inserted_tokens, 9000);
    ck_assert_int_gt(find_supply(2).wait_us, 30000);
    tear_down();
}
END_TEST

/* A configuration without sizes must not cause a division by zero. */
START_TEST(without_sizes_the_default_times_apply)
{
    set_up();
    placement.cache_tokens = 0;
    placement.move_us_per_token = 0;
    Residency_note(residency, KEY, engine_at(0), NOW_MS);
    ck_assert_int_eq(find_supply(1).kind, SUPPLY_ENGINE);
    ck_assert_int_gt(find_supply(1).move_us, 0);
    tear_down();
}
END_TEST

START_TEST(a_short_prefix_is_not_moved)
{
    set_up();
    placement.level_tokens[0] = PREFIX_SUPPLY_TOKENS_MIN - 1;
    Residency_note(residency, KEY, engine_at(0), NOW_MS);
    ck_assert_int_eq(find_supply(1).kind, SUPPLY_COMPUTED);
    tear_down();
}
END_TEST

TESTING_MAIN("PrefixSupply", a_prefix_that_was_never_read_has_no_known_source,
             a_held_prefix_is_not_moved,
             a_move_between_halls_takes_twice_as_long,
             the_source_with_a_free_link_is_chosen,
             a_prefix_is_computed_where_all_links_are_busy,
             engines_with_other_weights_neither_hold_nor_supply,
             a_replaced_engine_is_not_a_source,
             a_commit_counts_on_the_links_and_in_the_memory,
             without_sizes_the_default_times_apply,
             a_short_prefix_is_not_moved)
