#include "Settings.h"

#include <stddef.h>
#include <string.h>

#include "IniFile.h"
#include "Log.h"
#include "Problem.h"

#define HOUR_MS 3600000
#define KEY_BYTES 32

#define R(member) offsetof(RouterSection_t, member)
static const KeySpec_t router_keys[] = {
    {"name", KEY_NAME, TRUE, NULL, 0, 0, NULL, R(name),
     "Name of this router, unlike any other's."},
    {"hall", KEY_NAME, TRUE, NULL, 0, 0, NULL, R(hall),
     "Hall that the instance stands in."},
    {"region", KEY_NAME, TRUE, NULL, 0, 0, NULL, R(region),
     "Region of the hall."},
    {"halls", KEY_NAMES, FALSE, "", 0, 0, NULL, R(halls),
     "All halls that upstreams may stand in, where the platform's list names "
     "the hall of an upstream but not its region; empty where all are of this "
     "router's region."},
    {"hall_regions", KEY_NAMES, FALSE, "", 0, 0, NULL, R(hall_regions),
     "Region of each of halls, in the same order."},
    {"listen", KEY_ADDRESS, TRUE, NULL, 0, 0, NULL, R(listen),
     "Where callers and the balancer connect."},
    {"ready_listen", KEY_ADDRESS, FALSE, NULL, 0, 0, NULL, R(ready_listen),
     "Where a balancer asks for readiness, if not at listen; only where the "
     "platform's form has routes."},
    {"operator_listen", KEY_ADDRESS, TRUE, NULL, 0, 0, NULL,
     R(operator_listen), "Where operators' RPCs and /metrics are served."},
    {"policy", KEY_CHOICE, FALSE, "prefix", 0, 0,
     "prefix,least_loaded,round_robin,home", R(policy),
     "How an upstream is chosen: prefix is for engines that report their "
     "caches, home for those that don't; the others are baselines."},
    {"customer_limits", KEY_CHOICE, FALSE, "ask", 0, 0, "ask,share",
     R(customer_limits),
     "Who knows what a customer has taken of its limit: with ask one router "
     "for each customer, with share each router lets in its part."},
    {"stop_grace", KEY_DURATION, FALSE, "2s", 0, HOUR_MS, NULL,
     R(stop_grace_ms),
     "After SIGTERM: not ready, but still taking requests, for so long.",
     KEY_LIVE},
    {"stop_limit", KEY_DURATION, FALSE, "10m", 0, HOUR_MS, NULL,
     R(stop_limit_ms), "After SIGTERM: open streams may go on for so long.",
     KEY_LIVE},
    {"bootstrap", KEY_TEXT, FALSE, NULL, 0, 0, NULL, R(bootstrap),
     "File or directory of declarations to serve from while neither the log "
     "nor a peer has answered."},
    {"seed", KEY_INTEGER, FALSE, "0", 0, G_MAXINT32, NULL, R(seed),
     "Seed of jitter and choice; 0 takes one from the system."},
    {NULL},
};
#undef R

#define K(member) offsetof(KeysSection_t, member)
static const KeySpec_t keys_keys[] = {
    {"seal", KEY_HEX, TRUE, NULL, KEY_BYTES, KEY_BYTES, NULL, K(seal),
     "Seals resume tokens; the same on all routers."},
    {"salt", KEY_HEX, TRUE, NULL, KEY_BYTES, KEY_BYTES, NULL, K(salt),
     "Keys the cache salts; the same on all routers."},
    {"operator_hash", KEY_HEX, TRUE, NULL, KEY_BYTES, KEY_BYTES, NULL,
     K(operator_hash),
     "BLAKE2b-256 of the operators' key (`wheattiller hash-key`)."},
    {NULL},
};
#undef K

#define E(member) offsetof(PeersSection_t, member)
static const KeySpec_t peers_keys[] = {
    {"listen", KEY_ADDRESS, TRUE, NULL, 0, 0, NULL, E(listen),
     "Where other routers connect."},
    {"seeds", KEY_ADDRESSES, FALSE, "", 0, 0, NULL, E(seeds),
     "Where other routers may listen; one that answers tells of the rest."},
    {"gossip_budget", KEY_SIZE, FALSE, "3000B", 500, 1 << 20, NULL,
     E(gossip_budget),
     "Most bytes of gossip sent in a second; a quarter as much again for news "
     "of routers, which is saved up for two minutes.",
     KEY_LIVE},
    {"mesh_routers", KEY_INTEGER, FALSE, "16", 1, 1000, NULL, E(mesh_routers),
     "Up to so many routers are linked with all others and tell each other "
     "their loads; more of them are linked with a few, and one places for "
     "each group of engines.",
     KEY_LIVE},
    {NULL},
};
#undef E

