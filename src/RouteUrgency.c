#include "RouteUrgency.h"

static gboolean
has_target(const Route_t *route, const char *service)
{
    for (guint i = 0; i < route->targets->len; i++) {
        const RouteTarget_t *target =
            &g_array_index(route->targets, RouteTarget_t, i);
        if (g_str_equal(target->service->str, service)) {
            return TRUE;
        }
    }
    return FALSE;
}

/* The routes of a service that were looked at so far. */
typedef struct {
    guint count;
    guint rank_min;
    guint rank_max;
    gint64 objective_ms; /* shortest of the routes of @rank_min; 0 for none */
} Found_t;

static gint64
shorter_objective(gint64 a_ms, gint64 b_ms)
{
    if (a_ms == 0 || b_ms == 0) {
        return MAX(a_ms, b_ms);
    }
    return MIN(a_ms, b_ms);
}

static void
add_route(Found_t *found, const Route_t *route)
{
    if (found->count == 0 || route->rank < found->rank_min) {
        found->rank_min = route->rank;
        found->objective_ms = 0;
    }
    if (route->rank == found->rank_min) {
        found->objective_ms =
            shorter_objective(found->objective_ms, route->objective_ms);
    }
    found->rank_max = MAX(found->rank_max, route->rank);
    found->count++;
}

RouteUrgency_t
RouteUrgency_find(const RouteConfig_t *config, const char *service)
{
    Found_t found = {0};
    for (guint i = 0; i < config->routes->len; i++) {
        const Route_t *route = config->routes->pdata[i];
        if (route->by_prefix && has_target(route, service)) {
            add_route(&found, route);
        }
    }
    gboolean differs = found.rank_min != found.rank_max;
    return (RouteUrgency_t){found.rank_min, differs ? found.objective_ms : 0};
}

gboolean
RouteUrgency_covers(const RouteUrgency_t *this, const Route_t *route)
{
    return this->objective_ms > 0 && route->by_prefix &&
           route->rank == this->rank;
}
