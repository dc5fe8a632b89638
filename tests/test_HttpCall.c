#include "testing.h"

#include <sys/socket.h>
#include <unistd.h>

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

TESTING_MAIN("HttpCall", request_is_not_sent_after_its_call_ended_as_not_sent,
             callback_comes_after_the_start)
