/* Fuzz target for what callers send on one connection: what a router passes on
 * is what a strict reader of the same bytes sees, request by request. */
#include <errno.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <event2/listener.h>
#include <string.h>
#include <sys/queue.h>
#include <sys/socket.h>
#include <sys/un.h>
#include <unistd.h>

#include "FleetRelay.h"
#include "LingeringClose.h"
#include "RequestHead.h"
#include "RequestIntake.h"
#include "targets.h"

#define BODY_MAX 65536
#define END_TURNS 8
#define TURNS_PER_REQUEST 4 /* of the event loop */

static const struct {
    enum evhttp_cmd_type type;
    const char *name;
} methods[] = {
    {EVHTTP_REQ_GET, "GET"},       {EVHTTP_REQ_POST, "POST"},
    {EVHTTP_REQ_HEAD, "HEAD"},     {EVHTTP_REQ_PUT, "PUT"},
    {EVHTTP_REQ_DELETE, "DELETE"}, {EVHTTP_REQ_OPTIONS, "OPTIONS"},
    {EVHTTP_REQ_TRACE, "TRACE"},   {EVHTTP_REQ_CONNECT, "CONNECT"},
    {EVHTTP_REQ_PATCH, "PATCH"},
};

/* One request as a reader sees it. */
typedef struct {
    char *method; /* NULL if it is refused, whatever it is */
    char *target;
    GByteArray *body;
} Seen_t;

static void
free_seen(gpointer data)
{
    Seen_t *this = data;
    g_free(this->method);
    g_free(this->target);
    g_byte_array_unref(this->body);
    g_free(this);
}

/* ---- a strict reader, RFC 9112 ---- */

typedef struct {
    const char *at;
    gsize left;
} Input_t;

/* Returns the next line without its end, or NULL if it has none. */
static char *
take_line(Input_t *in)
{
    const char *end = memchr(in->at, '\n', in->left);
    gsize length = end ? (gsize)(end - in->at) : 0;
    if (!end || length == 0 || end[-1] != '\r' ||
        memchr(in->at, '\0', length) || memchr(in->at, '\r', length - 1)) {
        return NULL;
    }
    char *line = g_strndup(in->at, length - 1);
    in->at = end + 1;
    in->left -= length + 1;
    return line;
}

static gboolean
take_bytes(Input_t *in, guint64 count, GByteArray *out)
{
    if (count > in->left) {
        return FALSE;
    }
    g_byte_array_append(out, (const guint8 *)in->at, (guint)count);
    in->at += count;
    in->left -= count;
    return TRUE;
}

/* Returns the path and the query of a target in absolute form, and others as
 * they are. */
static char *
read_target(const char *method, const char *target)
{
    const char *colon = strstr(target, "://");
    gsize scheme = colon ? (gsize)(colon - target) : 0;
    const char *host = colon ? colon + strlen("://") : "";
    gsize length = strcspn(host, "/?#");
    gboolean is_http =
        (scheme == 4 && g_ascii_strncasecmp(target, "http", 4) == 0) ||
        (scheme == 5 && g_ascii_strncasecmp(target, "https", 5) == 0);
    if (!is_http || length == 0 || memchr(host, '@', length)) {
        return g_strdup(target);
    }
    if (host[length] == '\0' && strcmp(method, "OPTIONS") == 0) {
        return g_strdup("*");
    }
    return g_strconcat(host[length] == '/' ? "" : "/", host + length, NULL);
}

static gboolean
read_request_line(const char *line, Seen_t *out)
{
    g_auto(GStrv) words = g_strsplit(line, " ", -1);
    if (g_strv_length(words) != 3 || !*words[0] || !*words[1] ||
        !g_str_has_prefix(words[2], "HTTP/")) {
        return FALSE;
    }
    out->method = g_strdup(words[0]);
    out->target = read_target(words[0], words[1]);
    return TRUE;
}

typedef struct {
    guint lengths;
    guint codings;
    guint64 length;
} Framing_t;

