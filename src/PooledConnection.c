#include "PooledConnection.h"

#include <event2/bufferevent.h>
#include <poll.h>
#include <string.h>
#include <xxhash.h>

#include "Clock.h"

struct PooledConnection {
    struct evhttp_connection *evhttp;
    GArray *carried; /* guint64, hashes of the ids of requests */
    guint64 number;
    guint64 start; /* incarnation at its other end, 0 if not proved */
    guint requests;
    gint64 idle_since_ms;
    gint64 closed_ms; /* by its other end, 0 if it is open or in use */
};

static guint64 last_number;

static guint64
hash_id(const char *id)
{
    return XXH3_64bits(id, strlen(id));
}

/* evhttp connects anew, maybe to another process, for the next request. */
static void
on_closed(struct evhttp_connection *evhttp, void *data)
{
    (void)evhttp;
    PooledConnection_t *this = data;
    this->start = 0;
    this->closed_ms = Clock_nowMs();
}

PooledConnection_t *
PooledConnection_create(struct event_base *base, const Address_t *address)
{
    PooledConnection_t *this = g_new0(PooledConnection_t, 1);
    this->evhttp =
        evhttp_connection_base_new(base, NULL, address->host, address->port);
    evhttp_connection_set_closecb(this->evhttp, on_closed, this);
    this->carried = g_array_new(FALSE, FALSE, sizeof(guint64));
    this->number = ++last_number;
    return this;
}

struct evhttp_connection *
PooledConnection_release(PooledConnection_t *this)
{
    struct evhttp_connection *evhttp = this->evhttp;
    evhttp_connection_set_closecb(evhttp, NULL, NULL);
    g_array_free(this->carried, TRUE);
    g_free(this);
    return evhttp;
}

void
PooledConnection_destroy(PooledConnection_t *this)
{
    evhttp_connection_free(PooledConnection_release(this));
}

struct evhttp_connection *
PooledConnection_evhttp(const PooledConnection_t *this)
{
    return this->evhttp;
}

guint64
PooledConnection_number(const PooledConnection_t *this)
{
    return this->number;
}

void
PooledConnection_addRequest(PooledConnection_t *this, const char *id)
{
    this->requests++;
    this->closed_ms = 0;
    if (id) {
        guint64 hash = hash_id(id);
        g_array_append_val(this->carried, hash);
    }
}

guint
PooledConnection_countRequests(const PooledConnection_t *this)
{
    return this->requests;
}

gboolean
PooledConnection_isUsedUp(const PooledConnection_t *this)
{
    return this->carried->len >= POOLED_REQUESTS_MAX;
}

gboolean
PooledConnection_hasCarried(const PooledConnection_t *this, const char *id)
{
    guint64 hash = id ? hash_id(id) : 0;
    for (guint i = 0; id && i < this->carried->len; i++) {
        if (g_array_index(this->carried, guint64, i) == hash) {
            return TRUE;
        }
    }
    return FALSE;
}

void
PooledConnection_setStart(PooledConnection_t *this, guint64 incarnation)
{
    this->start = incarnation;
}

guint64
PooledConnection_start(const PooledConnection_t *this)
{
    return this->start;
}

void
PooledConnection_setIdle(PooledConnection_t *this, gint64 now_ms)
{
    this->idle_since_ms = now_ms;
    this->closed_ms = 0;
}

gint64
PooledConnection_idleMs(const PooledConnection_t *this, gint64 now_ms)
{
    return now_ms - this->idle_since_ms;
}

static evutil_socket_t
socket_of(const PooledConnection_t *this)
{
    return bufferevent_getfd(evhttp_connection_get_bufferevent(this->evhttp));
}

gboolean
PooledConnection_isEnding(const PooledConnection_t *this)
{
    struct pollfd state = {.fd = socket_of(this), .events = POLLRDHUP};
    return state.fd >= 0 && poll(&state, 1, 0) > 0;
}

gboolean
PooledConnection_hasSocket(const PooledConnection_t *this)
{
    return socket_of(this) >= 0;
}

gboolean
PooledConnection_isOpen(const PooledConnection_t *this)
{
    return PooledConnection_hasSocket(this) &&
           !PooledConnection_isEnding(this);
}

gint64
PooledConnection_closedAfterMs(const PooledConnection_t *this)
{
    return this->closed_ms > 0 ? this->closed_ms - this->idle_since_ms : -1;
}
