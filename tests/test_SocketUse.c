/* What the kernel holds for sockets, and callers that do not read it. */
#include "SocketUse.h"

#include <fcntl.h>
#include <netinet/in.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include "SocketBuffers.h"
#include "testing.h"

#define MIB ((gsize)1 << 20)
#define BUFFER_MAX 8192
#define WAIT_US 5000

static struct event_base *base;
static MemoryUse_t *memory;
static Counters_t *counters;
static int near_end; /* of the router */
static int far_end;

/* Over loopback, as TCP states what was acknowledged. */
static void
connect_pair(int far_buffer)
{
    struct sockaddr_in address = {.sin_family = AF_INET};
    socklen_t size = sizeof(address);
    int listener = socket(AF_INET, SOCK_STREAM, 0);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    ck_assert_int_eq(bind(listener, (struct sockaddr *)&address, size), 0);
    ck_assert_int_eq(listen(listener, 1), 0);
    getsockname(listener, (struct sockaddr *)&address, &size);
    far_end = socket(AF_INET, SOCK_STREAM, 0);
    setsockopt(far_end, SOL_SOCKET, SO_RCVBUF, &far_buffer,
               sizeof(far_buffer));
    ck_assert_int_eq(connect(far_end, (struct sockaddr *)&address, size), 0);
    near_end = accept(listener, NULL, NULL);
    ck_assert_int_ge(near_end, 0);
    close(listener);
    fcntl(near_end, F_SETFL, O_NONBLOCK);
}

static void
begin(void)
{
    base = event_base_new();
    memory = MemoryUse_create(0);
    counters = Counters_create();
    SocketUse_init(base, memory, counters);
    connect_pair(BUFFER_MAX);
}

static void
end(void)
{
    close(near_end);
    close(far_end);
    SocketUse_clear();
    Counters_destroy(counters);
    MemoryUse_destroy(memory);
    event_base_free(base);
}

static void
write_bytes(gsize count)
{
    g_autofree char *bytes = g_malloc0(count);
    ck_assert_int_gt(write(near_end, bytes, count), 0);
}

/* Makes the memory used that much of what may be used. */
static void
set_percent_used(guint percent, gint64 now_ms)
{
    MemoryUse_setMax(memory, MemoryUse_used(memory, now_ms) * 100 / percent);
}

static guint64
count_given_up(const char *labels)
{
    return Counters_value(counters, "callers_given_up_total", labels);
}

START_TEST(unsent_bytes_count_until_they_are_read)
{
    begin();
    SocketUse_watch(near_end, TRUE);
    write_bytes(100000);
    SocketUse_look(1);
    gsize held = SocketUse_bytes();
    ck_assert_uint_gt(held, 10000);
    ck_assert_uint_le(held, 100000);
    ck_assert_uint_gt(MemoryUse_used(memory, 1), held);
    gsize left = held;
    char bytes[BUFFER_MAX];
    while (left > 0) {
        ssize_t count = read(far_end, bytes, MIN(left, sizeof(bytes)));
        ck_assert_int_gt(count, 0);
        left -= (gsize)count;
    }
    g_usleep(WAIT_US);
    SocketUse_look(2);
    ck_assert_uint_eq(SocketUse_bytes(), 0);
    end();
}
END_TEST

START_TEST(connection_that_the_caller_reset_counts_no_more)
{
    begin();
    SocketUse_watch(near_end, TRUE);
    write_bytes(100000);
    SocketUse_look(1);
    close(far_end);
    far_end = -1;
    g_usleep(WAIT_US);
    SocketUse_look(2);
    ck_assert_uint_eq(SocketUse_bytes(), 0);
    end();
}
END_TEST

START_TEST(what_a_caller_sends_between_requests_is_not_counted)
{
    begin();
    char bytes[1000] = {0};
    SocketUse_watch(near_end, TRUE);
    ck_assert_int_eq(write(far_end, bytes, sizeof(bytes)), sizeof(bytes));
    SocketUse_look(1);
    ck_assert_uint_eq(SocketUse_bytes(), sizeof(bytes));
    SocketUse_noteAnswered(near_end);
    SocketUse_look(2);
    ck_assert_uint_eq(SocketUse_bytes(), 0);
    SocketUse_watch(near_end, TRUE);
    SocketUse_look(3);
    ck_assert_uint_eq(SocketUse_bytes(), sizeof(bytes));
    end();
}
END_TEST

START_TEST(unread_bytes_count)
{
    begin();
    char bytes[1000] = {0};
    SocketUse_watch(near_end, FALSE);
    ck_assert_int_eq(write(far_end, bytes, sizeof(bytes)), sizeof(bytes));
    SocketUse_look(1);
    ck_assert_uint_eq(SocketUse_bytes(), sizeof(bytes));
    end();
}
END_TEST

