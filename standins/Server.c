#include "Server.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#define MAX_BODY_BYTES (64 << 20)
#define IDLE_TIMEOUT_S 600

typedef struct {
    void (*call)(void *data);
    void *data;
} DelayedCall_t;

const char *Server_host = "127.0.0.1";

void
Server_listen(Server_t *this, guint16 port,
              void (*handle)(struct evhttp_request *, void *), void *data)
{
    /* Without PRECISE_TIMER, timeouts are rounded up to the kernel's tick. */
    struct event_config *config = event_config_new();
    event_config_set_flag(config, EVENT_BASE_FLAG_PRECISE_TIMER);
    this->base = event_base_new_with_config(config);
    event_config_free(config);
    this->http = evhttp_new(this->base);
    evhttp_set_gencb(this->http, handle, data);
    evhttp_set_max_body_size(this->http, MAX_BODY_BYTES);
    evhttp_set_timeout(this->http, IDLE_TIMEOUT_S);
    struct evhttp_bound_socket *bound =
        evhttp_bind_socket_with_handle(this->http, Server_host, port);
    if (!bound) {
        fprintf(stderr, "can't listen on %s:%u\n", Server_host, port);
        exit(1);
    }
    struct sockaddr_in address = {0};
    socklen_t size = sizeof(address);
    getsockname(evhttp_bound_socket_get_fd(bound), (struct sockaddr *)&address,
                &size);
    this->port = ntohs(address.sin_port);
}

ServerNotices_t Server_notices = {.limit_milli = -1};

static void
on_sigterm(evutil_socket_t fd, short what, void *data)
{
    (void)fd;
    (void)what;
    event_base_loopbreak(data);
}

void
Server_run(Server_t *this)
{
    signal(SIGPIPE, SIG_IGN);
    struct event *term =
        evsignal_new(this->base, SIGTERM, on_sigterm, this->base);
    event_add(term, NULL);
    printf("port=%u\n", this->port);
    fflush(stdout);
    event_base_dispatch(this->base);
    event_free(term);
    evhttp_free(this->http);
    event_base_free(this->base);
}

const char *
Server_path(struct evhttp_request *request)
{
    const struct evhttp_uri *uri = evhttp_request_get_evhttp_uri(request);
    const char *path = uri ? evhttp_uri_get_path(uri) : NULL;
    return path ? path : "";
}

json_t *
Server_body(struct evhttp_request *request)
{
    struct evbuffer *input = evhttp_request_get_input_buffer(request);
    size_t length = evbuffer_get_length(input);
    return length > 0 ? json_loadb((char *)evbuffer_pullup(input, -1), length,
                                   0, NULL)
                      : NULL;
}

static void
add_milli_header(struct evkeyvalq *out, const char *name, gint64 milli)
{
    char text[32];
    g_snprintf(text, sizeof(text), "%" G_GINT64_FORMAT ".%03d", milli / 1000,
               (int)(milli % 1000));
    evhttp_add_header(out, name, text);
}

void
Server_addNotices(struct evhttp_request *request, int status)
{
    struct evkeyvalq *out = evhttp_request_get_output_headers(request);
    if (Server_notices.limit_milli >= 0) {
        add_milli_header(out, "X-Request-Limit", Server_notices.limit_milli);
    }
    if (Server_notices.leaving) {
        evhttp_add_header(out, "X-Leaving", "1");
    }
    if (Server_notices.rest_ms > 0 && status == HTTP_SERVUNAVAIL) {
        add_milli_header(out, "Retry-After", Server_notices.rest_ms);
    }
}

void
Server_reply(struct evhttp_request *request, int status, json_t *body)
{
    char *text = json_dumps(body, JSON_COMPACT);
    struct evbuffer *out = evbuffer_new();
    evbuffer_add(out, text, strlen(text));
    evhttp_add_header(evhttp_request_get_output_headers(request),
                      "Content-Type", "application/json");
    Server_addNotices(request, status);
    evhttp_send_reply(request, status, NULL, out);
    evbuffer_free(out);
    free(text);
    json_decref(body);
}

void
Server_refuse(struct evhttp_request *request, int status, const char *code,
              const char *run, guint64 incarnation)
{
    json_t *error = json_pack("{s:s, s:s}", "code", code, "run", run);
    if (incarnation) {
        json_object_set_new(error, "incarnation",
                            json_integer((json_int_t)incarnation));
    }
    Server_reply(request, status, json_pack("{s:o}", "error", error));
}

void
Server_drop(struct evhttp_request *request)
{
    evhttp_connection_free(evhttp_request_get_connection(request));
}

json_t *
Server_control(struct evhttp_request *request, const Parameter_t *parameters,
               gsize count)
{
    json_t *body = Server_body(request);
    json_t *all = json_object();
    for (gsize i = 0; i < count; i++) {
        const json_t *value = json_object_get(body, parameters[i].name);
        if (json_is_integer(value)) {
            *parameters[i].value = json_integer_value(value);
        }
        json_object_set_new(all, parameters[i].name,
                            json_integer(*parameters[i].value));
    }
    Server_reply(request, HTTP_OK, all);
    return body;
}

gboolean
Server_countDown(gint64 *counter)
{
    if (*counter <= 0) {
        return FALSE;
    }
    (*counter)--;
    return TRUE;
}

static void
on_delay_over(evutil_socket_t fd, short what, void *data)
{
    (void)fd;
    (void)what;
    DelayedCall_t *delayed = data;
    delayed->call(delayed->data);
    g_free(delayed);
}

void
Server_callAfter(Server_t *this, gint64 ms, void (*call)(void *data),
                 void *data)
{
    DelayedCall_t *delayed = g_new0(DelayedCall_t, 1);
    delayed->call = call;
    delayed->data = data;
    struct timeval wait = {ms / 1000, (ms % 1000) * 1000};
    event_base_once(this->base, -1, EV_TIMEOUT, on_delay_over, delayed, &wait);
}
