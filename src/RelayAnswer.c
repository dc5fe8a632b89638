#include "RelayAnswer.h"

#include <event2/bufferevent.h>
#include <event2/keyvalq_struct.h>
#include <sys/queue.h>

#include "CallerWatch.h"
#include "Clock.h"
#include "HttpCall.h"
#include "HttpReply.h"
#include "Log.h"
#include "PendingReply.h"
#include "RelayForm.h"

#define NO_LENGTH (-1)

/* How the caller's answer ended. */
typedef enum {
    END_NONE, /* it has not, or the caller left before */
    END_WHOLE,
    END_REFUSED,
    END_BROKEN,
} AnswerEnd_t;

struct RelayAnswer {
    CallerWatch_t *watch;
    const RelayAnswerEvents_t *events;
    void *owner;
    GString *id;
    const char *id_header;
    gsize buffer_max;
    gsize counted; /* part of @buffered_total, as of the last write */
    gsize *buffered_total;
    gsize buffered_total_max;
    PassedReply_t *passed; /* if it is sent in parts, until the last one */
    MemoryUse_t *memory;
    int status; /* from RelayAnswer_setHead(), 0 before */
    guint retry_after_ms;
    gint64 stated_bytes; /* length of the upstream's body, or NO_LENGTH */
    gint64 sent_bytes;   /* of the body */
    AnswerEnd_t end;
    gboolean is_received;   /* to the end that its framing marks */
    gboolean is_for_router; /* the caller is another router */
    gboolean is_end_proven; /* the upstream marks the end of its answer */
    gboolean needs_proof;
    gboolean is_service_unreached;
    gboolean states_length; /* of a body that is sent in parts */
    gboolean head_sent;
    gboolean full;
};

/* Headers that concern a single connection, or that only routers may set, and
 * are not forwarded; evhttp frames the answer to the caller itself. */
static const char *const hop_by_hop_headers[] = {
    "Connection",
    "Keep-Alive",
    "Proxy-Connection",
    "Proxy-Authenticate",
    "Trailer",
    "Upgrade",
    "Transfer-Encoding",
    "Content-Length",
    "TE",
    RELAY_TRY_ANOTHER,
    RELAY_CLOSE_DELIMITED,
};

