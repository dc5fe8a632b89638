#include "testing.h"

#include <string.h>

#include "HeadCheck.h"

/* Feeds the bytes in parts of @step, as they may arrive. */
static HeadCheck_t
check_from(HeadCheck_t check, const char *bytes, gsize step)
{
    struct evbuffer *buffer = evbuffer_new();
    gsize length = strlen(bytes);
    for (gsize at = 0; at < length; at += step) {
        gsize added = MIN(step, length - at);
        evbuffer_add_reference(buffer, bytes + at, added, NULL, NULL);
        HeadCheck_feedTail(&check, buffer, added);
    }
    evbuffer_free(buffer);
    return check;
}

static HeadCheck_t
check_in_parts(const char *bytes, gsize step)
{
    return check_from((HeadCheck_t){0}, bytes, step);
}

static void
ck_assert_lines(const char *bytes, gboolean is_ended, guint lines)
{
    for (gsize step = 1; step <= strlen(bytes) + 1; step++) {
        HeadCheck_t check = check_in_parts(bytes, step);
        ck_assert_msg(check.is_ended == is_ended && check.lines == lines,
                      "%s in parts of %zu: ended %d, %u lines", bytes, step,
                      check.is_ended, check.lines);
    }
}

START_TEST(lines_count_up_to_the_blank_one)
{
    ck_assert_lines("HTTP/1.1 200 OK\r\nA: 1\r\n", FALSE, 2);
    ck_assert_lines("HTTP/1.1 200 OK\r\nA: 1\r\n\r\nx\ny\n", TRUE, 3);
    ck_assert_lines("HTTP/1.1 200 OK\r\nA:\r\n\r\nx\n", TRUE, 3);
    ck_assert_lines("\r\nHTTP/1.1 200 OK\r\n\r\nx\n", TRUE, 3);
}
END_TEST

START_TEST(heads_after_an_interim_one_count_as_well)
{
    ck_assert_lines("HTTP/1.1 100 x\r\n\r\nHTTP/1.1 200 x\r\n\r\nx\n", TRUE,
                    4);
    ck_assert_lines("HTTP/1.1 100 x\r\nA: 1\r\n\r\n", FALSE, 3);
}
END_TEST

/* A field of a byte cost a hundred. */
START_TEST(input_of_a_head_with_too_many_lines_is_dropped)
{
    struct evbuffer *buffer = evbuffer_new();
    HeadCheck_t check = check_in_parts("HTTP/1.1 200 OK\r\n", 1);
    for (guint i = 1; i < HEAD_LINES_MAX; i++) {
        evbuffer_add(buffer, "A:\r\n", 4);
        ck_assert(!HeadCheck_drops(&check, buffer, 4));
    }
    evbuffer_add(buffer, "A:\r\nA:\r\n", 8);
    ck_assert(HeadCheck_drops(&check, buffer, 8));
    ck_assert_uint_eq(evbuffer_get_length(buffer), 0);
    evbuffer_add(buffer, "x", 1);
    ck_assert(HeadCheck_drops(&check, buffer, 1));
    ck_assert_uint_eq(evbuffer_get_length(buffer), 0);
    evbuffer_free(buffer);
}
END_TEST

START_TEST(input_of_a_malformed_head_is_dropped)
{
    static const char *const heads[] = {
        "HTTP/1.1 200 OK\n", "HTTP/1.1 200 OK\r\nA: 1\r\n B: 2\r\n",
        "HTTP/1.1 200 OK\r\nA : 1\r\n", "HTTP/1.1 200 OK\r\nA: 1\rB: 2\r\n",
        "HTTP/1.1 100 x\r\n\r\nHTTP/1.1 200 x\r\nA\r\n"};
    for (gsize i = 0; i < G_N_ELEMENTS(heads); i++) {
        struct evbuffer *buffer = evbuffer_new();
        HeadCheck_t check = {0};
        evbuffer_add(buffer, heads[i], strlen(heads[i]));
        ck_assert(HeadCheck_drops(&check, buffer, strlen(heads[i])));
        ck_assert(HeadCheck_isBroken(&check));
        ck_assert(!HeadCheck_isTooLong(&check));
        ck_assert_uint_eq(evbuffer_get_length(buffer), 0);
        evbuffer_free(buffer);
    }
}
END_TEST

