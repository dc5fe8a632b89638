#include "StopPlans.h"

#include "Clock.h"
#include "Log.h"

#define TICK_MS 200

struct StopPlans {
    const ConfigStore_t *config;
    UpstreamSet_t *upstreams;
    Membership_t *membership;
    struct event *tick;
};

static gint64
parse_deadline(const StopPlan_t *plan)
{
    GDateTime *time = g_date_time_new_from_iso8601(plan->by->str, NULL);
    gint64 time_ms = time ? g_date_time_to_unix(time) * 1000 : 0;
    if (time) {
        g_date_time_unref(time);
    }
    return time_ms;
}

/* A plan ends at its time: an upstream that restarts afterwards is not
 * leaving. */
static gboolean
is_due(const StopPlan_t *plan)
{
    gint64 now_ms = Clock_wallMs();
    gint64 by_ms = parse_deadline(plan);
    return now_ms >= by_ms - plan->lead_ms && now_ms < by_ms;
}

static void
apply_plan(StopPlans_t *this, const Object_t *object)
{
    const StopPlan_t *plan = object->spec;
    Upstream_t *upstream =
        UpstreamSet_find(this->upstreams, plan->upstream->str);
    if (!upstream || !is_due(plan) ||
        !Upstream_noteLeaving(upstream, upstream->incarnation,
                              Clock_nowMs())) {
        return;
    }
    Membership_spreadUpstream(this->membership, upstream->name->str);
    Log_begin(LOG_LEVEL_INFO, "upstream_leaving");
    Log_text("upstream", upstream->name->str);
    Log_text("source", "stop_plan");
    Log_text("plan", object->name->str);
    Log_end();
}

static void
on_tick(evutil_socket_t fd, short what, void *data)
{
    (void)fd;
    (void)what;
    StopPlans_t *this = data;
    g_autoptr(GPtrArray) plans =
        ConfigStore_list(this->config, OBJECT_STOP_PLAN);
    for (guint i = 0; i < plans->len; i++) {
        apply_plan(this, g_ptr_array_index(plans, i));
    }
    Clock_arm(this->tick, TICK_MS);
}

StopPlans_t *
StopPlans_create(struct event_base *base, const ConfigStore_t *config,
                 UpstreamSet_t *upstreams, Membership_t *membership)
{
    StopPlans_t *this = g_new0(StopPlans_t, 1);
    this->config = config;
    this->upstreams = upstreams;
    this->membership = membership;
    this->tick = Clock_timer(base, on_tick, this);
    Clock_arm(this->tick, TICK_MS);
    return this;
}

void
StopPlans_destroy(StopPlans_t *this)
{
    event_free(this->tick);
    g_free(this);
}