static gboolean
is_hop_by_hop(const char *name)
{
    for (gsize i = 0; i < G_N_ELEMENTS(hop_by_hop_headers); i++) {
        if (g_ascii_strcasecmp(hop_by_hop_headers[i], name) == 0) {
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
output_headers(const RelayAnswer_t *this)
{
    return evhttp_request_get_output_headers(RelayAnswer_request(this));
}

static void
count_output(RelayAnswer_t *this, gsize bytes)
{
    if (this->buffered_total) {
        *this->buffered_total = *this->buffered_total - this->counted + bytes;
        this->counted = bytes;
    }
}

static void
end_parts(RelayAnswer_t *this)
{
    if (this->passed) {
        PendingReply_endParts(g_steal_pointer(&this->passed));
    }
}

static void
on_caller_left(void *owner, Refusal_t reason)
{
    RelayAnswer_t *this = owner;
    end_parts(this);
    this->events->caller_left(this->owner, reason);
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
    this->buffered_total = spec->buffered_total;
    this->buffered_total_max = spec->buffered_total_max;
    this->memory = spec->memory;
    this->stated_bytes = NO_LENGTH;
    this->is_end_proven = TRUE;
    this->is_for_router =
        evhttp_find_header(evhttp_request_get_input_headers(spec->request),
                           RELAY_FORWARDED_BY) != NULL;
    this->watch =
        CallerWatch_create(base, spec->request, on_caller_left, this);
    return this;
}

void
RelayAnswer_setOwner(RelayAnswer_t *this, const RelayAnswerEvents_t *events,
                     void *owner)
{
    this->events = events;
    this->owner = owner;
}

gboolean
RelayAnswer_isForRouter(const RelayAnswer_t *this)
{
    return this->is_for_router;
}

void
RelayAnswer_destroy(RelayAnswer_t *this)
{
    count_output(this, 0);
    end_parts(this);
    if (RelayAnswer_request(this)) {
        CallerWatch_closeConnection(this->watch);
    }
    CallerWatch_destroy(this->watch);
    g_string_free(this->id, TRUE);
    g_free(this);
}

gboolean
RelayAnswer_isHeadSent(const RelayAnswer_t *this)
{
    return this->head_sent;
}

gboolean
RelayAnswer_mayContinueWith(const RelayAnswer_t *this, int status)
{
    return !this->head_sent || status == this->status;
}

void
RelayAnswer_setClosing(RelayAnswer_t *this)
{
    if (!this->head_sent) {
        HttpReply_closeAfter(RelayAnswer_request(this));
    }
}

static gint64
read_length(BodyFraming_t framing, const struct evkeyvalq *headers)
{
    const char *length = evhttp_find_header(headers, "Content-Length");
    return framing == BODY_LENGTH && length ? g_ascii_strtoll(length, NULL, 10)
                                            : NO_LENGTH;
}

void
RelayAnswer_setHead(RelayAnswer_t *this, int status, BodyFraming_t framing,
                    const struct evkeyvalq *headers)
{
    this->is_received = FALSE;
    if (this->head_sent || !RelayAnswer_request(this)) {
        return;
    }
    struct evkeyvalq *out = output_headers(this);
    const struct evkeyval *header = NULL;
    this->status = status;
    this->stated_bytes = read_length(framing, headers);
    this->is_end_proven = framing != BODY_CLOSE_DELIMITED;
    evhttp_clear_headers(out);
    TAILQ_FOREACH(header, headers, next)
    {
        if (!is_hop_by_hop(header->key)) {
            evhttp_add_header(out, header->key, header->value);
        }
    }
}

void
RelayAnswer_setReceived(RelayAnswer_t *this)
{
    this->is_received = TRUE;
}

gboolean
RelayAnswer_needsProof(const RelayAnswer_t *this)
{
    return this->needs_proof;
}

/* Another router is told what the upstream did not mark, and gets chunks, so
 * that it can tell the end of the answer from that of this router. */
static void
send_head(RelayAnswer_t *this)
{
    struct evhttp_request *request = RelayAnswer_request(this);
    if (this->head_sent) {
        return;
    }
    this->head_sent = TRUE;
    if (this->is_for_router && !this->is_end_proven) {
        evhttp_add_header(output_headers(this), RELAY_CLOSE_DELIMITED, "1");
    }
    if (this->states_length && this->stated_bytes != NO_LENGTH) {
        HttpReply_startBody(request, this->status, (gsize)this->stated_bytes);
    }
    else {
        HttpReply_startStream(request, this->status,
                              this->is_end_proven || this->is_for_router);
    }
    this->needs_proof =
        this->is_end_proven && !HttpReply_isCloseDelimited(request);
}

void
RelayAnswer_beginParts(RelayAnswer_t *this)
{
    this->states_length = TRUE;
    this->buffer_max = MIN(this->buffer_max, ANSWER_OUTPUT_FREE_MAX);
    this->buffered_total = NULL; /* counted there */
    this->passed = PendingReply_beginParts(CallerWatch_connection(this->watch),
                                           this->id->str);
}

static void
on_drained(struct evhttp_connection *connection, void *data)
{
    (void)connection;
    RelayAnswer_t *this = data;
    count_output(this, 0);
    if (this->full) {
        this->full = FALSE;
        this->events->drained(this->owner);
    }
}

static gsize
buffered_bytes(struct evhttp_connection *connection)
{
    struct bufferevent *stream = evhttp_connection_get_bufferevent(connection);
    return evbuffer_get_length(bufferevent_get_output(stream));
}

static gsize
free_bytes(const RelayAnswer_t *this)
{
    MemoryLevel_t level = this->memory
                              ? MemoryUse_level(this->memory, Clock_nowMs())
                              : MEMORY_EASY;
    gboolean is_shared_used_up =
        this->buffered_total &&
        *this->buffered_total > this->buffered_total_max;
    if (level == MEMORY_FULL) {
        return 0;
    }
    return is_shared_used_up || level == MEMORY_TIGHT
               ? MIN(this->buffer_max, ANSWER_OUTPUT_FREE_MAX)
               : this->buffer_max;
}

static gboolean
has_room(const RelayAnswer_t *this, gsize buffered)
{
    return buffered == 0 || buffered <= free_bytes(this);
}

/* evhttp keeps the callback of the last chunk only: a chunk without one would
 * drop on_drained, and the stream would stay paused. */
static void
send_part(RelayAnswer_t *this, struct evbuffer *data)
{
    struct evhttp_request *request = RelayAnswer_request(this);
    struct evhttp_connection *connection = CallerWatch_connection(this->watch);
    gboolean was_full = this->full;
    this->full = was_full || !has_room(this, buffered_bytes(connection));
    if (this->full == was_full && HttpReply_appendPart(request, data)) {
        return;
    }
    if (this->full) {
        evhttp_send_reply_chunk_with_cb(request, data, on_drained, this);
    }
    else {
        evhttp_send_reply_chunk(request, data);
    }
}

void
RelayAnswer_sendData(RelayAnswer_t *this, struct evbuffer *data)
{
    struct evhttp_connection *connection = CallerWatch_connection(this->watch);
    if (!connection || evbuffer_get_length(data) == 0) {
        return;
    }
    send_head(this);
    this->sent_bytes += (gint64)evbuffer_get_length(data);
    send_part(this, data);
    if (!this->full) {
        Http_flush(connection);
    }
    count_output(this, buffered_bytes(connection));
}

static void
refuse_incomplete(RelayAnswer_t *this, gsize length)
{
    Log_begin(LOG_LEVEL_ERROR, "answer_incomplete");
    Log_text("request", this->id->str);
    Log_number("status", this->status);
    Log_number("is_received", this->is_received);
    Log_number("stated_bytes", this->stated_bytes);
    Log_number("bytes", (gint64)length);
    Log_end();
    RelayAnswer_refuse(this, REFUSAL_UPSTREAM_FAILED, RUN_MAYBE, NULL);
}

static gboolean
has_stated_length(const RelayAnswer_t *this, gsize length)
{
    return this->stated_bytes == NO_LENGTH ||
           this->stated_bytes == (gint64)length;
}

/* Parts that were sent must be all that the head states. */
static gboolean
has_sent_all(const RelayAnswer_t *this)
{
    return !this->states_length ||
           has_stated_length(this, (gsize)this->sent_bytes);
}

void
RelayAnswer_finishStream(RelayAnswer_t *this)
{
    if (!RelayAnswer_request(this)) {
        return;
    }
    if (!this->is_received || !has_sent_all(this)) {
        refuse_incomplete(this, (gsize)this->sent_bytes);
        return;
    }
    send_head(this);
    end_parts(this);
    this->end = END_WHOLE;
    HttpReply_endStream(CallerWatch_detach(this->watch), this->id->str);
}

void
RelayAnswer_sendComplete(RelayAnswer_t *this, struct evbuffer *body)
{
    gsize length = evbuffer_get_length(body);
    if (!RelayAnswer_request(this)) {
        return;
    }
    if (!this->is_received || !has_stated_length(this, length)) {
        refuse_incomplete(this, length);
        return;
    }
    if (!this->is_end_proven) {
        RelayAnswer_sendData(this, body);
        RelayAnswer_finishStream(this);
        return;
    }
    this->head_sent = TRUE;
    this->end = END_WHOLE;
    this->sent_bytes = (gint64)length;
    HttpReply_sendBody(CallerWatch_detach(this->watch), this->id->str,
                       this->status, NULL, body, TRUE);
}

void
RelayAnswer_setServiceUnreached(RelayAnswer_t *this)
{
    this->is_service_unreached = TRUE;
}

/* Another router may have the time, or the links, that this one lacks. */
static const char *
find_refused(const RelayAnswer_t *this, Refusal_t refusal, RunState_t run)
{
    if (!this->is_for_router || run != RUN_NOT) {
        return NULL;
    }
    if (refusal == REFUSAL_STOPPING) {
        return RELAY_REFUSES_ALL;
    }
    return refusal == REFUSAL_NO_UPSTREAM && this->is_service_unreached
               ? RELAY_REFUSES_SERVICE
               : NULL;
}

void
RelayAnswer_refuse(RelayAnswer_t *this, Refusal_t refusal, RunState_t run,
                   const char *detail)
{
    if (!RelayAnswer_request(this)) {
        return;
    }
    if (this->head_sent) {
        this->end = END_BROKEN;
        end_parts(this);
        CallerWatch_closeConnection(this->watch);
        return;
    }
    this->end = END_REFUSED;
    gboolean closing =
        evhttp_find_header(output_headers(this), "Connection") != NULL;
    struct evhttp_request *request = CallerWatch_detach(this->watch);
    evhttp_clear_headers(evhttp_request_get_output_headers(request));
    RelayRefusal_t params = {refusal, run,
                             detail,  this->retry_after_ms,
                             closing, find_refused(this, refusal, run)};
    Relay_refuse(request, this->id_header, this->id->str, &params);
}

void
RelayAnswer_setRetryAfter(RelayAnswer_t *this, guint retry_after_ms)
{
    this->retry_after_ms = retry_after_ms;
}

void
RelayAnswer_logEnd(const RelayAnswer_t *this)
{
    static const char *const names[] = {
        [END_NONE] = "none",
        [END_WHOLE] = "whole",
        [END_REFUSED] = "refused",
        [END_BROKEN] = "broken",
    };
    Log_text("answer", names[this->end]);
    Log_number("status", this->end == END_REFUSED ? 0 : this->status);
    Log_number("stated_bytes", this->stated_bytes);
    Log_number("sent_bytes", this->sent_bytes);
}

gboolean
RelayAnswer_isFull(const RelayAnswer_t *this)
{
    return this->full;
}

/* 503 states that the request did not run; 502 and 504 leave that
 * open. */
static int
select_status(const RefusalSpec_t *spec, RunState_t run)
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
    g_autofree char *seconds = g_strdup_printf(
        "%u.%03u", retry_after_ms / 1000, retry_after_ms % 1000);
    evhttp_add_header(headers, "Retry-After", seconds);
}

void
Relay_refuse(struct evhttp_request *request, const char *id_header,
             const char *id, const RelayRefusal_t *params)
{
    const RefusalSpec_t *spec = Refusal_spec(params->refusal);
    struct evkeyvalq *headers = evhttp_request_get_output_headers(request);
    evhttp_add_header(headers, "Content-Type", "application/json");
    if (id) {
        evhttp_add_header(headers, id_header, id);
    }
    if (params->closing) {
        HttpReply_closeAfter(request);
    }
    if (params->refuses) {
        evhttp_add_header(headers, RELAY_TRY_ANOTHER, params->refuses);
    }
    if (spec->retry_after_ms > 0 && params->run == RUN_NOT) {
        add_retry_after(headers, params->retry_after_ms > 0
                                     ? params->retry_after_ms
                                     : spec->retry_after_ms);
    }
    GString *text = Refusal_body(params->refusal, params->run, params->detail);
    struct evbuffer *body = evbuffer_new();
    evbuffer_add(body, text->str, text->len);
    HttpReply_sendBody(request, id, select_status(spec, params->run),
                       spec->code, body, TRUE);
    evbuffer_free(body);
    g_string_free(text, TRUE);
}
