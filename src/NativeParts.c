#include "NativeParts.h"

#include "Claims.h"
#include "ConfigLog.h"
#include "ConfigSync.h"
#include "Declarations.h"
#include "Exchange.h"
#include "InstanceList.h"
#include "KeyedLog.h"
#include "Log.h"
#include "LogHttp.h"
#include "Orders.h"
#include "Problem.h"
#include "StopPlans.h"

/* Delay before a failed call to the log is repeated. */
#define LOG_RETRY_MS 500
/* Stream of the quarantined requests. */
#define CRASH_STREAM "crashes"

struct NativeParts {
    Context_t *context;
    StoreEpoch_t *epoch;
    LogClient_t *log;
    RecordSource_t *records;
    InstanceList_t *instances;
    ConfigSync_t *sync;
    Orders_t *orders;
    StopPlans_t *plans;
};

/* Faults in declarations are reported by the command `check`. At a start,
 * faulty objects are skipped. */
static void
load_bootstrap(NativeParts_t *this)
{
    const GString *path = this->context->settings->router.bootstrap;
    if (!path) {
        return;
    }
    char *paths[] = {path->str, NULL};
    g_autoptr(GPtrArray) problems = Problems_create();
    GPtrArray *objects = Declarations_load(paths, problems);
    Log_begin(problems->len > 0 ? LOG_LEVEL_WARNING : LOG_LEVEL_INFO,
              "bootstrap_loaded");
    Log_number("objects", objects->len);
    Log_number("problems", problems->len);
    Log_end();
    if (objects->len > 0) {
        ConfigStore_bootstrap(this->context->config, objects);
    }
    else {
        g_ptr_array_unref(objects);
    }
}

static gboolean
declared_weights(void *data, const Upstream_t *upstream, WantedWeights_t *out)
{
    const NativeParts_t *this = data;
    if (upstream->role != ROLE_ENGINE || upstream->serves->len == 0) {
        return FALSE;
    }
    const GString *name = g_ptr_array_index(upstream->serves, 0);
    const Object_t *model =
        ConfigStore_find(this->context->config, OBJECT_MODEL, name->str);
    if (!model) {
        return FALSE;
    }
    out->model = name->str;
    out->weights = ((const Model_t *)model->spec)->weights->str;
    return TRUE;
}

static void
create_orders(NativeParts_t *this)
{
    OrdersSpec_t orders = {
        .settings = this->context->settings,
        .incarnation = this->context->incarnation,
        .log = this->log,
        .epoch = this->epoch,
        .form = &OrderHttp_form,
        .wanted = declared_weights,
        .wanted_data = this,
        .upstreams = this->context->upstreams,
        .membership = this->context->membership,
        .notices = this->context->notices,
        .counters = this->context->counters,
    };
    this->orders = Orders_create(this->context->base, &orders);
}

static void
create_crashes(NativeParts_t *this)
{
    Context_t *context = this->context;
    this->records = KeyedLog_create(this->log);
    CrashGuardSpec_t crashes = {
        .membership = context->membership,
        .counters = context->counters,
        .key = context->settings->keys.salt,
        .source = this->records,
        .epoch = this->epoch,
        .topic = CRASH_STREAM,
        .tests_upstreams = TRUE,
        .recheck = Exchange_recheckQuarantine,
    };
    context->crashes = CrashGuard_create(context->base, &crashes);
}

static void
create_parts(NativeParts_t *this)
{
    const PlatformSection_t *platform = &this->context->settings->platform;
    struct event_base *base = this->context->base;
    ConfigLogLimits_t limits = {
        .poll_ms = platform->log_poll_ms,
        .retry_ms = LOG_RETRY_MS,
        .command_ms = platform->command_timeout_ms,
    };
    this->epoch = StoreEpoch_create(this->context->counters);
    this->log = LogHttp_create(base, &platform->log, platform->log_timeout_ms,
                               this->epoch);
    this->context->config_log =
        ConfigLog_create(base, this->log, this->context->config, &limits);
    this->instances = InstanceList_create(
        base, &platform->instances, platform->instances_poll_ms,
        this->context->upstreams, this->context->membership);
    ClaimsSpec_t claims = {
        .settings = this->context->settings,
        .log = this->log,
        .epoch = this->epoch,
        .membership = this->context->membership,
        .counters = this->context->counters,
    };
    this->context->claims = Claims_create(base, &claims);
    this->sync = ConfigSync_create(
        base, this->context->settings, this->context->config,
        this->context->config_log, this->context->membership);
    create_crashes(this);
    create_orders(this);
    this->plans =
        StopPlans_create(base, this->context->config, this->context->upstreams,
                         this->context->membership);
}

NativeParts_t *
NativeParts_create(Context_t *context)
{
    NativeParts_t *this = g_new0(NativeParts_t, 1);
    this->context = context;
    load_bootstrap(this);
    create_parts(this);
    return this;
}

void
NativeParts_receive(NativeParts_t *this, Member_t *from,
                    const Wt__PeerMessage *message)
{
    switch (message->body_case) {
    case WT__PEER_MESSAGE__BODY_CONFIG_PULL:
    case WT__PEER_MESSAGE__BODY_CONFIG_PUSH:
        ConfigSync_receive(this->sync, from, message);
        break;
    case WT__PEER_MESSAGE__BODY_CLAIM_CALL:
    case WT__PEER_MESSAGE__BODY_CLAIM_REPLY:
        Claims_receive(this->context->claims, from, message);
        break;
    default:
        break;
    }
}

void
NativeParts_destroy(NativeParts_t *this)
{
    LogClient_destroy(this->log);
    RecordSource_destroy(this->records);
    CrashGuard_destroy(this->context->crashes);
    InstanceList_destroy(this->instances);
    StopPlans_destroy(this->plans);
    Orders_destroy(this->orders);
    ConfigSync_destroy(this->sync);
    Claims_destroy(this->context->claims);
    ConfigLog_destroy(this->context->config_log);
    StoreEpoch_destroy(this->epoch);
    g_free(this);
}
