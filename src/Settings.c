#include "Settings.h"

#include <stddef.h>
#include <string.h>

#include "IniFile.h"
#include "Log.h"
#include "Problem.h"
#include "TextFile.h"

#define HOUR_MS 3600000
/* With a shorter time there is no room for the margins of a stop. */
#define STOP_KILL_MIN_MS 1000
/* Share of the time until the router is killed in which it takes requests; the
 * rest is for those to end. */
#define STOP_GRACE_PERCENT 35
/* Time between the end of the router and the kill. */
#define STOP_MARGIN_MS 200
/* A larger file is refused, as callers wait while it is read. */
#define SETTINGS_FILE_MAX ((gsize)256 * 1024)
#define KEY_BYTES 32

#define R(member) offsetof(RouterSection_t, member)
static const KeySpec_t router_keys[] = {
    {"name", KEY_NAME, TRUE, NULL, 0, 0, NULL, R(name),
     "Unique name of this router."},
    {"hall", KEY_NAME, TRUE, NULL, 0, 0, NULL, R(hall),
     "Hall of this router."},
    {"region", KEY_NAME, TRUE, NULL, 0, 0, NULL, R(region),
     "Region of the hall."},
    {"halls", KEY_NAMES, FALSE, "", 0, 0, NULL, R(halls),
     "All halls that may have upstreams, needed if the platform's list gives "
     "the hall of an upstream but not its region; empty if all halls are in "
     "this router's region."},
    {"hall_regions", KEY_NAMES, FALSE, "", 0, 0, NULL, R(hall_regions),
     "Region of each of the halls in halls, in the same order."},
    {"listen", KEY_ADDRESS, TRUE, NULL, 0, 0, NULL, R(listen),
     "Address for callers and the load balancer."},
    {"ready_listen", KEY_ADDRESS, FALSE, NULL, 0, 0, NULL, R(ready_listen),
     "Additional address for a load balancer's readiness checks; used only if "
     "the platform's form has routes."},
    {"operator_listen", KEY_ADDRESS, TRUE, NULL, 0, 0, NULL,
     R(operator_listen), "Address for operators' RPCs and /metrics."},
    {"policy", KEY_CHOICE, FALSE, "prefix", 0, 0,
     "prefix,least_loaded,round_robin,home", R(policy),
     "How an upstream is chosen: prefix is for engines that report their "
     "caches, home for engines that don't; least_loaded and round_robin are "
     "baselines for comparison."},
    {"customer_limits", KEY_CHOICE, FALSE, "ask", 0, 0, "ask,share",
     R(customer_limits),
     "How a customer's limit is enforced over all routers: with ask, one "
     "router "
     "per customer counts and the others query it; with share, each router "
     "admits its share of the limit."},
    {"stop_grace", KEY_DURATION, FALSE, "2s", 0, HOUR_MS, NULL,
     R(stop_grace_ms),
     "After SIGTERM: how long requests are still accepted while the router "
     "reports that it is not ready.",
     KEY_LIVE},
    {"stop_limit", KEY_DURATION, FALSE, "10m", 0, HOUR_MS, NULL,
     R(stop_limit_ms), "After SIGTERM: how long open streams may continue.",
     KEY_LIVE},
    {"stop_kill", KEY_DURATION, FALSE, "0s", 0, HOUR_MS, NULL, R(stop_kill_ms),
     "After SIGTERM: when the platform kills the router, at least 1s; 0 if it "
     "does not. stop_grace is then at most 35 % of it, and stop_limit ends "
     "200 ms before it.",
     KEY_LIVE},
    {"link_mbit", KEY_INTEGER, FALSE, "0", 0, G_MAXINT32, NULL, R(link_mbit),
     "Rate of this instance's link, in Mbit/s; 0 for unknown. Routers with "
     "faster links read from the store what all routers need."},
    {"bootstrap", KEY_TEXT, FALSE, NULL, 0, 0, NULL, R(bootstrap),
     "File or directory of declarations to serve from while neither the log "
     "nor a peer has answered."},
    {"seed", KEY_INTEGER, FALSE, "0", 0, G_MAXINT32, NULL, R(seed),
     "Seed of all random choices; 0 gets one from the system."},
    {NULL},
};
#undef R

