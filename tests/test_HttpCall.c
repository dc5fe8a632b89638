#include "testing.h"

#include <errno.h>
#include <event2/listener.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include "AllocatedBytes.h"
#include "Clock.h"
#include "Errors.h"
#include "FullBacklog.h"
#include "HttpCall.h"

#define CONNECT_MS 200
#define TIMEOUT_MS 5000
/* Longer than the second after which the kernel resends a SYN that the full
 * backlog dropped. */
#define SYN_RETRY_MS 1500
#define SETTLE_MS 100
/* The kernel refuses connections to the broadcast address at once. */
#define NOWHERE "255.255.255.255"
#define NOWHERE_PORT 9
#define BODY_PIECES 10000
#define SETTLE_TURNS 20
#define SETTLE_TURN_US 10000
/* Eight times the longest head. */
#define LINE_PIECE_BYTES 1024
#define LINE_PIECES (8 * HTTP_ANSWER_HEAD_MAX / LINE_PIECE_BYTES)
#define PIECES_TIMEOUT_MS 60000
#define HELD_MAX (2 * HTTP_SHORT_ANSWER_MAX)

static struct event_base *base;
static FullBacklog_t backlog;

static void
stop_loop(evutil_socket_t fd, short what, void *data)
{
    (void)fd;
    (void)what;
    (void)data;
    event_base_loopbreak(base);
}

/* Frees the backlog and blocks the loop until the kernel has established the
 * connection. */
static void
on_connect_timeout(const HttpAnswer_t *answer, const GError *error, void *data)
{
    ck_assert(!answer);
    ck_assert_int_eq(error->code, WT_ERROR_CONNECT);
    FullBacklog_free(&backlog);
    g_usleep(SYN_RETRY_MS * CLOCK_US_PER_MS);
    Clock_arm(data, SETTLE_MS);
}

static void
check_nothing_is_sent(const HttpCallSpec_t *spec)
{
    char bytes[64];
    struct event *end = Clock_timer(base, stop_loop, NULL);
    HttpCall_start(base, spec, on_connect_timeout, end);
    event_base_dispatch(base);
    int accepted = accept(backlog.listener, NULL, NULL);
    ck_assert_int_ge(accepted, 0);
    ck_assert_int_le(recv(accepted, bytes, sizeof(bytes), 0), 0);
    close(accepted);
    event_free(end);
}

/* A call that must not run twice ran at two instances: its connection was
 * established just after the call had ended as not sent. */
START_TEST(request_is_not_sent_after_its_call_ended_as_not_sent)
{
    base = event_base_new();
    for (guint i = 0; i < 2; i++) {
        FullBacklog_listen(&backlog);
        HttpCallSpec_t spec = {
            .address = &backlog.address,
            .method = EVHTTP_REQ_POST,
            .path = "/x",
            .answer_max = HTTP_SHORT_ANSWER_MAX,
            .timeout_ms = i == 0 ? TIMEOUT_MS : CONNECT_MS,
            .connect_timeout_ms = i == 0 ? CONNECT_MS : 0,
        };
        check_nothing_is_sent(&spec);
        FullBacklog_close(&backlog);
    }
    event_base_free(base);
}
END_TEST

static void
note_unconnected(const HttpAnswer_t *answer, const GError *error, void *data)
{
    gboolean *ended = data;
    ck_assert(!answer);
    ck_assert_int_eq(error->code, WT_ERROR_CONNECT);
    *ended = TRUE;
    event_base_loopbreak(base);
}

/* The owner freed its record of a call that ended before it had started, and
 * then wrote to it. */
START_TEST(call_whose_connection_fails_at_once_ends_after_its_start)
{
    Address_t nowhere = {NOWHERE, NOWHERE_PORT};
    HttpCallSpec_t spec = {
        .address = &nowhere,
        .method = EVHTTP_REQ_GET,
        .path = "/x",
        .answer_max = HTTP_SHORT_ANSWER_MAX,
        .timeout_ms = TIMEOUT_MS,
    };
    gboolean ended = FALSE;
    base = event_base_new();
    HttpCall_start(base, &spec, note_unconnected, &ended);
    ck_assert(!ended);
    gint64 started_ms = Clock_nowMs();
    event_base_dispatch(base);
    ck_assert(ended);
    ck_assert_int_lt(Clock_nowMs() - started_ms, TIMEOUT_MS);
    event_base_loop(base, EVLOOP_NONBLOCK);
    event_base_free(base);
}
END_TEST

static void
on_failed(const HttpAnswer_t *answer, const GError *error, void *data)
{
    guint *failures = data;
    *failures += 1;
    ck_assert(!answer);
    ck_assert_int_eq(error->code, WT_ERROR_CONNECT);
}

