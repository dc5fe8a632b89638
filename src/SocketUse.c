#include "SocketUse.h"

#include <linux/sockios.h>
#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include "Clock.h"
#include "Log.h"

/* tcpi_state of a connection that has ended. */
#define STATE_CLOSED 7
#define TICK_MS 50
/* While memory can't be short, whatever the sockets hold. */
#define IDLE_TICK_MS 100
/* What the kernel holds for a socket at the most, on the average of all
 * (SocketBuffers.h). */
#define HELD_MAX ((gsize)192 << 10)
/* Sockets looked at in one tick; about 1 us each. */
#define LOOKS_MAX 512
/* Interval of the looks at all sockets while calls would be refused. */
#define ROOM_LOOK_MS 20
/* Connections reset in one tick, each of which ends a request. */
#define RESETS_MAX 32

/** struct Socket_t - by descriptor */
typedef struct {
    guint64 acknowledged; /* bytes, since the connection was made */
    gint64 progress_ms;   /* when that was seen to grow, or nothing waited */
    guint unread;
    guint unsent;
    gboolean is_watched;
    gboolean is_caller;
    gboolean is_answered; /* no request of the caller's is under way */
    gboolean is_given_up;
} Socket_t;

static GArray *sockets;  /* Socket_t; NULL before SocketUse_init() */
static guint next;       /* to look at */
static gint64 looked_ms; /* at all, for room */
static gsize total;
static struct event *timer;
static MemoryUse_t *memory_use;
static Counters_t *use_counters;

static Socket_t *
socket_at(evutil_socket_t fd)
{
    return &g_array_index(sockets, Socket_t, fd);
}

static void
set_held(Socket_t *this, guint unread, guint unsent)
{
    gssize change = (gssize)unread + (gssize)unsent - (gssize)this->unread -
                    (gssize)this->unsent;
    this->unread = unread;
    this->unsent = unsent;
    total += (gsize)change;
    MemoryUse_add(memory_use, change);
}

/* The descriptor was closed, or is no socket any more. */
static void
forget(Socket_t *this)
{
    set_held(this, 0, 0);
    *this = (Socket_t){0};
}

static void
note_progress(Socket_t *this, const struct tcp_info *info, gint64 now_ms)
{
    if (this->unsent == 0 || info->tcpi_bytes_acked != this->acknowledged) {
        this->acknowledged = info->tcpi_bytes_acked;
        this->progress_ms = now_ms;
    }
}

/* Counts as a socket that was closed meanwhile if it fails. */
static gboolean
read_held(evutil_socket_t fd, guint *unread, guint *unsent)
{
    int in = 0;
    int out = 0;
    if (ioctl(fd, SIOCOUTQ, &out) != 0 || ioctl(fd, SIOCINQ, &in) != 0) {
        return FALSE;
    }
    *unread = (guint)in;
    *unsent = (guint)out;
    return TRUE;
}

/* The kernel has freed what a connection that was reset did not send, and
 * states it all the same. */
static void
look_at(evutil_socket_t fd, gint64 now_ms)
{
    Socket_t *this = socket_at(fd);
    struct tcp_info info = {0};
    socklen_t size = sizeof(info);
    guint unread = 0;
    guint unsent = 0;
    if (!this->is_watched || this->is_given_up) {
        return;
    }
    if (!read_held(fd, &unread, &unsent)) {
        forget(this);
        return;
    }
    if (unsent > 0 &&
        (getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &size) != 0 ||
         info.tcpi_state == STATE_CLOSED)) {
        unsent = 0;
    }
    set_held(this, this->is_answered ? 0 : unread, unsent);
    note_progress(this, &info, now_ms);
}

static gint64
stall_limit(MemoryLevel_t level)
{
    return level == MEMORY_FULL ? SOCKET_STALL_FULL_MS : SOCKET_STALL_TIGHT_MS;
}

static evutil_socket_t
find_longest_idle(void)
{
    evutil_socket_t found = -1;
    for (guint fd = 0; fd < sockets->len; fd++) {
        const Socket_t *each = socket_at((evutil_socket_t)fd);
        if (each->is_caller && !each->is_given_up &&
            each->unsent >= SOCKET_HELD_MIN &&
            (found < 0 || each->progress_ms < socket_at(found)->progress_ms)) {
            found = (evutil_socket_t)fd;
        }
    }
    return found;
}

static void
log_given_up(const Socket_t *this, MemoryLevel_t level, gint64 now_ms)
{
    const char *cause = level == MEMORY_FULL ? "full" : "tight";
    g_autofree char *labels = g_strdup_printf("memory=\"%s\"", cause);
    Log_begin(LOG_LEVEL_WARNING, "caller_given_up");
    Log_text("memory", cause);
    Log_number("used", (gint64)MemoryUse_used(memory_use, now_ms));
    Log_number("kernel_bytes", (gint64)total);
    Log_number("unsent", this->unsent);
    Log_number("idle_ms", now_ms - this->progress_ms);
    Log_end();
    Counters_add(use_counters, "callers_given_up_total", labels, 1);
}

/* A connection that is disconnected is reset at once, and what the kernel
 * holds for it freed; its owner finds it ended. */
