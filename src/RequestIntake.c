#include "RequestIntake.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http_struct.h>
#include <stdlib.h>
#include <string.h>

#include "BodyFraming.h"
#include "Clock.h"
#include "ErrorPage.h"
#include "InputHold.h"
#include "InputRewrite.h"
#include "IntakeSocket.h"
#include "LingeringClose.h"
#include "Log.h"
#include "Refusal.h"
#include "RelayForm.h"
#include "RequestFraming.h"
#include "RequestHead.h"
#include "SocketBuffers.h"

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
/* What evhttp keeps of a line of a head beside its bytes, about. */
#define LINE_BYTES 128
/* Bytes of a request that are read whatever memory is left. */
#define SMALL_BYTES 2048
/* Longest pause between two parts of a request that still counts as arriving.
 */
#define ARRIVAL_PAUSE_MS 1000

typedef struct {
    struct bufferevent *stream; /* with a reference while a request arrives */
    void *connection;           /* struct evhttp_connection, once known */
    const IntakeLimits_t *limits;
    Arrival_t arrival;
    RequestFraming_t *framing;
    BodyClaim_t *claim;
    gsize max_header; /* of the settings as the connection was accepted */
    gboolean is_head_longer; /* as it may come from another router */
    gint64 paused_ms;     /* since when the connection is paused; 0 if not */
    gint64 began_ms;      /* of the request that is arriving; 0 if none is */
    gint64 last_ms;       /* of the last bytes */
    gsize received;       /* bytes of it */
    gsize unread;         /* bytes of it that the kernel may hold */
    gboolean is_answered; /* no earlier request waits for its answer */
    gboolean is_widened;  /* the kernel takes more of it unread */
    gboolean is_abandoned;
    gboolean is_refused;      /* what it sends from now on is dropped */
    gboolean is_replacing;    /* what is added to its buffer was checked */
    gboolean is_next_refused; /* once the requests before were answered */
    Refusal_t next_refusal;
    const char *next_cause;
} Connection_t;

/* By struct bufferevent, not owned. The entry of a connection that was closed
 * between two requests remains until its address is used again, so that there
 * are no more of them than connections were open at the same time. */
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

