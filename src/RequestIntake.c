#include "RequestIntake.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http_struct.h>
#include <poll.h>
#include <sys/ioctl.h>

#include "BodyFraming.h"
#include "Clock.h"
#include "HttpCall.h"
#include "LingeringClose.h"
#include "Log.h"
#include "Refusal.h"
#include "RelayForm.h"
#include "RequestFraming.h"

/* Copies of a body while it is moved out of its request. */
#define COPIES_IN_ARRIVAL 2
/* A paused connection reads one byte in this time, by which it tries again and
 * its end is noticed. */
#define PAUSED_TICK_US 50000
#define PAUSED_BYTES 1
/* Longest pause; the refusal asks its caller to stay away as long. */
#define PAUSE_MAX_MS 10000
/* Slowest rate of a request that takes longer than a pause may last. */
#define BYTES_PER_SECOND_MIN 1024
/* Longest pause between two parts of a request that still counts as arriving.
 */
#define ARRIVAL_PAUSE_MS 1000

typedef struct {
    struct bufferevent *stream;
    const IntakeLimits_t *limits;
    RequestFraming_t *framing;
    BodyClaim_t *claim;
    gsize max_header; /* of the settings as the connection was accepted */
    gboolean is_head_longer; /* as it may come from another router */
    gint64 paused_ms; /* since when the connection is paused; 0 if not */
    gint64 began_ms;  /* of the request that is arriving; 0 if none is */
    gint64 last_ms;   /* of the last bytes */
    gsize received;   /* bytes of it */
    gboolean is_abandoned;
    gboolean is_refused; /* what it sends is dropped */
} Connection_t;

/* Of a body that was taken. */
typedef struct {
    void *bytes;
    BodyClaim_t *claim;
} TakenBody_t;

/* By struct bufferevent, not owned. The entry of a closed connection remains
 * until its address is used again, so that there are no more of them than
 * connections were open at the same time. */
static GHashTable *connections;

static struct ev_token_bucket_cfg *
paused_rate(void)
{
    static struct ev_token_bucket_cfg *rate;
    if (!rate) {
        struct timeval tick = {0, PAUSED_TICK_US};
        rate = ev_token_bucket_cfg_new(PAUSED_BYTES, PAUSED_BYTES,
                                       EV_RATE_LIMIT_MAX, EV_RATE_LIMIT_MAX,
                                       &tick);
    }
    return rate;
}

static void
log_wait(const Connection_t *this, const char *event, gsize bytes)
{
    const BodyBudget_t *budget = this->limits->budget;
    Log_begin(LOG_LEVEL_INFO, event);
    Log_number("bytes", (gint64)bytes);
    Log_number("used", (gint64)BodyBudget_used(budget));
    Log_number("waiting", BodyBudget_waiting(budget));
    Log_number("ms",
               this->paused_ms > 0 ? Clock_nowMs() - this->paused_ms : 0);
    Log_end();
}

/* libevent subtracts the bytes being read from the new limit. */
static void
pause_reading(Connection_t *this, gsize bytes, gsize added)
{
    if (this->paused_ms == 0) {
        log_wait(this, "body_waits", bytes);
        this->paused_ms = Clock_nowMs();
        bufferevent_set_rate_limit(this->stream, paused_rate());
        bufferevent_decrement_read_limit(this->stream, -(ev_ssize_t)added);
    }
}

static void
resume_reading(Connection_t *this, gsize bytes)
{
    if (this->paused_ms > 0) {
        log_wait(this, "body_admitted", bytes);
        this->began_ms += Clock_nowMs() - this->paused_ms;
        this->paused_ms = 0;
        bufferevent_set_rate_limit(this->stream, NULL);
    }
}

/* The length of a body in chunks is not known before its end. */
static gsize
claimed_bytes(const Connection_t *this)
{
    guint64 expected = RequestFraming_expectedBody(this->framing);
    guint64 most = this->limits->max_body;
    if (expected <= BODY_BUDGET_FREE_MAX) {
        return 0;
    }
    if (RequestFraming_isChunked(this->framing)) {
        expected = most;
    }
    return COPIES_IN_ARRIVAL * (gsize)MIN(expected, most);
}

