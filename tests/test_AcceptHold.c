#include "testing.h"

#include <string.h>

#include "AcceptHold.h"
#include "Clock.h"

/* Long enough for several checks of the hold. */
#define CHECKS_MS 50
/* Allowance for delays on a busy machine. */
#define MARGIN_MS 1000

static struct event_base *base;
static struct evconnlistener *listener;
static AcceptHold_t *hold;
static gboolean known;
static guint accepted;
static evutil_socket_t caller;

static gboolean
is_known(const void *owner)
{
    (void)owner;
    return known;
}

static void
on_accept(struct evconnlistener *from, evutil_socket_t fd,
          struct sockaddr *address, int length, void *data)
{
    (void)from;
    (void)address;
    (void)length;
    (void)data;
    accepted++;
    evutil_closesocket(fd);
}

static void
start_listening(struct sockaddr_in *address)
{
    memset(address, 0, sizeof(*address));
    address->sin_family = AF_INET;
    address->sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    listener = evconnlistener_new_bind(
        base, on_accept, NULL, LEV_OPT_CLOSE_ON_FREE, -1,
        (struct sockaddr *)address, sizeof(*address));
    ck_assert_ptr_nonnull(listener);
    socklen_t length = sizeof(*address);
    getsockname(evconnlistener_get_fd(listener), (struct sockaddr *)address,
                &length);
}

/* Starts the hold, with one caller connected. */
static void
set_up(void)
{
    struct sockaddr_in address;
    known = FALSE;
    accepted = 0;
    base = event_base_new();
    start_listening(&address);
    AcceptHoldSpec_t spec = {.listener = listener, .is_known = is_known};
    hold = AcceptHold_create(base, &spec);
    caller = socket(AF_INET, SOCK_STREAM, 0);
    ck_assert_int_eq(
        connect(caller, (struct sockaddr *)&address, sizeof(address)), 0);
}

static evutil_socket_t
connect_another(void)
{
    struct sockaddr_in address;
    socklen_t length = sizeof(address);
    evutil_socket_t another = socket(AF_INET, SOCK_STREAM, 0);
    getpeername(caller, (struct sockaddr *)&address, &length);
    ck_assert_int_eq(connect(another, (struct sockaddr *)&address, length), 0);
    return another;
}

static void
tear_down(void)
{
    evutil_closesocket(caller);
    AcceptHold_destroy(hold);
    evconnlistener_free(listener);
    event_base_free(base);
}

static void
run_until(gint64 until_ms, gboolean until_accepted)
{
    while (Clock_nowMs() < until_ms && !(until_accepted && accepted > 0)) {
        event_base_loop(base, EVLOOP_NONBLOCK);
        g_usleep(CLOCK_US_PER_MS);
    }
}

START_TEST(caller_is_not_accepted_until_enough_is_known)
{
    set_up();
    run_until(Clock_nowMs() + CHECKS_MS, FALSE);
    ck_assert_uint_eq(accepted, 0);
    ck_assert(!AcceptHold_isOver(hold));
    known = TRUE;
    run_until(Clock_nowMs() + MARGIN_MS, TRUE);
    ck_assert_uint_eq(accepted, 1);
    ck_assert(AcceptHold_isOver(hold));
    tear_down();
}
END_TEST

START_TEST(caller_is_accepted_after_a_bounded_time)
{
    set_up();
    gint64 started_ms = Clock_nowMs();
    run_until(started_ms + ACCEPT_HOLD_MAX_MS + MARGIN_MS, TRUE);
    ck_assert_uint_eq(accepted, 1);
    ck_assert_int_ge(Clock_nowMs() - started_ms,
                     ACCEPT_HOLD_MAX_MS - CHECKS_MS);
    tear_down();
}
END_TEST

START_TEST(hold_does_not_resume_after_its_end)
{
    set_up();
    known = TRUE;
    run_until(Clock_nowMs() + MARGIN_MS, TRUE);
    known = FALSE;
    run_until(Clock_nowMs() + CHECKS_MS, FALSE);
    ck_assert(AcceptHold_isOver(hold));
    ck_assert_uint_eq(accepted, 1);
    tear_down();
}
END_TEST

/* The hold would enable a listener that its owner has freed. */
START_TEST(hold_that_was_ended_leaves_the_listener_alone)
{
    set_up();
    AcceptHold_end(hold);
    run_until(Clock_nowMs() + MARGIN_MS, TRUE);
    ck_assert(AcceptHold_isOver(hold));
    ck_assert_uint_eq(accepted, 1);
    evconnlistener_disable(listener);
    evutil_socket_t another = connect_another();
    known = TRUE;
    AcceptHold_end(hold);
    run_until(Clock_nowMs() + CHECKS_MS, FALSE);
    ck_assert_uint_eq(accepted, 1);
    evutil_closesocket(another);
    tear_down();
}
END_TEST

TESTING_MAIN("AcceptHold", caller_is_not_accepted_until_enough_is_known,
             caller_is_accepted_after_a_bounded_time,
             hold_does_not_resume_after_its_end,
             hold_that_was_ended_leaves_the_listener_alone)