/* A user agent must take a folded field (RFC 9112, section 5.2). */
START_TEST(folds_are_taken_where_asked_for)
{
    static const struct {
        const char *text;
        gboolean is_sound;
    } heads[] = {
        {"HTTP/1.1 200 OK\r\nA: 1\r\n B: 2\r\n\t\r\n\r\n", TRUE},
        {"HTTP/1.1 200 OK\r\nA:\r\n  \r\n 1\r\nB: 2\r\n\r\n", TRUE},
        {"HTTP/1.1 200 OK\r\n A: 1\r\n\r\n", FALSE},
        {"HTTP/1.1 200 OK\r\nA: 1\r\n b\nB: 2\r\n\r\n", FALSE},
        {"HTTP/1.1 200 OK\r\nA: 1\n b\r\n\r\n", FALSE},
        {"HTTP/1.1 200 OK\r\nA: 1\r\n b\rB: 2\r\n\r\n", FALSE},
        {"HTTP/1.1 103 x\r\nA: 1\r\n\r\n b\r\n\r\n", FALSE},
        {"HTTP/1.1 103 x\r\nA: 1\r\n\r\nHTTP/1.1 200 x\r\n b\r\n\r\n", FALSE},
    };
    for (gsize i = 0; i < G_N_ELEMENTS(heads); i++) {
        for (gsize step = 1; step <= strlen(heads[i].text); step++) {
            HeadCheck_t check = check_from((HeadCheck_t){.takes_folds = TRUE},
                                           heads[i].text, step);
            ck_assert_msg(HeadCheck_isBroken(&check) == !heads[i].is_sound,
                          "%s", heads[i].text);
        }
    }
}
END_TEST

START_TEST(fold_in_front_of_the_first_trailer_is_malformed)
{
    struct evbuffer *buffer = evbuffer_new();
    HeadCheck_t check = check_from((HeadCheck_t){.takes_folds = TRUE},
                                   "HTTP/1.1 200 OK\r\nA: 1\r\n\r\n", 1);
    HeadCheck_addTrailers(&check);
    evbuffer_add(buffer, " b\r\n", 4);
    ck_assert(HeadCheck_drops(&check, buffer, 4));
    evbuffer_free(buffer);
}
END_TEST

START_TEST(faults_are_told_apart)
{
    static const char *const heads[][2] = {
        {"HTTP/1.1 200 OK\r\n\r\n", NULL},
        {"HTTP/1.1 200 OK\n", "bare line feed"},
        {"HTTP/1.1 600 OK\r\n", "status line"},
        {"HTTP/1.1 103 x\r\n\r\nHTTP/1.1 2000 OK\r\n", "status line"},
        {"HTTP/1.1 200 OK\r\nA: 1\n", "bare line feed"},
        {"HTTP/1.1 200 OK\r\nA: 1\r\n b\r\n", "folded"},
        {"HTTP/1.1 200 OK\r\nA : 1\r\n", "malformed"},
        {"HTTP/1.1 200 OK\r\nA: 1\rB: 2\r\n", "malformed"},
    };
    for (gsize i = 0; i < G_N_ELEMENTS(heads); i++) {
        HeadCheck_t check = check_in_parts(heads[i][0], 1);
        const char *fault = HeadCheck_fault(&check);
        ck_assert((fault == NULL) == (heads[i][1] == NULL));
        ck_assert(!fault || strstr(fault, heads[i][1]));
    }
}
END_TEST

START_TEST(trailers_count_with_the_head)
{
    struct evbuffer *buffer = evbuffer_new();
    HeadCheck_t check = check_in_parts("HTTP/1.1 200 OK\r\nA: 1\r\n\r\n", 1);
    HeadCheck_addTrailers(&check);
    evbuffer_add(buffer, "A: 1\r\n\r\nx\n", 10);
    HeadCheck_feedTail(&check, buffer, 10);
    ck_assert(check.is_ended);
    ck_assert_uint_eq(check.lines, 5);
    evbuffer_free(buffer);
}
END_TEST

TESTING_MAIN("HeadCheck", lines_count_up_to_the_blank_one,
             heads_after_an_interim_one_count_as_well,
             input_of_a_head_with_too_many_lines_is_dropped,
             input_of_a_malformed_head_is_dropped,
             folds_are_taken_where_asked_for,
             fold_in_front_of_the_first_trailer_is_malformed,
             faults_are_told_apart, trailers_count_with_the_head)
