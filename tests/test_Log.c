/* Values of other writers reach the log. */
#include "Log.h"

#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "testing.h"

#define LINE_SIZE 1024

static void
check_logged(const char *value, const char *expected)
{
    int ends[2];
    char written[LINE_SIZE] = {0};
    ck_assert_int_eq(pipe(ends), 0);
    fflush(stdout);
    int before = dup(STDOUT_FILENO);
    dup2(ends[1], STDOUT_FILENO);
    Log_begin(LOG_LEVEL_WARNING, "test");
    Log_text("key", value);
    Log_end();
    dup2(before, STDOUT_FILENO);
    ssize_t length = read(ends[0], written, sizeof(written) - 1);
    ck_assert_int_gt(length, 0);
    close(before);
    close(ends[0]);
    close(ends[1]);
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

TESTING_MAIN("Log", plain_values_stand_as_they_are,
             values_with_blanks_are_quoted, bytes_that_are_no_text_are_escaped)
