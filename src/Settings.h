#ifndef HEADER_Settings
#define HEADER_Settings
/**
 * DOC: Settings
 *
 * What one router process is told at its start, from an INI file: its
 * addresses and hall, its keys, where the platform is, and its limits.
 * Everything that operators change while it runs is declared instead
 * (Declarations.h). Sizes are in bytes and durations in milliseconds.
 */
#include <glib.h>

#include "KeyTable.h"

/**
 * enum PolicyName_t - the words of [router] policy, in their order
 */
typedef enum {
    POLICY_PREFIX,
    POLICY_LEAST_LOADED,
    POLICY_ROUND_ROBIN,
    POLICY_HOME,
} PolicyName_t;

/**
 * enum LimitsName_t - the words of [router] customer_limits, in their order
 */
typedef enum {
    LIMITS_ASK,
    LIMITS_SHARE,
} LimitsName_t;

/**
 * enum PlatformName_t - the words of [platform] form, in their order
 */
typedef enum {
    PLATFORM_NATIVE,
    PLATFORM_FLEET,
} PlatformName_t;

/**
 * struct RouterSection_t - [router]
 * @name: unlike any other router's
 * @hall: that this router stands in
 * @region: of the hall
 * @halls: GString *, all that upstreams may stand in
 * @hall_regions: GString *, region of each of @halls
 * @listen: where callers connect
 * @ready_listen: where readiness is asked for besides; no host for none
 * @operator_listen: where operators connect
 * @policy: a PolicyName_t
 * @customer_limits: a LimitsName_t
 * @stop_grace_ms: how long requests are still taken after SIGTERM
 * @stop_limit_ms: how long open streams may go on after SIGTERM
 * @bootstrap: path of declarations to start from, or NULL
 * @seed: of all random choices; 0 for one of the system
 */
typedef struct {
    GString *name;
    GString *hall;
    GString *region;
    GPtrArray *halls;
    GPtrArray *hall_regions;
    Address_t listen;
    Address_t ready_listen;
    Address_t operator_listen;
    gint64 policy;
    gint64 customer_limits;
    gint64 stop_grace_ms;
    gint64 stop_limit_ms;
    GString *bootstrap;
    gint64 seed;
} RouterSection_t;

/**
 * struct KeysSection_t - [keys]
 * @seal: of resume tokens
 * @salt: of cache salts
 * @operator_hash: of the operators' key
 */
typedef struct {
    GBytes *seal;
    GBytes *salt;
    GBytes *operator_hash;
} KeysSection_t;

/**
 * struct PeersSection_t - [peers]
 * @listen: where other routers connect
 * @seeds: Address_t, where other routers may listen
 * @gossip_budget: in bytes a second
 * @mesh_routers: up to so many routers all are linked with all
 */
typedef struct {
    Address_t listen;
    GArray *seeds;
    gint64 gossip_budget;
    gint64 mesh_routers;
} PeersSection_t;

/**
 * struct PlatformSection_t - [platform]
 * @form: a PlatformName_t
 * @log: the append-only log
 * @instances: the list of instances of the native form
 * @log_timeout_ms: for an answer of the log
 * @log_poll_ms: how long the log may hold a read
 * @instances_poll_ms: time between two reads of the list of instances
 * @command_timeout_ms: for an operator's command
 * @snapshot_records: records of the configuration between two snapshots
 * @claim_horizon_ms: oldest age of an Idempotency-Key
 * @lease_ms: how long the right to give orders lasts without a renewal
 * @order_timeout_ms: for an engine's answer to an order
 * @weight_loads: engines of a region that load weights at once, at the least
 * @load_percent: share of the engines that may load at once, where it is more
 * @fencing: all engines refuse an order with an old fencing number
 */
typedef struct {
    gint64 form;
    Address_t log;
    Address_t instances;
    gint64 log_timeout_ms;
    gint64 log_poll_ms;
    gint64 instances_poll_ms;
    gint64 command_timeout_ms;
    gint64 snapshot_records;
    gint64 claim_horizon_ms;
    gint64 lease_ms;
    gint64 order_timeout_ms;
    gint64 weight_loads;
    gint64 load_percent;
    gint64 fencing;
} PlatformSection_t;

