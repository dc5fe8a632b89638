#include "PendingReply.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include "CallerProof.h"
#include "Clock.h"
#include "HttpCall.h"
#include "IdleCallers.h"
#include "InputHold.h"
#include "Log.h"
#include "RequestIntake.h"
#include "ResetOnClose.h"
#include "SocketUse.h"

typedef struct PassedReply {
    GString *id;
    struct evhttp_connection *connection;
    struct bufferevent *stream; /* of @connection */
    struct evbuffer_cb_entry *output_entry;
    gint64 since_ms;    /* when evhttp got the last of it */
    gint64 progress_ms; /* when the caller's system was seen to take bytes */
    gsize bytes;        /* that wait in this process */
    gsize left;         /* these and those in the kernel, at the last look */
    gboolean is_given_up;
    gboolean is_in_parts;
    GList link;
} Reply_t;

static GQueue replies; /* Reply_t */
static guint parts;    /* those of them that are in parts */
static gsize pending_bytes;
static Counters_t *reply_counters;

void
PendingReply_setCounters(Counters_t *counters)
{
    reply_counters = counters;
}

static struct bufferevent *
stream_of(const Reply_t *this)
{
    return this->stream;
}

static void
set_bytes(Reply_t *this, gsize bytes)
{
    pending_bytes = pending_bytes - this->bytes + bytes;
    this->bytes = bytes;
}

static void
on_output(struct evbuffer *output, const struct evbuffer_cb_info *info,
          void *data)
{
    (void)info;
    set_bytes(data, evbuffer_get_length(output));
}

static Reply_t *
Reply_create(struct evhttp_connection *connection, const char *id)
{
    Reply_t *this = g_new0(Reply_t, 1);
    this->id = g_string_new(id ? id : "none");
    this->connection = connection;
    this->stream = evhttp_connection_get_bufferevent(connection);
    this->since_ms = Clock_nowMs();
    this->left = G_MAXSIZE;
    this->link.data = this;
    g_queue_push_tail_link(&replies, &this->link);
    struct evbuffer *output = bufferevent_get_output(stream_of(this));
    set_bytes(this, evbuffer_get_length(output));
    this->output_entry = evbuffer_add_cb(output, on_output, this);
    return this;
}

static void
Reply_destroy(Reply_t *this)
{
    evbuffer_remove_cb_entry(bufferevent_get_output(stream_of(this)),
                             this->output_entry);
    set_bytes(this, 0);
    parts -= this->is_in_parts ? 1 : 0;
    g_queue_unlink(&replies, &this->link);
    g_string_free(this->id, TRUE);
    g_free(this);
}

static const char *
unsent_cause(const Reply_t *this)
{
    evutil_socket_t fd = bufferevent_getfd(stream_of(this));
    if (this->is_given_up || SocketUse_isGivenUp(fd)) {
        return "no_room";
    }
    /* Otherwise the caller read nothing for the time that evhttp waits. */
    return CallerProof_isReset(fd) ? "caller_left" : "not_read";
}

/* Nothing is left of one that was broken off on purpose. */
static void
report_unsent(const Reply_t *this)
{
    const char *cause = unsent_cause(this);
    if (this->bytes == 0) {
        return;
    }
    Log_begin(LOG_LEVEL_WARNING, "answer_unsent");
    Log_text("request", this->id->str);
    Log_text("cause", cause);
    Log_number("bytes", (gint64)this->bytes);
    Log_number("ms", Clock_nowMs() - this->since_ms);
    if (this->is_given_up) {
        Log_number("idle_ms", Clock_nowMs() - this->progress_ms);
        Log_number("pending_bytes", (gint64)pending_bytes);
    }
    Log_end();
    if (reply_counters) {
        g_autofree char *labels = g_strdup_printf("cause=\"%s\"", cause);
        Counters_add(reply_counters, "answers_unsent_total", labels, 1);
    }
}

static void
on_closed(struct evhttp_connection *connection, void *data)
{
    Reply_t *this = data;
    report_unsent(this);
    ResetOnClose_forget(connection);
    Reply_destroy(this);
}

