/* Descriptors that a router keeps for connections of its own. */
#include "DescriptorReserve.h"

#include <fcntl.h>
#include <sys/resource.h>
#include <unistd.h>

#include "testing.h"

#define LIMIT 64

static struct event_base *base;
static struct rlimit usual;
static int taken[LIMIT];
static guint count;

static void
limit_descriptors(rlim_t most)
{
    struct rlimit limit = {.rlim_cur = most, .rlim_max = usual.rlim_max};
    ck_assert_int_eq(setrlimit(RLIMIT_NOFILE, &limit), 0);
}

static void
set_up(rlim_t most)
{
    ck_assert_int_eq(getrlimit(RLIMIT_NOFILE, &usual), 0);
    limit_descriptors(most);
    base = event_base_new();
    count = 0;
    DescriptorReserve_init(base);
}

static void
take_all(void)
{
    int fd = open("/dev/null", O_RDONLY);
    while (fd >= 0) {
        taken[count++] = fd;
        fd = open("/dev/null", O_RDONLY);
    }
}

static void
give_back(guint most)
{
    for (guint i = 0; i < most && count > 0; i++) {
        close(taken[--count]);
    }
}

static void
tear_down(void)
{
    give_back(LIMIT);
    DescriptorReserve_clear();
    event_base_free(base);
    limit_descriptors(usual.rlim_cur);
}

/* How many connections could be opened now. */
static guint
connect_all(void)
{
    guint connected = 0;
    while (DescriptorReserve_release()) {
        taken[count] = open("/dev/null", O_RDONLY);
        ck_assert_int_ge(taken[count], 0);
        count++;
        connected++;
    }
    return connected;
}

START_TEST(callers_leave_descriptors_for_connections)
{
    set_up(LIMIT);
    take_all();
    ck_assert(!DescriptorReserve_isShort());
    ck_assert_uint_eq(connect_all(), LIMIT / 4);
    ck_assert(DescriptorReserve_isShort());
    tear_down();
}
END_TEST

START_TEST(free_descriptors_fill_the_reserve_again)
{
    set_up(LIMIT);
    take_all();
    guint connected = connect_all();
    give_back(connected);
    event_base_loop(base, EVLOOP_ONCE);
    ck_assert(!DescriptorReserve_isShort());
    take_all();
    ck_assert_uint_eq(connect_all(), connected);
    tear_down();
}
END_TEST

START_TEST(a_part_of_the_reserve_is_filled)
{
    set_up(LIMIT);
    take_all();
    connect_all();
    give_back(1);
    event_base_loop(base, EVLOOP_ONCE);
    ck_assert(DescriptorReserve_isShort());
    ck_assert_uint_eq(connect_all(), 1);
    tear_down();
}
END_TEST

START_TEST(nothing_is_used_while_descriptors_are_free)
{
    set_up(LIMIT);
    ck_assert(DescriptorReserve_release());
    ck_assert(!DescriptorReserve_isShort());
    tear_down();
}
END_TEST

TESTING_MAIN("DescriptorReserve", callers_leave_descriptors_for_connections,
             free_descriptors_fill_the_reserve_again,
             a_part_of_the_reserve_is_filled,
             nothing_is_used_while_descriptors_are_free)
