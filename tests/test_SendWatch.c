#include "testing.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <linux/filter.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include "Clock.h"
#include "SendWatch.h"

#define SMALL_BUFFER 4096
#define LONG_BYTES 2000000

/* A connection whose other end reads nothing by itself. */
typedef struct {
    struct event_base *base;
    struct bufferevent *bev;
    int other;
    gint64 dead_ms; /* 0 if it counts as alive */
    SendWatch_t *watch;
} Link_t;

static void
on_dead(void *owner)
{
    Link_t *this = owner;
    this->dead_ms = Clock_nowMs();
}

static void
set_up(Link_t *this)
{
    int listener = socket(AF_INET, SOCK_STREAM, 0);
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    int size = SMALL_BUFFER;
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_addr = {htonl(INADDR_LOOPBACK)}};
    socklen_t length = sizeof(address);
    setsockopt(listener, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
    ck_assert_int_eq(bind(listener, (struct sockaddr *)&address, length), 0);
    getsockname(listener, (struct sockaddr *)&address, &length);
    listen(listener, 1);
    ck_assert_int_eq(connect(fd, (struct sockaddr *)&address, length), 0);
    this->other = accept(listener, NULL, NULL);
    close(listener);
    evutil_make_socket_nonblocking(fd);
    this->base = event_base_new();
    this->bev = bufferevent_socket_new(this->base, fd, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_enable(this->bev, EV_WRITE);
    SendWatchSpec_t spec = {.bev = this->bev,
                            .request_id = "r",
                            .upstream = "u",
                            .dead = on_dead,
                            .owner = this};
    this->watch = SendWatch_create(this->base, &spec);
}

static void
tear_down(Link_t *this)
{
    SendWatch_destroy(this->watch);
    bufferevent_free(this->bev);
    event_base_free(this->base);
    close(this->other);
}

static void
run(const Link_t *this, gint64 ms)
{
    gint64 end_ms = Clock_nowMs() + ms;
    while (Clock_nowMs() < end_ms && this->dead_ms == 0) {
        struct timeval left = {0, 50000};
        event_base_loopexit(this->base, &left);
        event_base_loop(this->base, EVLOOP_NO_EXIT_ON_EMPTY);
    }
}

static void
send_bytes(const Link_t *this, gsize length)
{
    g_autofree char *bytes = g_malloc0(length);
    bufferevent_write(this->bev, bytes, length);
}

static void
read_all(const Link_t *this)
{
    char bytes[65536];
    gint64 end_ms = Clock_nowMs() + 5000;
    gsize missing = LONG_BYTES;
    while (missing > 0 && Clock_nowMs() < end_ms) {
        ssize_t count = recv(this->other, bytes, sizeof(bytes), MSG_DONTWAIT);
        missing -= count > 0 ? (gsize)count : 0;
        event_base_loop(this->base, EVLOOP_NONBLOCK);
    }
    ck_assert_uint_eq(missing, 0);
}

/* Its system no longer gets what is sent, as of a machine without power. */
static void
cut_off(const Link_t *this)
{
    struct sock_filter none[] = {BPF_STMT(BPF_RET | BPF_K, 0)};
    struct sock_fprog program = {G_N_ELEMENTS(none), none};
    ck_assert_int_eq(setsockopt(this->other, SOL_SOCKET, SO_ATTACH_FILTER,
                                &program, sizeof(program)),
                     0);
}

static int
user_timeout(const Link_t *this)
{
    int ms = -1;
    socklen_t size = sizeof(ms);
    getsockopt(bufferevent_getfd(this->bev), IPPROTO_TCP, TCP_USER_TIMEOUT,
               &ms, &size);
    return ms;
}

START_TEST(what_is_acknowledged_is_no_longer_watched)
{
    Link_t link = {0};
    set_up(&link);
    send_bytes(&link, 10);
    run(&link, 500);
    ck_assert_int_eq(user_timeout(&link), SEND_WATCH_MAX_MS);
    tear_down(&link);
}
END_TEST

START_TEST(an_end_that_is_gone_is_noticed)
{
    Link_t link = {0};
    set_up(&link);
    run(&link, SEND_WATCH_MAX_MS); /* idle before */
    cut_off(&link);
    gint64 sent_ms = Clock_nowMs();
    send_bytes(&link, 10);
    run(&link, 5000);
    ck_assert_int_ge(link.dead_ms - sent_ms, SEND_WATCH_MAX_MS);
    ck_assert_int_le(link.dead_ms - sent_ms, 2 * SEND_WATCH_MAX_MS);
    tear_down(&link);
}
END_TEST

START_TEST(an_end_that_reads_late_is_alive)
{
    Link_t link = {0};
    set_up(&link);
    send_bytes(&link, LONG_BYTES);
    run(&link, 2500);
    ck_assert_int_eq(link.dead_ms, 0);
    read_all(&link);
    run(&link, 300);
    ck_assert_int_eq(link.dead_ms, 0);
    tear_down(&link);
}
END_TEST

START_TEST(an_end_that_is_gone_behind_a_closed_window_is_noticed)
{
    Link_t link = {0};
    set_up(&link);
    send_bytes(&link, LONG_BYTES);
    run(&link, 1000);
    cut_off(&link);
    run(&link, 6000);
    ck_assert_int_ne(link.dead_ms, 0);
    tear_down(&link);
}
END_TEST

TESTING_MAIN("SendWatch", what_is_acknowledged_is_no_longer_watched,
             an_end_that_is_gone_is_noticed, an_end_that_reads_late_is_alive,
             an_end_that_is_gone_behind_a_closed_window_is_noticed)
