/* An address at which requests are answered. */
#include "testing.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "HttpListener.h"
#include "IdleCallers.h"
#include "LingeringClose.h"

static const char request[] = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
static Settings_t settings;
static Context_t context;
static IntakeLimits_t intake;
static Address_t address;
static HttpListener_t *listener;

static void
answer(struct evhttp_request *http, void *data)
{
    ck_assert_ptr_eq(data, &context);
    evhttp_send_reply(http, HTTP_OK, NULL, NULL);
}

static void
begin(guint16 port)
{
    settings.limits.read_timeout_ms = 1000;
    settings.limits.max_header = 1000;
    settings.limits.max_body = 1000;
    context = (Context_t){.base = event_base_new(),
                          .settings = &settings,
                          .counters = Counters_create()};
    intake = (IntakeLimits_t){.budget = BodyBudget_create(0),
                              .memory = MemoryUse_create(0),
                              .max_body = 1000,
                              .max_header = 1000,
                              .counters = context.counters};
    address = (Address_t){"127.0.0.1", port};
    LingeringClose_init(context.base);
    IdleCallers_init(context.base, context.counters);
    RequestIntake_begin(context.base, &intake);
    HttpListenerSpec_t spec = {&context, &intake, "listen", &address, answer};
    listener = HttpListener_create(&spec);
}

static void
end(void)
{
    HttpListener_destroy(listener);
    event_base_loop(context.base, EVLOOP_NONBLOCK);
    IdleCallers_clear();
    LingeringClose_clear();
    RequestIntake_clear();
    Arrivals_destroy(intake.arrivals);
    MemoryUse_destroy(intake.memory);
    BodyBudget_unref(intake.budget);
    Counters_destroy(context.counters);
    event_base_free(context.base);
}

static void
run_loop(glong ms)
{
    struct timeval time = {0, ms * 1000};
    event_base_loopexit(context.base, &time);
    event_base_dispatch(context.base);
}

/* Returns whether a request is answered at the listener's port. */
static gboolean
is_answered(void)
{
    char bytes[16] = {0};
    struct sockaddr_in to = {.sin_family = AF_INET,
                             .sin_port = htons(HttpListener_port(listener))};
    to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    ck_assert_int_eq(connect(fd, (struct sockaddr *)&to, sizeof(to)), 0);
    ck_assert_int_gt(send(fd, request, sizeof(request) - 1, 0), 0);
    run_loop(100);
    ssize_t length = recv(fd, bytes, sizeof(bytes) - 1, MSG_DONTWAIT);
    close(fd);
    run_loop(20);
    return length > 0 && g_str_has_prefix(bytes, "HTTP/1.1 200");
}

START_TEST(requests_are_answered_at_the_port_that_the_system_chose)
{
    begin(0);
    ck_assert_uint_eq(HttpListener_port(listener), 0);
    ck_assert_ptr_null(HttpListener_server(listener));
    ck_assert(HttpListener_open(listener, NULL));
    ck_assert_uint_gt(HttpListener_port(listener), 0);
    ck_assert(is_answered());
    HttpListener_applyLimits(listener);
    ck_assert(is_answered());
    end();
}
END_TEST

START_TEST(pause_of_accept_is_given_away_once)
{
    begin(0);
    ck_assert(HttpListener_open(listener, NULL));
    AcceptPause_t *pause = HttpListener_takePause(listener);
    ck_assert_ptr_nonnull(pause);
    ck_assert_ptr_null(HttpListener_takePause(listener));
    AcceptPause_destroy(pause);
    end();
}
END_TEST

START_TEST(it_opens_once_its_address_is_free)
{
    struct sockaddr_in held = {.sin_family = AF_INET};
    socklen_t size = sizeof(held);
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    held.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    ck_assert_int_eq(bind(fd, (struct sockaddr *)&held, size), 0);
    ck_assert_int_eq(listen(fd, 1), 0);
    getsockname(fd, (struct sockaddr *)&held, &size);
    begin(ntohs(held.sin_port));
    ck_assert(HttpListener_openLate(listener, NULL));
    ck_assert(HttpListener_isLate(listener));
    ck_assert_ptr_null(HttpListener_server(listener));
    close(fd);
    for (guint i = 0; i < 50 && !HttpListener_server(listener); i++) {
        run_loop(50);
    }
    ck_assert(is_answered());
    end();
}
END_TEST

TESTING_MAIN("HttpListener",
             requests_are_answered_at_the_port_that_the_system_chose,
             pause_of_accept_is_given_away_once,
             it_opens_once_its_address_is_free)