/* evhttp does not report the end of a connection that it closes, so that the
 * claim would remain for a while. */
static gboolean
has_caller_left(const Connection_t *this)
{
    evutil_socket_t fd = bufferevent_getfd(this->stream);
    struct pollfd state = {.fd = fd, .events = POLLRDHUP};
    int held = 0;
    if (poll(&state, 1, 0) <= 0 ||
        (state.revents & (POLLRDHUP | POLLHUP | POLLERR)) == 0) {
        return FALSE;
    }
    return ioctl(fd, FIONREAD, &held) == 0 &&
           (guint64)held < RequestFraming_missingBody(this->framing);
}

/* Ends the connection as evhttp does once it reads the end. */
static void
end_connection(Connection_t *this)
{
    BodyClaim_release(this->claim);
    bufferevent_trigger_event(this->stream, BEV_EVENT_READING | BEV_EVENT_EOF,
                              BEV_TRIG_DEFER_CALLBACKS);
}

static void
abandon(Connection_t *this, gsize bytes)
{
    this->is_abandoned = TRUE;
    log_wait(this, "body_abandoned", bytes);
    end_connection(this);
}

static void
update_claim(Connection_t *this, gsize added)
{
    gint64 now_ms = Clock_nowMs();
    gsize bytes = claimed_bytes(this);
    if (this->is_abandoned) {
        return;
    }
    if (bytes > 0 && has_caller_left(this)) {
        abandon(this, bytes);
        return;
    }
    if (RequestFraming_isInHead(this->framing)) {
        BodyClaim_release(this->claim);
    }
    if (bytes > 0) {
        BodyClaim_setCaller(this->claim, RequestFraming_caller(this->framing));
    }
    BodyClaim_noteProgress(this->claim, now_ms);
    if (BodyClaim_try(this->claim, bytes, now_ms)) {
        resume_reading(this, bytes);
    }
    else {
        pause_reading(this, bytes, added);
    }
}

static void
feed(Connection_t *this, struct evbuffer *buffer, gsize added)
{
    struct evbuffer_ptr at;
    struct evbuffer_iovec part;
    evbuffer_ptr_set(buffer, &at, evbuffer_get_length(buffer) - added,
                     EVBUFFER_PTR_SET);
    while (evbuffer_peek(buffer, -1, &at, &part, 1) > 0) {
        RequestFraming_feed(this->framing, part.iov_base, part.iov_len);
        if (evbuffer_ptr_set(buffer, &at, part.iov_len, EVBUFFER_PTR_ADD) !=
            0) {
            return;
        }
    }
}

static void
log_refusal(const Connection_t *this, const char *reason)
{
    g_autofree char *labels = g_strdup_printf("reason=\"%s\"", reason);
    Log_begin(LOG_LEVEL_WARNING, "request_excessive");
    Log_text("reason", reason);
    Log_number("lines", RequestFraming_lines(this->framing));
    Log_number("bytes", (gint64)this->received);
    Log_number("ms", Clock_nowMs() - this->began_ms);
    Log_number("read_timeout_ms", this->limits->read_timeout_ms);
    Log_end();
    Counters_add(this->limits->counters, "requests_excessive_total", labels,
                 1);
}

/* evhttp answers what it has not read whole with a page of its own, so the
 * refusal is written in its place. */
static void
write_refusal(const Connection_t *this, Refusal_t refusal)
{
    void *connection = NULL;
    struct evbuffer *output = bufferevent_get_output(this->stream);
    GString *body = Refusal_body(refusal, RUN_NOT, NULL);
    guint retry_after_s = Refusal_spec(refusal)->retry_after_ms / 1000;
    g_autofree char *retry_after =
        retry_after_s > 0
            ? g_strdup_printf("Retry-After: %u\r\n", retry_after_s)
            : g_strdup("");
    bufferevent_getcb(this->stream, NULL, NULL, NULL, &connection);
    evbuffer_add_printf(output,
                        "HTTP/1.1 %d Refused\r\n"
                        "Content-Type: application/json\r\n"
                        "Content-Length: %" G_GSIZE_FORMAT "\r\n"
                        "%sConnection: close\r\n\r\n%s",
                        Refusal_spec(refusal)->status, body->len, retry_after,
                        body->str);
    Http_flush(connection);
    g_string_free(body, TRUE);
}

