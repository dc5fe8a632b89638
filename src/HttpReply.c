#include "HttpReply.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http_struct.h>
#include <sys/ioctl.h>

#include "Buffers.h"
#include "PendingReply.h"
#include "ResetOnClose.h"

static gboolean
has_next_request(struct evhttp_request *request)
{
    struct evhttp_connection *connection =
        evhttp_request_get_connection(request);
    int unread = 0;
    if (!connection) {
        return FALSE; /* the caller has left */
    }
    struct bufferevent *stream = evhttp_connection_get_bufferevent(connection);
    return evbuffer_get_length(bufferevent_get_input(stream)) > 0 ||
           (ioctl(bufferevent_getfd(stream), FIONREAD, &unread) == 0 &&
            unread > 0);
}

/* evhttp would answer a Connection field of the request by another one. */
void
HttpReply_close(struct evhttp_request *request)
{
    struct evkeyvalq *in = evhttp_request_get_input_headers(request);
    struct evkeyvalq *out = evhttp_request_get_output_headers(request);
    while (evhttp_remove_header(in, "Connection") == 0) {
    }
    evhttp_remove_header(out, "Connection");
    evhttp_add_header(out, "Connection", "close");
}

void
HttpReply_closeAfter(struct evhttp_request *request)
{
    struct evkeyvalq *out = evhttp_request_get_output_headers(request);
    if (!evhttp_find_header(out, "Connection") && !has_next_request(request)) {
        HttpReply_close(request);
    }
}

static gboolean
can_read_chunks(const struct evhttp_request *request)
{
    return request->major > 1 || (request->major == 1 && request->minor >= 1);
}

/* evhttp adds chunks, or for HTTP/1.0 a length of 0, unless the request is a
 * HEAD.
 */
static void
start_close_delimited(struct evhttp_request *request, int status)
{
    enum evhttp_cmd_type method = request->type;
    HttpReply_close(request);
    ResetOnClose_add(evhttp_request_get_connection(request));
    request->type = EVHTTP_REQ_HEAD;
    evhttp_send_reply_start(request, status, NULL);
    request->type = method;
}

void
HttpReply_startStream(struct evhttp_request *request, int status,
                      gboolean is_end_proven)
{
    gboolean has_body = status != HTTP_NOCONTENT && status != HTTP_NOTMODIFIED;
    if (has_body && (!is_end_proven || !can_read_chunks(request))) {
        start_close_delimited(request, status);
    }
    else {
        evhttp_send_reply_start(request, status, NULL);
    }
}

/* evhttp adds a length for HTTP/1.1 only, and to a whole body. */
static void
add_length(struct evhttp_request *request, gsize length)
{
    struct evkeyvalq *out = evhttp_request_get_output_headers(request);
    g_autofree char *text = g_strdup_printf("%" G_GSIZE_FORMAT, length);
    evhttp_add_header(out, "Content-Length", text);
}

void
HttpReply_startBody(struct evhttp_request *request, int status, gsize length)
{
    add_length(request, length);
    evhttp_send_reply_start(request, status, NULL);
}

gboolean
HttpReply_isCloseDelimited(const struct evhttp_request *request)
{
    return !request->chunked &&
           !evhttp_find_header(request->output_headers, "Content-Length");
}

/* As evhttp decides it. */
static gboolean
has_body(const struct evhttp_request *request)
{
    int status = request->response_code;
    return request->type != EVHTTP_REQ_HEAD &&
           request->type != EVHTTP_REQ_CONNECT && status >= HTTP_OK &&
           status != HTTP_NOCONTENT && status != HTTP_NOTMODIFIED;
}

gboolean
HttpReply_appendPart(struct evhttp_request *request, struct evbuffer *part)
{
    struct bufferevent *stream = evhttp_connection_get_bufferevent(
        evhttp_request_get_connection(request));
    struct evbuffer *output = bufferevent_get_output(stream);
    gsize length = evbuffer_get_length(part);
    if (length == 0 || evbuffer_get_length(output) == 0 ||
        !has_body(request)) {
        return FALSE;
    }
    if (request->chunked) {
        evbuffer_add_printf(output, "%" G_GSIZE_MODIFIER "x\r\n", length);
    }
    Buffers_append(output, part);
    if (request->chunked) {
        evbuffer_add(output, "\r\n", 2);
    }
    return TRUE;
}

void
HttpReply_endStream(struct evhttp_request *request, const char *id)
{
    PendingReply_watch(request, id);
    evhttp_send_reply_end(request);
}

/* evhttp would send it, and the caller take it for the next answer. */
static void
drop_needless_body(const struct evhttp_request *request, struct evbuffer *body)
{
    if (request->type == EVHTTP_REQ_HEAD) {
        evbuffer_drain(body, evbuffer_get_length(body));
    }
}

void
HttpReply_sendBody(struct evhttp_request *request, const char *id, int status,
                   const char *reason, struct evbuffer *body,
                   gboolean is_end_proven)
{
    drop_needless_body(request, body);
    gsize length = evbuffer_get_length(body);
    if (!is_end_proven && evhttp_request_get_connection(request)) {
        HttpReply_startStream(request, status, FALSE);
        evhttp_send_reply_chunk(request, body);
        HttpReply_endStream(request, id);
        return;
    }
    if (length > 0 && !can_read_chunks(request)) {
        add_length(request, length);
    }
    PendingReply_watch(request, id);
    evhttp_send_reply(request, status, reason, body);
}