static gboolean
is_number(const char *value)
{
    return *value && value[strspn(value, "0123456789")] == '\0' &&
           strlen(value) < 10;
}

static gboolean
read_field(const char *line, Framing_t *out)
{
    const char *colon = strchr(line, ':');
    if (!colon || colon == line || strcspn(line, " \t") < 1 ||
        strcspn(line, " \t") < (gsize)(colon - line)) {
        return FALSE;
    }
    g_autofree char *name = g_strndup(line, (gsize)(colon - line));
    g_autofree char *value = g_strstrip(g_strdup(colon + 1));
    if (g_ascii_strcasecmp(name, "Content-Length") == 0) {
        out->lengths++;
        out->length = g_ascii_strtoull(value, NULL, 10);
        return is_number(value);
    }
    if (g_ascii_strcasecmp(name, RELAY_METHOD) == 0) {
        return FALSE;
    }
    if (g_ascii_strcasecmp(name, "Transfer-Encoding") == 0) {
        out->codings++;
        return g_ascii_strcasecmp(value, "chunked") == 0;
    }
    return TRUE;
}

/* Reads fields up to the empty line. */
static gboolean
read_fields(Input_t *in, Framing_t *out)
{
    for (;;) {
        g_autofree char *line = take_line(in);
        if (!line || (*line && !read_field(line, out))) {
            return FALSE;
        }
        if (!*line) {
            return out->lengths + out->codings <= 1;
        }
    }
}

/* Returns the size of a chunk, or -1 if its line is no sound one. */
static gint64
read_chunk_size(Input_t *in)
{
    g_autofree char *line = take_line(in);
    gsize digits = line ? strspn(line, "0123456789abcdefABCDEF") : 0;
    if (digits == 0) {
        return -1;
    }
    const char *rest = line + digits + strspn(line + digits, " \t");
    guint64 size = g_ascii_strtoull(line, NULL, 16);
    gboolean is_sound = *rest == '\0' || *rest == ';';
    return is_sound && size < G_MAXINT32 ? (gint64)size : -1;
}

static gboolean
take_line_end(Input_t *in)
{
    g_autofree char *line = take_line(in);
    return line && !*line;
}

static gboolean
read_chunks(Input_t *in, GByteArray *out)
{
    Framing_t trailers = {0};
    gint64 size = read_chunk_size(in);
    while (size > 0) {
        if (!take_bytes(in, (guint64)size, out) || !take_line_end(in)) {
            return FALSE;
        }
        size = read_chunk_size(in);
    }
    return size == 0 && read_fields(in, &trailers) &&
           trailers.lengths + trailers.codings == 0;
}

static gboolean
read_body(Input_t *in, const Framing_t *framing, GByteArray *out)
{
    return framing->codings > 0 ? read_chunks(in, out)
                                : take_bytes(in, framing->length, out);
}

static gboolean
read_request(Input_t *in, Seen_t *out)
{
    Framing_t framing = {0};
    g_autofree char *line = take_line(in);
    while (line && !*line) {
        g_free(line);
        line = take_line(in);
    }
    return line && read_request_line(line, out) && read_fields(in, &framing) &&
           read_body(in, &framing, out->body);
}

/* Returns the requests before the first one that is not sound or not whole;
 * @in has the rest. */
static GPtrArray *
read_strictly(Input_t *in)
{
    GPtrArray *requests = g_ptr_array_new_with_free_func(free_seen);
    gboolean is_sound = TRUE;
    while (is_sound && in->left > 0) {
        Seen_t *seen = g_new0(Seen_t, 1);
        seen->body = g_byte_array_new();
        is_sound = read_request(in, seen);
        if (is_sound) {
            g_ptr_array_add(requests, seen);
        }
        else {
            free_seen(seen);
        }
    }
    return requests;
}

/* ---- the router's side ---- */

static struct {
    struct event_base *base;
    struct sockaddr_un address;
    socklen_t address_size;
    IntakeLimits_t limits;
    GPtrArray *passed; /* Seen_t, in order */
    gboolean is_refused;
} side;