#define K(member) offsetof(KeysSection_t, member)
static const KeySpec_t keys_keys[] = {
    {"seal", KEY_HEX, TRUE, NULL, KEY_BYTES, KEY_BYTES, NULL, K(seal),
     "Key that seals resume tokens; the same on all routers."},
    {"salt", KEY_HEX, TRUE, NULL, KEY_BYTES, KEY_BYTES, NULL, K(salt),
     "Key of the cache salts; the same on all routers."},
    {"operator_hash", KEY_HEX, TRUE, NULL, KEY_BYTES, KEY_BYTES, NULL,
     K(operator_hash),
     "BLAKE2b-256 of the operators' key (`wheattiller hash-key`)."},
    {NULL},
};
#undef K

#define E(member) offsetof(PeersSection_t, member)
static const KeySpec_t peers_keys[] = {
    {"listen", KEY_ADDRESS, TRUE, NULL, 0, 0, NULL, E(listen),
     "Address for other routers."},
    {"seeds", KEY_ADDRESSES, FALSE, "", 0, 0, NULL, E(seeds),
     "Addresses that other routers may listen on; one router that answers is "
     "enough to learn the others."},
    {"gossip_budget", KEY_SIZE, FALSE, "3000B", 500, 1 << 20, NULL,
     E(gossip_budget),
     "Largest gossip traffic sent, in bytes per second; updates about routers "
     "get a further quarter of it, of which up to two minutes' worth "
     "accumulates.",
     KEY_LIVE},
    {"mesh_routers", KEY_INTEGER, FALSE, "16", 1, 1000, NULL, E(mesh_routers),
     "Largest number of routers that form a full mesh, in which each router "
     "sends its load to all others. With more routers, each is linked with "
     "only "
     "some of the others, and one router places the requests for each group "
     "of "
     "engines.",
     KEY_LIVE},
    {NULL},
};
#undef E

#define P(member) offsetof(PlatformSection_t, member)
static const KeySpec_t platform_keys[] = {
    {"form", KEY_CHOICE, FALSE, "native", 0, 0, "native,fleet", P(form),
     "Protocol of the platform: native is the one of the project's own "
     "stand-ins and is configured by declarations, fleet is the one of the "
     "users' platform, which has its own routes."},
    {"log", KEY_ADDRESS, TRUE, NULL, 0, 0, NULL, P(log),
     "Address of the append-only log service."},
    {"instances", KEY_ADDRESS, TRUE, NULL, 0, 0, NULL, P(instances),
     "Address of the list of live and leaving instances."},
    {"log_timeout", KEY_DURATION, FALSE, "2s", 10, HOUR_MS, NULL,
     P(log_timeout_ms),
     "How long an answer of the log may take. A read of the users' platform "
     "is repeated after that, and its late answer is used all the same."},
    {"log_poll", KEY_DURATION, FALSE, "10s", 10, HOUR_MS, NULL, P(log_poll_ms),
     "How long the log may hold a read until there are new records."},
    {"instances_poll", KEY_DURATION, FALSE, "500ms", 10, HOUR_MS, NULL,
     P(instances_poll_ms), "Interval between reads of the list of instances."},
    {"command_timeout", KEY_DURATION, FALSE, "5s", 10, HOUR_MS, NULL,
     P(command_timeout_ms),
     "How long an operator's command may take before its outcome is reported "
     "as unknown."},
    {"snapshot_records", KEY_INTEGER, FALSE, "500", 2, 1 << 20, NULL,
     P(snapshot_records),
     "Number of records of the configuration after which a snapshot is "
     "appended; the log must retain several times as many.",
     KEY_LIVE},
    {"claim_horizon", KEY_DURATION, FALSE, "30m", 1000, HOUR_MS, NULL,
     P(claim_horizon_ms),
     "Largest age of an Idempotency-Key; the log must retain claims longer."},
    {"lease", KEY_DURATION, FALSE, "10s", 500, HOUR_MS, NULL, P(lease_ms),
     "How long the right to give orders lasts without a renewal."},
    {"order_timeout", KEY_DURATION, FALSE, "2s", 50, HOUR_MS, NULL,
     P(order_timeout_ms),
     "How long an engine's answer to an order may take; well below lease."},
    {"weight_loads", KEY_INTEGER, FALSE, "2", 1, 10000, NULL, P(weight_loads),
     "Number of engines of a region that may load weights at the same time.",
     KEY_LIVE},
    {"load_percent", KEY_INTEGER, FALSE, "0", 0, 100, NULL, P(load_percent),
     "The same limit as weight_loads, as a percentage of the engines; the "
     "larger of both applies.",
     KEY_LIVE},
    {"first_start", KEY_CHOICE, FALSE, "false", 0, 0, "false,true",
     P(first_start),
     "Whether no router of the platform ran before: what the store does not "
     "have did not exist.",
     KEY_LIVE},
    {"fencing", KEY_CHOICE, FALSE, "false", 0, 0, "false,true", P(fencing),
     "Whether all engines refuse an order with an old fencing number; if so, "
     "another router can give orders as soon as this one stops.",
     KEY_LIVE},
    {NULL},
};
#undef P

