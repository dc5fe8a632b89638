#include "testing.h"

#include "PrefixSupply.h"

#define NOW_MS 100000
#define ENGINES 3
#define SHARED 6300
#define KEY 42
/* 1 GB over 180 Gbit/s takes 46 ms. */
#define MOVE_US_PER_TOKEN 7.28
#define ROOM 100000

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

/* The last engine stands in another hall. */
static void
begin(void)
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
    residency = Residency_create(RESIDENCY_PREFIXES);
    placement = (Placement_t){.target = "s",
                              .serving = engines,
                              .level_count = 2,
                              .levels = {KEY, 0},
                              .level_tokens = {SHARED, 9000},
                              .prompt_tokens = 9000,
                              .cache_tokens = ROOM,
                              .move_us_per_token = MOVE_US_PER_TOKEN,
                              .now_ms = NOW_MS};
}

static void
end(void)
{
    Residency_destroy(residency);
    g_hash_table_destroy(by_hash);
    g_ptr_array_unref(engines);
}

static Supply_t
find(guint to)
{
    PrefixHolders_t holders;
    PrefixSupply_findHolders(residency, &placement, by_hash, &holders);
    return PrefixSupply_find(&holders, &placement, engine_at(to));
}

START_TEST(nobody_is_known_to_have_what_was_never_read)
{
    begin();
    ck_assert_int_eq(find(0).kind, SUPPLY_UNKNOWN);
    ck_assert_uint_eq(find(0).tokens, 0);
    end();
}
END_TEST

START_TEST(what_is_held_is_not_moved)
{
    begin();
    Residency_note(residency, KEY, engine_at(0), NOW_MS);
    ck_assert_int_eq(find(0).kind, SUPPLY_HELD);
    ck_assert_uint_eq(find(0).tokens, SHARED);
    ck_assert_int_eq(find(0).move_us, 0);
    EngineMemory_takeTold(&engine_at(0)->memory, ROOM + 1);
    ck_assert_int_eq(find(0).kind, SUPPLY_UNKNOWN);
    end();
}
END_TEST

START_TEST(a_move_between_halls_takes_twice_as_long)
{
    begin();
    Residency_note(residency, KEY, engine_at(0), NOW_MS);
    Supply_t near = find(1);
    Supply_t far = find(2);
    ck_assert_int_eq(near.kind, SUPPLY_ENGINE);
    ck_assert_ptr_eq(near.source, engine_at(0));
    ck_assert_int_gt(near.move_us, 45000);
    ck_assert_int_lt(near.move_us, 55000);
    ck_assert_int_gt(far.move_us, 90000);
    end();
}
END_TEST

START_TEST(the_giver_whose_link_is_free_is_asked)
{
    begin();
    Residency_note(residency, KEY, engine_at(0), NOW_MS);
    Residency_note(residency, KEY, engine_at(2), NOW_MS);
    ck_assert_ptr_eq(find(1).source, engine_at(0));
    engine_at(0)->link.others_us = 100000;
    ck_assert_ptr_eq(find(1).source, engine_at(2));
    end();
}
END_TEST

START_TEST(it_is_computed_where_all_links_are_busy)
{
    begin();
    Residency_note(residency, KEY, engine_at(0), NOW_MS);
    engine_at(0)->link.others_us = 2000000;
    Supply_t supply = find(1);
    ck_assert_int_eq(supply.kind, SUPPLY_COMPUTED);
    ck_assert_uint_eq(supply.tokens, 0);
    end();
}
END_TEST

START_TEST(other_weights_give_and_hold_nothing)
{
    begin();
    Residency_note(residency, KEY, engine_at(0), NOW_MS);
    Upstream_noteWeights(engine_at(1), "2");
    ck_assert_int_eq(find(1).kind, SUPPLY_UNKNOWN);
    Upstream_noteWeights(engine_at(0), "2");
    ck_assert_int_eq(find(0).kind, SUPPLY_UNKNOWN);
    end();
}
END_TEST

START_TEST(an_engine_that_was_replaced_at_its_address_gives_nothing)
{
    begin();
    Residency_note(residency, KEY, engine_at(0), NOW_MS);
    engine_at(0)->leaving = TRUE;
    ck_assert_int_eq(find(1).kind, SUPPLY_ENGINE);
    engine_at(0)->replaced = TRUE;
    ck_assert_int_eq(find(1).kind, SUPPLY_UNKNOWN);
    end();
}
END_TEST

START_TEST(a_choice_counts_on_the_links_and_in_the_memory)
{
    begin();
    Residency_note(residency, KEY, engine_at(0), NOW_MS);
    Choice_t choice = {.upstream = engine_at(1), .supply = find(1)};
    PrefixSupply_begin(&placement, &choice);
    ck_assert_uint_eq(engine_at(1)->memory.taken, 9000);
    ck_assert_int_gt(find(2).wait_us, 30000);
    end();
}
END_TEST

/* A configuration without sizes must not make anything divide by zero. */
START_TEST(without_sizes_fixed_costs_do)
{
    begin();
    placement.cache_tokens = 0;
    placement.move_us_per_token = 0;
    Residency_note(residency, KEY, engine_at(0), NOW_MS);
    ck_assert_int_eq(find(1).kind, SUPPLY_ENGINE);
    ck_assert_int_gt(find(1).move_us, 0);
    end();
}
END_TEST

START_TEST(a_short_prefix_is_not_moved)
{
    begin();
    placement.level_tokens[0] = PREFIX_SUPPLY_TOKENS_MIN - 1;
    Residency_note(residency, KEY, engine_at(0), NOW_MS);
    ck_assert_int_eq(find(1).kind, SUPPLY_COMPUTED);
    end();
}
END_TEST

TESTING_MAIN("PrefixSupply", nobody_is_known_to_have_what_was_never_read,
             what_is_held_is_not_moved,
             a_move_between_halls_takes_twice_as_long,
             the_giver_whose_link_is_free_is_asked,
             it_is_computed_where_all_links_are_busy,
             other_weights_give_and_hold_nothing,
             an_engine_that_was_replaced_at_its_address_gives_nothing,
             a_choice_counts_on_the_links_and_in_the_memory,
             without_sizes_fixed_costs_do, a_short_prefix_is_not_moved)
