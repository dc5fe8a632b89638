#include "RouteServices.h"

#include <string.h>

/* Longest part of a host or prefix in a name, as the keys of records on the
 * store are short. Routes that differ only beyond it share what is noted. */
#define NAME_PART_MAX "100"

struct RouteServices {
    SoftwareVersions_t *versions;
    GHashTable *targets; /* names of the targets that are in force */
};

static char *
name_route(const Route_t *route)
{
    return g_strdup_printf("route:%." NAME_PART_MAX "s%." NAME_PART_MAX "s",
                           route->host->str, route->prefix->str);
}

RouteServices_t *
RouteServices_create(SoftwareVersions_t *versions)
{
    RouteServices_t *this = g_new0(RouteServices_t, 1);
    this->versions = versions;
    this->targets =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    return this;
}

void
RouteServices_destroy(RouteServices_t *this)
{
    g_hash_table_destroy(this->targets);
    g_free(this);
}

static void
put_route(const RouteServices_t *this, const Route_t *route,
          GHashTable *targets, gint64 now_ms)
{
    g_autofree char *name = name_route(route);
    for (guint i = 0; i < route->targets->len; i++) {
        const RouteTarget_t *target =
            &g_array_index(route->targets, RouteTarget_t, i);
        char *target_name =
            g_strdup_printf("%s %s", name, target->service->str);
        SoftwareVersions_putTarget(this->versions, target_name, name,
                                   target->service->str, now_ms);
        g_hash_table_add(targets, target_name);
    }
}

static void
remove_former(const RouteServices_t *this, GHashTable *targets, gint64 now_ms)
{
    GHashTableIter iter;
    gpointer name = NULL;
    g_hash_table_iter_init(&iter, this->targets);
    while (g_hash_table_iter_next(&iter, &name, NULL)) {
        if (!g_hash_table_contains(targets, name)) {
            SoftwareVersions_remove(this->versions, name, now_ms);
        }
    }
}

/* Former targets are removed last, so that a route never seems to have had
 * none. */
void
RouteServices_update(RouteServices_t *this, const RouteConfig_t *config,
                     gint64 now_ms)
{
    GHashTable *targets =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    for (guint i = 0; i < config->routes->len; i++) {
        const Route_t *route = g_ptr_array_index(config->routes, i);
        if (route->resumable) {
            put_route(this, route, targets, now_ms);
        }
    }
    remove_former(this, targets, now_ms);
    g_hash_table_destroy(this->targets);
    this->targets = targets;
}

gboolean
RouteServices_hasOnly(const SoftwareVersions_t *versions, const Route_t *route,
                      const char *service, gint64 window_ms, gint64 now_ms)
{
    g_autofree char *name = name_route(route);
    const char *only =
        SoftwareVersions_findOnly(versions, name, window_ms, now_ms);
    return only && strcmp(only, service) == 0;
}
