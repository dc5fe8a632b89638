#include "testing.h"

#include <arpa/inet.h>
#include <event2/http.h>
#include <fcntl.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "IdleCallers.h"
#include "PendingReply.h"

#define CALLERS 3

/* A server with the connections of callers, in the order of their accept. */
typedef struct {
    struct event_base *base;
    struct evhttp *server;
    Counters_t *counters;
    int callers[CALLERS];
    struct sockaddr_in address;
} Server_t;

static struct bufferevent *
create_connection(struct event_base *base, void *data)
{
    (void)data;
    struct bufferevent *bev =
        bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE);
    IdleCallers_watchNew(bev);
    return bev;
}

static void
on_request(struct evhttp_request *request, void *data)
{
    (void)data;
    PendingReply_watch(request, "id");
    evhttp_send_reply(request, 200, "OK", NULL);
}

static void
turn(const Server_t *this, guint ms)
{
    struct timeval left = {0, (suseconds_t)ms * 1000};
    event_base_loopexit(this->base, &left);
    event_base_dispatch(this->base);
}

static void
set_up(Server_t *this)
{
    socklen_t size = sizeof(this->address);
    this->base = event_base_new();
    this->counters = Counters_create();
    IdleCallers_init(this->base, this->counters);
    this->server = evhttp_new(this->base);
    evhttp_set_bevcb(this->server, create_connection, NULL);
    evhttp_set_gencb(this->server, on_request, NULL);
    struct evhttp_bound_socket *bound =
        evhttp_bind_socket_with_handle(this->server, OwnHost_get(), 0);
    getsockname(evhttp_bound_socket_get_fd(bound),
                (struct sockaddr *)&this->address, &size);
    for (int i = 0; i < CALLERS; i++) {
        this->callers[i] = socket(AF_INET, SOCK_STREAM, 0);
        ck_assert_int_eq(
            connect(this->callers[i], (struct sockaddr *)&this->address, size),
            0);
        turn(this, 20);
    }
}

static void
tear_down(Server_t *this)
{
    evhttp_free(this->server);
    turn(this, 1);
    ck_assert_uint_eq(IdleCallers_count(), 0);
    for (int i = 0; i < CALLERS; i++) {
        close(this->callers[i]);
    }
    IdleCallers_clear();
    Counters_destroy(this->counters);
    event_base_free(this->base);
}

static void
send_text(int caller, const char *text)
{
    ck_assert_int_eq(write(caller, text, strlen(text)), (ssize_t)strlen(text));
}

static gboolean
is_closed(int caller)
{
    char bytes[1000];
    ssize_t count = 0;
    do {
        count = recv(caller, bytes, sizeof(bytes), MSG_DONTWAIT);
    } while (count > 0);
    return count == 0;
}

START_TEST(the_longest_idle_is_closed_first)
{
    Server_t server = {0};
    set_up(&server);
    turn(&server, IDLE_CALLERS_MIN_MS);
    send_text(server.callers[0], "GET / HTTP/1.1\r\n\r\n");
    turn(&server, IDLE_CALLERS_MIN_MS);
    ck_assert_uint_eq(IdleCallers_count(), CALLERS);
    ck_assert_uint_eq(IdleCallers_close(1), 1);
    turn(&server, 20);
    ck_assert(!is_closed(server.callers[0]));
    ck_assert(is_closed(server.callers[1]));
    ck_assert(!is_closed(server.callers[2]));
    ck_assert_uint_eq(IdleCallers_close(CALLERS), 2);
    tear_down(&server);
}
END_TEST

START_TEST(a_connection_is_kept_that_was_used_just_now)
{
    Server_t server = {0};
    set_up(&server);
    turn(&server, IDLE_CALLERS_MIN_MS);
    send_text(server.callers[1], "GET / HTTP/1.1\r\n\r\n");
    turn(&server, 20);
    ck_assert_uint_eq(IdleCallers_close(CALLERS), 2);
    ck_assert(!is_closed(server.callers[1]));
    tear_down(&server);
}
END_TEST

START_TEST(a_request_that_arrives_keeps_its_connection)
{
    Server_t server = {0};
    set_up(&server);
    turn(&server, IDLE_CALLERS_MIN_MS);
    send_text(server.callers[0], "GET / HT");
    turn(&server, 20);
    ck_assert_uint_eq(IdleCallers_count(), 2);
    send_text(server.callers[1], "GET / HT"); /* is not read yet */
    ck_assert_uint_eq(IdleCallers_close(CALLERS), 1);
    send_text(server.callers[0], "TP/1.1\r\n\r\n");
    send_text(server.callers[1], "TP/1.1\r\n\r\n");
    turn(&server, 20);
    ck_assert_uint_eq(IdleCallers_count(), 2);
    tear_down(&server);
}
END_TEST

START_TEST(a_caller_that_leaves_is_forgotten)
{
    Server_t server = {0};
    set_up(&server);
    shutdown(server.callers[0], SHUT_RDWR);
    turn(&server, 20);
    ck_assert_uint_eq(IdleCallers_count(), 2);
    tear_down(&server);
}
END_TEST

TESTING_MAIN("IdleCallers", the_longest_idle_is_closed_first,
             a_connection_is_kept_that_was_used_just_now,
             a_request_that_arrives_keeps_its_connection,
             a_caller_that_leaves_is_forgotten)
