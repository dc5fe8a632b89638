/* Guards against the use of a replaced configuration: the store was restored
 * from an older copy, and the operators had not yet written the lost records
 * again. A router that started in that time took the replaced configuration
 * for the newest and answered 200 to a key that the newest one had revoked,
 * although its peers had the newest one. */
#include "testing.h"

#include <string.h>

#include "Clock.h"
#include "Errors.h"
#include "RouteVersions.h"

#define CONFIG_KEY "config"
#define WEIGHTS_KEY "version/m"
/* Longer than PEER_WAIT_MS. */
#define PAST_PEER_WAIT_MS 400
#define FRESH_MS 60000
#define LONG_BYTES 20000

static struct event_base *base;
static RouteTable_t *routes;
static ModelVersions_t *weights;
static RouteVersions_t *versions;

static guint64
parse_version(GBytes *value)
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
    return RouteConfig_create(parse_version(value));
}

static gboolean
decode_weights(GBytes *value, GString *model, guint64 *version, GError **error)
{
    (void)error;
    g_string_assign(model, "m");
    *version = parse_version(value);
    return TRUE;
}

static const PlatformForm_t form = {
    .decode_config = decode_config,
    .decode_weights = decode_weights,
    .config_key = CONFIG_KEY,
    .weights_prefix = "version/",
};

static void
set_up(gboolean is_alone)
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
tear_down(void)
{
    RouteVersions_destroy(versions);
    ModelVersions_destroy(weights);
    RouteTable_destroy(routes);
    event_base_free(base);
}

static void
apply(const char *key, const char *value, guint64 epoch, guint64 offset)
{
    KeyedRecord_t *record =
        KeyedRecord_create(key, strlen(key), g_bytes_new(value, strlen(value)),
                           (StorePosition_t){epoch, offset});
    RouteVersions_apply(versions, record);
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

/* Decoding took half a second on small machines, in which a long configuration
 * was not sent on. */
START_TEST(long_config_is_put_in_force_after_what_is_due)
{
    set_up(TRUE);
    apply(CONFIG_KEY, "5", 1, 2);
    RouteVersions_noteCurrent(versions, 1);
    GString *text = g_string_new("6 ");
    while (text->len < LONG_BYTES) {
        g_string_append_c(text, ' ');
    }
    apply(CONFIG_KEY, text->str, 1, 3);
    apply(WEIGHTS_KEY, "4", 1, 4);
    RouteVersions_notePeerVersion(versions, 6);
    RouteVersions_noteCurrent(versions, Clock_nowMs());
    ck_assert(!RouteVersions_isBehind(versions));
    ck_assert_uint_eq(RouteVersions_inForce(versions), 5);
    ck_assert(!is_fresh());
    ck_assert_ptr_null(ModelVersions_findNewest(weights, "m"));
    run(1);
    ck_assert_uint_eq(RouteVersions_inForce(versions), 6);
    ck_assert_str_eq(ModelVersions_findNewest(weights, "m"), "4");
    ck_assert(is_fresh());
    g_string_free(text, TRUE);
    tear_down();
}
END_TEST

START_TEST(first_config_waits_for_a_peer_version)
{
    set_up(FALSE);
    apply(CONFIG_KEY, "5", 1, 2);
    ck_assert_uint_eq(RouteVersions_inForce(versions), 0);
    RouteVersions_notePeerVersion(versions, 5);
    ck_assert_uint_eq(RouteVersions_inForce(versions), 5);
    tear_down();
}
END_TEST

START_TEST(config_older_than_a_peers_is_never_in_force)
{
    set_up(FALSE);
    apply(CONFIG_KEY, "5", 1, 2);
    RouteVersions_noteCurrent(versions, Clock_nowMs());
    RouteVersions_notePeerVersion(versions, 7);
    run(PAST_PEER_WAIT_MS);
    ck_assert_uint_eq(RouteVersions_inForce(versions), 0);
    ck_assert_uint_eq(RouteVersions_newest(versions), 5);
    apply(CONFIG_KEY, "7", 0, 0);
    ck_assert_uint_eq(RouteVersions_inForce(versions), 7);
    ck_assert(is_fresh());
    tear_down();
}
END_TEST

START_TEST(without_peer_replies_the_stored_config_is_used)
{
    set_up(FALSE);
    apply(CONFIG_KEY, "5", 1, 2);
    RouteVersions_noteCurrent(versions, Clock_nowMs());
    run(PAST_PEER_WAIT_MS);
    ck_assert_uint_eq(RouteVersions_inForce(versions), 5);
    ck_assert(is_fresh());
    tear_down();
}
END_TEST

START_TEST(router_without_peers_does_not_wait)
{
    set_up(TRUE);
    apply(CONFIG_KEY, "5", 1, 2);
    ck_assert_uint_eq(RouteVersions_inForce(versions), 5);
    tear_down();
}
END_TEST

START_TEST(router_behind_its_peers_is_not_fresh)
{
    set_up(TRUE);
    apply(CONFIG_KEY, "5", 1, 2);
    RouteVersions_notePeerVersion(versions, 7);
    ck_assert(RouteVersions_isBehind(versions));
    RouteVersions_noteCurrent(versions, Clock_nowMs());
    ck_assert(!is_fresh());
    apply(CONFIG_KEY, "7", 0, 0);
    ck_assert(!RouteVersions_isBehind(versions));
    ck_assert(is_fresh());
    tear_down();
}
END_TEST

START_TEST(record_lost_by_the_store_is_kept_and_listed_as_lost)
{
    set_up(TRUE);
    apply(CONFIG_KEY, "7", 0, 9);
    apply(WEIGHTS_KEY, "3", 0, 8);
    apply(CONFIG_KEY, "5", 1, 2);
    apply(WEIGHTS_KEY, "2", 1, 3);
    ck_assert_uint_eq(RouteVersions_inForce(versions), 7);
    ck_assert_str_eq(ModelVersions_findNewest(weights, "m"), "3");
    GPtrArray *apart =
        RouteVersions_listLost(versions, (StorePosition_t){.epoch = 1});
    ck_assert_uint_eq(apart->len, 2);
    g_ptr_array_unref(apart);
    tear_down();
}
END_TEST

START_TEST(record_written_again_is_not_listed_as_lost)
{
    set_up(TRUE);
    apply(CONFIG_KEY, "7", 0, 9);
    apply(CONFIG_KEY, "5", 1, 2);
    apply(CONFIG_KEY, "7", 1, 3);
    apply(CONFIG_KEY, "7", 0, 0);
    GPtrArray *apart =
        RouteVersions_listLost(versions, (StorePosition_t){1, 3});
    ck_assert_uint_eq(apart->len, 0);
    g_ptr_array_unref(apart);
    apart = RouteVersions_listLost(versions, (StorePosition_t){1, 4});
    ck_assert_uint_eq(apart->len, 1);
    g_ptr_array_unref(apart);
    tear_down();
}
END_TEST

TESTING_MAIN("RouteVersions", long_config_is_put_in_force_after_what_is_due,
             first_config_waits_for_a_peer_version,
             config_older_than_a_peers_is_never_in_force,
             without_peer_replies_the_stored_config_is_used,
             router_without_peers_does_not_wait,
             router_behind_its_peers_is_not_fresh,
             record_lost_by_the_store_is_kept_and_listed_as_lost,
             record_written_again_is_not_listed_as_lost)