static void
on_complete(struct evhttp_request *request, void *data)
{
    struct evhttp_connection *connection =
        evhttp_request_get_connection(request);
    evhttp_connection_set_closecb(connection, NULL, NULL);
    ResetOnClose_remove(connection);
    InputHold_end(connection);
    Http_startReadTimeout(connection);
    RequestIntake_noteAnswered(request);
    SocketUse_noteAnswered(bufferevent_getfd(stream_of(data)));
    Reply_destroy(data);
    IdleCallers_add(connection);
}

void
PendingReply_watch(struct evhttp_request *request, const char *id)
{
    struct evhttp_connection *connection =
        evhttp_request_get_connection(request);
    if (!connection) {
        return;
    }
    Reply_t *reply = Reply_create(connection, id);
    Http_stopReadTimeout(connection);
    evhttp_connection_set_closecb(connection, on_closed, reply);
    evhttp_request_set_on_complete_cb(request, on_complete, reply);
}

PassedReply_t *
PendingReply_beginParts(struct evhttp_connection *connection, const char *id)
{
    Reply_t *reply = Reply_create(connection, id);
    reply->is_in_parts = TRUE;
    bufferevent_incref(reply->stream); /* which may be closed before */
    parts++;
    return reply;
}

void
PendingReply_endParts(PassedReply_t *passed)
{
    struct bufferevent *stream = passed->stream;
    Reply_destroy(passed);
    bufferevent_decref(stream);
}

guint
PendingReply_count(void)
{
    return replies.length - parts;
}

gsize
PendingReply_bytes(void)
{
    return pending_bytes;
}

static gsize
count_left(const Reply_t *this)
{
    int in_kernel = 0;
    if (ioctl(bufferevent_getfd(stream_of(this)), SIOCOUTQ, &in_kernel) != 0) {
        in_kernel = 0;
    }
    return this->bytes + (gsize)in_kernel;
}

void
PendingReply_noteProgress(gint64 now_ms)
{
    for (const GList *link = replies.head; link; link = link->next) {
        Reply_t *reply = link->data;
        gsize left = count_left(reply);
        if (left != reply->left) {
            reply->left = left;
            reply->progress_ms = now_ms;
        }
    }
}

/* Segments take more of the buffer than their bytes. The event loop would
 * write only once a third of it is free. */
static void
hand_over(const Reply_t *this)
{
    int size = (int)MIN(2 * count_left(this), (gsize)G_MAXINT);
    setsockopt(bufferevent_getfd(stream_of(this)), SOL_SOCKET, SO_SNDBUF,
               &size, sizeof(size));
    Http_flush(this->connection);
}

/* What the event loop is about to write needs no wider buffer. */
void
PendingReply_handOver(void)
{
    for (const GList *link = replies.head; link; link = link->next) {
        const Reply_t *reply = link->data;
        if (reply->bytes > 0 && count_left(reply) > reply->bytes) {
            hand_over(reply);
        }
    }
}

static Reply_t *
find_longest_idle(void)
{
    Reply_t *found = NULL;
    for (const GList *link = replies.head; link; link = link->next) {
        Reply_t *reply = link->data;
        if (reply->bytes > 0 && reply->left != G_MAXSIZE &&
            (!found || reply->progress_ms < found->progress_ms)) {
            found = reply;
        }
    }
    return found;
}

/* Otherwise the kernel would keep what it has of the reply for a while. */
static void
reset(struct evhttp_connection *connection)
{
    ResetOnClose_add(connection);
    ResetOnClose_close(connection);
}

gboolean
PendingReply_giveUp(gint64 now_ms, gint64 idle_ms)
{
    Reply_t *reply = find_longest_idle();
    if (!reply || now_ms - reply->progress_ms < idle_ms) {
        return FALSE;
    }
    reply->is_given_up = TRUE;
    if (reply->is_in_parts) { /* its owner learns of the end */
        report_unsent(reply);
    }
    reset(reply->connection);
    return TRUE;
}