static const char *
find_method(enum evhttp_cmd_type type)
{
    for (gsize i = 0; i < G_N_ELEMENTS(methods); i++) {
        if (methods[i].type == type) {
            return methods[i].name;
        }
    }
    return NULL;
}

/* As evhttp writes a request with a body. */
static GString *
write_request(struct evhttp_request *http, const Seen_t *seen)
{
    struct evkeyvalq out;
    const struct evkeyval *header = NULL;
    RelayOrder_t order = {.instance = "i-1", .wait_ms = 250, .salt = "s"};
    GString *text = g_string_new(NULL);
    TAILQ_INIT(&out);
    FleetRelay_upstream.write_head(evhttp_request_get_input_headers(http),
                                   &order, &out);
    g_string_printf(text, "%s %s HTTP/1.1\r\n", seen->method, seen->target);
    TAILQ_FOREACH(header, &out, next)
    {
        g_string_append_printf(text, "%s: %s\r\n", header->key, header->value);
    }
    if (!evhttp_find_header(&out, "Content-Length")) {
        g_string_append_printf(text, "Content-Length: %u\r\n",
                               seen->body->len);
    }
    g_string_append(text, "\r\n");
    g_string_append_len(text, (const char *)seen->body->data, seen->body->len);
    evhttp_clear_headers(&out);
    return text;
}

static void
assert_equal(const Seen_t *one, const Seen_t *other)
{
    g_assert_cmpstr(one->method, ==, other->method);
    g_assert_cmpstr(one->target, ==, other->target);
    g_assert_cmpmem(one->body->data, one->body->len, other->body->data,
                    other->body->len);
}

/* What goes on is one request, and the same one. */
static void
check_onward(struct evhttp_request *http, const Seen_t *seen)
{
    GString *text = write_request(http, seen);
    Input_t in = {text->str, text->len};
    g_autoptr(GPtrArray) read = read_strictly(&in);
    g_assert_cmpuint(read->len, ==, 1);
    g_assert_cmpuint(in.left, ==, 0);
    assert_equal(seen, g_ptr_array_index(read, 0));
    g_string_free(text, TRUE);
}

static void
refuse(struct evhttp_request *http)
{
    evhttp_add_header(evhttp_request_get_output_headers(http), "Connection",
                      "close");
    RequestIntake_dropBody(http);
    side.is_refused = TRUE;
    evhttp_send_reply(http, HTTP_BADREQUEST, "Refused", NULL);
}

static void
on_request(struct evhttp_request *http, void *data)
{
    (void)data;
    Seen_t *seen = g_new0(Seen_t, 1);
    RequestHead_normalize(http);
    RequestIntake_noteTaken(http);
    const char *method = RequestHead_unnamedMethod(http);
    if (!method) {
        method = find_method(evhttp_request_get_command(http));
    }
    seen->body = g_byte_array_new();
    g_assert(!side.is_refused);
    if (RequestIntake_isAmbiguous(http)) {
        refuse(http);
        free_seen(seen);
        return;
    }
    GBytes *body = RequestIntake_takeBody(http);
    g_byte_array_append(seen->body, g_bytes_get_data(body, NULL),
                        (guint)g_bytes_get_size(body));
    g_bytes_unref(body);
    g_ptr_array_add(side.passed, seen);
    if (method) {
        seen->method = g_strdup(method);
        seen->target = g_strdup(evhttp_request_get_uri(http));
        check_onward(http, seen);
    }
    evhttp_send_reply(http, method ? HTTP_OK : HTTP_BADMETHOD, "x", NULL);
}

static struct bufferevent *
create_connection(struct event_base *base, void *data)
{
    struct bufferevent *stream =
        bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE);
    RequestIntake_watch(stream, data);
    return stream;
}

/* A name that the kernel chooses, without a file. */
static struct evconnlistener *
listen_locally(void)
{
    int fd = socket(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0);
    side.address.sun_family = AF_UNIX;
    side.address_size = sizeof(side.address);
    g_assert(bind(fd, (struct sockaddr *)&side.address, sizeof(sa_family_t)) ==
             0);
    g_assert(getsockname(fd, (struct sockaddr *)&side.address,
                         &side.address_size) == 0);
    return evconnlistener_new(side.base, NULL, NULL, LEV_OPT_CLOSE_ON_FREE, -1,
                              fd);
}