/**
 * struct RelaySection_t - [relay], for platforms with routes
 * @config_max_age_ms: requests with a key are refused once it is longer ago
 *     that the configuration was known to be the newest
 * @reader_wait_ms: how long the store may hold a read of the configuration by
 *     a router that asks for the others
 * @config_wait_ms: so long after the last news from peers another router
 *     asks for itself
 * @leaving_limit_ms: how soon after the list says that an upstream leaves it
 *     must get no new work
 * @listing_return_ms: how long after an outage of the list an entry that has
 *     lapsed may take to come back
 * @weights_limit_ms: how long after a version was named a request may still
 *     begin on an older one
 * @move_wait_ms: how long the engine that a stream is moved to may take to its
 *     first event
 * @refuse_late: a request is refused where its answer is expected to begin
 *     later than its route aims at
 */
typedef struct {
    gint64 config_max_age_ms;
    gint64 reader_wait_ms;
    gint64 config_wait_ms;
    gint64 leaving_limit_ms;
    gint64 listing_return_ms;
    gint64 weights_limit_ms;
    gint64 move_wait_ms;
    gint64 refuse_late;
} RelaySection_t;

/**
 * struct LimitsSection_t - [limits]
 * @max_body: of a caller's request
 * @max_header: of a caller's request
 * @read_timeout_ms: how long a caller may pause while it sends or is sent to
 * @connect_timeout_ms: for a connection to an upstream
 * @first_token_timeout_ms: for an upstream's first token or answer
 * @token_timeout_ms: for each further token
 * @default_deadline_ms: of a request that names none
 * @max_attempts: of one request
 * @retry_percent: retries for each 100 requests for a target
 * @retry_allowance: retries beyond that, of all routers together
 * @backoff_ms: mean wait before the first retry; doubled for each further one
 * @stream_buffer: that waits for a slow caller before its upstream is held
 * @event_max: of one event of a stream, in bytes
 * @answer_max: of one answer of a plain service, in bytes
 * @resume_grace_ms: how long a stream goes on after its caller left
 * @idle_connections: kept for each upstream
 * @idle_time_ms: longest rest of a connection that takes a relayed request
 * @once_idle_time_ms: the same for a request that may run only once
 * @eject_failures: in a row
 * @eject_ms: length of the first ejection
 * @log_budget: bytes of log lines a second, 0 for no bound
 * @log_level: least severe LogLevel_t that is written
 */
typedef struct {
    gint64 max_body;
    gint64 max_header;
    gint64 read_timeout_ms;
    gint64 connect_timeout_ms;
    gint64 first_token_timeout_ms;
    gint64 token_timeout_ms;
    gint64 default_deadline_ms;
    gint64 max_attempts;
    gint64 retry_percent;
    gint64 retry_allowance;
    gint64 backoff_ms;
    gint64 stream_buffer;
    gint64 event_max;
    gint64 answer_max;
    gint64 resume_grace_ms;
    gint64 idle_connections;
    gint64 idle_time_ms;
    gint64 once_idle_time_ms;
    gint64 eject_failures;
    gint64 eject_ms;
    gint64 log_budget;
    gint64 log_level;
} LimitsSection_t;

/**
 * struct Settings_t - all sections
 * @path: of the file that they were read from
 * @router: see RouterSection_t, and so on
 * @keys: secrets
 * @peers: the other routers
 * @platform: where it is and how it is spoken to
 * @relay: of relayed requests
 * @limits: of one router
 */
typedef struct {
    GString *path;
    RouterSection_t router;
    KeysSection_t keys;
    PeersSection_t peers;
    PlatformSection_t platform;
    RelaySection_t relay;
    LimitsSection_t limits;
} Settings_t;

/**
 * Settings_create() - read and check a settings file
 * @path: the file
 * @problems: gets every fault
 *
 * Return: the settings, or NULL where there is any fault
 */
Settings_t *Settings_create(const char *path, GPtrArray *problems);

/** SettingWaits_t - called for each key that waits for a restart */
typedef void (*SettingWaits_t)(const char *section, const char *key,
                               void *data);

/**
 * Settings_reload() - read the file again and take the keys that may change
 * while the router runs
 * @problems: gets every fault; where there is any, nothing is taken
 * @waits: called for each other key whose value differs
 *
 * Return: FALSE where there is a fault
 */
gboolean Settings_reload(Settings_t *this, GPtrArray *problems,
                         SettingWaits_t waits, void *data);

/**
 * Settings_destroy() - free them
 */
void Settings_destroy(Settings_t *this);

/**
 * Settings_isSection() - whether a section belongs into a settings file
 */
gboolean Settings_isSection(const char *name);

/**
 * Settings_reference() - append the reference of all keys in Markdown
 */
void Settings_reference(GString *out);

#endif
