#include "testing.h"

#include "RouteTable.h"

static Route_t *
add_route(RouteConfig_t *config, const char *host, const char *prefix)
{
    Route_t *route = RouteConfig_addRoute(config, prefix);
    g_string_assign(route->host, host);
    g_string_assign(route->prefix, prefix);
    return route;
}

START_TEST(longest_matching_prefix_of_the_host_wins)
{
    RouteConfig_t *config = RouteConfig_create(1);
    const Route_t *root = add_route(config, "a.example", "/");
    const Route_t *deep = add_route(config, "a.example", "/x/y/");
    add_route(config, "b.example", "/x/y/z/");
    ck_assert_ptr_eq(RouteConfig_findRoute(config, "a.example", "/x/y/z/1"),
                     deep);
    ck_assert_ptr_eq(RouteConfig_findRoute(config, "A.example:80", "/x/y"),
                     root);
    ck_assert_ptr_null(RouteConfig_findRoute(config, "c.example", "/x/y/"));
    RouteConfig_unref(config);
}
END_TEST

START_TEST(weights_split_requests)
{
    RouteConfig_t *config = RouteConfig_create(1);
    Route_t *route = add_route(config, "a", "/");
    guint counts[2] = {0, 0};
    ck_assert_ptr_null(Route_pickTarget(route, 5));
    Route_addTarget(route, "one", 90);
    Route_addTarget(route, "two", 10);
    for (guint32 draw = 0; draw < 1000; draw++) {
        counts[*Route_pickTarget(route, draw) == 't']++;
    }
    ck_assert_uint_eq(counts[0], 900);
    ck_assert_uint_eq(counts[1], 100);
    RouteConfig_unref(config);
}
END_TEST

START_TEST(key_identifies_its_customer)
{
    RouteConfig_t *config = RouteConfig_create(1);
    RouteCustomer_t *customer = RouteConfig_addCustomer(config, "c");
    RouteConfig_addKey(config, "k1", customer);
    ck_assert_ptr_eq(RouteConfig_findCustomer(config, "k1"), customer);
    ck_assert_ptr_null(RouteConfig_findCustomer(config, "k2"));
    RouteConfig_unref(config);
}
END_TEST

START_TEST(table_ignores_older_versions)
{
    RouteTable_t *table = RouteTable_create();
    ck_assert(RouteTable_update(table, RouteConfig_create(7)));
    ck_assert(!RouteTable_update(table, RouteConfig_create(7)));
    ck_assert(!RouteTable_update(table, RouteConfig_create(3)));
    ck_assert_uint_eq(RouteTable_config(table)->version, 7);
    ck_assert(RouteTable_update(table, RouteConfig_create(8)));
    RouteTable_destroy(table);
}
END_TEST

START_TEST(current_time_never_decreases)
{
    RouteTable_t *table = RouteTable_create();
    ck_assert_int_eq(RouteTable_ageMs(table, 100), G_MAXINT64);
    RouteTable_noteCurrent(table, 1000);
    RouteTable_noteCurrent(table, 400);
    ck_assert_int_eq(RouteTable_ageMs(table, 1500), 500);
    RouteTable_destroy(table);
}
END_TEST

START_TEST(reference_keeps_a_replaced_version)
{
    RouteTable_t *table = RouteTable_create();
    RouteTable_update(table, RouteConfig_create(1));
    RouteConfig_t *held = RouteConfig_ref(RouteTable_config(table));
    RouteTable_update(table, RouteConfig_create(2));
    ck_assert_uint_eq(held->version, 1);
    RouteConfig_unref(held);
    RouteTable_destroy(table);
}
END_TEST

TESTING_MAIN("RouteConfig", longest_matching_prefix_of_the_host_wins,
             weights_split_requests, key_identifies_its_customer,
             table_ignores_older_versions, current_time_never_decreases,
             reference_keeps_a_replaced_version)
