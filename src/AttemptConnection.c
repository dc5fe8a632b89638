#include "AttemptConnection.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>

#include "Clock.h"

/* What one read may bring beside the event, and the framing around it. */
#define INPUT_MARGIN 65536

/* evhttp fills the output only once the connection stands. */
static void
on_output(struct evbuffer *buffer, const struct evbuffer_cb_info *info,
          void *data)
{
    (void)buffer;
    AttemptConnection_t *this = data;
    if (info->n_added > 0 && !this->sent) {
        this->sent = TRUE;
        this->last_heard_ms = Clock_nowMs();
        Clock_arm(this->watch, this->patience.first_ms);
    }
}

/* evhttp hands a chunk on only once it is whole, so that one without an end
 * would gather here. The attempt is ended outside of the buffer's callback. */
static void
on_input(struct evbuffer *buffer, const struct evbuffer_cb_info *info,
         void *data)
{
    AttemptConnection_t *this = data;
    if (this->overfull || this->over) {
        return; /* armed anew with each read it would never run */
    }
    if (info->n_added > 0 &&
        evbuffer_get_length(buffer) > this->piece_max + INPUT_MARGIN) {
        this->overfull = TRUE;
        Clock_arm(this->watch, 0);
    }
}

/* The connection is freed in a later turn of the loop, in which it may come
 * up: evhttp would write the request then, though it counts as not sent and
 * may be under way elsewhere. */
static void
forbid_sending(AttemptConnection_t *this)
{
    bufferevent_setcb(AttemptConnection_stream(this), NULL, NULL, NULL, NULL);
}

static void
on_withdraw(void *owner)
{
    AttemptConnection_t *this = owner;
    if (!this->sent && !this->over) {
        forbid_sending(this);
        this->withdrawn = TRUE;
        Clock_arm(this->watch, 0);
    }
}

void
AttemptConnection_init(AttemptConnection_t *this, struct event_base *base,
                       const AttemptConnectionSpec_t *spec)
{
    *this = (AttemptConnection_t){
        .upstream = Upstream_ref(spec->upstream),
        .patience = spec->patience,
        .piece_max = spec->piece_max,
        .last_heard_ms = Clock_nowMs(),
    };
    this->watch = Clock_timer(base, spec->on_watch, spec->attempt);
    this->reaper = Clock_timer(base, spec->on_reap, spec->attempt);
    this->evhttp = Upstream_takeConnection(this->upstream, spec->idle_max_ms,
                                           this->last_heard_ms);
    evhttp_connection_set_max_headers_size(this->evhttp,
                                           (ev_ssize_t)spec->head_max);
    this->waiter = (UpstreamWaiter_t){.withdraw = on_withdraw, .owner = this};
    if (spec->is_new_work) {
        Upstream_addWaiter(this->upstream, &this->waiter);
    }
    struct evbuffer *output =
        bufferevent_get_output(AttemptConnection_stream(this));
    this->output_watch = evbuffer_add_cb(output, on_output, this);
    struct evbuffer *input =
        bufferevent_get_input(AttemptConnection_stream(this));
    this->input_watch = evbuffer_add_cb(input, on_input, this);
    Clock_arm(this->watch, this->patience.connect_ms);
}

void
AttemptConnection_send(AttemptConnection_t *this,
                       struct evhttp_request *request,
                       enum evhttp_cmd_type method, const char *uri)
{
    if (evhttp_make_request(this->evhttp, request, method, uri) != 0) {
        this->last_heard_ms = 0;
        Clock_arm(this->watch, 0);
    }
}

struct bufferevent *
AttemptConnection_stream(const AttemptConnection_t *this)
{
    return evhttp_connection_get_bufferevent(this->evhttp);
}

void
AttemptConnection_noteData(AttemptConnection_t *this)
{
    if (!this->has_data) {
        this->has_data = TRUE;
        Clock_arm(this->watch, this->patience.pause_ms);
    }
}

static gint64
patience_ms(const AttemptConnection_t *this)
{
    if (!this->sent) {
        return this->patience.connect_ms;
    }
    return this->has_data ? this->patience.pause_ms : this->patience.first_ms;
}

gint64
AttemptConnection_leftMs(const AttemptConnection_t *this)
{
    return this->last_heard_ms + patience_ms(this) - Clock_nowMs();
}

void
AttemptConnection_hold(AttemptConnection_t *this, gboolean held)
{
    this->held = held;
    if (held) {
        bufferevent_disable(AttemptConnection_stream(this), EV_READ);
    }
    else {
        bufferevent_enable(AttemptConnection_stream(this), EV_READ);
    }
}

gboolean
AttemptConnection_close(AttemptConnection_t *this)
{
    if (this->over) {
        return FALSE;
    }
    this->over = TRUE;
    if (!this->sent) {
        forbid_sending(this);
    }
    evtimer_del(this->watch);
    Clock_arm(this->reaper, 0);
    return TRUE;
}

void
AttemptConnection_clear(AttemptConnection_t *this)
{
    struct evbuffer *output =
        bufferevent_get_output(AttemptConnection_stream(this));
    struct evbuffer *input =
        bufferevent_get_input(AttemptConnection_stream(this));
    evbuffer_remove_cb_entry(output, this->output_watch);
    evbuffer_remove_cb_entry(input, this->input_watch);
    if (this->keep && Upstream_canKeep(this->upstream)) {
        Upstream_keepConnection(this->upstream, this->evhttp, Clock_nowMs());
    }
    else {
        evhttp_connection_free(this->evhttp);
    }
    event_free(this->watch);
    event_free(this->reaper);
    Upstream_removeWaiter(this->upstream, &this->waiter);
    Upstream_unref(this->upstream);
}
