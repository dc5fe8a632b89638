#include "testing.h"

#include <errno.h>
#include <signal.h>
#include <string.h>

#include "Clock.h"
#include "Errors.h"
#include "ListenRetry.h"
#include "StopSignals.h"

typedef struct {
    int code;       /* errno of the attempts that fail */
    guint failures; /* attempts that fail before one succeeds */
    guint tries;
} FakeSocket_t;

static const Address_t address = {"127.0.0.1", 80};

static gboolean
open_fake(void *owner)
{
    FakeSocket_t *this = owner;
    errno = this->code;
    return this->tries++ >= this->failures;
}

static ListenRetry_t
make_retry(FakeSocket_t *socket)
{
    return (ListenRetry_t){.setting = "listen",
                           .address = &address,
                           .open = open_fake,
                           .owner = socket};
}

START_TEST(an_error_that_may_pass_is_waited_out)
{
    static const int codes[] = {EADDRINUSE, EADDRNOTAVAIL, EMFILE,
                                ENFILE,     ENOBUFS,       ENOMEM};
    for (gsize i = 0; i < G_N_ELEMENTS(codes); i++) {
        g_autoptr(GError) error = NULL;
        FakeSocket_t socket = {.code = codes[i], .failures = 3};
        ListenRetry_t retry = make_retry(&socket);
        ck_assert(ListenRetry_run(&retry, &error));
        ck_assert_uint_eq(socket.tries, 4);
        ck_assert_ptr_null(error);
    }
}
END_TEST

START_TEST(an_error_that_lasts_ends_the_start_at_once)
{
    static const int codes[] = {EACCES, EINVAL, EAFNOSUPPORT, 0};
    for (gsize i = 0; i < G_N_ELEMENTS(codes); i++) {
        g_autoptr(GError) error = NULL;
        FakeSocket_t socket = {.code = codes[i], .failures = 3};
        ListenRetry_t retry = make_retry(&socket);
        ck_assert(!ListenRetry_run(&retry, &error));
        ck_assert_uint_eq(socket.tries, 1);
        ck_assert(g_error_matches(error, WT_ERROR, WT_ERROR_LISTEN));
        ck_assert_ptr_nonnull(strstr(error->message, "listen: "));
        ck_assert_ptr_nonnull(strstr(error->message, "127.0.0.1:80"));
    }
}
END_TEST

START_TEST(a_wait_ends_when_the_router_is_told_to_stop)
{
    g_autoptr(GError) error = NULL;
    FakeSocket_t socket = {.code = EADDRINUSE, .failures = G_MAXUINT};
    ListenRetry_t retry = make_retry(&socket);
    StopSignals_hold();
    raise(SIGTERM);
    ck_assert(!ListenRetry_run(&retry, &error));
    ck_assert(g_error_matches(error, WT_ERROR, WT_ERROR_LISTEN));
    ck_assert_ptr_nonnull(strstr(error->message, g_strerror(EADDRINUSE)));
    signal(SIGTERM, SIG_IGN);
    signal(SIGTERM, SIG_DFL);
    StopSignals_release();
}
END_TEST

START_TEST(a_long_wait_is_logged_seldom)
{
    FakeSocket_t socket = {.code = EADDRINUSE, .failures = G_MAXUINT};
    ListenRetry_t retry = make_retry(&socket);
    ListenWait_t wait = {0};
    guint lines = 0;
    gint64 logged_ms = 0;
    for (gint64 ms = 1; ms <= 3 * LISTEN_LOG_INTERVAL_MS; ms += 20) {
        Clock_freeze(ms * CLOCK_US_PER_MS);
        ck_assert(!ListenRetry_tryOnce(&retry, &wait, NULL));
        lines += wait.logged_ms != logged_ms;
        logged_ms = wait.logged_ms;
    }
    Clock_freeze(0);
    ck_assert_uint_eq(lines, 3);
}
END_TEST

TESTING_MAIN("ListenRetry", an_error_that_may_pass_is_waited_out,
             an_error_that_lasts_ends_the_start_at_once,
             a_wait_ends_when_the_router_is_told_to_stop,
             a_long_wait_is_logged_seldom)