#define A(member) offsetof(RelaySection_t, member)
static const KeySpec_t relay_keys[] = {
    {"config_max_age", KEY_DURATION, FALSE, "3500ms", 100, HOUR_MS, NULL,
     A(config_max_age_ms),
     "Requests with a key are refused if the configuration was last confirmed "
     "to be the newest longer ago than this; must be well below the time in "
     "which a revoked key must stop working.",
     KEY_LIVE},
    {"config_change_limit", KEY_DURATION, FALSE, "3s", 100, HOUR_MS, NULL,
     A(config_change_limit_ms),
     "Time in which an accepted configuration must be in force. A router "
     "whose configuration may be outdated for longer refuses no route and key "
     "as unknown, and nothing is served by one that is known to be.",
     KEY_LIVE},
    {"reader_wait", KEY_DURATION, FALSE, "700ms", 10, HOUR_MS, NULL,
     A(reader_wait_ms),
     "How long the store may hold a read of the configuration by one of the "
     "few routers that read on behalf of all; must be well below "
     "config_max_age.",
     KEY_LIVE},
    {"config_wait", KEY_DURATION, FALSE, "8s", 10, HOUR_MS, NULL,
     A(config_wait_ms),
     "The other routers receive the configuration and its age from peers; a "
     "router that has received no update for this long reads the store "
     "itself.",
     KEY_LIVE},
    {"leaving_limit", KEY_DURATION, FALSE, "2s", 200, HOUR_MS, NULL,
     A(leaving_limit_ms),
     "Time after the list says that an upstream is leaving, by which the "
     "upstream must get no new work; determines how often the list is read.",
     KEY_LIVE},
    {"listing_return", KEY_DURATION, FALSE, "2500ms", 0, HOUR_MS, NULL,
     A(listing_return_ms),
     "After an outage of the list of upstreams: how long an entry that lapsed "
     "during the outage may take to be listed again.",
     KEY_LIVE},
    {"weights_limit", KEY_DURATION, FALSE, "10s", 3000, HOUR_MS, NULL,
     A(weights_limit_ms),
     "How long after a version of weights was announced a request may still "
     "begin on an older one.",
     KEY_LIVE},
    {"move_wait", KEY_DURATION, FALSE, "350ms", 10, HOUR_MS, NULL,
     A(move_wait_ms),
     "How long the engine that a stream is moved to may take for its first "
     "event; after that, the stream stays on its engine. Must be below the "
     "time "
     "for which two engines may both generate the stream.",
     KEY_LIVE},
    {"refuse_late", KEY_CHOICE, FALSE, "no", 0, 0, "no,yes", A(refuse_late),
     "Whether a request is refused at once if no engine is expected to begin "
     "the answer within the objective of the request's route.",
     KEY_LIVE},
    {"partition_engines", KEY_CHOICE, FALSE, "no", 0, 0, "no,yes",
     A(partition_engines),
     "Whether the dispatcher of a group of engines reserves some of them for "
     "urgent requests, admits requests by rank and customer, and tells the "
     "others when to return. Takes effect for a service whose routes have "
     "different ranks, while a prompt of the less urgent takes an engine "
     "longer than the objective of the most urgent.",
     KEY_LIVE},
    {"probe_silent", KEY_CHOICE, FALSE, "no", 0, 0, "no,yes", A(probe_silent),
     "Whether an upstream that is silent for longer than first_token_timeout "
     "or token_timeout stays in use until a probe of it was not answered; "
     "otherwise it gets no work until it has answered one. Under high load "
     "live upstreams are silent because they are busy.",
     KEY_LIVE},
    {"resume_window", KEY_DURATION, FALSE, "30s", 100, HOUR_MS, NULL,
     A(resume_window_ms),
     "How long after its last event a caller may continue a stream at any "
     "router: the longest time that callers wait. The software version that "
     "began it is remembered for so long.",
     KEY_LIVE},
    {NULL},
};
#undef A

