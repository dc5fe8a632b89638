#include "SendWatch.h"

#include <event2/buffer.h>
#include <linux/sockios.h>
#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include "Clock.h"
#include "Log.h"

#define LOOK_INTERVAL_MS 200

struct SendWatch {
    SendWatchSpec_t spec;
    char *request_id;
    char *upstream;
    struct evbuffer_cb_entry *output_entry;
    struct event *timer;
    gint64 sent_ms;   /* 0 if nothing was sent yet */
    gint64 probed_ms; /* when a probe without an answer was seen; 0: none */
};

/* The kernel would end a connection for a closed window as well. */
static void
set_user_timeout(const SendWatch_t *this, int ms)
{
    evutil_socket_t fd = bufferevent_getfd(this->spec.bev);
    if (fd >= 0) {
        setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &ms, sizeof(ms));
    }
}

static gboolean
is_all_acknowledged(const SendWatch_t *this)
{
    int in_kernel = 0;
    evutil_socket_t fd = bufferevent_getfd(this->spec.bev);
    return evbuffer_get_length(bufferevent_get_output(this->spec.bev)) == 0 &&
           ioctl(fd, SIOCOUTQ, &in_kernel) == 0 && in_kernel == 0;
}

static gboolean
read_info(const SendWatch_t *this, struct tcp_info *info)
{
    socklen_t size = sizeof(*info);
    return getsockopt(bufferevent_getfd(this->spec.bev), IPPROTO_TCP, TCP_INFO,
                      info, &size) == 0;
}

/* How long the other end owes an answer to data in flight. An idle connection
 * had its last acknowledgement long ago. */
static gint64
unacknowledged_ms(const SendWatch_t *this, const struct tcp_info *info,
                  gint64 now_ms)
{
    if (info->tcpi_unacked == 0) {
        return 0;
    }
    return MIN((gint64)info->tcpi_last_ack_recv, now_ms - this->sent_ms);
}

/* The same for probes of a closed window, whose count falls to 0 with each
 * answer. The kernel sends them at growing intervals. */
static gint64
unanswered_ms(SendWatch_t *this, const struct tcp_info *info, gint64 now_ms)
{
    if (info->tcpi_probes == 0) {
        this->probed_ms = 0;
        return 0;
    }
    if (this->probed_ms == 0) {
        this->probed_ms = now_ms;
    }
    return now_ms - this->probed_ms;
}

/* The kernel sends keepalive probes only once all is acknowledged. */
static void
bound_keepalive(const SendWatch_t *this)
{
    set_user_timeout(this, SEND_WATCH_MAX_MS);
}

static void
log_dead(const SendWatch_t *this, const struct tcp_info *info)
{
    int unsent = 0;
    (void)ioctl(bufferevent_getfd(this->spec.bev), SIOCOUTQNSD, &unsent);
    Log_begin(LOG_LEVEL_WARNING, "connection_dead");
    Log_text("request", this->request_id);
    Log_text("upstream", this->upstream);
    Log_number("sent_ms", Clock_nowMs() - this->sent_ms);
    Log_number("answered_ms", info->tcpi_last_ack_recv);
    Log_number("segments", info->tcpi_unacked);
    Log_number("probes", info->tcpi_probes);
    Log_number("unsent", unsent);
    Log_end();
}

static gboolean
is_dead(SendWatch_t *this)
{
    struct tcp_info info = {0};
    gint64 now_ms = Clock_nowMs();
    if (!read_info(this, &info)) {
        return FALSE;
    }
    gint64 data_ms = unacknowledged_ms(this, &info, now_ms);
    gint64 probe_ms = unanswered_ms(this, &info, now_ms);
    if (MAX(data_ms, probe_ms) < SEND_WATCH_MAX_MS) {
        return FALSE;
    }
    log_dead(this, &info);
    return TRUE;
}

static void
on_timer(evutil_socket_t fd, short what, void *data)
{
    (void)fd;
    (void)what;
    SendWatch_t *this = data;
    if (is_all_acknowledged(this)) {
        bound_keepalive(this);
    }
    else if (is_dead(this)) {
        this->spec.dead(this->spec.owner);
    }
    else {
        Clock_arm(this->timer, LOOK_INTERVAL_MS);
    }
}

static void
note_sent(SendWatch_t *this)
{
    this->sent_ms = Clock_nowMs();
    Clock_arm(this->timer, LOOK_INTERVAL_MS);
}

static void
on_output(struct evbuffer *output, const struct evbuffer_cb_info *info,
          void *data)
{
    (void)output;
    SendWatch_t *this = data;
    if (info->n_added > 0 && this->sent_ms == 0) {
        note_sent(this);
    }
}

SendWatch_t *
SendWatch_create(struct event_base *base, const SendWatchSpec_t *spec)
{
    SendWatch_t *this = g_new0(SendWatch_t, 1);
    this->spec = *spec;
    this->request_id = g_strdup(spec->request_id);
    this->upstream = g_strdup(spec->upstream);
    this->timer = Clock_timer(base, on_timer, this);
    set_user_timeout(this, 0);
    struct evbuffer *output = bufferevent_get_output(spec->bev);
    this->output_entry = evbuffer_add_cb(output, on_output, this);
    if (evbuffer_get_length(output) > 0) {
        note_sent(this);
    }
    return this;
}

void
SendWatch_destroy(SendWatch_t *this)
{
    if (is_all_acknowledged(this)) {
        bound_keepalive(this);
    }
    evbuffer_remove_cb_entry(bufferevent_get_output(this->spec.bev),
                             this->output_entry);
    event_free(this->timer);
    g_free(this->request_id);
    g_free(this->upstream);
    g_free(this);
}
