/* What the kernel takes for a socket that is not read. */
#include "SocketBuffers.h"

#include <fcntl.h>
#include <netinet/in.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include "testing.h"

#define BUFFER_BYTES 16384
#define SETTLE_US 100000
/* A window without scaling. */
#define UNREAD_MAX 65535

static int reader;
static int writer;

static void
connect_pair(SocketKind_t kind)
{
    struct sockaddr_in address = {.sin_family = AF_INET};
    socklen_t size = sizeof(address);
    int listener = socket(AF_INET, SOCK_STREAM, 0);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    ck_assert_int_eq(bind(listener, (struct sockaddr *)&address, size), 0);
    ck_assert_int_eq(listen(listener, 1), 0);
    getsockname(listener, (struct sockaddr *)&address, &size);
    reader = socket(AF_INET, SOCK_STREAM, 0);
    ck_assert_int_eq(connect(reader, (struct sockaddr *)&address, size), 0);
    SocketBuffers_limit(reader, kind);
    writer = accept(listener, NULL, NULL);
    ck_assert_int_ge(writer, 0);
    close(listener);
    fcntl(writer, F_SETFL, O_NONBLOCK);
    fcntl(reader, F_SETFL, O_NONBLOCK);
}

static void
close_pair(void)
{
    close(reader);
    close(writer);
}

static void
write_all_that_fits(void)
{
    char bytes[BUFFER_BYTES] = {0};
    while (write(writer, bytes, sizeof(bytes)) > 0) {
    }
    g_usleep(SETTLE_US);
}

static int
unread_bytes(void)
{
    int unread = 0;
    ck_assert_int_eq(ioctl(reader, FIONREAD, &unread), 0);
    return unread;
}

static void
assert_held_little(SocketKind_t kind)
{
    connect_pair(kind);
    write_all_that_fits();
    ck_assert_int_gt(unread_bytes(), 0);
    ck_assert_int_le(unread_bytes(), UNREAD_MAX);
    close_pair();
}

START_TEST(an_upstream_that_is_not_read_is_held_little)
{
    assert_held_little(SOCKET_UPSTREAM);
}
END_TEST

START_TEST(a_short_call_that_is_not_read_is_held_little)
{
    assert_held_little(SOCKET_SHORT_CALL);
}
END_TEST

START_TEST(a_socket_that_is_missing_changes_nothing)
{
    SocketBuffers_limit(-1, SOCKET_UPSTREAM);
}
END_TEST

TESTING_MAIN("SocketBuffers", an_upstream_that_is_not_read_is_held_little,
             a_short_call_that_is_not_read_is_held_little,
             a_socket_that_is_missing_changes_nothing)
