#include "testing.h"

#include <glib/gstdio.h>
#include <string.h>
#include <unistd.h>

#include "Errors.h"
#include "LogTimeline.h"

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

START_TEST(lines_of_all_routers_are_sorted_by_time)
{
    g_autofree char *first_path = write_file(first_log);
    g_autofree char *second_path = write_file(second_log);
    char *paths[] = {first_path, second_path, NULL};
    GString *timeline = LogTimeline_write("q1", paths, NULL);
    ck_assert_ptr_nonnull(timeline);
    g_auto(GStrv) lines = g_strsplit(timeline->str, "\n", -1);
    ck_assert_uint_eq(g_strv_length(lines), 4);
    ck_assert_ptr_nonnull(strstr(lines[0], "upstream_doubted"));
    ck_assert_ptr_nonnull(strstr(lines[1], "attempt_failed"));
    ck_assert_ptr_nonnull(strstr(lines[2], "request_done request=q1"));
    g_string_free(timeline, TRUE);
    g_unlink(first_path);
    g_unlink(second_path);
}
END_TEST

START_TEST(unknown_request_and_unreadable_file_are_typed_errors)
{
    g_autofree char *first_path = write_file(first_log);
    char *paths[] = {first_path, NULL};
    char *unreadable_paths[] = {(char *)"/nonexistent/log", NULL};
    g_autoptr(GError) unknown = NULL;
    g_autoptr(GError) unreadable = NULL;
    ck_assert_ptr_null(LogTimeline_write("q2", paths, &unknown));
    ck_assert(g_error_matches(unknown, WT_ERROR, WT_ERROR_BAD_BODY));
    ck_assert_ptr_null(LogTimeline_write("q1", unreadable_paths, &unreadable));
    ck_assert(g_error_matches(unreadable, WT_ERROR, WT_ERROR_FILE_UNREADABLE));
    g_unlink(first_path);
}
END_TEST

TESTING_MAIN("LogTimeline", lines_of_all_routers_are_sorted_by_time,
             unknown_request_and_unreadable_file_are_typed_errors)