#define L(member) offsetof(LimitsSection_t, member)
static const KeySpec_t limits_keys[] = {
    {"max_body", KEY_SIZE, FALSE, "4MiB", 1024, 1 << 30, NULL, L(max_body),
     "Largest body of a caller's request.", KEY_LIVE},
    {"max_header", KEY_SIZE, FALSE, "16KiB", 1024, 1 << 20, NULL,
     L(max_header),
     "Largest header of a caller's request, or of an upstream's answer.",
     KEY_LIVE},
    {"read_timeout", KEY_DURATION, FALSE, "30s", 100, HOUR_MS, NULL,
     L(read_timeout_ms),
     "How long a caller may pause while it sends or receives, and how long "
     "the head of a request may take; a whole request may take a second more "
     "for each KiB.",
     KEY_LIVE},
    {"connect_timeout", KEY_DURATION, FALSE, "1s", 10, HOUR_MS, NULL,
     L(connect_timeout_ms), "How long a connection to an upstream may take.",
     KEY_LIVE},
    {"first_token_timeout", KEY_DURATION, FALSE, "30s", 10, HOUR_MS, NULL,
     L(first_token_timeout_ms),
     "How long an upstream may take for its first token or answer.", KEY_LIVE},
    {"token_timeout", KEY_DURATION, FALSE, "5s", 10, HOUR_MS, NULL,
     L(token_timeout_ms), "How long an upstream may pause within a stream.",
     KEY_LIVE},
    {"default_deadline", KEY_DURATION, FALSE, "2m", 10, HOUR_MS, NULL,
     L(default_deadline_ms), "Deadline of a request that names none.",
     KEY_LIVE},
    {"max_attempts", KEY_INTEGER, FALSE, "4", 1, 16, NULL, L(max_attempts),
     "Largest number of attempts of one request.", KEY_LIVE},
    {"retry_percent", KEY_INTEGER, FALSE, "20", 0, 100, NULL, L(retry_percent),
     "Retries allowed for each 100 requests for a target.", KEY_LIVE},
    {"retry_allowance", KEY_INTEGER, FALSE, "10", 0, 100000, NULL,
     L(retry_allowance),
     "Further retries that all routers together may make at a target.",
     KEY_LIVE},
    {"backoff", KEY_DURATION, FALSE, "20ms", 0, HOUR_MS, NULL, L(backoff_ms),
     "Mean wait before the first retry; doubled for each further one.",
     KEY_LIVE},
    {"stream_buffer", KEY_SIZE, FALSE, "256KiB", 1024, 1 << 28, NULL,
     L(stream_buffer),
     "Bytes buffered for a slow caller in the router, and as many in the "
     "kernel, up to 64 KiB, before the router pauses reading from the "
     "upstream. Fewer while memory is short.",
     KEY_LIVE},
    {"event_max", KEY_SIZE, FALSE, "1MiB", 1024, 1 << 28, NULL, L(event_max),
     "Largest event of a stream, or largest frame that carries events; a "
     "larger "
     "one ends the attempt. An event holds one token, some hundred bytes; the "
     "default is a limit that parsers of such streams commonly have.",
     KEY_LIVE},
    {"answer_max", KEY_SIZE, FALSE, "16MiB", 1024, 1 << 28, NULL,
     L(answer_max),
     "Largest answer of a plain service; a larger one ends the attempt, as "
     "the "
     "router buffers the complete answer before it sends it to the caller.",
     KEY_LIVE},
    {"answers_max", KEY_SIZE, FALSE, "16MiB", 1024, 1 << 30, NULL,
     L(answers_max),
     "Bytes of all such answers that are buffered at a time. While they are "
     "used up, an answer of more than 64 KiB ends the attempt. Incomplete "
     "events, and what callers of streams have not read, have this bound as "
     "well.",
     KEY_LIVE},
    {"resume_grace", KEY_DURATION, FALSE, "3s", 0, HOUR_MS, NULL,
     L(resume_grace_ms),
     "How long a stream continues after its caller left, so that the caller "
     "can resume it at any router.",
     KEY_LIVE},
    {"forwarded_open", KEY_INTEGER, FALSE, "512", 0, 1 << 20, NULL,
     L(forwarded_open),
     "A router takes requests that other routers forward only while it has "
     "fewer open requests, so that its own callers come first.",
     KEY_LIVE},
    {"idle_connections", KEY_INTEGER, FALSE, "32", 0, 4096, NULL,
     L(idle_connections),
     "Largest number of idle connections pooled for each upstream.", KEY_LIVE},
    {"idle_time", KEY_DURATION, FALSE, "4s", 0, HOUR_MS, NULL, L(idle_time_ms),
     "Longest idle time of a pooled connection that is reused for a relayed "
     "request.",
     KEY_LIVE},
    {"once_idle_time", KEY_DURATION, FALSE, "300ms", 0, HOUR_MS, NULL,
     L(once_idle_time_ms),
     "Like idle_time, for a request that may run only once; shorter, as the "
     "upstream may have closed the connection in the meantime.",
     KEY_LIVE},
    {"eject_failures", KEY_INTEGER, FALSE, "3", 1, 1000, NULL,
     L(eject_failures), "Consecutive failures that eject an upstream.",
     KEY_LIVE},
    {"eject_time", KEY_DURATION, FALSE, "2s", 10, HOUR_MS, NULL, L(eject_ms),
     "How long an ejected upstream gets no work; doubled for each further "
     "ejection.",
     KEY_LIVE},
    {"memory", KEY_SIZE, FALSE, "96MiB", 0, G_GINT64_CONSTANT(1) << 40, NULL,
     L(memory),
     "Memory that the process may use, or what the system's limits of its "
     "address space and data leave if that is less. 65 % of it is for bodies "
     "of requests; further ones are read once there is room. 0 for no limit "
     "but the system's.",
     KEY_LIVE},
    {"log_budget", KEY_SIZE, FALSE, "64KiB", 0, 1 << 30, NULL, L(log_budget),
     "Bytes of log lines written per second, averaged over four seconds; a "
     "quarter is reserved for warnings and errors. 0 for no limit.",
     KEY_LIVE},
    {"log_level", KEY_INTEGER, FALSE, "6", LOG_LEVEL_ERROR, LOG_LEVEL_DEBUG,
     NULL, L(log_level),
     "Least severe lines that are written, as a syslog level: 3 errors, 4 "
     "warnings, 6 outcomes of requests and changes in what the router knows "
     "of "
     "upstreams and peers, 7 where requests are placed and why; --verbose is "
     "7.",
     KEY_LIVE},
    {NULL},
};
#undef L

