#include "RelayAttempt.h"

#include <event2/bufferevent.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include "Clock.h"
#include "HttpCall.h"

/* An upstream that lost its power or its link says nothing: what it does not
 * acknowledge within this time ends the connection. Several round trips of a
 * region and one repeated segment fit into it. */
#define UNACKNOWLEDGED_MS 1000
/* Probes of a silent connection: after so many seconds, so often. */
#define PROBE_AFTER_S 1
#define PROBE_EVERY_S 1
#define PROBES 2

/* A silent upstream that is not given up is looked at again after so long. */
#define ASK_AGAIN_MS 100

struct RelayAttempt {
    Upstream_t *upstream;
    const RelayUpstreamForm_t *form;
    const RelayAttemptEvents_t *events;
    void *owner;
    GString *request_id;
    struct evhttp_connection *connection;
    struct evbuffer_cb_entry *output_watch;
    struct event *watch;  /* the upstream must not be silent */
    struct event *reaper; /* frees us outside of evhttp's callbacks */
    RelayHead_t head;
    AttemptEnd_t verdict; /* once the body is whole */
    gint64 last_heard_ms;
    gint64 connect_ms;
    gint64 first_ms;
    gint64 pause_ms;
    gboolean sent;
    gboolean has_head;
    gboolean has_data;
    gboolean held;
    gboolean over;
    gboolean keep; /* the connection ended cleanly and can be used again */
};

static void
RelayAttempt_destroy(RelayAttempt_t *this)
{
    struct bufferevent *stream =
        evhttp_connection_get_bufferevent(this->connection);
    evbuffer_remove_cb_entry(bufferevent_get_output(stream),
                             this->output_watch);
    if (this->keep && bufferevent_getfd(stream) >= 0 &&
        Upstream_canKeep(this->upstream)) {
        Upstream_keepConnection(this->upstream, this->connection,
                                Clock_nowMs());
    }
    else {
        evhttp_connection_free(this->connection);
    }
    event_free(this->watch);
    event_free(this->reaper);
    g_string_free(this->request_id, TRUE);
    Upstream_unref(this->upstream);
    g_free(this);
}

static void
on_reap(evutil_socket_t fd, short what, void *data)
{
    (void)fd;
    (void)what;
    RelayAttempt_destroy(data);
}

static gboolean
close_attempt(RelayAttempt_t *this)
{
    if (this->over) {
        return FALSE;
    }
    this->over = TRUE;
    evtimer_del(this->watch);
    Clock_arm(this->reaper, 0);
    return TRUE;
}

static void
end_attempt(RelayAttempt_t *this, AttemptEnd_t end)
{
    if (close_attempt(this)) {
        this->events->ended(this->owner, end,
                            this->has_head ? &this->head : NULL);
    }
}

static gboolean
says_not_run(const RelayAttempt_t *this)
{
    return this->has_head && this->verdict == ATTEMPT_NOT_RUN;
}

static gint64
patience(const RelayAttempt_t *this)
{
    if (!this->sent) {
        return this->connect_ms;
    }
    return this->has_data ? this->pause_ms : this->first_ms;
}

static void
on_watch(evutil_socket_t fd, short what, void *data)
{
    (void)fd;
    (void)what;
    RelayAttempt_t *this = data;
    gint64 left = this->last_heard_ms + patience(this) - Clock_nowMs();
    if (left > 0 || this->held) {
        Clock_arm(this->watch, MAX(left, 100));
        return;
    }
    if (says_not_run(this)) {
        end_attempt(this, ATTEMPT_NOT_RUN);
    }
    else if (!this->sent) {
        end_attempt(this, ATTEMPT_NOT_SENT);
    }
    else if (this->events->silent(this->owner)) {
        end_attempt(this, ATTEMPT_SILENT);
    }
    else {
        Clock_arm(this->watch, ASK_AGAIN_MS);
    }
}

/* evhttp fills the output only once the connection stands. */
static void
on_output(struct evbuffer *buffer, const struct evbuffer_cb_info *info,
          void *data)
{
    (void)buffer;
    RelayAttempt_t *this = data;
    if (info->n_added > 0 && !this->sent) {
        this->sent = TRUE;
        this->last_heard_ms = Clock_nowMs();
        Clock_arm(this->watch, this->first_ms);
    }
}

static void
on_chunk(struct evhttp_request *request, void *data)
{
    RelayAttempt_t *this = data;
    struct evbuffer *input = evhttp_request_get_input_buffer(request);
    if (this->over) {
        return;
    }
    this->last_heard_ms = Clock_nowMs();
    if (!this->has_head || says_not_run(this)) {
        return;
    }
    if (!this->has_data) {
        this->has_data = TRUE;
        Clock_arm(this->watch, this->pause_ms);
    }
    this->events->data(this->owner, input);
}

/* A success needs the upstream's signature; a body under an encoding that
 * nobody asked for is not its own. */
static AttemptEnd_t
verdict_of(const RelayHead_t *head, const struct evkeyvalq *headers)
{
    if (!head->names_request) {
        return ATTEMPT_MISMATCH;
    }
    if (head->not_run) {
        return ATTEMPT_NOT_RUN;
    }
    if (head->status >= HTTP_INTERNAL) {
        return ATTEMPT_FAILED;
    }
    gboolean good = head->sealed || head->status >= HTTP_MOVEPERM;
    return good && !evhttp_find_header(headers, "Content-Encoding")
               ? ATTEMPT_WHOLE
               : ATTEMPT_BAD_ANSWER;
}

