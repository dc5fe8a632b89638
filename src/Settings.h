#ifndef HEADER_Settings
#define HEADER_Settings
/**
 * DOC: Settings
 *
 * The settings of one router process, read from an INI file at its start: its
 * addresses and hall, its keys, the addresses of the platform, and its limits.
 * What operators change for all routers at once is declared instead
 * (Declarations.h). Sizes are in bytes and durations in milliseconds.
 */
#include <glib.h>

#include "KeyTable.h"

/**
 * enum PolicyName_t - values of [router] policy, in the order of its choices
 */
typedef enum {
    POLICY_PREFIX,
    POLICY_LEAST_LOADED,
    POLICY_ROUND_ROBIN,
    POLICY_HOME,
} PolicyName_t;

/**
 * enum LimitsName_t - values of [router] customer_limits, in the order of its
 * choices
 */
typedef enum {
    LIMITS_ASK,
    LIMITS_SHARE,
} LimitsName_t;

/**
 * enum PlatformName_t - values of [platform] form, in the order of its choices
 */
typedef enum {
    PLATFORM_NATIVE,
    PLATFORM_FLEET,
} PlatformName_t;

/**
 * struct RouterSection_t - [router]
 * @name: unique name of this router
 * @hall: hall of this router
 * @region: region of @hall
 * @halls: list of GString, all halls that may have upstreams
 * @hall_regions: list of GString, the region of each of @halls
 * @listen: address for callers
 * @ready_listen: additional address for readiness checks; empty host for none
 * @operator_listen: address for operators
 * @policy: a PolicyName_t
 * @customer_limits: a LimitsName_t
 * @stop_grace_ms: how long requests are still accepted after SIGTERM
 * @stop_limit_ms: how long open streams may continue after SIGTERM
 * @stop_kill_ms: when the platform kills it after SIGTERM; 0 if it does not
 * @link_mbit: rate of this instance's link; 0 for unknown
 * @bootstrap: path of declarations to start from, or NULL
 * @seed: seed of all random choices; 0 to get one from the system
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
    gint64 stop_kill_ms;
    gint64 link_mbit;
    GString *bootstrap;
    gint64 seed;
} RouterSection_t;

/**
 * struct KeysSection_t - [keys]
 * @seal: key that seals resume tokens
 * @salt: key of the cache salts
 * @operator_hash: BLAKE2b-256 hash of the operators' key
 */
typedef struct {
    GBytes *seal;
    GBytes *salt;
    GBytes *operator_hash;
} KeysSection_t;

/**
 * struct PeersSection_t - [peers]
 * @listen: address for other routers
 * @seeds: array of Address_t, addresses that other routers may listen on
 * @gossip_budget: largest gossip traffic sent, in bytes per second
 * @mesh_routers: largest number of routers that form a full mesh
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
 * @log: address of the append-only log
 * @instances: address of the list of instances of the native form
 * @log_timeout_ms: timeout of the log's answers
 * @log_poll_ms: how long the log may hold a read that has no new records
 * @instances_poll_ms: interval between reads of the list of instances
 * @command_timeout_ms: timeout of an operator's command
 * @snapshot_records: records of the configuration between two snapshots
 * @claim_horizon_ms: largest age of an Idempotency-Key
 * @lease_ms: how long the right to give orders lasts without a renewal
 * @order_timeout_ms: timeout of an engine's answer to an order
 * @weight_loads: engines of a region that may load weights at the same time
 * @load_percent: the same as a percentage of the engines; the larger of both
 *     limits applies
 * @first_start: whether no router of the platform ran before
 * @fencing: whether all engines refuse an order with an old fencing number
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
    gint64 first_start;
    gint64 fencing;
} PlatformSection_t;

/**
 * struct RelaySection_t - [relay], for platforms with routes
 * @config_change_limit_ms: time in which an accepted configuration must be in
 *     force
 * @config_max_age_ms: time since the configuration was last confirmed to be
 *     the newest, after which requests with a key are refused
 * @reader_wait_ms: how long the store may hold a read of the configuration by
 *     a router that reads on behalf of the others
 * @config_wait_ms: time without updates from peers after which a router that
 *     does not normally read the configuration reads it from the store
 * @leaving_limit_ms: time after the list says that an upstream is leaving, by
 *     which the upstream must get no new work
 * @listing_return_ms: how long an entry that lapsed during an outage of the
 *     list may take to be listed again after the outage
 * @weights_limit_ms: how long after a version of weights was announced a
 *     request may still begin on an older one
 * @move_wait_ms: how long the engine that a stream is moved to may take for
 * its first event
 * @refuse_late: whether to refuse a request whose answer is expected to begin
 *     later than the objective of its route
 * @partition_engines: whether dispatchers reserve engines for the urgent
 *     requests of a service
 * @probe_silent: whether a silent upstream stays in use until a probe of it
 *     was not answered
 * @resume_window_ms: how long a stream may be continued at another router
 */