typedef struct {
    SectionSpec_t spec;
    gsize offset;
} SettingsSection_t;

static const SettingsSection_t settings_sections[] = {
    {{"router", router_keys, sizeof(RouterSection_t), "This router."},
     offsetof(Settings_t, router)},
    {{"keys", keys_keys, sizeof(KeysSection_t),
      "Keys as hex digits; the same on all routers that work together."},
     offsetof(Settings_t, keys)},
    {{"peers", peers_keys, sizeof(PeersSection_t), "The other routers."},
     offsetof(Settings_t, peers)},
    {{"platform", platform_keys, sizeof(PlatformSection_t),
      "Protocol and addresses of the platform's services."},
     offsetof(Settings_t, platform)},
    {{"relay", relay_keys, sizeof(RelaySection_t),
      "Relayed requests; used only if the platform's form has routes."},
     offsetof(Settings_t, relay)},
    {{"limits", limits_keys, sizeof(LimitsSection_t),
      "Limits of one router: sizes, times and counts."},
     offsetof(Settings_t, limits)},
};

static const SettingsSection_t *
find_section(const char *name)
{
    for (gsize i = 0; i < G_N_ELEMENTS(settings_sections); i++) {
        if (strcmp(settings_sections[i].spec.name, name) == 0) {
            return &settings_sections[i];
        }
    }
    return NULL;
}

gboolean
Settings_isSection(const char *name)
{
    return find_section(name) != NULL;
}

static void
reject_unknown_sections(const IniFile_t *ini, GPtrArray *problems)
{
    g_auto(GStrv) names = IniFile_sections(ini);
    for (guint i = 0; names[i]; i++) {
        if (!find_section(names[i])) {
            Problems_add(problems, PROBLEM_UNKNOWN_SECTION, IniFile_path(ini),
                         IniFile_line(ini, names[i], NULL), names[i], NULL,
                         NULL);
        }
    }
}

static void
check_halls(const Settings_t *this, const IniFile_t *ini, GPtrArray *problems)
{
    const RouterSection_t *router = &this->router;
    if (!router->halls || !router->hall_regions ||
        router->halls->len == router->hall_regions->len) {
        return;
    }
    Problems_add(problems, PROBLEM_BAD_VALUE, IniFile_path(ini),
                 IniFile_line(ini, "router", "hall_regions"), "router",
                 "hall_regions", "must have as many names as halls");
}

