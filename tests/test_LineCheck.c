#include "testing.h"

#include <string.h>

#include "LineCheck.h"

static gboolean
is_broken(LineKind_t kind, const char *bytes, gsize length)
{
    LineCheck_t check = {0};
    for (gsize i = 0; i < length; i++) {
        LineCheck_feed(&check, kind, bytes[i]);
    }
    return LineCheck_isBroken(&check);
}

#define BROKEN(kind, bytes) is_broken(kind, bytes, sizeof(bytes) - 1)

START_TEST(sound_lines)
{
    ck_assert(!BROKEN(LINE_OF_REQUEST, "GET / HTTP/1.1\r\n"));
    ck_assert(!BROKEN(LINE_OF_REQUEST, "\r\nM-SEARCH * HTTP/1.0\r\n"));
    ck_assert(!BROKEN(LINE_OF_STATUS, "HTTP/1.1 200 All is well\r\n"));
    ck_assert(!BROKEN(LINE_OF_STATUS, "HTTP/1.1 200\r\n"));
    ck_assert(!BROKEN(LINE_OF_FIELD, "X_y: a\tb \xff\r\nZ:\r\n\r\n"));
}
END_TEST

START_TEST(lines_end_with_both_characters)
{
    ck_assert(BROKEN(LINE_OF_FIELD, "X: a\n"));
    ck_assert(BROKEN(LINE_OF_FIELD, "\n"));
    ck_assert(BROKEN(LINE_OF_FIELD, "X: a\rb"));
    ck_assert(BROKEN(LINE_OF_FIELD, "X: a\r\r"));
    ck_assert(BROKEN(LINE_OF_STATUS, "HTTP/1.1 200 x\n"));
    ck_assert(BROKEN(LINE_OF_REQUEST, "GET / HTTP/1.1\n"));
}
END_TEST

START_TEST(fields_begin_with_a_name_and_a_colon)
{
    ck_assert(BROKEN(LINE_OF_FIELD, " X: a"));
    ck_assert(BROKEN(LINE_OF_FIELD, "X: a\r\n\tb"));
    ck_assert(BROKEN(LINE_OF_FIELD, "X : a"));
    ck_assert(BROKEN(LINE_OF_FIELD, ": a"));
    ck_assert(BROKEN(LINE_OF_FIELD, "X\r\n"));
    ck_assert(BROKEN(LINE_OF_FIELD, "X\0: a"));
    ck_assert(BROKEN(LINE_OF_FIELD, "X: a\0b"));
}
END_TEST

/* Callers got 600 and 2000 as they came, and 0200 and 4294967496 as 200. */
START_TEST(a_status_line_states_a_status)
{
    static const char *const lines[] = {
        "HTTP/1.1 000 x\r\n",  "HTTP/1.1 099 x\r\n",
        "HTTP/1.1 20 x\r\n",   "HTTP/1.1 20\r\n",
        "HTTP/1.1 2\r\n",      "HTTP/1.1 600 x\r\n",
        "HTTP/1.1 999\r\n",    "HTTP/1.1 2000 x\r\n",
        "HTTP/1.1 +200 x\r\n", "HTTP/1.1 0200 x\r\n",
        "HTTP/1.1 200OK\r\n",  "HTTP/1.1 200\tx\r\n",
        "HTTP/1.1  200 x\r\n", "HTTP/1.1\t200 x\r\n",
        "HTTP/1.1 \r\n",       "HTTP/1.1\r\n",
        "HTTP/0.9 200 x\r\n",  "HTTP/1.2 200 x\r\n",
        "HTTP/2.0 200 x\r\n",  "HTTP/1.10 200 x\r\n",
        "http/1.1 200 x\r\n",  "ICY 200 x\r\n",
        " HTTP/1.1 200 x\r\n", "HTTP/1.1 4294967496 x\r\n",
    };
    for (gsize i = 0; i < G_N_ELEMENTS(lines); i++) {
        ck_assert_msg(is_broken(LINE_OF_STATUS, lines[i], strlen(lines[i])),
                      "%s", lines[i]);
    }
}
END_TEST

START_TEST(all_statuses_of_three_digits_are_sound)
{
    for (guint status = 0; status < 1000; status++) {
        g_autofree char *line = g_strdup_printf("HTTP/1.0 %03u", status);
        g_autofree char *whole = g_strconcat(line, "\r\n", line, " \r\n", line,
                                             " a  b\t\xff\r\n", NULL);
        ck_assert(is_broken(LINE_OF_STATUS, whole, strlen(whole)) ==
                  (status < 100 || status > 599));
    }
}
END_TEST

START_TEST(a_request_line_has_three_words)
{
    static const char *const lines[] = {
        "GET /\r\n",
        "GET  / HTTP/1.1\r\n",
        "GET /  HTTP/1.1\r\n",
        "GET / HTTP/1.1 \r\n",
        "GET /a b HTTP/1.1\r\n",
        "GET\t/\tHTTP/1.1\r\n",
        " GET / HTTP/1.1\r\n",
        "GET \r\n",
        "G]T / HTTP/1.1\r\n",
    };
    for (gsize i = 0; i < G_N_ELEMENTS(lines); i++) {
        ck_assert_msg(is_broken(LINE_OF_REQUEST, lines[i], strlen(lines[i])),
                      "%s", lines[i]);
    }
}
END_TEST

TESTING_MAIN("LineCheck", sound_lines, lines_end_with_both_characters,
             fields_begin_with_a_name_and_a_colon,
             a_status_line_states_a_status,
             all_statuses_of_three_digits_are_sound,
             a_request_line_has_three_words)
