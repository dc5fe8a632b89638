#ifndef HEADER_PlatformForm
#define HEADER_PlatformForm
/**
 * DOC: PlatformForm
 *
 * All that one platform speaks, behind tables of functions: its store, its
 * configuration, its list of upstreams, and the relayed requests. The
 * program is given the form that its settings name; nothing else knows it.
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
 * @name: as the setting has it
 * @create_log: client of its log
 * @create_records: client of its keyed topics
 * @decode_config: a whole configuration, or NULL with an error
 * @decode_upstream: an entry of the list of upstreams
 * @decode_weights: a named version of weights: model and version
 * @config_topic: keyed topic of the operators' records
 * @config_key: its record that holds the configuration
 * @weights_prefix: start of the keys of its records that name weights
 * @listing_topic: keyed topic of the list of upstreams
 * @crash_topic: keyed topic of requests that are held back, which is ours
 * @caller: form of callers' requests
 * @upstream: form of upstreams' requests and answers
 * @orders: form of orders to engines
 */
typedef struct PlatformForm {
    const char *name;
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
    const RelayCallerForm_t *caller;
    const RelayUpstreamForm_t *upstream;
    const OrderForm_t *orders;
} PlatformForm_t;

#endif