/* evhttp frees the connection after this, and LingeringClose sees afterwards
 * that it wrote its last answer. */
static void
refuse(Connection_t *this, Refusal_t refusal)
{
    this->is_abandoned = TRUE;
    this->is_refused = TRUE;
    bufferevent_set_rate_limit(this->stream, NULL); /* of a pause */
    log_refusal(this, Refusal_spec(refusal)->code);
    end_connection(this);
    write_refusal(this, refusal);
}

/* How long the request has been arriving, without the time for which this
 * router did not read. */
static gboolean
is_too_slow(Connection_t *this, gsize added)
{
    gint64 now_ms = Clock_nowMs();
    gint64 limit_ms = this->limits->read_timeout_ms;
    if (!RequestFraming_isUnderWay(this->framing)) {
        this->began_ms = 0;
        return FALSE;
    }
    if (this->began_ms == 0) {
        this->began_ms = now_ms;
        this->received = 0;
    }
    this->received += added;
    return limit_ms > 0 && this->paused_ms == 0 &&
           now_ms - this->began_ms >
               limit_ms +
                   (gint64)(this->received * 1000 / BYTES_PER_SECOND_MIN);
}

static void
check_excess(Connection_t *this, gsize added)
{
    if (this->is_abandoned) {
        return;
    }
    if (RequestFraming_hasBrokenLine(this->framing)) {
        refuse(this, REFUSAL_BAD_HEADER);
    }
    else if (RequestFraming_hasTooManyLines(this->framing)) {
        refuse(this, REFUSAL_TOO_MANY_FIELDS);
    }
    else if (this->paused_ms > 0 &&
             Clock_nowMs() - this->paused_ms > PAUSE_MAX_MS) {
        refuse(this, REFUSAL_NO_MEMORY);
    }
    else if (is_too_slow(this, added)) {
        refuse(this, REFUSAL_TOO_SLOW);
    }
}

/* The limit is set before evhttp reads what was received last. */
static void
set_head_limit(Connection_t *this)
{
    void *connection = NULL;
    gboolean is_longer = RequestFraming_mayBeFromRouter(this->framing);
    if (is_longer == this->is_head_longer) {
        return;
    }
    this->is_head_longer = is_longer;
    bufferevent_getcb(this->stream, NULL, NULL, NULL, &connection);
    evhttp_connection_set_max_headers_size(
        connection,
        (ev_ssize_t)(this->max_header + (is_longer ? RELAY_ADDED_BYTES : 0)));
}

static void
on_input(struct evbuffer *buffer, const struct evbuffer_cb_info *info,
         void *data)
{
    Connection_t *this = data;
    if (info->n_added == 0) {
        return;
    }
    /* There is no connection of evhttp to refuse anything on. */
    if (LingeringClose_hasEnded(this->stream)) {
        BodyClaim_release(this->claim);
        return;
    }
    this->last_ms = Clock_nowMs();
    if (!this->is_abandoned) {
        feed(this, buffer, info->n_added);
        set_head_limit(this);
        update_claim(this, info->n_added);
        check_excess(this, info->n_added);
    }
    if (this->is_refused) {
        evbuffer_drain(buffer, evbuffer_get_length(buffer));
    }
}

static void
free_connection(gpointer data)
{
    Connection_t *this = data;
    RequestFraming_destroy(this->framing);
    BodyClaim_destroy(this->claim);
    g_free(this);
}