START_TEST(closed_socket_counts_no_more)
{
    begin();
    SocketUse_watch(near_end, TRUE);
    write_bytes(100000);
    SocketUse_look(1);
    gsize used = MemoryUse_used(memory, 1);
    gsize held = SocketUse_bytes();
    close(near_end);
    SocketUse_look(2);
    ck_assert_uint_eq(SocketUse_bytes(), 0);
    ck_assert_uint_eq(MemoryUse_used(memory, 1), used - held);
    near_end = -1;
    end();
}
END_TEST

START_TEST(caller_that_reads_nothing_is_given_up_while_memory_is_tight)
{
    begin();
    gint64 now_ms = g_get_monotonic_time() / 1000;
    char byte = 0;
    SocketUse_watch(near_end, TRUE);
    write_bytes(100000);
    SocketUse_look(now_ms);
    SocketUse_look(now_ms + 2 * SOCKET_STALL_TIGHT_MS);
    ck_assert(!SocketUse_isGivenUp(near_end));
    set_percent_used(75, now_ms + 2 * SOCKET_STALL_TIGHT_MS);
    SocketUse_look(now_ms + 2 * SOCKET_STALL_TIGHT_MS);
    ck_assert(SocketUse_isGivenUp(near_end));
    ck_assert_uint_eq(SocketUse_bytes(), 0);
    ck_assert_uint_eq(count_given_up("memory=\"tight\""), 1);
    ck_assert_int_lt(write(near_end, &byte, 1), 0);
    end();
}
END_TEST

START_TEST(it_is_given_up_sooner_when_memory_is_full)
{
    begin();
    gint64 now_ms = g_get_monotonic_time() / 1000;
    SocketUse_watch(near_end, TRUE);
    write_bytes(100000);
    SocketUse_look(now_ms);
    set_percent_used(95, now_ms + SOCKET_STALL_FULL_MS);
    SocketUse_look(now_ms + SOCKET_STALL_FULL_MS);
    ck_assert(SocketUse_isGivenUp(near_end));
    ck_assert_uint_eq(count_given_up("memory=\"full\""), 1);
    end();
}
END_TEST

START_TEST(who_reads_nothing_is_given_up_before_a_call_is_refused)
{
    begin();
    gint64 now_ms = g_get_monotonic_time() / 1000;
    SocketUse_watch(near_end, TRUE);
    write_bytes(100000);
    SocketUse_look(now_ms);
    set_percent_used(95, now_ms + SOCKET_STALL_FULL_MS);
    SocketUse_makeRoom(now_ms + SOCKET_STALL_FULL_MS);
    ck_assert(SocketUse_isGivenUp(near_end));
    end();
}
END_TEST

START_TEST(sockets_are_not_looked_at_for_each_call)
{
    begin();
    gint64 now_ms = g_get_monotonic_time() / 1000;
    SocketUse_watch(near_end, TRUE);
    SocketUse_makeRoom(now_ms);
    write_bytes(100000);
    SocketUse_makeRoom(now_ms + 1);
    ck_assert_uint_eq(SocketUse_bytes(), 0);
    SocketUse_makeRoom(now_ms + 100);
    ck_assert_uint_gt(SocketUse_bytes(), 0);
    end();
}
END_TEST

START_TEST(caller_that_reads_is_kept)
{
    begin();
    gint64 now_ms = g_get_monotonic_time() / 1000;
    char bytes[BUFFER_MAX];
    SocketUse_watch(near_end, TRUE);
    write_bytes(100000);
    set_percent_used(95, now_ms);
    for (guint i = 0; i < 10; i++) {
        SocketUse_look(now_ms + i * (SOCKET_STALL_FULL_MS - 1));
        ck_assert_int_gt(read(far_end, bytes, sizeof(bytes)), 0);
        g_usleep(WAIT_US);
    }
    ck_assert(!SocketUse_isGivenUp(near_end));
    end();
}
END_TEST

START_TEST(upstream_that_reads_nothing_is_kept)
{
    begin();
    gint64 now_ms = g_get_monotonic_time() / 1000;
    SocketUse_watch(near_end, FALSE);
    write_bytes(100000);
    SocketUse_look(now_ms);
    set_percent_used(95, now_ms);
    SocketUse_look(now_ms + 2 * SOCKET_STALL_TIGHT_MS);
    ck_assert(!SocketUse_isGivenUp(near_end));
    ck_assert_uint_gt(SocketUse_bytes(), 0);
    end();
}
END_TEST