#define P(member) offsetof(PlatformSection_t, member)
static const KeySpec_t platform_keys[] = {
    {"form", KEY_CHOICE, FALSE, "native", 0, 0, "native,fleet", P(form),
     "Which platform this is: native is spoken by the project's own stand-ins "
     "and configured by declarations, fleet is the users' platform with its "
     "own routes."},
    {"log", KEY_ADDRESS, TRUE, NULL, 0, 0, NULL, P(log),
     "The append-only log service."},
    {"instances", KEY_ADDRESS, TRUE, NULL, 0, 0, NULL, P(instances),
     "The list of live and leaving instances."},
    {"log_timeout", KEY_DURATION, FALSE, "2s", 10, HOUR_MS, NULL,
     P(log_timeout_ms), "How long an answer of the log may take."},
    {"log_poll", KEY_DURATION, FALSE, "10s", 10, HOUR_MS, NULL, P(log_poll_ms),
     "How long the log may hold a read until there is news."},
    {"instances_poll", KEY_DURATION, FALSE, "500ms", 10, HOUR_MS, NULL,
     P(instances_poll_ms), "Time between two reads of the instance list."},
    {"command_timeout", KEY_DURATION, FALSE, "5s", 10, HOUR_MS, NULL,
     P(command_timeout_ms),
     "How long an operator's command may take before its outcome is said to "
     "be unknown."},
    {"snapshot_records", KEY_INTEGER, FALSE, "500", 2, 1 << 20, NULL,
     P(snapshot_records),
     "After so many records of the configuration a snapshot is appended; the "
     "log must keep several times as many.",
     KEY_LIVE},
    {"claim_horizon", KEY_DURATION, FALSE, "30m", 1000, HOUR_MS, NULL,
     P(claim_horizon_ms),
     "How old an Idempotency-Key may be; the log must keep claims longer."},
    {"lease", KEY_DURATION, FALSE, "10s", 500, HOUR_MS, NULL, P(lease_ms),
     "How long the right to give orders lasts without a renewal."},
    {"order_timeout", KEY_DURATION, FALSE, "2s", 50, HOUR_MS, NULL,
     P(order_timeout_ms),
     "How long an engine's answer to an order may take; well below lease."},
    {"weight_loads", KEY_INTEGER, FALSE, "2", 1, 10000, NULL, P(weight_loads),
     "Engines of a region that load weights at once, at the least.", KEY_LIVE},
    {"load_percent", KEY_INTEGER, FALSE, "0", 0, 100, NULL, P(load_percent),
     "So many of 100 engines may load at once where that is more.", KEY_LIVE},
    {"fencing", KEY_CHOICE, FALSE, "false", 0, 0, "false,true", P(fencing),
     "Whether all engines refuse an order with an old fencing number; a "
     "router that stops then lets another one go on at once.",
     KEY_LIVE},
    {NULL},
};
#undef P

