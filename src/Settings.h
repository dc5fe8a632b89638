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
 * enum PlatformName_t - the words of [platform] form, in their order
 */
typedef enum {
    PLATFORM_NATIVE,
    PLATFORM_FLEET,
} PlatformName_t;

/**
 * struct RouterSection_t - [router]
 */
typedef struct {
    GString *name;
    GString *hall;
    GString *region;
    Address_t listen;
    Address_t ready_listen;
    Address_t operator_listen;
    gint64 policy;
    gint64 stop_grace_ms;
    gint64 stop_limit_ms;
    GString *bootstrap;
    gint64 seed;
} RouterSection_t;

/**
 * struct KeysSection_t - [keys]
 */
typedef struct {
    GBytes *seal;
    GBytes *salt;
    GBytes *operator_hash;
} KeysSection_t;

/**
 * struct PeersSection_t - [peers]; @gossip_budget in bytes a second
 */
typedef struct {
    Address_t listen;
    GArray *seeds;
    gint64 gossip_budget;
} PeersSection_t;

/**
 * struct PlatformSection_t - [platform]
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
 * struct RelaySection_t - [relay]
 */
typedef struct {
    gint64 config_max_age_ms;
    gint64 reader_wait_ms;
    gint64 config_wait_ms;
    gint64 leaving_limit_ms;
    gint64 listing_return_ms;
    gint64 weights_limit_ms;
} RelaySection_t;

/**
 * struct LimitsSection_t - [limits]
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
    gint64 resume_grace_ms;
    gint64 idle_connections;
    gint64 idle_time_ms;
    gint64 once_idle_time_ms;
    gint64 eject_failures;
    gint64 eject_ms;
    gint64 log_budget;
} LimitsSection_t;

/**
 * struct Settings_t - all sections
 * @path: of the file that they were read from
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

/**
 * Settings_reload() - read the file again and take what may change while the
 * router runs: the sections [relay] and [limits]
 * @problems: gets every fault; where there is any, nothing is taken
 *
 * Return: FALSE where there is a fault
 */
gboolean Settings_reload(Settings_t *this, GPtrArray *problems);

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
