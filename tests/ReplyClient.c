#include "ReplyClient.h"

#include <netinet/in.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "InputHold.h"
#include "testing.h"

static struct event_base *base;
static struct evhttp *http;
static struct evhttp_connection *server_side;
static void (*handle)(struct evhttp_request *request);
static GString *received;
static int client;

static void
on_request(struct evhttp_request *request, void *data)
{
    (void)data;
    server_side = evhttp_request_get_connection(request);
    InputHold_begin(request);
    handle(request);
}

void
ReplyClient_connect(const char *request,
                    void (*handler)(struct evhttp_request *request))
{
    struct sockaddr_in address = {0};
    socklen_t size = sizeof(address);
    handle = handler;
    base = event_base_new();
    http = evhttp_new(base);
    evhttp_set_gencb(http, on_request, NULL);
    struct evhttp_bound_socket *bound =
        evhttp_bind_socket_with_handle(http, OwnHost_get(), 0);
    getsockname(evhttp_bound_socket_get_fd(bound), (struct sockaddr *)&address,
                &size);
    client = socket(AF_INET, SOCK_STREAM, 0);
    g_assert(connect(client, (struct sockaddr *)&address, size) == 0);
    g_assert(write(client, request, strlen(request)) > 0);
    received = g_string_new(NULL);
}

int
ReplyClient_readUntil(gsize count)
{
    char part[256];
    while (received->len < count) {
        struct pollfd readable = {.fd = client, .events = POLLIN};
        event_base_loop(base, EVLOOP_NONBLOCK);
        if (poll(&readable, 1, 1) == 0) {
            continue;
        }
        ssize_t length = read(client, part, sizeof(part));
        if (length <= 0) {
            return length == 0 ? 0 : -1;
        }
        g_string_append_len(received, part, length);
    }
    return 1;
}

void
ReplyClient_endInput(void)
{
    g_assert(shutdown(client, SHUT_WR) == 0);
}

void
ReplyClient_leave(void)
{
    close(client);
    client = -1;
}

void
ReplyClient_run(guint ms)
{
    struct timeval time = {ms / 1000, (ms % 1000) * 1000};
    event_base_loopexit(base, &time);
    event_base_dispatch(base);
}

const GString *
ReplyClient_received(void)
{
    return received;
}

gboolean
ReplyClient_hasReceived(const char *text)
{
    return strstr(received->str, text) != NULL;
}

struct evhttp_connection *
ReplyClient_serverSide(void)
{
    return server_side;
}

struct event_base *
ReplyClient_base(void)
{
    return base;
}

void
ReplyClient_close(void)
{
    if (client >= 0) {
        close(client);
    }
    evhttp_free(http);
    event_base_free(base);
    g_string_free(received, TRUE);
}
