#include "testing.h"

#include "RouteUrgency.h"

static RouteConfig_t *config;

static void
begin(void)
{
    config = RouteConfig_create(1);
}

static void
end(void)
{
    RouteConfig_unref(config);
}

static Route_t *
add_route(const char *service, guint rank, gint64 objective_ms)
{
    Route_t *route = RouteConfig_addRoute(config, "route");
    Route_addTarget(route, "other", 1);
    Route_addTarget(route, service, 1);
    route->by_prefix = TRUE;
    route->rank = rank;
    route->objective_ms = objective_ms;
    return route;
}

START_TEST(routes_of_the_first_rank_are_urgent)
{
    begin();
    const Route_t *last = add_route("llm", 3, 100);
    const Route_t *first = add_route("llm", 1, 400);
    add_route("llm", 1, 250);
    add_route("llm", 1, 0);
    RouteUrgency_t urgency = RouteUrgency_find(config, "llm");
    ck_assert_uint_eq(urgency.rank, 1);
    ck_assert_int_eq(urgency.objective_ms, 250);
    ck_assert(RouteUrgency_covers(&urgency, first));
    ck_assert(!RouteUrgency_covers(&urgency, last));
    end();
}
END_TEST

START_TEST(no_route_is_urgent_among_equal_ranks)
{
    begin();
    const Route_t *route = add_route("llm", 2, 250);
    add_route("llm", 2, 1500);
    RouteUrgency_t urgency = RouteUrgency_find(config, "llm");
    ck_assert_int_eq(urgency.objective_ms, 0);
    ck_assert(!RouteUrgency_covers(&urgency, route));
    end();
}
END_TEST

START_TEST(no_route_is_urgent_without_an_objective)
{
    begin();
    const Route_t *route = add_route("llm", 0, 0);
    add_route("llm", 1, 1500);
    RouteUrgency_t urgency = RouteUrgency_find(config, "llm");
    ck_assert_int_eq(urgency.objective_ms, 0);
    ck_assert(!RouteUrgency_covers(&urgency, route));
    end();
}
END_TEST

START_TEST(routes_of_other_services_and_kinds_do_not_count)
{
    begin();
    add_route("llm", 2, 250);
    add_route("chat", 0, 100);
    Route_t *plain = add_route("llm", 0, 100);
    plain->by_prefix = FALSE;
    RouteUrgency_t urgency = RouteUrgency_find(config, "llm");
    ck_assert_int_eq(urgency.objective_ms, 0);
    add_route("llm", 3, 1500);
    urgency = RouteUrgency_find(config, "llm");
    ck_assert_uint_eq(urgency.rank, 2);
    ck_assert_int_eq(urgency.objective_ms, 250);
    ck_assert(!RouteUrgency_covers(&urgency, plain));
    urgency = RouteUrgency_find(config, "unknown");
    ck_assert_int_eq(urgency.objective_ms, 0);
    end();
}
END_TEST

TESTING_MAIN("RouteUrgency", routes_of_the_first_rank_are_urgent,
             no_route_is_urgent_among_equal_ranks,
             no_route_is_urgent_without_an_objective,
             routes_of_other_services_and_kinds_do_not_count)
