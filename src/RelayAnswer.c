#include "RelayAnswer.h"

#include <event2/bufferevent.h>
#include <event2/keyvalq_struct.h>
#include <sys/queue.h>

#include "CallerWatch.h"
#include "HttpCall.h"
#include "PendingReply.h"

struct RelayAnswer {
    CallerWatch_t *watch;
    const RelayAnswerEvents_t *events;
    void *owner;
    GString *id;
    const char *id_header;
    gsize buffer_max;
    int status; /* of the head that is set, 0 for none */
    guint retry_after_ms;
    gboolean begun;
    gboolean full;
};

/* Of one connection only; evhttp frames our own answer by itself. */
static const char *const of_connection[] = {
    "Connection",         "Keep-Alive",     "Proxy-Connection",
    "Proxy-Authenticate", "Trailer",        "Upgrade",
    "Transfer-Encoding",  "Content-Length", "TE",
};

static gboolean
is_of_connection(const char *name)
{
    for (gsize i = 0; i < G_N_ELEMENTS(of_connection); i++) {
        if (g_ascii_strcasecmp(of_connection[i], name) == 0) {
            return TRUE;
        }
    }
    return FALSE;
}

struct evhttp_request *
RelayAnswer_request(const RelayAnswer_t *this)
{
    return CallerWatch_request(this->watch);
}

static struct evkeyvalq *
out_headers(const RelayAnswer_t *this)
{
    return evhttp_request_get_output_headers(RelayAnswer_request(this));
}

static void
on_left(void *owner)
{
    const RelayAnswer_t *this = owner;
    this->events->left(this->owner);
}

RelayAnswer_t *
RelayAnswer_create(struct event_base *base, const RelayAnswerSpec_t *spec,
                   const RelayAnswerEvents_t *events, void *owner)
{
    RelayAnswer_t *this = g_new0(RelayAnswer_t, 1);
    this->events = events;
    this->owner = owner;
    this->id = g_string_new(spec->id);
    this->id_header = spec->id_header;
    this->buffer_max = spec->buffer_max;
    this->watch = CallerWatch_create(base, spec->request, on_left, this);
    return this;
}

void
RelayAnswer_destroy(RelayAnswer_t *this)
{
    if (RelayAnswer_request(this)) {
        CallerWatch_cut(this->watch);
    }
    CallerWatch_destroy(this->watch);
    g_string_free(this->id, TRUE);
    g_free(this);
}

gboolean
RelayAnswer_isBegun(const RelayAnswer_t *this)
{
    return this->begun;
}

void
RelayAnswer_setClosing(RelayAnswer_t *this)
{
    struct evkeyvalq *out = out_headers(this);
    if (!this->begun && !evhttp_find_header(out, "Connection")) {
        evhttp_add_header(out, "Connection", "close");
    }
}

void
RelayAnswer_setHead(RelayAnswer_t *this, int status,
                    const struct evkeyvalq *headers)
{
    if (this->begun || !RelayAnswer_request(this)) {
        return;
    }
    struct evkeyvalq *out = out_headers(this);
    const struct evkeyval *header = NULL;
    this->status = status;
    evhttp_clear_headers(out);
    TAILQ_FOREACH(header, headers, next)
    {
        if (!is_of_connection(header->key)) {
            evhttp_add_header(out, header->key, header->value);
        }
    }
}

static void
begin(RelayAnswer_t *this)
{
    if (!this->begun) {
        this->begun = TRUE;
        evhttp_send_reply_start(RelayAnswer_request(this), this->status, NULL);
    }
}

static void
on_drained(struct evhttp_connection *connection, void *data)
{
    (void)connection;
    RelayAnswer_t *this = data;
    if (this->full) {
        this->full = FALSE;
        this->events->drained(this->owner);
    }
}

static gsize
waiting_bytes(struct evhttp_connection *connection)
{
    struct bufferevent *stream = evhttp_connection_get_bufferevent(connection);
    return evbuffer_get_length(bufferevent_get_output(stream));
}

