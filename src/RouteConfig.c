#include "RouteConfig.h"

#include <string.h>

static void
free_route(gpointer data)
{
    Route_t *route = data;
    g_string_free(route->name, TRUE);
    g_string_free(route->host, TRUE);
    g_string_free(route->prefix, TRUE);
    g_array_unref(route->targets);
    g_free(route);
}

static void
clear_target(gpointer data)
{
    g_string_free(((RouteTarget_t *)data)->service, TRUE);
}

static void
free_string(gpointer string)
{
    g_string_free(string, TRUE);
}

static void
free_service(gpointer data)
{
    RouteService_t *service = data;
    g_string_free(service->name, TRUE);
    g_string_free(service->health_path, TRUE);
    g_ptr_array_unref(service->models);
    g_free(service);
}

static void
free_kv_store(gpointer data)
{
    RouteKvStore_t *store = data;
    g_string_free(store->name, TRUE);
    g_string_free(store->hall, TRUE);
    g_free(store);
}

static void
free_customer(gpointer data)
{
    RouteCustomer_t *customer = data;
    g_string_free(customer->name, TRUE);
    g_free(customer);
}

RouteConfig_t *
RouteConfig_create(guint64 version)
{
    RouteConfig_t *this = g_new0(RouteConfig_t, 1);
    this->version = version;
    this->routes = g_ptr_array_new_with_free_func(free_route);
    this->services =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_service);
    this->kv_stores = g_ptr_array_new_with_free_func(free_kv_store);
    this->customers = g_ptr_array_new_with_free_func(free_customer);
    this->keys = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    this->references = 1;
    return this;
}

RouteConfig_t *
RouteConfig_ref(RouteConfig_t *this)
{
    this->references++;
    return this;
}

void
RouteConfig_unref(RouteConfig_t *this)
{
    if (--this->references > 0) {
        return;
    }
    g_hash_table_destroy(this->keys);
    g_ptr_array_unref(this->customers);
    g_ptr_array_unref(this->kv_stores);
    g_hash_table_destroy(this->services);
    g_ptr_array_unref(this->routes);
    g_free(this);
}

Route_t *
RouteConfig_addRoute(RouteConfig_t *this, const char *name)
{
    Route_t *route = g_new0(Route_t, 1);
    route->name = g_string_new(name);
    route->host = g_string_new(NULL);
    route->prefix = g_string_new(NULL);
    route->max_attempts = 1;
    route->targets = g_array_new(FALSE, FALSE, sizeof(RouteTarget_t));
    g_array_set_clear_func(route->targets, clear_target);
    g_ptr_array_add(this->routes, route);
    return route;
}

void
Route_addTarget(Route_t *this, const char *service, guint weight)
{
    RouteTarget_t target = {g_string_new(service), weight};
    g_array_append_val(this->targets, target);
    this->weight_sum += weight;
}

RouteService_t *
RouteConfig_addService(RouteConfig_t *this, const char *name)
{
    RouteService_t *service = g_new0(RouteService_t, 1);
    service->name = g_string_new(name);
    service->health_path = g_string_new(NULL);
    service->models = g_ptr_array_new_with_free_func(free_string);
    g_hash_table_replace(this->services, service->name->str, service);
    return service;
}

RouteKvStore_t *
RouteConfig_addKvStore(RouteConfig_t *this, const char *name)
{
    RouteKvStore_t *store = g_new0(RouteKvStore_t, 1);
    store->name = g_string_new(name);
    store->hall = g_string_new(NULL);
    g_ptr_array_add(this->kv_stores, store);
    return store;
}

RouteCustomer_t *
RouteConfig_addCustomer(RouteConfig_t *this, const char *name)
{
    RouteCustomer_t *customer = g_new0(RouteCustomer_t, 1);
    customer->name = g_string_new(name);
    customer->rank = ROUTE_NO_RANK;
    g_ptr_array_add(this->customers, customer);
    return customer;
}

void
RouteConfig_addKey(RouteConfig_t *this, const char *key,
                   RouteCustomer_t *customer)
{
    g_hash_table_replace(this->keys, g_strdup(key), customer);
}

static gsize
host_length(const char *host)
{
    const char *colon = strrchr(host, ':');
    return colon ? (gsize)(colon - host) : strlen(host);
}

static gboolean
route_matches(const Route_t *route, const char *host, gsize length,
              const char *path)
{
    return route->host->len == length &&
           g_ascii_strncasecmp(route->host->str, host, length) == 0 &&
           g_str_has_prefix(path, route->prefix->str);
}

const Route_t *
RouteConfig_findRoute(const RouteConfig_t *this, const char *host,
                      const char *path)
{
    const Route_t *best = NULL;
    gsize length = host_length(host);
    for (guint i = 0; i < this->routes->len; i++) {
        const Route_t *route = g_ptr_array_index(this->routes, i);
        if (route_matches(route, host, length, path) &&
            (!best || route->prefix->len > best->prefix->len)) {
            best = route;
        }
    }
    return best;
}

const RouteCustomer_t *
RouteConfig_findCustomer(const RouteConfig_t *this, const char *key)
{
    return g_hash_table_lookup(this->keys, key);
}

const RouteService_t *
RouteConfig_findService(const RouteConfig_t *this, const char *name)
{
    return g_hash_table_lookup(this->services, name);
}

const char *
Route_pickTarget(const Route_t *this, guint32 draw)
{
    if (this->weight_sum == 0) {
        return this->targets->len > 0
                   ? g_array_index(this->targets, RouteTarget_t, 0)
                         .service->str
                   : NULL;
    }
    guint64 remainder = draw % this->weight_sum;
    for (guint i = 0; i < this->targets->len; i++) {
        const RouteTarget_t *target =
            &g_array_index(this->targets, RouteTarget_t, i);
        if (remainder < target->weight) {
            return target->service->str;
        }
        remainder -= target->weight;
    }
    return NULL;
}

const char *
Route_kindName(RouteKind_t kind)
{
    static const char *const names[] = {"repeatable", "once", "stream"};
    return names[kind];
}

gboolean
Route_isRepeatable(const Route_t *this)
{
    return this->kind == ROUTE_REPEATABLE ||
           (this->kind == ROUTE_STREAM && this->resumable);
}