static void
give_up(evutil_socket_t fd, MemoryLevel_t level, gint64 now_ms)
{
    struct sockaddr nobody = {.sa_family = AF_UNSPEC};
    Socket_t *this = socket_at(fd);
    log_given_up(this, level, now_ms);
    this->is_given_up = TRUE;
    (void)connect(fd, &nobody, sizeof(nobody));
    set_held(this, 0, 0);
}

static gboolean
is_stalled(evutil_socket_t fd, MemoryLevel_t level, gint64 now_ms)
{
    return now_ms - socket_at(fd)->progress_ms >= stall_limit(level);
}

/* The last look may be some ticks old, or one at another connection with the
 * same descriptor. */
static void
check_again(evutil_socket_t fd, MemoryLevel_t level, gint64 now_ms)
{
    const Socket_t *this = socket_at(fd);
    look_at(fd, now_ms);
    if (this->is_watched && this->unsent >= SOCKET_HELD_MIN &&
        is_stalled(fd, level, now_ms)) {
        give_up(fd, level, now_ms);
    }
}

/* Pages that are free again may be all that is missing. */
static void
give_up_stalled(gint64 now_ms)
{
    if (MemoryUse_level(memory_use, now_ms) != MEMORY_EASY) {
        MemoryUse_trim(memory_use, now_ms);
    }
    for (guint count = 0; count < RESETS_MAX; count++) {
        MemoryLevel_t level = MemoryUse_level(memory_use, now_ms);
        evutil_socket_t fd = level == MEMORY_EASY ? -1 : find_longest_idle();
        if (fd < 0 || !is_stalled(fd, level, now_ms)) {
            return;
        }
        check_again(fd, level, now_ms);
    }
}

static void
look_at_some(guint most, gint64 now_ms)
{
    for (guint count = MIN(most, sockets->len); count > 0; count--) {
        next = next + 1 < sockets->len ? next + 1 : 0;
        look_at((evutil_socket_t)next, now_ms);
    }
    give_up_stalled(now_ms);
}

/* Descriptors that are no sockets count too. */
static gboolean
may_be_short(gint64 now_ms)
{
    gsize most = HELD_MAX * sockets->len;
    gsize unknown = most > total ? most - total : 0;
    return MemoryUse_levelWith(memory_use, unknown, now_ms) != MEMORY_EASY;
}

static void
forget_held(void)
{
    for (guint fd = 0; fd < sockets->len && total > 0; fd++) {
        set_held(socket_at((evutil_socket_t)fd), 0, 0);
    }
}

static void
on_tick(evutil_socket_t fd, short what, void *data)
{
    (void)fd;
    (void)what;
    (void)data;
    gint64 now_ms = Clock_nowMs();
    if (may_be_short(now_ms)) {
        look_at_some(LOOKS_MAX, now_ms);
        Clock_arm(timer, TICK_MS);
    }
    else {
        forget_held();
        Clock_arm(timer, IDLE_TICK_MS);
    }
}

void
SocketUse_init(struct event_base *base, MemoryUse_t *memory,
               Counters_t *counters)
{
    sockets = g_array_new(FALSE, TRUE, sizeof(Socket_t));
    memory_use = memory;
    use_counters = counters;
    timer = Clock_timer(base, on_tick, NULL);
    total = 0;
    next = 0;
    looked_ms = 0;
}

void
SocketUse_clear(void)
{
    MemoryUse_add(memory_use, -(gssize)total);
    event_free(timer);
    g_array_free(g_steal_pointer(&sockets), TRUE);
}

static gboolean
is_same(const Socket_t *this, gboolean is_caller)
{
    return this->is_watched && is_caller && this->is_caller &&
           !this->is_given_up;
}

void
SocketUse_watch(evutil_socket_t fd, gboolean is_caller)
{
    if (!sockets || fd < 0) {
        return;
    }
    if ((guint)fd >= sockets->len) {
        g_array_set_size(sockets, (guint)fd + 1);
    }
    Socket_t *this = socket_at(fd);
    if (is_same(this, is_caller)) {
        this->is_answered = FALSE;
        return;
    }
    forget(this);
    this->is_watched = TRUE;
    this->is_caller = is_caller;
    this->progress_ms = Clock_nowMs();
    if (!evtimer_pending(timer, NULL)) {
        Clock_arm(timer, TICK_MS);
    }
}

static gboolean
is_known(evutil_socket_t fd)
{
    return sockets && fd >= 0 && (guint)fd < sockets->len;
}

void
SocketUse_noteAnswered(evutil_socket_t fd)
{
    if (is_known(fd)) {
        Socket_t *this = socket_at(fd);
        this->is_answered = TRUE;
        set_held(this, 0, this->unsent);
    }
}

gboolean
SocketUse_isGivenUp(evutil_socket_t fd)
{
    return is_known(fd) && socket_at(fd)->is_given_up;
}

gsize
SocketUse_bytes(void)
{
    return total;
}

void
SocketUse_look(gint64 now_ms)
{
    look_at_some(sockets->len, now_ms);
}

void
SocketUse_makeRoom(gint64 now_ms)
{
    if (sockets && now_ms - looked_ms >= ROOM_LOOK_MS) {
        looked_ms = now_ms;
        SocketUse_look(now_ms);
    }
}