typedef struct {
    gint64 config_max_age_ms;
    gint64 config_change_limit_ms;
    gint64 reader_wait_ms;
    gint64 config_wait_ms;
    gint64 leaving_limit_ms;
    gint64 listing_return_ms;
    gint64 weights_limit_ms;
    gint64 move_wait_ms;
    gint64 refuse_late;
    gint64 partition_engines;
    gint64 probe_silent;
    gint64 resume_window_ms;
} RelaySection_t;

/**
 * struct LimitsSection_t - [limits]
 * @max_body: largest body of a caller's request
 * @max_header: largest header of a caller's request or an upstream's answer
 * @read_timeout_ms: how long a caller may pause while it sends or receives
 * @connect_timeout_ms: timeout of a connection to an upstream
 * @first_token_timeout_ms: timeout of an upstream's first token or answer
 * @token_timeout_ms: timeout of each further token
 * @default_deadline_ms: deadline of a request that names none
 * @max_attempts: largest number of attempts of one request
 * @retry_percent: retries for each 100 requests for a target
 * @retry_allowance: further retries at a target, by all routers together
 * @backoff_ms: mean wait before the first retry; doubled for each further one
 * @stream_buffer: bytes buffered for a slow caller before the router pauses
 *     reading from the upstream
 * @event_max: largest event of a stream, in bytes
 * @answer_max: largest answer of a plain service, in bytes
 * @answers_max: bytes of all such answers that are buffered at a time
 * @resume_grace_ms: how long a stream continues after its caller left
 * @forwarded_open: open requests from which on no forwarded ones are taken
 * @idle_connections: idle connections pooled for each upstream
 * @idle_time_ms: longest idle time of a connection that is reused for a
 *     relayed request
 * @once_idle_time_ms: the same for a request that may run only once
 * @eject_failures: consecutive failures that eject an upstream
 * @eject_ms: length of the first ejection
 * @memory: bytes of memory that the process may use; 0 for no limit
 * @log_budget: bytes of log lines per second, 0 for no limit
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
    gint64 answers_max;
    gint64 resume_grace_ms;
    gint64 forwarded_open;
    gint64 idle_connections;
    gint64 idle_time_ms;
    gint64 once_idle_time_ms;
    gint64 eject_failures;
    gint64 eject_ms;
    gint64 memory;
    gint64 log_budget;
    gint64 log_level;
} LimitsSection_t;

/**
 * struct Settings_t - all sections
 * @path: path of the settings file, for Settings_reload()
 * @router: identity, addresses and policies of this router
 * @keys: secrets
 * @peers: the other routers
 * @platform: addresses and protocol of the platform
 * @relay: handling of relayed requests
 * @limits: limits of this router
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
 * Settings_create() - read and validate a settings file
 * @problems: receives every fault
 *
 * Return: the settings, or NULL if there is any fault
 */
Settings_t *Settings_create(const char *path, GPtrArray *problems);

/** RestartSettingHandler_t - called for each key whose new value takes effect
 * only after a restart */
typedef void (*RestartSettingHandler_t)(const char *section, const char *key,
                                        void *data);

/**
 * Settings_reload() - read the file again and apply the keys that may change
 * while the router runs
 * @problems: receives every fault; if there is any, nothing is applied
 * @on_restart_key: called for each other key whose value differs
 * @data: passed to @on_restart_key
 *
 * Return: FALSE if there is a fault
 */
gboolean Settings_reload(Settings_t *this, GPtrArray *problems,
                         RestartSettingHandler_t on_restart_key, void *data);

/** Settings_stopGraceMs() - how long requests are still accepted after
 * SIGTERM, with the time of the kill considered */
gint64 Settings_stopGraceMs(const Settings_t *this);

/** Settings_stopLimitMs() - how long open requests may continue after SIGTERM,
 * with the time of the kill considered */
gint64 Settings_stopLimitMs(const Settings_t *this);

/**
 * Settings_destroy() - free the settings
 */
void Settings_destroy(Settings_t *this);

/**
 * Settings_isSection() - whether a section name is one of a settings file
 */
gboolean Settings_isSection(const char *name);

/**
 * Settings_appendReference() - append a Markdown reference of all keys
 */
void Settings_appendReference(GString *out);

#endif
