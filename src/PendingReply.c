#include "PendingReply.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <poll.h>

#include "Clock.h"
#include "Log.h"
#include "ResetOnClose.h"

typedef struct {
    GString *id;
    gint64 since_ms; /* when evhttp got the last of it */
} Reply_t;

static guint pending_count;
static Counters_t *reply_counters;

void
PendingReply_setCounters(Counters_t *counters)
{
    reply_counters = counters;
}

static Reply_t *
Reply_create(const char *id)
{
    Reply_t *this = g_new0(Reply_t, 1);
    this->id = g_string_new(id ? id : "none");
    this->since_ms = Clock_nowMs();
    return this;
}

static void
Reply_destroy(Reply_t *this)
{
    g_string_free(this->id, TRUE);
    g_free(this);
}

/* Otherwise the caller read nothing for the time that evhttp waits. */
static gboolean
has_caller_left(struct bufferevent *stream)
{
    struct pollfd state = {.fd = bufferevent_getfd(stream),
                           .events = POLLRDHUP};
    return poll(&state, 1, 0) > 0 &&
           (state.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

/* Nothing is left of one that was broken off on purpose. */
static void
report_unsent(const Reply_t *this, struct evhttp_connection *connection)
{
    struct bufferevent *stream = evhttp_connection_get_bufferevent(connection);
    const char *cause = has_caller_left(stream) ? "caller_left" : "not_read";
    gsize left = evbuffer_get_length(bufferevent_get_output(stream));
    if (left == 0) {
        return;
    }
    Log_begin(LOG_LEVEL_WARNING, "answer_unsent");
    Log_text("request", this->id->str);
    Log_text("cause", cause);
    Log_number("bytes", (gint64)left);
    Log_number("ms", Clock_nowMs() - this->since_ms);
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
    report_unsent(this, connection);
    ResetOnClose_forget(connection);
    pending_count--;
    Reply_destroy(this);
}

static void
on_complete(struct evhttp_request *request, void *data)
{
    struct evhttp_connection *connection =
        evhttp_request_get_connection(request);
    evhttp_connection_set_closecb(connection, NULL, NULL);
    ResetOnClose_remove(connection);
    pending_count--;
    Reply_destroy(data);
}

void
PendingReply_watch(struct evhttp_request *request, const char *id)
{
    struct evhttp_connection *connection =
        evhttp_request_get_connection(request);
    if (!connection) {
        return;
    }
    Reply_t *reply = Reply_create(id);
    pending_count++;
    evhttp_connection_set_closecb(connection, on_closed, reply);
    evhttp_request_set_on_complete_cb(request, on_complete, reply);
}

guint
PendingReply_count(void)
{
    return pending_count;
}
