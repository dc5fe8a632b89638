#include "IntakeSocket.h"

#include <event2/buffer.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include "HttpCall.h"

/* A connection that began with less does not scale its window. */
#define WINDOW_BYTES 65535

void
IntakeSocket_widen(struct bufferevent *stream)
{
    evutil_socket_t fd = bufferevent_getfd(stream);
    int window = WINDOW_BYTES;
    int buffer = 2 * WINDOW_BYTES;
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &buffer, sizeof(buffer));
    setsockopt(fd, IPPROTO_TCP, TCP_WINDOW_CLAMP, &window, sizeof(window));
}

gsize
IntakeSocket_unread(struct bufferevent *stream)
{
    int unread = 0;
    return ioctl(bufferevent_getfd(stream), FIONREAD, &unread) == 0
               ? (gsize)unread
               : 0;
}

gboolean
IntakeSocket_hasCallerLeft(struct bufferevent *stream, guint64 missing)
{
    evutil_socket_t fd = bufferevent_getfd(stream);
    struct pollfd state = {.fd = fd, .events = POLLRDHUP};
    if (poll(&state, 1, 0) <= 0 ||
        (state.revents & (POLLRDHUP | POLLHUP | POLLERR)) == 0) {
        return FALSE;
    }
    return (guint64)IntakeSocket_unread(stream) < missing;
}

static void
add_refusal(struct evbuffer *output, Refusal_t refusal)
{
    GString *body = Refusal_body(refusal, RUN_NOT, NULL);
    guint retry_after_s = Refusal_spec(refusal)->retry_after_ms / 1000;
    g_autofree char *retry_after =
        retry_after_s > 0
            ? g_strdup_printf("Retry-After: %u\r\n", retry_after_s)
            : g_strdup("");
    evbuffer_add_printf(output,
                        "HTTP/1.1 %d Refused\r\n"
                        "Content-Type: application/json\r\n"
                        "Content-Length: %" G_GSIZE_FORMAT "\r\n"
                        "%sConnection: close\r\n\r\n%s",
                        Refusal_spec(refusal)->status, body->len, retry_after,
                        body->str);
    g_string_free(body, TRUE);
}

/* evhttp ends the connection of what it has not read whole without an answer
 * of ours. */
void
IntakeSocket_writeRefusal(struct bufferevent *stream, Refusal_t refusal)
{
    void *connection = NULL;
    bufferevent_getcb(stream, NULL, NULL, NULL, &connection);
    add_refusal(bufferevent_get_output(stream), refusal);
    Http_flush(connection);
}

/* libevent keeps others from taking bytes from a connection's output. */
void
IntakeSocket_replaceOutput(struct bufferevent *stream, Refusal_t refusal)
{
    struct evbuffer *output = bufferevent_get_output(stream);
    gsize length = evbuffer_get_length(output);
    add_refusal(output, refusal);
    evbuffer_unfreeze(output, TRUE);
    evbuffer_drain(output, length);
    evbuffer_freeze(output, TRUE);
}
