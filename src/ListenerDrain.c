#include "ListenerDrain.h"

#include <errno.h>
#include <event2/listener.h>
#include <linux/filter.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>

#include "Clock.h"
#include "Log.h"

/* How long handshakes under way may take to end, which is a round trip. */
#define HANDSHAKE_MS 100
/* How long the first request may take to arrive on a connection that was
 * accepted last. */
#define FIRST_REQUEST_MS (LISTENER_DRAIN_MS - HANDSHAKE_MS)
/* Interval between looks at an accept queue that is not empty, as the process
 * lacks descriptors. */
#define QUEUE_CHECK_MS 10

/* Offset of the flags in a TCP header, which is what the filter sees. */
#define TCP_FLAGS_OFFSET 13
#define KEEP_WHOLE 0xffffffff

struct ListenerDrain {
    struct evhttp *server;
    struct evhttp_bound_socket *bound; /* NULL once it is closed */
    AcceptPause_t *pause;              /* as long as @bound */
    struct event *timer;
    gboolean is_begun;
    gboolean is_over;
};

/* Drops segments that begin a handshake. */
static struct sock_filter no_handshakes[] = {
    BPF_STMT(BPF_LD | BPF_B | BPF_ABS, TCP_FLAGS_OFFSET),
    BPF_STMT(BPF_ALU | BPF_AND | BPF_K, TH_SYN | TH_ACK),
    BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, TH_SYN, 0, 1),
    BPF_STMT(BPF_RET | BPF_K, 0),
    BPF_STMT(BPF_RET | BPF_K, KEEP_WHOLE),
};

static void
ignore_handshakes(evutil_socket_t fd)
{
    struct sock_fprog program = {G_N_ELEMENTS(no_handshakes), no_handshakes};
    if (setsockopt(fd, SOL_SOCKET, SO_ATTACH_FILTER, &program,
                   sizeof(program)) != 0) {
        Log_begin(LOG_LEVEL_WARNING, "handshakes_not_ignored");
        Log_text("error", strerror(errno));
        Log_end();
    }
}

static gboolean
has_queued(const ListenerDrain_t *this)
{
    struct pollfd listener = {
        .fd = evhttp_bound_socket_get_fd(this->bound),
        .events = POLLIN,
    };
    return poll(&listener, 1, 0) > 0;
}

static void
on_timer(evutil_socket_t fd, short what, void *data)
{
    (void)fd;
    (void)what;
    ListenerDrain_t *this = data;
    if (!this->bound) {
        this->is_over = TRUE;
    }
    else if (has_queued(this)) {
        Clock_arm(this->timer, QUEUE_CHECK_MS);
    }
    else {
        AcceptPause_destroy(g_steal_pointer(&this->pause));
        evhttp_del_accept_socket(this->server, this->bound);
        this->bound = NULL;
        Log_begin(LOG_LEVEL_INFO, "listener_closed");
        Log_end();
        Clock_arm(this->timer, FIRST_REQUEST_MS);
    }
}

static void
get_bound(struct evhttp_bound_socket *bound, void *data)
{
    struct evhttp_bound_socket **result = data;
    *result = bound;
}

ListenerDrain_t *
ListenerDrain_create(struct event_base *base, struct evhttp *server,
                     AcceptPause_t *pause)
{
    ListenerDrain_t *this = g_new0(ListenerDrain_t, 1);
    this->server = server;
    this->pause = pause;
    evhttp_foreach_bound_socket(server, get_bound, &this->bound);
    this->timer = Clock_timer(base, on_timer, this);
    return this;
}

void
ListenerDrain_destroy(ListenerDrain_t *this)
{
    if (this->pause) {
        AcceptPause_destroy(this->pause);
    }
    event_free(this->timer);
    g_free(this);
}

void
ListenerDrain_begin(ListenerDrain_t *this)
{
    if (!this->is_begun) {
        this->is_begun = TRUE;
        ignore_handshakes(evhttp_bound_socket_get_fd(this->bound));
        Clock_arm(this->timer, HANDSHAKE_MS);
    }
}

gboolean
ListenerDrain_isOver(const ListenerDrain_t *this)
{
    return this->is_over;
}