/* A router ended as its settings named a store at port 0: the callback freed
 * what its owner wrote to once the call was started. */
START_TEST(callback_comes_after_the_start)
{
    static const Address_t address = {"127.0.0.1", 0};
    guint failures = 0;
    HttpCallSpec_t spec = {.address = &address,
                           .path = "/x",
                           .answer_max = HTTP_SHORT_ANSWER_MAX,
                           .timeout_ms = TIMEOUT_MS};
    base = event_base_new();
    HttpCall_start(base, &spec, on_failed, &failures);
    ck_assert_uint_eq(failures, 0);
    event_base_dispatch(base);
    ck_assert_uint_eq(failures, 1);
    HttpCall_cancel(HttpCall_start(base, &spec, on_failed, &failures));
    event_base_dispatch(base);
    ck_assert_uint_eq(failures, 1);
    event_base_free(base);
}
END_TEST

/* A server that sends a piece in each turn of the loop, which reads it in the
 * next one. */
typedef struct {
    struct evconnlistener *listener;
    struct event *turn;
    Address_t address;
    const char *head;
    const char *piece;
    const char *end;
    guint pieces;
    int socket;
    gsize held; /* the most that was allocated */
} PieceServer_t;

/* Returns FALSE once the call has closed. */
static gboolean
send_text(int socket, const char *text)
{
    gssize length = (gssize)strlen(text);
    gssize sent = send(socket, text, (size_t)length, MSG_NOSIGNAL);
    ck_assert(sent == length || errno == EPIPE || errno == ECONNRESET);
    return sent == length;
}

static void
read_request(PieceServer_t *this)
{
    char request[1024];
    if (recv(this->socket, request, sizeof(request), 0) > 0) {
        (void)send_text(this->socket, this->head);
        this->head = NULL;
    }
}

static void
on_turn(evutil_socket_t fd, short what, void *data)
{
    (void)fd;
    (void)what;
    PieceServer_t *this = data;
    if (this->head) {
        read_request(this);
        Clock_arm(this->turn, 0);
        return;
    }
    gboolean is_over = this->pieces == 0;
    if (!send_text(this->socket, is_over ? this->end : this->piece) ||
        is_over) {
        close(this->socket);
        return;
    }
    this->held = MAX(this->held, AllocatedBytes_now());
    this->pieces--;
    Clock_arm(this->turn, 0);
}

static void
on_accept(struct evconnlistener *listener, evutil_socket_t fd,
          struct sockaddr *peer, int length, void *data)
{
    (void)listener;
    (void)peer;
    (void)length;
    PieceServer_t *this = data;
    int on = 1;
    this->socket = fd;
    evutil_make_socket_nonblocking(fd);
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    Clock_arm(this->turn, 0);
}

static void
PieceServer_listen(PieceServer_t *this)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    socklen_t size = sizeof(address);
    this->listener =
        evconnlistener_new_bind(base, on_accept, this, LEV_OPT_CLOSE_ON_FREE,
                                1, (struct sockaddr *)&address, (int)size);
    ck_assert_ptr_nonnull(this->listener);
    getsockname(evconnlistener_get_fd(this->listener),
                (struct sockaddr *)&address, &size);
    this->address = (Address_t){"127.0.0.1", ntohs(address.sin_port)};
    this->turn = Clock_timer(base, on_turn, this);
}

static void
PieceServer_close(const PieceServer_t *this)
{
    evconnlistener_free(this->listener);
    event_free(this->turn);
}

static void
on_whole_answer(const HttpAnswer_t *answer, const GError *error, void *data)
{
    GString *body = data;
    ck_assert_msg(answer != NULL, "%s", error ? error->message : "");
    g_string_append_len(body, answer->body, (gssize)answer->length);
    event_base_loopexit(base, NULL);
}

/* Returns the most that was held meanwhile. */
static gsize
receive(PieceServer_t *server, HttpCallDone_t done, GString *body)
{
    base = event_base_new();
    PieceServer_listen(server);
    HttpCallSpec_t spec = {
        .address = &server->address,
        .method = EVHTTP_REQ_GET,
        .path = "/x",
        .answer_max = HTTP_LIST_ANSWER_MAX,
        .timeout_ms = PIECES_TIMEOUT_MS,
        .accepts_close_delimited = TRUE,
    };
    gsize before = AllocatedBytes_now();
    server->held = before;
    HttpCall_start(base, &spec, done, body);
    event_base_dispatch(base);
    event_base_loop(base, EVLOOP_NONBLOCK);
    PieceServer_close(server);
    event_base_free(base);
    return server->held - before;
}

/* A faulty upstream's answers in small pieces took a router's memory: each
 * read was held in a block of a kilobyte. */