#define A(member) offsetof(RelaySection_t, member)
static const KeySpec_t relay_keys[] = {
    {"config_max_age", KEY_DURATION, FALSE, "3500ms", 100, HOUR_MS, NULL,
     A(config_max_age_ms),
     "Requests with a key are refused once it is longer ago that the "
     "configuration was known to be the newest; well below the time in which "
     "a revoked key must stop working.",
     KEY_LIVE},
    {"reader_wait", KEY_DURATION, FALSE, "700ms", 10, HOUR_MS, NULL,
     A(reader_wait_ms),
     "How long the store may hold a read of the configuration by one of the "
     "few routers that ask for all; well below config_max_age.",
     KEY_LIVE},
    {"config_wait", KEY_DURATION, FALSE, "8s", 10, HOUR_MS, NULL,
     A(config_wait_ms),
     "The other routers hear from peers what is new and how fresh it is; so "
     "long after the last news each asks for itself.",
     KEY_LIVE},
    {"leaving_limit", KEY_DURATION, FALSE, "2s", 200, HOUR_MS, NULL,
     A(leaving_limit_ms),
     "How soon after the list says so an upstream must get no new work; sets "
     "how often the list is read.",
     KEY_LIVE},
    {"listing_return", KEY_DURATION, FALSE, "2500ms", 0, HOUR_MS, NULL,
     A(listing_return_ms),
     "After the list of upstreams was out of reach: how long an entry that "
     "has lapsed may take to come back.",
     KEY_LIVE},
    {"weights_limit", KEY_DURATION, FALSE, "10s", 3000, HOUR_MS, NULL,
     A(weights_limit_ms),
     "How long after a version of weights was named a request may still begin "
     "on an older one.",
     KEY_LIVE},
    {"move_wait", KEY_DURATION, FALSE, "350ms", 10, HOUR_MS, NULL,
     A(move_wait_ms),
     "How long the engine that a stream is moved to may take to its first "
     "event, or the stream stays; below the time in which two engines may "
     "both go on with it.",
     KEY_LIVE},
    {"refuse_late", KEY_CHOICE, FALSE, "no", 0, 0, "no,yes", A(refuse_late),
     "Whether a request is refused at once where no engine is expected to "
     "begin its answer within its route's objective.",
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
     "Largest head of a caller's request, or of an upstream's answer.",
     KEY_LIVE},
    {"read_timeout", KEY_DURATION, FALSE, "30s", 100, HOUR_MS, NULL,
     L(read_timeout_ms),
     "How long a caller may pause while it sends or while we write to it.",
     KEY_LIVE},
    {"connect_timeout", KEY_DURATION, FALSE, "1s", 10, HOUR_MS, NULL,
     L(connect_timeout_ms), "How long a connection to an upstream may take.",
     KEY_LIVE},
    {"first_token_timeout", KEY_DURATION, FALSE, "30s", 10, HOUR_MS, NULL,
     L(first_token_timeout_ms),
     "How long an upstream may take to its first token or answer.", KEY_LIVE},
    {"token_timeout", KEY_DURATION, FALSE, "5s", 10, HOUR_MS, NULL,
     L(token_timeout_ms), "How long an upstream may pause within a stream.",
     KEY_LIVE},
    {"default_deadline", KEY_DURATION, FALSE, "2m", 10, HOUR_MS, NULL,
     L(default_deadline_ms), "Deadline of a request that names none.",
     KEY_LIVE},
    {"max_attempts", KEY_INTEGER, FALSE, "4", 1, 16, NULL, L(max_attempts),
     "Most attempts of one request.", KEY_LIVE},
    {"retry_percent", KEY_INTEGER, FALSE, "20", 0, 100, NULL, L(retry_percent),
     "Retries may be so many of 100 requests for a target.", KEY_LIVE},
    {"retry_allowance", KEY_INTEGER, FALSE, "10", 0, 100000, NULL,
     L(retry_allowance),
     "Retries beyond that which all routers together may make at a target.",
     KEY_LIVE},
    {"backoff", KEY_DURATION, FALSE, "20ms", 0, HOUR_MS, NULL, L(backoff_ms),
     "Mean wait before the first retry; doubled for each further one.",
     KEY_LIVE},
    {"stream_buffer", KEY_SIZE, FALSE, "256KiB", 1024, 1 << 28, NULL,
     L(stream_buffer),
     "Bytes that wait for a slow caller, in the router and as much again in "
     "the kernel, before its upstream is held back.",
     KEY_LIVE},
    {"event_max", KEY_SIZE, FALSE, "1MiB", 1024, 1 << 28, NULL, L(event_max),
     "Largest event of a stream, or piece of the wire that carries events; a "
     "larger one ends the attempt. An event holds one token, some hundred "
     "bytes; the default is what parsers of such streams commonly take.",
     KEY_LIVE},
    {"answer_max", KEY_SIZE, FALSE, "16MiB", 1024, 1 << 28, NULL,
     L(answer_max),
     "Largest answer of a plain service; a larger one ends the attempt, as it "
     "is kept whole before the caller gets it.",
     KEY_LIVE},
    {"resume_grace", KEY_DURATION, FALSE, "3s", 0, HOUR_MS, NULL,
     L(resume_grace_ms),
     "How long a stream goes on after its caller left, so that the caller "
     "may resume it at any router.",
     KEY_LIVE},
    {"idle_connections", KEY_INTEGER, FALSE, "32", 0, 4096, NULL,
     L(idle_connections), "Open idle connections kept for each upstream.",
     KEY_LIVE},
    {"idle_time", KEY_DURATION, FALSE, "4s", 0, HOUR_MS, NULL, L(idle_time_ms),
     "Longest rest of a kept connection that takes a relayed request.",
     KEY_LIVE},
    {"once_idle_time", KEY_DURATION, FALSE, "300ms", 0, HOUR_MS, NULL,
     L(once_idle_time_ms),
     "The same for a request that may run only once, as its upstream may "
     "have closed the connection in the meantime.",
     KEY_LIVE},
    {"eject_failures", KEY_INTEGER, FALSE, "3", 1, 1000, NULL,
     L(eject_failures), "Failures in a row that eject an upstream.", KEY_LIVE},
    {"eject_time", KEY_DURATION, FALSE, "2s", 10, HOUR_MS, NULL, L(eject_ms),
     "How long an ejected upstream gets no work; doubled each time.",
     KEY_LIVE},
    {"log_budget", KEY_SIZE, FALSE, "64KiB", 0, 1 << 30, NULL, L(log_budget),
     "Most bytes of log lines written in a second, over four seconds; a "
     "quarter is kept for warnings and errors. 0 for no bound.",
     KEY_LIVE},
    {"log_level", KEY_INTEGER, FALSE, "6", LOG_LEVEL_ERROR, LOG_LEVEL_DEBUG,
     NULL, L(log_level),
     "Least severe lines that are written, as syslog counts: 3 errors, 4 "
     "warnings, 6 what becomes of requests and beliefs, 7 where requests are "
     "placed and why; --verbose is 7.",
     KEY_LIVE},
    {NULL},
};
#undef L

