#include "testing.h"

#include <string.h>

#include "AllocatedBytes.h"
#include "InterimHeads.h"

#define FINAL "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
#define HINTS "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"

#define HINTS_LINE "HTTP/1.1 103 x\r\nA: "
#define PIECES 16000

/* What evhttp would read of bytes that come in parts of @step. */
static GString *
receive(const char *received, gsize step, guint *dropped)
{
    struct evbuffer *input = evbuffer_new();
    InterimHeads_t heads = {0};
    GString *read = g_string_new(NULL);
    gsize length = strlen(received);
    *dropped = 0;
    for (gsize at = 0; at < length; at += step) {
        evbuffer_add(input, received + at, MIN(step, length - at));
        *dropped += InterimHeads_drop(&heads, input);
        gsize size = evbuffer_get_length(input);
        if (size > 0) {
            g_string_append_len(read, (char *)evbuffer_pullup(input, -1),
                                (gssize)size);
            evbuffer_drain(input, size);
        }
    }
    InterimHeads_clear(&heads);
    evbuffer_free(input);
    return read;
}

static void
assert_left(const char *received, guint dropped, const char *left)
{
    for (gsize step = 1; step <= strlen(received); step++) {
        guint count = 0;
        GString *read = receive(received, step, &count);
        ck_assert_msg(count == dropped, "%u heads in parts of %zu", count,
                      step);
        ck_assert_str_eq(read->str, left);
        g_string_free(read, TRUE);
    }
}

START_TEST(interim_heads_are_dropped)
{
    assert_left(FINAL, 0, FINAL);
    assert_left("HTTP/1.1 100 Continue\r\n\r\n" FINAL, 1, FINAL);
    assert_left("HTTP/1.1 100 \r\n\r\nHTTP/1.0 100 x\r\nA: b\r\n\r\n" FINAL, 2,
                FINAL);
    assert_left("HTTP/1.1 100\r\n\r\n" FINAL, 1, FINAL);
}
END_TEST

/* Callers got 502: only 100 was known. */
START_TEST(interim_heads_of_any_status_are_dropped)
{
    assert_left(HINTS HINTS FINAL, 2, FINAL);
    assert_left("HTTP/1.1 102 Processing\r\n\r\n"
                "HTTP/1.1 100 Continue\r\n\r\n"
                "HTTP/1.1 199 x\r\n\r\n" HINTS FINAL,
                4, FINAL);
}
END_TEST

START_TEST(other_heads_stay)
{
    static const char *const others[] = {
        "HTTP/1.1 101 Switching Protocols\r\n\r\n" FINAL,
        "HTTP/1.1 1000 x\r\n\r\n" FINAL,
        "HTTP/1.1 10 x\r\n\r\n" FINAL,
        "HTTP/2.1 100 x\r\n\r\n" FINAL,
        "HTTP/1.x 100 x\r\n\r\n" FINAL,
        "http/1.1 100 x\r\n\r\n" FINAL,
        "\r\nHTTP/1.1 100 x\r\n\r\n" FINAL,
        "garbage 100\r\n\r\n" FINAL,
    };
    for (gsize i = 0; i < G_N_ELEMENTS(others); i++) {
        assert_left(others[i], 0, others[i]);
    }
}
END_TEST

START_TEST(heads_behind_the_answer_stay)
{
    assert_left(FINAL HINTS, 0, FINAL HINTS);
}
END_TEST

/* evhttp would read a part of it, and then the answer in a later turn. */
START_TEST(incomplete_head_is_kept_back)
{
    for (gsize length = 1; length < strlen(HINTS); length++) {
        g_autofree char *part = g_strndup(HINTS, length);
        assert_left(part, 0, "");
    }
    assert_left(HINTS, 1, "");
}
END_TEST

#define LONG_BYTES 20000

START_TEST(head_that_grows_too_long_is_left_to_its_reader)
{
    GString *head = g_string_new("HTTP/1.1 103 x\r\nA: ");
    guint dropped = 0;
    for (guint i = 0; i < LONG_BYTES; i++) {
        g_string_append_c(head, 'a');
    }
    GString *read = receive(head->str, 1000, &dropped);
    ck_assert_uint_eq(dropped, 0);
    ck_assert_str_eq(read->str, head->str);
    g_string_free(read, TRUE);
    g_string_free(head, TRUE);
}
END_TEST

/* Callers met the end of their router: each piece of a head that was kept back
 * took a block of a kilobyte. */
START_TEST(head_in_small_pieces_takes_little_more_than_its_bytes)
{
    struct evbuffer *input = evbuffer_new();
    InterimHeads_t heads = {0};
    gsize before = AllocatedBytes_now();
    evbuffer_add(input, HINTS_LINE, strlen(HINTS_LINE));
    ck_assert_uint_eq(InterimHeads_drop(&heads, input), 0);
    for (guint i = 0; i < PIECES; i++) {
        evbuffer_add(input, "a", 1);
        ck_assert_uint_eq(InterimHeads_drop(&heads, input), 0);
        ck_assert_uint_eq(evbuffer_get_length(input), 0);
    }
    ck_assert_uint_lt(AllocatedBytes_now() - before, 2 * PIECES);
    InterimHeads_clear(&heads);
    evbuffer_free(input);
}
END_TEST

TESTING_MAIN("InterimHeads",
             head_in_small_pieces_takes_little_more_than_its_bytes,
             interim_heads_are_dropped,
             interim_heads_of_any_status_are_dropped, other_heads_stay,
             heads_behind_the_answer_stay, incomplete_head_is_kept_back,
             head_that_grows_too_long_is_left_to_its_reader)