static void
count_unread(Connection_t *this, gsize unread)
{
    MemoryUse_add(this->limits->memory, (gssize)unread - (gssize)this->unread);
    this->unread = unread;
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

static void
leave_arrivals(Connection_t *this)
{
    if (this->arrival.arrivals) {
        Arrival_remove(&this->arrival);
        count_unread(this, 0);
        bufferevent_decref(this->stream);
    }
}

/* Ends the connection as evhttp does once it reads the end. */
static void
end_connection(Connection_t *this)
{
    BodyClaim_release(this->claim);
    leave_arrivals(this);
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
feed(Connection_t *this, struct evbuffer *buffer, gsize added)
{
    this->is_replacing = TRUE;
    InputRewrite_feed(buffer, this->framing, added);
    this->is_replacing = FALSE;
}

static void
log_refusal(const Connection_t *this, const char *reason, const char *cause)
{
    g_autofree char *labels = g_strdup_printf("reason=\"%s\"", cause);
    Log_begin(LOG_LEVEL_WARNING, "request_excessive");
    Log_text("reason", reason);
    Log_text("cause", cause);
    Log_number("lines", RequestFraming_lines(this->framing));
    Log_number("bytes", (gint64)this->received);
    Log_number("ms", Clock_nowMs() - this->began_ms);
    Log_number("idle_ms", Clock_nowMs() - this->last_ms);
    Log_number("memory_used",
               (gint64)MemoryUse_used(this->limits->memory, Clock_nowMs()));
    Log_number("read_timeout_ms", this->limits->read_timeout_ms);
    Log_end();
    Counters_add(this->limits->counters, "requests_excessive_total", labels,
                 1);
}

/* evhttp frees the connection after this, and LingeringClose sees afterwards
 * that it wrote its last answer. */
static void
refuse(Connection_t *this, Refusal_t refusal, const char *cause)
{
    const char *reason = Refusal_spec(refusal)->code;
    this->is_abandoned = TRUE;
    this->is_refused = TRUE;
    bufferevent_set_rate_limit(this->stream, NULL); /* of a pause */
    log_refusal(this, reason, cause ? cause : reason);
    end_connection(this);
    IntakeSocket_writeRefusal(this->stream, refusal);
    LingeringClose_expectRest(this->stream);
}

/* Otherwise a refusal would stand in the place of the answer to an earlier
 * request, or inside it. */
static gboolean
is_due(const Connection_t *this)
{
    return this->is_answered &&
           evbuffer_get_length(bufferevent_get_input(this->stream)) <=
               RequestFraming_bytes(this->framing);
}

/* What follows it is dropped. */
static void
refuse_next(Connection_t *this, Refusal_t refusal, const char *cause)
{
    this->is_next_refused = TRUE;
    this->next_refusal = refusal;
    this->next_cause = cause;
    BodyClaim_release(this->claim);
    this->is_replacing = TRUE;
    InputRewrite_refuseLast(bufferevent_get_input(this->stream),
                            this->framing);
    this->is_replacing = FALSE;
}

static void
refuse_in_turn(Connection_t *this, Refusal_t refusal, const char *cause)
{
    if (is_due(this)) {
        refuse(this, refusal, cause);
    }
    else {
        refuse_next(this, refusal, cause);
    }
}

static gboolean
try_claim(Connection_t *this, gsize bytes, gint64 now_ms)
{
    if (bytes > 0) {
        BodyBudget_setRoom(this->limits->budget,
                           MemoryUse_room(this->limits->memory, now_ms));
    }
    gboolean is_granted = BodyClaim_try(this->claim, bytes, now_ms);
    BodyClaim_setHeld(this->claim, this->received);
    return is_granted;
}

static void
update_claim(Connection_t *this, gsize added)
{
    gint64 now_ms = Clock_nowMs();
    gsize bytes = claimed_bytes(this);
    if (this->is_abandoned) {
        return;
    }
    if (bytes > 0 && is_due(this) &&
        IntakeSocket_hasCallerLeft(
            this->stream, RequestFraming_missingBody(this->framing))) {
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
    if (try_claim(this, bytes, now_ms)) {
        if (bytes > 0 && !this->is_widened) {
            this->is_widened = TRUE;
            IntakeSocket_widen(this->stream);
        }
        resume_reading(this, bytes);
    }
    else if (this->paused_ms == 0 &&
             BodyBudget_isCrowded(this->limits->budget)) {
        refuse_in_turn(this, REFUSAL_NO_MEMORY, "bodies_waiting");
    }
    else {
        pause_reading(this, bytes, added);
    }
}

/* How long the request has been arriving, without the time for which this
 * router did not read. */
static gboolean
is_too_slow(const Connection_t *this)
{
    gint64 now_ms = Clock_nowMs();
    gint64 limit_ms = this->limits->read_timeout_ms;
    return this->began_ms > 0 && limit_ms > 0 && this->paused_ms == 0 &&
           now_ms - this->began_ms >
               limit_ms +
                   (gint64)(this->received * 1000 / BYTES_PER_SECOND_MIN);
}

static gsize
used_bytes(const Connection_t *this)
{
    return this->received +
           (gsize)RequestFraming_lines(this->framing) * LINE_BYTES;
}

/* Bytes for which there was room still come. */
static gboolean
is_too_much(const Connection_t *this)
{
    return this->began_ms > 0 && !BodyClaim_isGranted(this->claim) &&
           used_bytes(this) > SMALL_BYTES &&
           MemoryUse_level(this->limits->memory, Clock_nowMs()) == MEMORY_FULL;
}

/* evhttp refuses a longer head like a malformed one. */
static gboolean
is_head_too_long(const Connection_t *this)
{
    gsize limit = MAX(this->max_header, this->limits->max_header) +
                  (this->is_head_longer ? RELAY_ADDED_BYTES : 0);
    return RequestFraming_headBytes(this->framing) > limit;
}

/* Of a request that evhttp must not read. */
static void
check_form(Connection_t *this)
{
    if (RequestFraming_hasBrokenLine(this->framing)) {
        refuse_in_turn(this, REFUSAL_BAD_HEADER, NULL);
    }
    else if (RequestFraming_hasUnclearEnd(this->framing)) {
        refuse_in_turn(this, REFUSAL_BAD_HEADER, "unclear_end");
    }
    else if (RequestFraming_isBroken(this->framing)) {
        refuse_in_turn(this, REFUSAL_BAD_HEADER, "broken_chunks");
    }
    else if (is_head_too_long(this)) {
        refuse_in_turn(this, REFUSAL_HEAD_TOO_LONG, NULL);
    }
    else if (RequestFraming_hasTooManyLines(this->framing)) {
        refuse_in_turn(this, REFUSAL_TOO_MANY_FIELDS, NULL);
    }
}

static gboolean
is_paused_too_long(const Connection_t *this)
{
    return this->paused_ms > 0 &&
           Clock_nowMs() - this->paused_ms > PAUSE_MAX_MS;
}

/* Of a request behind others it is looked at again once it is due. */
static void
check_excess(Connection_t *this)
{
    if (is_paused_too_long(this)) {
        refuse(this, REFUSAL_NO_MEMORY, NULL);
    }
    else if (is_too_slow(this)) {
        refuse(this, REFUSAL_TOO_SLOW, NULL);
    }
    else if (is_too_much(this)) {
        refuse(this, REFUSAL_NO_MEMORY, "memory_full");
    }
}

static void
check_request(Connection_t *this)
{
    if (!this->is_abandoned && !this->is_next_refused) {
        check_form(this);
    }
    if (!this->is_abandoned && !this->is_next_refused && is_due(this)) {
        check_excess(this);
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

/* For the bytes of a claim there is room. */
static gsize
unread_max(const Connection_t *this)
{
    guint64 missing = RequestFraming_missingBody(this->framing);
    if (BodyClaim_isGranted(this->claim)) {
        return 0;
    }
    return missing > 0 ? (gsize)MIN(missing, SOCKET_UNREAD_MAX)
                       : SOCKET_UNREAD_MAX;
}

/* evhttp does not tell that it frees a connection. The reference keeps the
 * address of the stream from being used for another one before that is seen.
 */
static void
note_arrival(Connection_t *this)
{
    if (!this->arrival.arrivals) {
        bufferevent_incref(this->stream);
        bufferevent_getcb(this->stream, NULL, NULL, NULL, &this->connection);
    }
    Arrival_note(&this->arrival, this->limits->arrivals, this->last_ms);
    count_unread(this, unread_max(this));
    this->arrival.bytes = used_bytes(this) + this->unread;
    this->arrival.room = BodyClaim_bytes(this->claim);
}

static void
begin_input(Connection_t *this, gsize added)
{
    this->last_ms = Clock_nowMs();
    if (!RequestFraming_isUnderWay(this->framing)) {
        this->began_ms = 0;
        this->received = 0;
        return;
    }
    if (this->began_ms == 0) {
        this->began_ms = this->last_ms;
        this->received = 0;
    }
    this->received += added;
}

static void
end_input(Connection_t *this)
{
    if (this->began_ms > 0 && !this->is_abandoned && !this->is_next_refused) {
        note_arrival(this);
    }
    else {
        leave_arrivals(this);
    }
}

static void
read_input(Connection_t *this, struct evbuffer *buffer, gsize added)
{
    feed(this, buffer, added);
    begin_input(this, added);
    set_head_limit(this);
    update_claim(this, added);
    check_request(this);
    end_input(this);
}

static void
drop_last(Connection_t *this, struct evbuffer *buffer, gsize added)
{
    this->is_replacing = TRUE;
    InputRewrite_dropLast(buffer, added);
    this->is_replacing = FALSE;
}

static void
on_input(struct evbuffer *buffer, const struct evbuffer_cb_info *info,
         void *data)
{
    Connection_t *this = data;
    if (info->n_added == 0 || this->is_replacing) {
        return;
    }
    /* There is no connection of evhttp to refuse anything on. */
    if (LingeringClose_hasEnded(this->stream)) {
        leave_arrivals(this);
        BodyClaim_release(this->claim);
        return;
    }
    if (this->is_next_refused) {
        drop_last(this, buffer, info->n_added);
    }
    else if (!this->is_abandoned) {
        read_input(this, buffer, info->n_added);
    }
    if (this->is_refused) {
        evbuffer_drain(buffer, evbuffer_get_length(buffer));
    }
}

/* Before that, evhttp has not read the line in the place of the request. */
static gboolean
is_of_refused_next(const Connection_t *this)
{
    return this->is_next_refused &&
           evbuffer_get_length(bufferevent_get_input(this->stream)) == 0;
}

static void
replace_page(Connection_t *this, Refusal_t refusal)
{
    const char *cause = NULL;
    if (is_of_refused_next(this)) {
        refusal = this->next_refusal;
        cause = this->next_cause;
        LingeringClose_expectRest(this->stream);
    }
    const char *reason = Refusal_spec(refusal)->code;
    this->is_refused = TRUE;
    log_refusal(this, reason, cause ? cause : reason);
    IntakeSocket_replaceOutput(this->stream, refusal);
}

/* evhttp writes a page at once, and closes the connection behind it. */
static void
on_output(struct evbuffer *buffer, const struct evbuffer_cb_info *info,
          void *data)
{
    Connection_t *this = data;
    Refusal_t refusal = REFUSAL_BAD_HEADER;
    if (info->n_added > 0 && this->is_answered && !this->is_refused &&
        ErrorPage_read(buffer, &refusal)) {
        replace_page(this, refusal);
    }
}

static void
free_connection(gpointer data)
{
    Connection_t *this = data;
    if (this->arrival.arrivals) {
        evbuffer_remove_cb(bufferevent_get_input(this->stream), on_input,
                           this);
        evbuffer_remove_cb(bufferevent_get_output(this->stream), on_output,
                           this);
    }
    leave_arrivals(this);
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
    this->arrival.owner = this;
    this->is_answered = TRUE;
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
    evbuffer_add_cb(bufferevent_get_output(stream), on_output, this);
}

/* LingeringClose may have set callbacks of its own since. */
static gboolean
is_gone(void *owner)
{
    Connection_t *this = owner;
    void *connection = NULL;
    bufferevent_getcb(this->stream, NULL, NULL, NULL, &connection);
    if (connection == this->connection) {
        return FALSE;
    }
    g_hash_table_remove(connections, this->stream);
    return TRUE;
}

static const char *const causes[] = {
    [ARRIVAL_SHORT] = "memory_short",
    [ARRIVAL_AWAITED] = "body_stalled",
};

static gboolean
give_way(void *owner, ArrivalCause_t cause)
{
    Connection_t *this = owner;
    struct evbuffer *input = bufferevent_get_input(this->stream);
    if (this->is_abandoned || this->is_next_refused || !is_due(this)) {
        return FALSE;
    }
    refuse(this, REFUSAL_NO_MEMORY, causes[cause]);
    evbuffer_drain(input, evbuffer_get_length(input));
    return TRUE;
}

void
RequestIntake_begin(struct event_base *base, IntakeLimits_t *limits)
{
    ArrivalsSpec_t spec = {
        .memory = limits->memory,
        .budget = limits->budget,
        .is_gone = is_gone,
        .give_way = give_way,
    };
    limits->arrivals = Arrivals_create(base, &spec);
}

/* Of a connection that was closed nothing more comes. */
static gboolean
is_arriving(const Connection_t *this, gint64 now_ms)
{
    return !this->is_abandoned && !this->is_next_refused &&
           RequestFraming_isUnderWay(this->framing) &&
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
               RequestHead_methodToSend(request),
               evhttp_request_get_input_headers(request)) ||
           (connection && !connection->is_next_refused &&
            RequestFraming_isBroken(connection->framing));
}

static void
on_complete(struct evhttp_request *request, void *data)
{
    (void)data;
    InputHold_end(evhttp_request_get_connection(request));
    RequestIntake_noteAnswered(request);
}

void
RequestIntake_noteTaken(struct evhttp_request *request)
{
    Connection_t *connection = find_connection(request);
    if (connection) {
        connection->is_answered = FALSE;
        evhttp_request_set_on_complete_cb(request, on_complete, NULL);
    }
}

/* Of a next request nothing was read meanwhile. */
static void
restart_clock(Connection_t *this)
{
    gint64 now_ms = Clock_nowMs();
    this->began_ms = this->began_ms > 0 ? now_ms : 0;
    this->paused_ms = this->paused_ms > 0 ? now_ms : 0;
}

void
RequestIntake_noteAnswered(struct evhttp_request *request)
{
    Connection_t *connection = find_connection(request);
    if (connection) {
        connection->is_answered = TRUE;
        restart_clock(connection);
    }
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
    return BodyBudget_own(connection->limits->budget,
                          BodyClaim_caller(connection->claim), bytes, length);
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
