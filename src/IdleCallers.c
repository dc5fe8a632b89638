#include "IdleCallers.h"

#include <event2/buffer.h>
#include <sys/ioctl.h>

#include "Clock.h"
#include "HttpCall.h"
#include "LingeringClose.h"
#include "Log.h"

#define LOG_INTERVAL_MS 1000
/* Interval of looks at a connection whose limit has passed and whose next
 * request waits to be read. */
#define UNREAD_CHECK_MS 100

typedef struct {
    struct evhttp_connection *connection;
    struct evbuffer_cb_entry *input_entry;
    struct event *limit;
    gint64 since_ms;
    GList link;
} Idle_t;

static struct event_base *base;
static Counters_t *counters;
static GQueue idle;         /* Idle_t, the longest idle first */
static GHashTable *opened;  /* struct bufferevent, with a reference each */
static struct event *check; /* of @opened, once evhttp has them */
static gint64 logged_ms;
static guint closed; /* since the last log line */

static struct bufferevent *
stream_of(const Idle_t *this)
{
    return evhttp_connection_get_bufferevent(this->connection);
}

static void
Idle_destroy(Idle_t *this)
{
    evbuffer_remove_cb_entry(bufferevent_get_input(stream_of(this)),
                             this->input_entry);
    evhttp_connection_set_closecb(this->connection, NULL, NULL);
    g_queue_unlink(&idle, &this->link);
    event_free(this->limit);
    g_free(this);
}

static void
on_closed(struct evhttp_connection *connection, void *data)
{
    (void)connection;
    Idle_destroy(data);
}

static void
on_input(struct evbuffer *input, const struct evbuffer_cb_info *info,
         void *data)
{
    (void)input;
    Idle_t *this = data;
    if (info->n_added > 0) {
        Http_startReadTimeout(this->connection);
        Idle_destroy(this);
    }
}

static gboolean
has_unread(const Idle_t *this)
{
    int unread = 0;
    return ioctl(bufferevent_getfd(stream_of(this)), FIONREAD, &unread) == 0 &&
           unread > 0;
}

/* A process that was stopped finds the limit passed before it reads what has
 * arrived meanwhile. evhttp's own timeout would end such a connection. */
static void
on_limit(evutil_socket_t fd, short what, void *data)
{
    (void)fd;
    (void)what;
    Idle_t *this = data;
    if (has_unread(this)) {
        Clock_arm(this->limit, UNREAD_CHECK_MS);
    }
    else {
        evhttp_connection_free(this->connection);
    }
}

static void
arm_limit(Idle_t *this)
{
    gint64 limit_ms = Http_timeoutMs(this->connection);
    this->limit = Clock_timer(base, on_limit, this);
    Http_stopReadTimeout(this->connection);
    if (limit_ms > 0) {
        Clock_arm(this->limit, limit_ms);
    }
}

void
IdleCallers_add(struct evhttp_connection *connection)
{
    struct bufferevent *bev = evhttp_connection_get_bufferevent(connection);
    struct evbuffer *input = bufferevent_get_input(bev);
    if (evbuffer_get_length(input) > 0) {
        return;
    }
    Idle_t *this = g_new0(Idle_t, 1);
    this->connection = connection;
    this->since_ms = Clock_nowMs();
    this->link.data = this;
    this->input_entry = evbuffer_add_cb(input, on_input, this);
    evhttp_connection_set_closecb(connection, on_closed, this);
    g_queue_push_tail_link(&idle, &this->link);
    arm_limit(this);
}

/* A freed bufferevent has no callbacks, one of evhttp always has some. */
static void
add_opened(struct bufferevent *bev)
{
    bufferevent_event_cb callback = NULL;
    void *connection = NULL;
    bufferevent_getcb(bev, NULL, NULL, &callback, &connection);
    if (callback && bufferevent_getfd(bev) >= 0) {
        IdleCallers_add(connection);
    }
}

static gboolean
take_opened(gpointer key, gpointer value, gpointer user)
{
    (void)value;
    (void)user;
    add_opened(key);
    bufferevent_decref(key);
    return TRUE;
}

static void
on_check(evutil_socket_t fd, short what, void *data)
{
    (void)fd;
    (void)what;
    (void)data;
    g_hash_table_foreach_remove(opened, take_opened, NULL);
}

void
IdleCallers_init(struct event_base *event_base, Counters_t *own_counters)
{
    base = event_base;
    counters = own_counters;
    opened = g_hash_table_new(g_direct_hash, g_direct_equal);
    check = event_new(base, -1, 0, on_check, NULL);
    logged_ms = 0;
    closed = 0;
}

void
IdleCallers_clear(void)
{
    on_check(-1, 0, NULL);
    g_hash_table_destroy(opened);
    event_free(check);
}

void
IdleCallers_watchNew(struct bufferevent *bev)
{
    if (g_hash_table_add(opened, bev)) {
        bufferevent_incref(bev);
        event_active(check, EV_TIMEOUT, 0);
    }
}

static void
note_closed(guint count, guint wanted, gint64 idle_ms)
{
    gint64 now_ms = Clock_nowMs();
    Counters_add(counters, "idle_callers_closed_total", NULL, count);
    closed += count;
    if (logged_ms > 0 && now_ms - logged_ms < LOG_INTERVAL_MS) {
        return;
    }
    Log_begin(LOG_LEVEL_WARNING, "idle_callers_closed");
    Log_number("closed", closed);
    Log_number("wanted", wanted);
    Log_number("idle", idle.length);
    Log_number("idle_ms", idle_ms);
    Log_end();
    logged_ms = now_ms;
    closed = 0;
}

guint
IdleCallers_close(guint wanted)
{
    gint64 now_ms = Clock_nowMs();
    gint64 idle_ms = 0; /* of the one closed last, which is the shortest */
    guint count = LingeringClose_closeOldest(wanted);
    GList *next = NULL;
    for (GList *link = idle.head; link && count < wanted; link = next) {
        Idle_t *this = link->data;
        next = link->next;
        if (now_ms - this->since_ms < IDLE_CALLERS_MIN_MS) {
            break;
        }
        if (!has_unread(this)) {
            idle_ms = now_ms - this->since_ms;
            evhttp_connection_free(this->connection);
            count++;
        }
    }
    if (count > 0) {
        note_closed(count, wanted, idle_ms);
    }
    return count;
}

gboolean
IdleCallers_haveUnread(void)
{
    for (const GList *link = idle.head; link; link = link->next) {
        if (has_unread(link->data)) {
            return TRUE;
        }
    }
    return FALSE;
}

guint
IdleCallers_count(void)
{
    return idle.length;
}
