#ifndef HEADER_PlatformForm
#define HEADER_PlatformForm
/**
 * DOC: PlatformForm
 *
 * The protocols and formats of one platform, as tables of functions: its
 * store, configuration, list of upstreams, and relayed requests. The settings
 * name the form that the program uses; no other code depends on one platform.
 */
#include <event2/event.h>

#include "LogClient.h"
#include "OrderForm.h"
#include "RecordSource.h"
#include "RelayForm.h"
#include "RouteConfig.h"
#include "StoreEpoch.h"
#include "UpstreamListing.h"

/**
 * struct PlatformForm_t - one platform
 * @name: name of the form in the settings
 * @settings_variable: variable of the environment in which the platform names
 *     the settings file; NULL if it has none
 * @create_log: creates a client of the platform's log
 * @create_records: creates a client of the platform's keyed topics
 * @decode_config: decodes a complete configuration; NULL with an error
 * @decode_upstream: decodes an entry of the list of upstreams
 * @decode_weights: decodes a named version of weights to model and version
 * @config_topic: keyed topic of the operators' records
 * @config_key: key of the configuration in @config_topic
 * @weights_prefix: prefix of the keys in @config_topic that name weights
 * @listing_topic: keyed topic of the list of upstreams
 * @crash_topic: keyed topic of quarantined requests, which the routers write
 * @fleet_topic: keyed topic of the number of routers, which the routers write
 * @software_topic: keyed topic of the software versions of services, which the
 *     routers write
 * @origin_topic: keyed topic of the streams that routers began, which they
 *     write
 * @caller: form of callers' requests
 * @upstream: form of upstreams' requests and answers
 * @peer: form of requests that are forwarded to another router; their orders
 *     name this router as the instance
 * @orders: form of orders to engines
 */
typedef struct PlatformForm {
    const char *name;
    const char *settings_variable;
    LogClient_t *(*create_log)(struct event_base *base,
                               const Address_t *address, gint64 timeout_ms,
                               StoreEpoch_t *epoch);
    RecordSource_t *(*create_records)(struct event_base *base,
                                      const Address_t *address,
                                      gint64 timeout_ms, StoreEpoch_t *epoch);
    RouteConfig_t *(*decode_config)(GBytes *value, GError **error);
    ListedUpstreamDecode_t decode_upstream;
    gboolean (*decode_weights)(GBytes *value, GString *model, guint64 *version,
                               GError **error);
    const char *config_topic;
    const char *config_key;
    const char *weights_prefix;
    const char *listing_topic;
    const char *crash_topic;
    const char *software_topic;
    const char *origin_topic;
    const char *fleet_topic;
    const RelayCallerForm_t *caller;
    const RelayUpstreamForm_t *upstream;
    const RelayUpstreamForm_t *peer;
    const OrderForm_t *orders;
} PlatformForm_t;

#endif