typedef struct {
    SectionSpec_t spec;
    gsize offset;
} Place_t;

static const Place_t places[] = {
    {{"router", router_keys, sizeof(RouterSection_t), "This router."},
     offsetof(Settings_t, router)},
    {{"keys", keys_keys, sizeof(KeysSection_t),
      "Keys that all routers of a team share, as hex digits."},
     offsetof(Settings_t, keys)},
    {{"peers", peers_keys, sizeof(PeersSection_t), "The other routers."},
     offsetof(Settings_t, peers)},
    {{"platform", platform_keys, sizeof(PlatformSection_t),
      "Where the platform's services are."},
     offsetof(Settings_t, platform)},
    {{"relay", relay_keys, sizeof(RelaySection_t),
      "Relayed requests, where the platform's form has routes."},
     offsetof(Settings_t, relay)},
    {{"limits", limits_keys, sizeof(LimitsSection_t),
      "Sizes, times and counts that bound one router."},
     offsetof(Settings_t, limits)},
};

static const Place_t *
find_place(const char *name)
{
    for (gsize i = 0; i < G_N_ELEMENTS(places); i++) {
        if (strcmp(places[i].spec.name, name) == 0) {
            return &places[i];
        }
    }
    return NULL;
}

gboolean
Settings_isSection(const char *name)
{
    return find_place(name) != NULL;
}

static void
refuse_unknown_sections(const IniFile_t *ini, GPtrArray *problems)
{
    g_auto(GStrv) names = IniFile_sections(ini);
    for (guint i = 0; names[i]; i++) {
        if (!find_place(names[i])) {
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
                 "hall_regions", "expected as many names as in halls");
}

Settings_t *
Settings_create(const char *path, GPtrArray *problems)
{
    guint before = problems->len;
    IniFile_t *ini = IniFile_create(path, problems);
    if (!ini) {
        return NULL;
    }
    Settings_t *this = g_new0(Settings_t, 1);
    this->path = g_string_new(path);
    refuse_unknown_sections(ini, problems);
    for (gsize i = 0; i < G_N_ELEMENTS(places); i++) {
        const SectionSpec_t *spec = &places[i].spec;
        GHashTable *fields = IniFile_fields(ini, spec->name);
        KeyPlace_t place = {ini, spec->name};
        KeyTable_fill(spec, fields, place, (char *)this + places[i].offset,
                      problems);
        g_hash_table_destroy(fields);
    }
    check_halls(this, ini, problems);
    IniFile_destroy(ini);
    if (problems->len > before) {
        Settings_destroy(this);
        return NULL;
    }
    return this;
}

gboolean
Settings_reload(Settings_t *this, GPtrArray *problems, SettingWaits_t waits,
                void *data)
{
    Settings_t *fresh = Settings_create(this->path->str, problems);
    if (!fresh) {
        return FALSE;
    }
    for (gsize i = 0; i < G_N_ELEMENTS(places); i++) {
        const SectionSpec_t *spec = &places[i].spec;
        g_autoptr(GPtrArray) waiting = g_ptr_array_new();
        KeyTable_takeLive(spec, (char *)this + places[i].offset,
                          (char *)fresh + places[i].offset, waiting);
        for (guint k = 0; k < waiting->len; k++) {
            const KeySpec_t *key = g_ptr_array_index(waiting, k);
            waits(spec->name, key->name, data);
        }
    }
    Settings_destroy(fresh);
    return TRUE;
}

void
Settings_destroy(Settings_t *this)
{
    g_string_free(this->path, TRUE);
    for (gsize i = 0; i < G_N_ELEMENTS(places); i++) {
        KeyTable_clear(&places[i].spec, (char *)this + places[i].offset);
    }
    g_free(this);
}

void
Settings_reference(GString *out)
{
    for (gsize i = 0; i < G_N_ELEMENTS(places); i++) {
        KeyTable_reference(&places[i].spec, out);
    }
}
