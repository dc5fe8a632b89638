#ifndef HEADER_RouteConfig
#define HEADER_RouteConfig
/**
 * DOC: RouteConfig
 *
 * One whole version of a configuration made of routes: which requests go to
 * which service, who may send them, and how long they may take. It is built
 * once by a decoder, never changed afterwards, and counted by reference, so
 * that a request keeps the version that it began under.
 */
#include <glib.h>

#include "KeyTable.h"
#include "TokenBucket.h"

/**
 * enum RouteKind_t - what may be done with a route's requests
 * @ROUTE_REPEATABLE: running one again does no harm
 * @ROUTE_ONCE: each runs at most once
 * @ROUTE_STREAM: answered by a stream of events
 */
typedef enum {
    ROUTE_REPEATABLE,
    ROUTE_ONCE,
    ROUTE_STREAM,
} RouteKind_t;

/**
 * struct RouteTarget_t - a service that gets a share of a route's requests
 * @service: its name
 * @weight: its share, relative to those of the others
 */
typedef struct {
    GString *service;
    guint weight;
} RouteTarget_t;

/**
 * struct Route_t - one route
 * @name: for logs and counters
 * @host: value of the Host header, without a port
 * @prefix: start of the path; the longest one that fits counts
 * @kind: what may be done with its requests
 * @resumable: a stream may go on at another upstream
 * @needs_key: the request must carry a customer's key
 * @by_prefix: placed by the prefix of its prompt
 * @time_limit_ms: longest time that a request may take, 0 for none
 * @objective_ms: time to the answer, or the first event, that is aimed at
 * @pause_ms: longest pause between events that is aimed at
 * @rank: 0 is served first
 * @max_attempts: upstreams that one request may be sent to
 * @targets: RouteTarget_t
 * @weight_sum: of all targets
 */
typedef struct {
    GString *name;
    GString *host;
    GString *prefix;
    RouteKind_t kind;
    gboolean resumable;
    gboolean needs_key;
    gboolean by_prefix;
    gint64 time_limit_ms;
    gint64 objective_ms;
    gint64 pause_ms;
    guint rank;
    guint max_attempts;
    GArray *targets;
    guint64 weight_sum;
} Route_t;

/**
 * struct RouteCustomer_t - a customer
 * @name: its name
 * @rank: goes before that of the route; ROUTE_NO_RANK for none
 * @shares_cache: its cached prefixes may serve others of the same kind
 * @limit: what it may ask of all routers together
 * @by_tokens: @limit counts tokens, else requests
 * @plain_tokens: that a request counts for which names none
 */
typedef struct {
    GString *name;
    guint rank;
    gboolean shares_cache;
    RateLimit_t limit;
    gboolean by_tokens;
    guint plain_tokens;
} RouteCustomer_t;

/** Rank of a customer that has none of its own */
#define ROUTE_NO_RANK G_MAXUINT

/**
 * struct RouteService_t - a service that routes lead to
 * @name: its name
 * @health_path: where its upstreams answer for their health
 * @max_connections: that one upstream takes from all routers together
 * @slots: requests that one engine works on at once, 0 for a plain service
 * @cache_tokens: that one engine's memory holds, 0 for a plain service
 * @token_bytes: of a cached token, 0 for unknown
 * @link_mbit: that one engine's link carries in a second, in Mbit; 0 for
 *     unknown
 * @models: names of the models of its engines, GString *
 */
typedef struct {
    GString *name;
    GString *health_path;
    guint max_connections;
    guint slots;
    guint cache_tokens;
    guint token_bytes;
    guint link_mbit;
    GPtrArray *models;
} RouteService_t;

/**
 * struct RouteKvStore_t - a store of cached prefixes beside the engines
 * @name: its name
 * @address: where engines reach it
 * @hall: where it stands
 * @cache_tokens: that it holds
 * @link_mbit: that its link carries in a second, in Mbit; 0 for unknown
 */
typedef struct {
    GString *name;
    Address_t address;
    GString *hall;
    guint cache_tokens;
    guint link_mbit;
} RouteKvStore_t;

/**
 * struct RouteConfig_t - a whole version
 * @version: grows with each change
 * @routes: Route_t *
 * @services: name to RouteService_t *
 * @kv_stores: RouteKvStore_t *
 * @customers: RouteCustomer_t *
 * @keys: key to RouteCustomer_t * of @customers
 * @max_header: largest head of a request, in bytes
 * @max_body: largest body of a request, in bytes
 * @header_timeout_ms: longest time that a head may take to come
 * @idle_timeout_ms: longest rest of a caller's connection
 * @references: by which it is held
 */
typedef struct {
    guint64 version;
    GPtrArray *routes;
    GHashTable *services;
    GPtrArray *kv_stores;
    GPtrArray *customers;
    GHashTable *keys;
    gint64 max_header;
    gint64 max_body;
    gint64 header_timeout_ms;
    gint64 idle_timeout_ms;
    guint references;
} RouteConfig_t;

/** RouteConfig_create() - an empty version, with one reference */
RouteConfig_t *RouteConfig_create(guint64 version);

/** RouteConfig_ref() - one more reference */
RouteConfig_t *RouteConfig_ref(RouteConfig_t *this);

/** RouteConfig_unref() - free it with its last reference */
void RouteConfig_unref(RouteConfig_t *this);

/** RouteConfig_addRoute() - a new route, owned by the configuration */
Route_t *RouteConfig_addRoute(RouteConfig_t *this, const char *name);

/** Route_addTarget() - give a service a share of a route's requests */
void Route_addTarget(Route_t *this, const char *service, guint weight);

/** RouteConfig_addService() - a new service, owned by the configuration */
RouteService_t *RouteConfig_addService(RouteConfig_t *this, const char *name);

/** RouteConfig_addKvStore() - a new store, owned by the configuration */
RouteKvStore_t *RouteConfig_addKvStore(RouteConfig_t *this, const char *name);

/** RouteConfig_addCustomer() - a new customer, owned by the configuration */
RouteCustomer_t *RouteConfig_addCustomer(RouteConfig_t *this,
                                         const char *name);

/** RouteConfig_addKey() - let a key name a customer */
void RouteConfig_addKey(RouteConfig_t *this, const char *key,
                        RouteCustomer_t *customer);

/**
 * RouteConfig_findRoute() - the route of a request
 * @host: Host header; a port is passed over
 * @path: without its query
 *
 * Return: the host's route with the longest prefix that fits, or NULL
 */
const Route_t *RouteConfig_findRoute(const RouteConfig_t *this,
                                     const char *host, const char *path);

/** RouteConfig_findCustomer() - whose key it is, or NULL */
const RouteCustomer_t *RouteConfig_findCustomer(const RouteConfig_t *this,
                                                const char *key);

/** RouteConfig_findService() - by name, or NULL */
const RouteService_t *RouteConfig_findService(const RouteConfig_t *this,
                                              const char *name);

/**
 * Route_pickTarget() - the service that a request goes to
 * @draw: any number; the weights split its remainder
 *
 * Return: NULL where the route has no target
 */
const char *Route_pickTarget(const Route_t *this, guint32 draw);

/** Route_kindName() - "repeatable", "once" or "stream", for logs */
const char *Route_kindName(RouteKind_t kind);

#endif
