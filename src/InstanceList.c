#include "InstanceList.h"

#include <string.h>

#include "Clock.h"
#include "HttpCall.h"
#include "Json.h"
#include "Log.h"
#include "Random.h"

#define ANSWER_TIMEOUT_MS 2000

struct InstanceList {
    struct event_base *base;
    Address_t address;
    gint64 poll_ms;
    UpstreamSet_t *upstreams;
    Membership_t *membership;
    struct event *timer;
    HttpCall_t *call;
};

static void
note_leaving(InstanceList_t *this, Upstream_t *upstream, guint64 incarnation)
{
    if (Upstream_noteLeaving(upstream, incarnation, Clock_nowMs())) {
        Log_begin(LOG_LEVEL_INFO, "upstream_leaving");
        Log_text("upstream", upstream->name->str);
        Log_text("source", "instance_list");
        Log_end();
        Membership_spreadUpstream(this->membership, upstream->name->str);
    }
}

/* A router's entry names the address on which it listens for peers. */
static void
add_router_seed(InstanceList_t *this, const char *peer)
{
    Address_t address = {{0}, 0};
    const char *colon = peer ? strrchr(peer, ':') : NULL;
    if (!colon || (gsize)(colon - peer) >= sizeof(address.host)) {
        return;
    }
    g_strlcpy(address.host, peer, (gsize)(colon - peer) + 1);
    address.port = (guint16)g_ascii_strtoull(colon + 1, NULL, 10);
    Membership_addSeed(this->membership, &address);
}

static void
apply_entry(InstanceList_t *this, const json_t *entry)
{
    const char *name = Json_getString(entry, "name");
    const char *state = Json_getString(entry, "state");
    Upstream_t *upstream =
        name ? UpstreamSet_find(this->upstreams, name) : NULL;
    add_router_seed(this, Json_getString(entry, "peer"));
    if (!upstream || !state) {
        return;
    }
    guint64 incarnation = (guint64)Json_getInteger(entry, "incarnation", 0);
    if (Upstream_noteIncarnation(upstream, incarnation, Clock_nowMs())) {
        Membership_spreadUpstream(this->membership, name);
    }
    if (strcmp(state, "leaving") == 0) {
        note_leaving(this, upstream, incarnation);
    }
}

static void
apply_list(InstanceList_t *this, const HttpAnswer_t *answer)
{
    json_t *body = Json_parse(answer->body, answer->length, NULL);
    const json_t *list = json_object_get(body, "instances");
    for (size_t i = 0; i < json_array_size(list); i++) {
        apply_entry(this, json_array_get(list, i));
    }
    json_decref(body);
}

static void
on_answer(const HttpAnswer_t *answer, const GError *error, void *data)
{
    (void)error;
    InstanceList_t *this = data;
    this->call = NULL;
    if (answer && answer->status == HTTP_OK) {
        apply_list(this, answer);
    }
    gint64 half_ms = this->poll_ms / 2;
    Clock_arm(this->timer, half_ms + Random_below((guint32)half_ms * 2 + 1));
}

static void
on_timer(evutil_socket_t fd, short what, void *data)
{
    (void)fd;
    (void)what;
    InstanceList_t *this = data;
    HttpCallSpec_t spec = {
        .address = &this->address,
        .method = EVHTTP_REQ_GET,
        .path = "/instances",
        .timeout_ms = ANSWER_TIMEOUT_MS,
        .answer_max = HTTP_LIST_ANSWER_MAX,
        .accepts_close_delimited = TRUE,
    };
    this->call = HttpCall_start(this->base, &spec, on_answer, this);
}

InstanceList_t *
InstanceList_create(struct event_base *base, const Address_t *address,
                    gint64 poll_ms, UpstreamSet_t *upstreams,
                    Membership_t *membership)
{
    InstanceList_t *this = g_new0(InstanceList_t, 1);
    this->base = base;
    this->address = *address;
    this->poll_ms = poll_ms;
    this->upstreams = upstreams;
    this->membership = membership;
    this->timer = Clock_timer(base, on_timer, this);
    Clock_arm(this->timer, 0);
    return this;
}

void
InstanceList_destroy(InstanceList_t *this)
{
    if (this->call) {
        HttpCall_cancel(this->call);
    }
    event_free(this->timer);
    g_free(this);
}