START_TEST(caller_for_whom_little_waits_is_kept)
{
    begin();
    gint64 now_ms = g_get_monotonic_time() / 1000;
    int size = 1;
    setsockopt(near_end, SOL_SOCKET, SO_SNDBUF, &size, sizeof(size));
    SocketUse_watch(near_end, TRUE);
    write_bytes(1000);
    SocketUse_look(now_ms);
    set_percent_used(95, now_ms);
    SocketUse_look(now_ms + 2 * SOCKET_STALL_TIGHT_MS);
    ck_assert(!SocketUse_isGivenUp(near_end));
    end();
}
END_TEST

static gsize
take_all(const CallerShare_t *share)
{
    g_autofree char *bytes = g_malloc0(16 * MIB);
    gsize taken = 0;
    connect_pair(2048);
    SocketBuffers_limitCaller(near_end, share);
    for (guint i = 0; i < 1000; i++) {
        ssize_t count = write(near_end, bytes, 16 * MIB);
        taken += count > 0 ? (gsize)count : 0;
    }
    close(near_end);
    close(far_end);
    return taken;
}

START_TEST(many_callers_get_little_each)
{
    CallerShare_t share = {128 * MIB, 1, MIB};
    gsize one = take_all(&share);
    ck_assert_uint_gt(one, 30000);
    ck_assert_uint_lt(one, 400000);
    share.callers = 2000;
    ck_assert_uint_lt(take_all(&share), 80000);
}
END_TEST

/* The timer's looks, by what they count. */
static gsize
counted_by_ticks(gsize max)
{
    struct timeval pause = {0, 200000};
    MemoryUse_setMax(memory, max);
    SocketUse_watch(near_end, TRUE);
    event_base_loopexit(base, &pause);
    event_base_dispatch(base);
    return SocketUse_bytes();
}

START_TEST(sockets_are_looked_at_only_if_memory_may_be_short)
{
    begin();
    write_bytes(16 * BUFFER_MAX);
    gsize used = MemoryUse_used(memory, 1);
    ck_assert_uint_eq(counted_by_ticks(10 * used + 100 * MIB), 0);
    ck_assert_uint_gt(counted_by_ticks(used), 0);
    ck_assert_uint_eq(counted_by_ticks(10 * used + 100 * MIB), 0);
    end();
}
END_TEST

static void
pass_bytes(evutil_socket_t fd, short what, void *data)
{
    (void)fd;
    (void)what;
    (void)data;
    char bytes[16 * BUFFER_MAX] = {0};
    while (recv(far_end, bytes, sizeof(bytes), MSG_DONTWAIT) > 0) {
    }
    (void)!write(near_end, bytes, sizeof(bytes));
}

/* Callers among thousands of sockets were judged by looks that were too old.
 */
START_TEST(caller_that_reads_is_kept_whatever_its_descriptor)
{
    enum { DESCRIPTOR = 8000, MS = 2500 };
    struct timeval interval = {0, 10000};
    struct timeval length = {MS / 1000, MS % 1000 * 1000};
    struct rlimit limit;
    begin();
    getrlimit(RLIMIT_NOFILE, &limit);
    limit.rlim_cur = MIN(limit.rlim_max, DESCRIPTOR + 1);
    setrlimit(RLIMIT_NOFILE, &limit);
    int fd = fcntl(near_end, F_DUPFD, (int)limit.rlim_cur - 1);
    ck_assert_int_ge(fd, 0);
    SocketUse_watch(fd, TRUE);
    MemoryUse_setMax(memory, MemoryUse_used(memory, 1));
    struct event *work = event_new(base, -1, EV_PERSIST, pass_bytes, NULL);
    event_add(work, &interval);
    event_base_loopexit(base, &length);
    event_base_dispatch(base);
    ck_assert(!SocketUse_isGivenUp(fd));
    event_free(work);
    close(fd);
    end();
}
END_TEST

TESTING_MAIN("SocketUse", caller_that_reads_is_kept_whatever_its_descriptor,
             sockets_are_looked_at_only_if_memory_may_be_short,
             unsent_bytes_count_until_they_are_read,
             connection_that_the_caller_reset_counts_no_more,
             what_a_caller_sends_between_requests_is_not_counted,
             unread_bytes_count, closed_socket_counts_no_more,
             caller_that_reads_nothing_is_given_up_while_memory_is_tight,
             it_is_given_up_sooner_when_memory_is_full,
             who_reads_nothing_is_given_up_before_a_call_is_refused,
             sockets_are_not_looked_at_for_each_call,
             caller_that_reads_is_kept, upstream_that_reads_nothing_is_kept,
             caller_for_whom_little_waits_is_kept,
             many_callers_get_little_each)
