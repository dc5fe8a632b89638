/* Values of other writers reach the log. */
#include "Log.h"

#include <stdio.h>
#include <string.h>
#include <sys/syscall.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

#include "testing.h"

#define LINE_SIZE 1024

static gint64 wall_s; /* 0 if the clock is the system's */

/* These override the functions of the C library in this program. */
int
clock_gettime(clockid_t clock, struct timespec *out)
{
    int failed = (int)syscall(SYS_clock_gettime, clock, out);
    if (clock == CLOCK_REALTIME && wall_s != 0) {
        out->tv_sec = wall_s;
    }
    return failed;
}

int
gettimeofday(struct timeval *out, void *zone)
{
    (void)zone;
    struct timespec now;
    int failed = clock_gettime(CLOCK_REALTIME, &now);
    out->tv_sec = now.tv_sec;
    out->tv_usec = now.tv_nsec / 1000;
    return failed;
}

/* @written is of LINE_SIZE. */
static void
log_value(const char *value, char *written)
{
    int ends[2];
    memset(written, 0, LINE_SIZE);
    ck_assert_int_eq(pipe(ends), 0);
    fflush(stdout);
    int before = dup(STDOUT_FILENO);
    dup2(ends[1], STDOUT_FILENO);
    Log_begin(LOG_LEVEL_WARNING, "test");
    Log_text("key", value);
    Log_end();
    dup2(before, STDOUT_FILENO);
    ssize_t length = read(ends[0], written, LINE_SIZE - 1);
    ck_assert_int_gt(length, 0);
    close(before);
    close(ends[0]);
    close(ends[1]);
}

static void
check_logged(const char *value, const char *expected)
{
    char written[LINE_SIZE];
    log_value(value, written);
    const char *pair = strstr(written, " key=");
    ck_assert_ptr_nonnull(pair);
    ck_assert_str_eq(pair + strlen(" key="), expected);
}

START_TEST(plain_values_stand_as_they_are)
{
    check_logged("a-1", "a-1\n");
    check_logged("gr\xc3\xbc\xc3\x9f", "gr\xc3\xbc\xc3\x9f\n");
}
END_TEST

START_TEST(values_with_blanks_are_quoted)
{
    check_logged("", "\"\"\n");
    check_logged("a b", "\"a b\"\n");
    check_logged("a\nb=c", "\"a\\nb=c\"\n");
}
END_TEST

/* Lines with bytes that are no text could not be read. */
START_TEST(bytes_that_are_no_text_are_escaped)
{
    check_logged("\xff", "\"\\377\"\n");
    check_logged("a\x1b[2J", "\"a\\033[2J\"\n");
    check_logged("\xc3", "\"\\303\"\n");
}
END_TEST

static void
check_stamp(gint64 at_s, const char *stamp)
{
    char written[LINE_SIZE];
    wall_s = at_s;
    log_value("a", written);
    wall_s = 0;
    ck_assert_ptr_nonnull(strstr(written, stamp));
}

/* A clock beyond what a date can state ended the process. */
START_TEST(any_time_of_day_has_a_date)
{
    check_stamp(1, "<4>1970-01-01T00:00:01.");
    check_stamp(1777568853, "<4>2026-04-30T17:07:33.");
    check_stamp(-G_GINT64_CONSTANT(100000000000), "<4>1970-01-01T00:00:00.");
    check_stamp(G_GINT64_CONSTANT(1000000000000), "<4>9999-12-31T23:59:59.");
}
END_TEST

TESTING_MAIN("Log", plain_values_stand_as_they_are,
             values_with_blanks_are_quoted, bytes_that_are_no_text_are_escaped,
             any_time_of_day_has_a_date)