void
RelayAnswer_send(RelayAnswer_t *this, struct evbuffer *data)
{
    struct evhttp_connection *connection = CallerWatch_connection(this->watch);
    if (!connection || evbuffer_get_length(data) == 0) {
        return;
    }
    begin(this);
    /* Each chunk takes the place of the one before as what is told of, so that
     * a stream that is held back would stay so. */
    if (this->full || waiting_bytes(connection) > this->buffer_max) {
        this->full = TRUE;
        evhttp_send_reply_chunk_with_cb(RelayAnswer_request(this), data,
                                        on_drained, this);
        return;
    }
    evhttp_send_reply_chunk(RelayAnswer_request(this), data);
    Http_flush(connection);
}

void
RelayAnswer_finish(RelayAnswer_t *this)
{
    if (!RelayAnswer_request(this)) {
        return;
    }
    begin(this);
    struct evhttp_request *request = CallerWatch_end(this->watch);
    PendingReply_watch(request);
    evhttp_send_reply_end(request);
}

void
RelayAnswer_whole(RelayAnswer_t *this, struct evbuffer *body)
{
    if (!RelayAnswer_request(this)) {
        return;
    }
    this->begun = TRUE;
    struct evhttp_request *request = CallerWatch_end(this->watch);
    PendingReply_watch(request);
    evhttp_send_reply(request, this->status, NULL, body);
}

void
RelayAnswer_refuse(RelayAnswer_t *this, Refusal_t refusal, RunState_t run,
                   const char *detail)
{
    if (!RelayAnswer_request(this)) {
        return;
    }
    if (this->begun) {
        CallerWatch_cut(this->watch);
        return;
    }
    gboolean closing =
        evhttp_find_header(out_headers(this), "Connection") != NULL;
    struct evhttp_request *request = CallerWatch_end(this->watch);
    evhttp_clear_headers(evhttp_request_get_output_headers(request));
    RelayRefusal_t how = {refusal, run, detail, this->retry_after_ms, closing};
    Relay_refuse(request, this->id_header, this->id->str, &how);
}

void
RelayAnswer_setRetryAfter(RelayAnswer_t *this, guint retry_after_ms)
{
    this->retry_after_ms = retry_after_ms;
}

gboolean
RelayAnswer_isFull(const RelayAnswer_t *this)
{
    return this->full;
}

/* A status of 503 promises that the request did not run; 502 and 504 promise
 * nothing. */
static int
status_of(const RefusalSpec_t *spec, RunState_t run)
{
    if (spec->status < HTTP_INTERNAL && spec->status != 429) {
        return spec->status;
    }
    if (run == RUN_NOT) {
        return spec->status == 429 ? 429 : HTTP_SERVUNAVAIL;
    }
    return spec->status == 504 ? 504 : 502;
}

static void
add_retry_after(struct evkeyvalq *headers, guint retry_after_ms)
{
    g_autofree char *wait = g_strdup_printf("%u.%03u", retry_after_ms / 1000,
                                            retry_after_ms % 1000);
    evhttp_add_header(headers, "Retry-After", wait);
}

void
Relay_refuse(struct evhttp_request *request, const char *id_header,
             const char *id, const RelayRefusal_t *how)
{
    const RefusalSpec_t *spec = Refusal_spec(how->refusal);
    struct evkeyvalq *headers = evhttp_request_get_output_headers(request);
    evhttp_add_header(headers, "Content-Type", "application/json");
    if (id) {
        evhttp_add_header(headers, id_header, id);
    }
    if (how->closing) {
        evhttp_add_header(headers, "Connection", "close");
    }
    if (spec->retry_after_ms > 0 && how->run == RUN_NOT) {
        add_retry_after(headers, how->retry_after_ms > 0
                                     ? how->retry_after_ms
                                     : spec->retry_after_ms);
    }
    GString *text = Refusal_body(how->refusal, how->run, how->detail);
    struct evbuffer *body = evbuffer_new();
    evbuffer_add(body, text->str, text->len);
    PendingReply_watch(request);
    evhttp_send_reply(request, status_of(spec, how->run), spec->code, body);
    evbuffer_free(body);
    g_string_free(text, TRUE);
}