void
RequestIntake_watch(struct bufferevent *stream, const IntakeLimits_t *limits)
{
    Connection_t *this = g_new0(Connection_t, 1);
    this->limits = limits;
    this->stream = stream;
    this->framing =
        RequestFraming_create(limits->forward_proof, limits->key_header);
    this->max_header = limits->max_header;
    this->claim = BodyClaim_create(limits->budget);
    if (!connections) {
        connections = g_hash_table_new_full(g_direct_hash, g_direct_equal,
                                            NULL, free_connection);
    }
    g_hash_table_replace(connections, stream, this);
    evbuffer_add_cb(bufferevent_get_input(stream), on_input, this);
}

/* Of a connection that was closed nothing more comes. */
static gboolean
is_arriving(const Connection_t *this, gint64 now_ms)
{
    return !this->is_abandoned && RequestFraming_isUnderWay(this->framing) &&
           now_ms - this->last_ms < ARRIVAL_PAUSE_MS;
}

guint
RequestIntake_countArriving(gint64 now_ms)
{
    GHashTableIter iter;
    gpointer connection = NULL;
    guint count = 0;
    if (!connections) {
        return 0;
    }
    g_hash_table_iter_init(&iter, connections);
    while (g_hash_table_iter_next(&iter, NULL, &connection)) {
        count += is_arriving(connection, now_ms) ? 1 : 0;
    }
    return count;
}

void
RequestIntake_clear(void)
{
    g_clear_pointer(&connections, g_hash_table_destroy);
}

static Connection_t *
find_connection(struct evhttp_request *request)
{
    struct evhttp_connection *connection =
        evhttp_request_get_connection(request);
    return connections ? g_hash_table_lookup(
                             connections,
                             evhttp_connection_get_bufferevent(connection))
                       : NULL;
}

/* HTTP/1.0 has no codings, so that its readers take what follows the head for
 * the body (RFC 9112, section 6.1). */
static gboolean
has_unknown_coding(struct evhttp_request *request)
{
    gboolean knows_codings =
        request->major > 1 || (request->major == 1 && request->minor > 0);
    return !knows_codings &&
           evhttp_find_header(evhttp_request_get_input_headers(request),
                              "Transfer-Encoding") != NULL;
}

gboolean
RequestIntake_isAmbiguous(struct evhttp_request *request)
{
    const Connection_t *connection = find_connection(request);
    return has_unknown_coding(request) ||
           BodyFraming_isAmbiguousRequest(
               evhttp_request_get_command(request),
               evhttp_request_get_input_headers(request)) ||
           (connection && RequestFraming_isBroken(connection->framing));
}

static void
free_taken(gpointer data)
{
    TakenBody_t *body = data;
    BodyClaim_destroy(body->claim);
    g_free(body->bytes);
    g_free(body);
}

static GBytes *
own_body(void *bytes, gsize length, const Connection_t *connection)
{
    TakenBody_t *body = g_new0(TakenBody_t, 1);
    body->bytes = bytes;
    body->claim = BodyClaim_create(connection->limits->budget);
    BodyClaim_setCaller(body->claim, BodyClaim_caller(connection->claim));
    BodyClaim_setBytes(body->claim, length);
    return g_bytes_new_with_free_func(bytes, length, free_taken, body);
}

GBytes *
RequestIntake_takeBody(struct evhttp_request *request)
{
    struct evbuffer *input = evhttp_request_get_input_buffer(request);
    Connection_t *connection = find_connection(request);
    gsize length = evbuffer_get_length(input);
    if (length == 0) {
        return g_bytes_new(NULL, 0);
    }
    void *bytes = g_malloc(length);
    evbuffer_remove(input, bytes, length);
    if (!connection) {
        return g_bytes_new_take(bytes, length);
    }
    BodyClaim_release(connection->claim);
    return own_body(bytes, length, connection);
}

void
RequestIntake_dropBody(struct evhttp_request *request)
{
    struct evbuffer *input = evhttp_request_get_input_buffer(request);
    const Connection_t *connection = find_connection(request);
    evbuffer_drain(input, evbuffer_get_length(input));
    if (connection) {
        BodyClaim_release(connection->claim);
    }
}
