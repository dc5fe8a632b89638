#ifndef HEADER_RouteConfig
#define HEADER_RouteConfig
/**
 * DOC: RouteConfig
 *
 * One complete version of a configuration made of routes: which requests go to
 * which service, who may send them, and how long they may take. A decoder
 * builds it once; it is immutable afterwards and reference-counted, so that a
 * request keeps the version under which it began.
 */
#include <glib.h>

#include "KeyTable.h"
#include "TokenBucket.h"

/**
 * enum RouteKind_t - how the requests of a route may be executed
 * @ROUTE_REPEATABLE: a request may run more than once
 * @ROUTE_ONCE: a request runs at most once
 * @ROUTE_STREAM: the answer is a stream of events
 */
typedef enum {
    ROUTE_REPEATABLE,
    ROUTE_ONCE,
    ROUTE_STREAM,
} RouteKind_t;

/**
 * struct RouteTarget_t - a service that gets a share of a route's requests
 * @service: name of the service
 * @weight: share relative to the weights of the route's other targets
 */
typedef struct {
    GString *service;
    guint weight;
} RouteTarget_t;

/**
 * struct Route_t - one route
 * @name: name in logs and counters
 * @host: value of the Host header, without a port
 * @prefix: prefix of the path; the route with the longest match is used
 * @kind: how the requests may be executed
 * @resumable: a stream may continue on another upstream
 * @needs_key: the request must carry a customer's key
 * @by_prefix: requests are placed by the prefix of their prompt
 * @time_limit_ms: maximum duration of a request; 0 for none
 * @objective_ms: target for the time to the answer, or to the first event
 * @pause_ms: target for the longest pause between events
 * @rank: rank of the requests; 0 is served first
 * @max_attempts: maximum number of upstreams that a request is sent to
 * @targets: array of RouteTarget_t
 * @weight_sum: sum of the weights of @targets
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
 * @name: the customer's name
 * @rank: overrides the rank of the route; ROUTE_NO_RANK for none
 * @shares_cache: cached prefixes are shared with the other customers that set
 *     this
 * @limit: rate limit over all routers together
 * @by_tokens: @limit counts tokens; requests if FALSE
 * @plain_tokens: tokens charged for a request that states no number of tokens
 */
typedef struct {
    GString *name;
    guint rank;
    gboolean shares_cache;
    RateLimit_t limit;
    gboolean by_tokens;
    guint plain_tokens;
} RouteCustomer_t;

/** @rank of a customer that does not override the rank of the route */
#define ROUTE_NO_RANK G_MAXUINT

/**
 * struct RouteService_t - a service that is the target of routes
 * @name: the service's name
 * @health_path: path of the health check of its upstreams
 * @max_connections: maximum connections to one upstream from all routers
 *     together
 * @slots: requests that one engine processes at once; 0 for a plain service
 * @cache_tokens: capacity of one engine's cache in tokens; 0 for a plain
 *     service
 * @token_bytes: size of one cached token; 0 for unknown
 * @link_mbit: bandwidth of one engine's link in Mbit/s; 0 for unknown
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
 * struct RouteKvStore_t - a store of cached prefixes outside the engines
 * @name: the store's name
 * @address: address at which engines reach the store
 * @hall: hall of the store
 * @cache_tokens: capacity in tokens
 * @link_mbit: bandwidth of the store's link in Mbit/s; 0 for unknown
 */
typedef struct {
    GString *name;
    Address_t address;
    GString *hall;
    guint cache_tokens;
    guint link_mbit;
} RouteKvStore_t;

/**
 * struct RouteConfig_t - one complete version of the configuration
 * @version: increases with each change
 * @routes: Route_t *
 * @services: name -> RouteService_t *
 * @kv_stores: RouteKvStore_t *
 * @customers: RouteCustomer_t *
 * @keys: key -> RouteCustomer_t * of @customers
 * @max_header: maximum size of a request's head, in bytes
 * @max_body: maximum size of a request's body, in bytes
 * @header_timeout_ms: timeout for receiving a request's head
 * @idle_timeout_ms: timeout of a caller's idle connection
 * @references: reference count
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

/** RouteConfig_create() - create an empty version with one reference */
RouteConfig_t *RouteConfig_create(guint64 version);

/** RouteConfig_ref() - add a reference */
RouteConfig_t *RouteConfig_ref(RouteConfig_t *this);

/** RouteConfig_unref() - drop a reference; the last one frees the version */
void RouteConfig_unref(RouteConfig_t *this);

/** RouteConfig_addRoute() - add a route, owned by the configuration */
Route_t *RouteConfig_addRoute(RouteConfig_t *this, const char *name);

/** Route_addTarget() - add a service that gets a share of the requests */
void Route_addTarget(Route_t *this, const char *service, guint weight);

/** RouteConfig_addService() - add a service, owned by the configuration */
RouteService_t *RouteConfig_addService(RouteConfig_t *this, const char *name);

/** RouteConfig_addKvStore() - add a store, owned by the configuration */
RouteKvStore_t *RouteConfig_addKvStore(RouteConfig_t *this, const char *name);

/** RouteConfig_addCustomer() - add a customer, owned by the configuration */
RouteCustomer_t *RouteConfig_addCustomer(RouteConfig_t *this,
                                         const char *name);

/** RouteConfig_addKey() - map a key to a customer */
void RouteConfig_addKey(RouteConfig_t *this, const char *key,
                        RouteCustomer_t *customer);

/**
 * RouteConfig_findRoute() - find the route of a request
 * @host: value of the Host header; a port is ignored
 * @path: path without the query
 *
 * Return: the host's route with the longest matching prefix, or NULL
 */
const Route_t *RouteConfig_findRoute(const RouteConfig_t *this,
                                     const char *host, const char *path);

/** RouteConfig_findCustomer() - the customer of a key, or NULL */
const RouteCustomer_t *RouteConfig_findCustomer(const RouteConfig_t *this,
                                                const char *key);

/** RouteConfig_findService() - the service of a name, or NULL */
const RouteService_t *RouteConfig_findService(const RouteConfig_t *this,
                                              const char *name);

/**
 * Route_pickTarget() - choose the service for a request by the weights
 * @draw: random number; its remainder modulo @weight_sum selects the target
 *
 * Return: the service's name; NULL if the route has no target
 */
const char *Route_pickTarget(const Route_t *this, guint32 draw);

/** Route_isRepeatable() - whether its requests may run more than once */
gboolean Route_isRepeatable(const Route_t *this);

/** Route_kindName() - "repeatable", "once" or "stream", for logs */
const char *Route_kindName(RouteKind_t kind);

#endif
