#include "testing.h"

#include <errno.h>

#include "Errors.h"
#include "LateListener.h"

typedef struct {
    struct event_base *base;
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

static LateListener_t *
create(FakeSocket_t *socket, GError **error)
{
    ListenRetry_t retry = {.setting = "ready_listen",
                           .address = &address,
                           .open = open_fake,
                           .owner = socket};
    socket->base = event_base_new();
    return LateListener_create(socket->base, &retry, error);
}

START_TEST(a_socket_is_opened_at_once_if_it_can_be)
{
    FakeSocket_t socket = {0};
    LateListener_t *listener = create(&socket, NULL);
    ck_assert_uint_eq(socket.tries, 1);
    event_base_dispatch(socket.base);
    ck_assert_uint_eq(socket.tries, 1);
    LateListener_destroy(listener);
    event_base_free(socket.base);
}
END_TEST

START_TEST(a_socket_is_opened_later_on_the_event_loop)
{
    FakeSocket_t socket = {.code = EADDRINUSE, .failures = 3};
    LateListener_t *listener = create(&socket, NULL);
    ck_assert_ptr_nonnull(listener);
    ck_assert_uint_eq(socket.tries, 1);
    event_base_dispatch(socket.base);
    ck_assert_uint_eq(socket.tries, 4);
    LateListener_destroy(listener);
    event_base_free(socket.base);
}
END_TEST

START_TEST(an_address_that_is_wrong_is_an_error)
{
    g_autoptr(GError) error = NULL;
    FakeSocket_t socket = {.code = EACCES, .failures = 1};
    ck_assert_ptr_null(create(&socket, &error));
    ck_assert(g_error_matches(error, WT_ERROR, WT_ERROR_LISTEN));
    event_base_free(socket.base);
}
END_TEST

TESTING_MAIN("LateListener", a_socket_is_opened_at_once_if_it_can_be,
             a_socket_is_opened_later_on_the_event_loop,
             an_address_that_is_wrong_is_an_error)