static void
check_stop(const Settings_t *this, const IniFile_t *ini, GPtrArray *problems)
{
    gint64 kill_ms = this->router.stop_kill_ms;
    if (kill_ms > 0 && kill_ms < STOP_KILL_MIN_MS) {
        Problems_add(problems, PROBLEM_BAD_VALUE, IniFile_path(ini),
                     IniFile_line(ini, "router", "stop_kill"), "router",
                     "stop_kill", "must be 0 or at least 1s");
    }
}

static IniFile_t *
read_file(const char *path, TextFileKind_t kind, GPtrArray *problems)
{
    gsize length = 0;
    g_autoptr(GError) error = NULL;
    g_autofree char *text =
        TextFile_read(path, kind, SETTINGS_FILE_MAX, &length, &error);
    if (!text) {
        Problems_add(problems, PROBLEM_UNREADABLE, path, 0, NULL, NULL,
                     error->message);
        return NULL;
    }
    return IniFile_parse(path, text, length, problems);
}

static Settings_t *
load(const char *path, TextFileKind_t kind, GPtrArray *problems)
{
    guint problems_before = problems->len;
    IniFile_t *ini = read_file(path, kind, problems);
    if (!ini) {
        return NULL;
    }
    Settings_t *this = g_new0(Settings_t, 1);
    this->path = g_string_new(path);
    reject_unknown_sections(ini, problems);
    for (gsize i = 0; i < G_N_ELEMENTS(settings_sections); i++) {
        const SectionSpec_t *spec = &settings_sections[i].spec;
        GHashTable *fields = IniFile_fields(ini, spec->name);
        KeyPlace_t place = {ini, spec->name};
        KeyTable_fill(spec, fields, place,
                      (char *)this + settings_sections[i].offset, problems);
        g_hash_table_destroy(fields);
    }
    check_halls(this, ini, problems);
    check_stop(this, ini, problems);
    IniFile_destroy(ini);
    if (problems->len > problems_before) {
        Settings_destroy(this);
        return NULL;
    }
    return this;
}

Settings_t *
Settings_create(const char *path, GPtrArray *problems)
{
    return load(path, TEXT_FILE_ANY, problems);
}

/* Runs on the event loop, which must not wait for a writer. */
gboolean
Settings_reload(Settings_t *this, GPtrArray *problems,
                RestartSettingHandler_t on_restart_key, void *data)
{
    Settings_t *updated = load(this->path->str, TEXT_FILE_REGULAR, problems);
    if (!updated) {
        return FALSE;
    }
    for (gsize i = 0; i < G_N_ELEMENTS(settings_sections); i++) {
        const SectionSpec_t *spec = &settings_sections[i].spec;
        g_autoptr(GPtrArray) restart_keys = g_ptr_array_new();
        KeyTable_applyLive(spec, (char *)this + settings_sections[i].offset,
                           (char *)updated + settings_sections[i].offset,
                           restart_keys);
        for (guint k = 0; k < restart_keys->len; k++) {
            const KeySpec_t *key = g_ptr_array_index(restart_keys, k);
            on_restart_key(spec->name, key->name, data);
        }
    }
    Settings_destroy(updated);
    return TRUE;
}

void
Settings_destroy(Settings_t *this)
{
    g_string_free(this->path, TRUE);
    for (gsize i = 0; i < G_N_ELEMENTS(settings_sections); i++) {
        KeyTable_clear(&settings_sections[i].spec,
                       (char *)this + settings_sections[i].offset);
    }
    g_free(this);
}

void
Settings_appendReference(GString *out)
{
    for (gsize i = 0; i < G_N_ELEMENTS(settings_sections); i++) {
        KeyTable_appendReference(&settings_sections[i].spec, out);
    }
}

gint64
Settings_stopGraceMs(const Settings_t *this)
{
    const RouterSection_t *router = &this->router;
    gint64 share_ms = router->stop_kill_ms * STOP_GRACE_PERCENT / 100;
    return router->stop_kill_ms > 0 ? MIN(router->stop_grace_ms, share_ms)
                                    : router->stop_grace_ms;
}

gint64
Settings_stopLimitMs(const Settings_t *this)
{
    const RouterSection_t *router = &this->router;
    gint64 last_ms = router->stop_kill_ms - STOP_MARGIN_MS;
    return router->stop_kill_ms > 0 ? MIN(router->stop_limit_ms, last_ms)
                                    : router->stop_limit_ms;
}