/* All methods, so that the router's own check decides. */
static void
begin(void)
{
    side.base = event_base_new();
    side.limits = (IntakeLimits_t){.budget = BodyBudget_create(0),
                                   .memory = MemoryUse_create(0),
                                   .max_body = BODY_MAX,
                                   .counters = Counters_create()};
    LingeringClose_init(side.base);
    RequestIntake_begin(side.base, &side.limits);
    struct evhttp *server = evhttp_new(side.base);
    evhttp_set_allowed_methods(server, G_MAXUINT16);
    evhttp_set_max_body_size(server, BODY_MAX);
    evhttp_set_max_headers_size(server, BODY_MAX);
    evhttp_set_bevcb(server, create_connection, &side.limits);
    evhttp_set_gencb(server, on_request, NULL);
    g_assert_nonnull(evhttp_bind_listener(server, listen_locally()));
}

static int
connect_caller(void)
{
    int fd = socket(AF_UNIX, SOCK_STREAM, 0);
    g_assert(fd >= 0);
    g_assert(
        connect(fd, (struct sockaddr *)&side.address, side.address_size) == 0);
    return fd;
}

/* Returns whether the connection is still open. */
static gboolean
run_side(int fd)
{
    char bytes[4096];
    event_base_loop(side.base, EVLOOP_NONBLOCK);
    ssize_t got = recv(fd, bytes, sizeof(bytes), MSG_DONTWAIT);
    return got > 0 || (got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK));
}

static void
send_bytes(int fd, const uint8_t *data, size_t size)
{
    (void)!send(fd, data, size, MSG_NOSIGNAL);
    run_side(fd);
}

/* Runs until all requests that are expected can have been answered. Returns
 * whether the connection is still open. */
static gboolean
run_requests(int fd, guint expected)
{
    gboolean is_open = TRUE;
    guint turns = TURNS_PER_REQUEST * (expected + 1);
    while (turns > 0 && is_open) {
        is_open = run_side(fd);
        turns--;
    }
    return is_open;
}

/* Requests are left out only behind a refusal, which closes the connection. */
static void
check_passed(const GPtrArray *expected, gboolean is_open)
{
    g_assert_cmpuint(side.passed->len, <=, expected->len);
    g_assert(side.passed->len == expected->len || !is_open);
    for (guint i = 0; i < side.passed->len; i++) {
        const Seen_t *seen = g_ptr_array_index(side.passed, i);
        if (seen->method) {
            assert_equal(seen, g_ptr_array_index(expected, i));
        }
    }
}

/* What is refused is freed some turns after the caller has closed. */
static void
end_connection(void)
{
    for (guint turn = 0; turn < END_TURNS || LingeringClose_count() > 0;
         turn++) {
        event_base_loop(side.base, EVLOOP_NONBLOCK);
    }
}

/* The first byte tells where the other bytes are split. */
int
Fuzz_requestFraming(const uint8_t *data, size_t size)
{
    if (size == 0) {
        return 0;
    }
    if (!side.base) {
        begin();
    }
    Input_t in = {(const char *)data + 1, size - 1};
    size_t cut = MIN((size_t)data[0], in.left);
    g_autoptr(GPtrArray) expected = read_strictly(&in);
    side.passed = g_ptr_array_new_with_free_func(free_seen);
    side.is_refused = FALSE;
    int fd = connect_caller();
    send_bytes(fd, data + 1, cut);
    send_bytes(fd, data + 1 + cut, size - 1 - cut);
    gboolean is_open = run_requests(fd, expected->len);
    shutdown(fd, SHUT_WR);
    while (run_side(fd)) {
    }
    close(fd);
    end_connection();
    check_passed(expected, is_open);
    g_ptr_array_unref(side.passed);
    RequestIntake_clear();
    return 0;
}