static int
on_headers(struct evhttp_request *request, void *data)
{
    RelayAttempt_t *this = data;
    if (this->over) {
        return 0;
    }
    struct evkeyvalq *headers = evhttp_request_get_input_headers(request);
    this->last_heard_ms = Clock_nowMs();
    Upstream_noteReached(this->upstream, this->last_heard_ms);
    this->form->read_head(evhttp_request_get_response_code(request), headers,
                          this->request_id->str, this->upstream->name->str,
                          &this->head);
    this->verdict = verdict_of(&this->head, headers);
    this->has_head = TRUE;
    if (this->verdict == ATTEMPT_MISMATCH ||
        this->verdict == ATTEMPT_BAD_ANSWER) {
        end_attempt(this, this->verdict);
    }
    else if (this->verdict != ATTEMPT_NOT_RUN) {
        this->events->head(this->owner, &this->head, headers);
    }
    return 0;
}

/* Bytes behind a whole answer belong to no request. */
static gboolean
has_surplus(const RelayAttempt_t *this)
{
    struct bufferevent *stream =
        evhttp_connection_get_bufferevent(this->connection);
    return evbuffer_get_length(bufferevent_get_input(stream)) > 0;
}

static void
on_done(struct evhttp_request *request, void *data)
{
    RelayAttempt_t *this = data;
    int status = request ? evhttp_request_get_response_code(request) : 0;
    if (this->over) {
        return;
    }
    if (says_not_run(this)) {
        this->keep = status != 0 && !has_surplus(this);
        end_attempt(this, ATTEMPT_NOT_RUN);
    }
    else if (status == 0 || !this->has_head) {
        end_attempt(this, this->sent ? ATTEMPT_CUT : ATTEMPT_NOT_SENT);
    }
    else {
        this->keep = !has_surplus(this);
        end_attempt(this, this->verdict);
    }
}

static void
set_option(evutil_socket_t fd, int level, int option, int value)
{
    setsockopt(fd, level, option, &value, sizeof(value));
}

/* Of a kept connection they are set already, which does no harm. */
static void
set_options(const RelayAttempt_t *this)
{
    evutil_socket_t fd =
        bufferevent_getfd(evhttp_connection_get_bufferevent(this->connection));
    if (fd < 0) {
        return;
    }
    set_option(fd, IPPROTO_TCP, TCP_NODELAY, 1);
    set_option(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
    set_option(fd, IPPROTO_TCP, TCP_KEEPIDLE, PROBE_AFTER_S);
    set_option(fd, IPPROTO_TCP, TCP_KEEPINTVL, PROBE_EVERY_S);
    set_option(fd, IPPROTO_TCP, TCP_KEEPCNT, PROBES);
    set_option(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS);
}

static struct evhttp_request *
make_request(RelayAttempt_t *this, const RelayAttemptSpec_t *spec)
{
    struct evhttp_request *request = evhttp_request_new(on_done, this);
    struct evkeyvalq *out = evhttp_request_get_output_headers(request);
    evhttp_request_set_header_cb(request, on_headers);
    evhttp_request_set_chunked_cb(request, on_chunk);
    this->form->write_head(evhttp_request_get_input_headers(spec->request),
                           spec->order, out);
    gsize length = 0;
    const void *bytes = g_bytes_get_data(spec->body, &length);
    if (length > 0) {
        /* evhttp sends a body with any method but names its length only
         * with some. */
        g_autofree char *text = g_strdup_printf("%" G_GSIZE_FORMAT, length);
        evhttp_add_header(out, "Content-Length", text);
        evbuffer_add(evhttp_request_get_output_buffer(request), bytes, length);
    }
    return request;
}

RelayAttempt_t *
RelayAttempt_start(struct event_base *base, const RelayAttemptSpec_t *spec,
                   const RelayAttemptEvents_t *events, void *owner)
{
    RelayAttempt_t *this = g_new0(RelayAttempt_t, 1);
    this->upstream = Upstream_ref(spec->upstream);
    this->form = spec->form;
    this->events = events;
    this->owner = owner;
    this->request_id = g_string_new(spec->request_id);
    this->connect_ms = spec->connect_ms;
    this->first_ms = spec->first_ms;
    this->pause_ms = spec->pause_ms;
    this->last_heard_ms = Clock_nowMs();
    this->watch = Clock_timer(base, on_watch, this);
    this->reaper = Clock_timer(base, on_reap, this);
    this->connection = Upstream_takeConnection(
        this->upstream, spec->idle_max_ms, this->last_heard_ms);
    struct bufferevent *stream =
        evhttp_connection_get_bufferevent(this->connection);
    this->output_watch =
        evbuffer_add_cb(bufferevent_get_output(stream), on_output, this);
    Clock_arm(this->watch, this->connect_ms);
    if (evhttp_make_request(this->connection, make_request(this, spec),
                            evhttp_request_get_command(spec->request),
                            evhttp_request_get_uri(spec->request)) != 0) {
        this->last_heard_ms = 0;
        Clock_arm(this->watch, 0);
    }
    set_options(this);
    return this;
}

void
RelayAttempt_cancel(RelayAttempt_t *this)
{
    close_attempt(this);
}

gboolean
RelayAttempt_wasSent(const RelayAttempt_t *this)
{
    return this->sent && !says_not_run(this);
}

void
RelayAttempt_hold(RelayAttempt_t *this, gboolean held)
{
    if (this->held == held || this->over) {
        return;
    }
    this->held = held;
    this->last_heard_ms = Clock_nowMs();
    struct bufferevent *stream =
        evhttp_connection_get_bufferevent(this->connection);
    if (held) {
        bufferevent_disable(stream, EV_READ);
    }
    else {
        bufferevent_enable(stream, EV_READ);
    }
}
