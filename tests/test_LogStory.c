#include "testing.h"

#include <glib/gstdio.h>
#include <string.h>
#include <unistd.h>

#include "Errors.h"
#include "LogStory.h"

static char *
write_file(const char *text)
{
    char *path = NULL;
    int fd = g_file_open_tmp("story-XXXXXX", &path, NULL);
    ck_assert_int_ge(fd, 0);
    close(fd);
    ck_assert(g_file_set_contents(path, text, -1, NULL));
    return path;
}

static const char first_log[] =
    "<6>2026-01-01T00:00:10.200Z r1[7]: event=attempt_failed request=q1 "
    "reason=cut upstream=u1\n"
    "<6>2026-01-01T00:00:10.300Z r1[7]: event=request_done request=q1\n"
    "<6>2026-01-01T00:00:10.250Z r1[7]: event=request_done request=q10\n"
    "<6>2026-01-01T00:00:09.000Z r1[7]: event=upstream_listed upstream=u10\n"
    "no log line\n<6>bad event=x request=q1\n";
static const char second_log[] =
    "12.5 r2 <4>2026-01-01T00:00:10.100Z r2[9]: event=upstream_doubted "
    "upstream=u1 reason=cut\n"
    "<4>2026-01-01T00:00:40.000Z r2[9]: event=upstream_gone upstream=u1\n";

START_TEST(lines_of_all_routers_come_in_order)
{
    g_autofree char *one = write_file(first_log);
    g_autofree char *two = write_file(second_log);
    char *paths[] = {one, two, NULL};
    GString *story = LogStory_tell("q1", paths, NULL);
    ck_assert_ptr_nonnull(story);
    g_auto(GStrv) lines = g_strsplit(story->str, "\n", -1);
    ck_assert_uint_eq(g_strv_length(lines), 4);
    ck_assert_ptr_nonnull(strstr(lines[0], "upstream_doubted"));
    ck_assert_ptr_nonnull(strstr(lines[1], "attempt_failed"));
    ck_assert_ptr_nonnull(strstr(lines[2], "request_done request=q1"));
    g_string_free(story, TRUE);
    g_unlink(one);
    g_unlink(two);
}
END_TEST

START_TEST(what_is_missing_is_a_typed_error)
{
    g_autofree char *one = write_file(first_log);
    char *paths[] = {one, NULL};
    char *nowhere[] = {(char *)"/nonexistent/log", NULL};
    g_autoptr(GError) unknown = NULL;
    g_autoptr(GError) unreadable = NULL;
    ck_assert_ptr_null(LogStory_tell("q2", paths, &unknown));
    ck_assert(g_error_matches(unknown, WT_ERROR, WT_ERROR_BAD_BODY));
    ck_assert_ptr_null(LogStory_tell("q1", nowhere, &unreadable));
    ck_assert(g_error_matches(unreadable, WT_ERROR, WT_ERROR_FILE_UNREADABLE));
    g_unlink(one);
}
END_TEST

TESTING_MAIN("LogStory", lines_of_all_routers_come_in_order,
             what_is_missing_is_a_typed_error)