START_TEST(answers_in_small_pieces_take_little_more_than_their_bytes)
{
    static const struct {
        const char *head;
        const char *piece;
        const char *end;
    } forms[] = {
        {"HTTP/1.1 200 OK\r\n\r\n", "four", ""},
        {"HTTP/1.1 200 OK\r\nContent-Length: 40000\r\n\r\n", "four", ""},
        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
         "4\r\nfour\r\n", "0\r\n\r\n"},
    };
    g_autoptr(GString) expected = g_string_new(NULL);
    for (guint i = 0; i < BODY_PIECES; i++) {
        g_string_append(expected, "four");
    }
    for (guint i = 0; i < G_N_ELEMENTS(forms); i++) {
        g_autoptr(GString) body = g_string_new(NULL);
        PieceServer_t server = {.head = forms[i].head,
                                .piece = forms[i].piece,
                                .end = forms[i].end,
                                .pieces = BODY_PIECES};
        gsize held = receive(&server, on_whole_answer, body);
        ck_assert_str_eq(body->str, expected->str);
        ck_assert_msg(held <= HELD_MAX, "form %u: %zu", i, held);
    }
}
END_TEST

static void
on_long_line(const HttpAnswer_t *answer, const GError *error, void *data)
{
    (void)data;
    ck_assert(!answer);
    ck_assert_int_eq(error->code, WT_ERROR_BAD_ANSWER);
    event_base_loopexit(base, NULL);
}

/* A line of a head was taken up to the longest list, and all of it searched
 * again with each read, for most of the processor. */
START_TEST(line_without_end_is_refused_early)
{
    g_autofree char *piece = g_strnfill(LINE_PIECE_BYTES, 'x');
    const char *heads[] = {
        "HTTP/1.1 200 ",
        "HTTP/1.1 200 OK\r\nA: ",
        "HTTP/1.1 103 x\r\nA: ",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nA: ",
    };
    for (guint i = 0; i < G_N_ELEMENTS(heads); i++) {
        PieceServer_t server = {.head = heads[i],
                                .piece = piece,
                                .end = "",
                                .pieces = LINE_PIECES};
        (void)receive(&server, on_long_line, NULL);
        ck_assert_uint_gt(server.pieces, LINE_PIECES / 2);
    }
}
END_TEST

/* What the kernel takes for a process that waits for its processor. */
static gsize
bytes_taken(int socket)
{
    char bytes[4096] = {0};
    gssize written = 0;
    gsize total = 0;
    int unsent = 0;
    evutil_make_socket_nonblocking(socket);
    for (guint i = 0; i < SETTLE_TURNS; i++) {
        while ((written = send(socket, bytes, sizeof(bytes), 0)) > 0) {
            total += (gsize)written;
        }
        g_usleep(SETTLE_TURN_US);
    }
    ck_assert_int_eq(ioctl(socket, SIOCOUTQ, &unsent), 0);
    return total - (gsize)unsent;
}

/* Each of a hundred questions to an upstream that sent without end took a
 * megabyte in the kernel. */
START_TEST(kernel_takes_no_more_of_an_answer_than_its_call_may_take)
{
    gboolean is_many[] = {FALSE, TRUE};
    for (guint i = 0; i < G_N_ELEMENTS(is_many); i++) {
        PieceServer_t server = {0};
        base = event_base_new();
        PieceServer_listen(&server);
        HttpCallSpec_t spec = {
            .address = &server.address,
            .method = EVHTTP_REQ_GET,
            .path = "/x",
            .answer_max =
                is_many[i] ? HTTP_LIST_ANSWER_MAX : HTTP_SHORT_ANSWER_MAX,
            .is_one_of_many = is_many[i],
            .timeout_ms = TIMEOUT_MS,
        };
        HttpCall_t *call = HttpCall_start(base, &spec, NULL, NULL);
        evutil_socket_t listener = evconnlistener_get_fd(server.listener);
        struct pollfd wait = {.fd = listener, .events = POLLIN};
        ck_assert_int_eq(poll(&wait, 1, TIMEOUT_MS), 1);
        int accepted = accept(listener, NULL, NULL);
        gsize taken = bytes_taken(accepted);
        ck_assert_msg(taken <= HTTP_SHORT_ANSWER_MAX, "%zu", taken);
        close(accepted);
        HttpCall_cancel(call);
        event_base_loop(base, EVLOOP_NONBLOCK);
        PieceServer_close(&server);
        event_base_free(base);
    }
}
END_TEST

TESTING_MAIN("HttpCall", line_without_end_is_refused_early,
             kernel_takes_no_more_of_an_answer_than_its_call_may_take,
             answers_in_small_pieces_take_little_more_than_their_bytes,
             request_is_not_sent_after_its_call_ended_as_not_sent,
             call_whose_connection_fails_at_once_ends_after_its_start,
             callback_comes_after_the_start)
