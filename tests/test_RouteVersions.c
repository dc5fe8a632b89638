/* A store came back older, and the operators had not yet written again what it
 * lost. A router that started then took the configuration before for the
 * newest and answered 200 to a key that the newest had revoked, though its
 * peers knew the newest one. */
#include "testing.h"

#include <string.h>

#include "Clock.h"
#include "Errors.h"
#include "RouteVersions.h"

#define CONFIG_KEY "config"
#define WEIGHTS_KEY "version/m"
/* Longer than a router waits for its peers. */
#define WAITED_MS 400
#define FRESH_MS 60000

static struct event_base *base;
static RouteTable_t *routes;
static ModelVersions_t *weights;
static RouteVersions_t *versions;

static guint64
number_in(GBytes *value)
{
    gsize length = 0;
    const char *text = g_bytes_get_data(value, &length);
    g_autofree char *digits = g_strndup(text, length);
    return g_ascii_strtoull(digits, NULL, 10);
}

static RouteConfig_t *
decode_config(GBytes *value, GError **error)
{
    (void)error;
    return RouteConfig_create(number_in(value));
}

static gboolean
decode_weights(GBytes *value, GString *model, guint64 *version, GError **error)
{
    (void)error;
    g_string_assign(model, "m");
    *version = number_in(value);
    return TRUE;
}

static const PlatformForm_t form = {
    .decode_config = decode_config,
    .decode_weights = decode_weights,
    .config_key = CONFIG_KEY,
    .weights_prefix = "version/",
};

static void
begin(gboolean is_alone)
{
    base = event_base_new();
    routes = RouteTable_create();
    weights = ModelVersions_create();
    RouteVersionsSpec_t spec = {.form = &form,
                                .routes = routes,
                                .weights = weights,
                                .is_alone = is_alone};
    versions = RouteVersions_create(base, &spec);
}

static void
end(void)
{
    RouteVersions_destroy(versions);
    ModelVersions_destroy(weights);
    RouteTable_destroy(routes);
    event_base_free(base);
}

static void
take(const char *key, const char *value, guint64 epoch, guint64 offset)
{
    KeyedRecord_t *record =
        KeyedRecord_create(key, strlen(key), g_bytes_new(value, strlen(value)),
                           (StorePosition_t){epoch, offset});
    RouteVersions_take(versions, record);
    KeyedRecord_free(record);
}

static void
run(gint64 ms)
{
    struct timeval time = {ms / CLOCK_MS_PER_S,
                           ms % CLOCK_MS_PER_S * CLOCK_US_PER_MS};
    event_base_loopexit(base, &time);
    event_base_dispatch(base);
}

static gboolean
is_fresh(void)
{
    return RouteTable_isFresh(routes, FRESH_MS);
}

START_TEST(the_first_one_waits_for_the_word_of_a_peer)
{
    begin(FALSE);
    take(CONFIG_KEY, "5", 1, 2);
    ck_assert_uint_eq(RouteVersions_inForce(versions), 0);
    RouteVersions_tell(versions, 5);
    ck_assert_uint_eq(RouteVersions_inForce(versions), 5);
    end();
}
END_TEST

START_TEST(one_that_peers_know_to_be_replaced_is_never_in_force)
{
    begin(FALSE);
    take(CONFIG_KEY, "5", 1, 2);
    RouteVersions_noteCurrent(versions, Clock_nowMs());
    RouteVersions_tell(versions, 7);
    run(WAITED_MS);
    ck_assert_uint_eq(RouteVersions_inForce(versions), 0);
    ck_assert_uint_eq(RouteVersions_newest(versions), 5);
    take(CONFIG_KEY, "7", 0, 0);
    ck_assert_uint_eq(RouteVersions_inForce(versions), 7);
    ck_assert(is_fresh());
    end();
}
END_TEST

START_TEST(where_no_peer_answers_it_goes_by_what_the_store_has)
{
    begin(FALSE);
    take(CONFIG_KEY, "5", 1, 2);
    RouteVersions_noteCurrent(versions, Clock_nowMs());
    run(WAITED_MS);
    ck_assert_uint_eq(RouteVersions_inForce(versions), 5);
    ck_assert(is_fresh());
    end();
}
END_TEST

START_TEST(where_there_are_no_peers_nothing_is_waited_for)
{
    begin(TRUE);
    take(CONFIG_KEY, "5", 1, 2);
    ck_assert_uint_eq(RouteVersions_inForce(versions), 5);
    end();
}
END_TEST

START_TEST(who_is_behind_its_peers_is_not_fresh)
{
    begin(TRUE);
    take(CONFIG_KEY, "5", 1, 2);
    RouteVersions_tell(versions, 7);
    ck_assert(RouteVersions_isBehind(versions));
    RouteVersions_noteCurrent(versions, Clock_nowMs());
    ck_assert(!is_fresh());
    take(CONFIG_KEY, "7", 0, 0);
    ck_assert(!RouteVersions_isBehind(versions));
    ck_assert(is_fresh());
    end();
}
END_TEST

START_TEST(what_the_store_has_lost_is_kept_and_told_apart)
{
    begin(TRUE);
    take(CONFIG_KEY, "7", 0, 9);
    take(WEIGHTS_KEY, "3", 0, 8);
    take(CONFIG_KEY, "5", 1, 2);
    take(WEIGHTS_KEY, "2", 1, 3);
    ck_assert_uint_eq(RouteVersions_inForce(versions), 7);
    ck_assert_str_eq(ModelVersions_findNewest(weights, "m"), "3");
    GPtrArray *apart =
        RouteVersions_apart(versions, (StorePosition_t){.epoch = 1});
    ck_assert_uint_eq(apart->len, 2);
    g_ptr_array_unref(apart);
    end();
}
END_TEST

START_TEST(what_was_written_again_is_not_apart)
{
    begin(TRUE);
    take(CONFIG_KEY, "7", 0, 9);
    take(CONFIG_KEY, "5", 1, 2);
    take(CONFIG_KEY, "7", 1, 3);
    take(CONFIG_KEY, "7", 0, 0);
    GPtrArray *apart = RouteVersions_apart(versions, (StorePosition_t){1, 3});
    ck_assert_uint_eq(apart->len, 0);
    g_ptr_array_unref(apart);
    apart = RouteVersions_apart(versions, (StorePosition_t){1, 4});
    ck_assert_uint_eq(apart->len, 1);
    g_ptr_array_unref(apart);
    end();
}
END_TEST

TESTING_MAIN("RouteVersions", the_first_one_waits_for_the_word_of_a_peer,
             one_that_peers_know_to_be_replaced_is_never_in_force,
             where_no_peer_answers_it_goes_by_what_the_store_has,
             where_there_are_no_peers_nothing_is_waited_for,
             who_is_behind_its_peers_is_not_fresh,
             what_the_store_has_lost_is_kept_and_told_apart,
             what_was_written_again_is_not_apart)
