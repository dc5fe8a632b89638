#include "AcceptPause.h"

#include <errno.h>
#include <glib.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include "Clock.h"
#include "DescriptorReserve.h"
#include "IdleCallers.h"
#include "Log.h"

#define LOG_INTERVAL_MS 1000

struct AcceptPause {
    struct evconnlistener *listener;
    const char *name;
    struct event *timer;
    gint64 logged_ms;
    guint pauses; /* since the last log line */
};

/* By listener: libevent passes the error handler the argument of the handler
 * for connections, which belongs to the owner of the listener. */
static GHashTable *watched;

static void
on_timer(evutil_socket_t fd, short what, void *data)
{
    (void)fd;
    (void)what;
    const AcceptPause_t *this = data;
    evconnlistener_enable(this->listener);
}

static void
log_pause(AcceptPause_t *this, int code)
{
    gint64 now_ms = Clock_nowMs();
    this->pauses++;
    if (this->logged_ms > 0 && now_ms - this->logged_ms < LOG_INTERVAL_MS) {
        return;
    }
    Log_begin(LOG_LEVEL_WARNING, "accept_paused");
    Log_text("listener", this->name);
    Log_text("reason", g_strerror(code));
    Log_number("pauses", this->pauses);
    Log_end();
    this->logged_ms = now_ms;
    this->pauses = 0;
}

/* Of a listener the system states the length of the accept queue in this
 * field. */
static guint
count_queued(struct evconnlistener *listener)
{
    struct tcp_info info = {0};
    socklen_t size = sizeof(info);
    if (getsockopt(evconnlistener_get_fd(listener), IPPROTO_TCP, TCP_INFO,
                   &info, &size) != 0) {
        return 0;
    }
    return info.tcpi_unacked;
}

/* The reserve takes what is free before the listener does. */
static void
free_descriptors(struct evconnlistener *listener, int code)
{
    if (code == EMFILE || code == ENFILE) {
        guint queued = MAX(count_queued(listener), 1);
        (void)IdleCallers_close(queued + DescriptorReserve_missing());
    }
}

static void
on_error(struct evconnlistener *listener, void *data)
{
    (void)data;
    int code = errno;
    AcceptPause_t *this = g_hash_table_lookup(watched, listener);
    evconnlistener_disable(listener);
    Clock_arm(this->timer, ACCEPT_PAUSE_MS);
    log_pause(this, code);
    free_descriptors(listener, code);
}

AcceptPause_t *
AcceptPause_create(struct event_base *base, struct evconnlistener *listener,
                   const char *name)
{
    AcceptPause_t *this = g_new0(AcceptPause_t, 1);
    this->listener = listener;
    this->name = name;
    this->timer = Clock_timer(base, on_timer, this);
    if (!watched) {
        watched = g_hash_table_new(g_direct_hash, g_direct_equal);
    }
    g_hash_table_insert(watched, listener, this);
    evconnlistener_set_error_cb(listener, on_error);
    return this;
}

void
AcceptPause_destroy(AcceptPause_t *this)
{
    evconnlistener_set_error_cb(this->listener, NULL);
    g_hash_table_remove(watched, this->listener);
    if (g_hash_table_size(watched) == 0) {
        g_clear_pointer(&watched, g_hash_table_destroy);
    }
    event_free(this->timer);
    g_free(this);
}
