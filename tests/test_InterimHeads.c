#include "testing.h"

#include "InterimHeads.h"

#define FINAL "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

static void
assert_left(const char *received, guint dropped, const char *left)
{
    struct evbuffer *input = evbuffer_new();
    evbuffer_add(input, received, strlen(received));
    ck_assert_uint_eq(InterimHeads_drop(input), dropped);
    ck_assert_uint_eq(evbuffer_get_length(input), strlen(left));
    if (*left) {
        ck_assert_mem_eq(evbuffer_pullup(input, -1), left, strlen(left));
    }
    evbuffer_free(input);
}

START_TEST(interim_heads_are_dropped)
{
    assert_left("HTTP/1.1 100 Continue\r\n\r\n" FINAL, 1, FINAL);
    assert_left("HTTP/1.1 100 \r\n\r\nHTTP/1.0 100 x\r\nA: b\r\n\r\n" FINAL, 2,
                FINAL);
}
END_TEST

START_TEST(other_heads_stay)
{
    static const char *const others[] = {
        FINAL,
        "HTTP/1.1 101 Switching Protocols\r\n\r\n" FINAL,
        "HTTP/1.1 102 Processing\r\n\r\n" FINAL,
        "HTTP/1.1 1000 x\r\n\r\n" FINAL,
        "http/1.1 100 x\r\n\r\n" FINAL,
        "garbage 100\r\n\r\n" FINAL,
        "H",
    };
    for (gsize i = 0; i < G_N_ELEMENTS(others); i++) {
        assert_left(others[i], 0, others[i]);
    }
}
END_TEST

START_TEST(incomplete_head_stays)
{
    static const char head[] = "HTTP/1.1 100 Continue\r\nLink: x\r\n\r\n";
    for (gsize length = 1; length < strlen(head); length++) {
        g_autofree char *part = g_strndup(head, length);
        assert_left(part, 0, part);
    }
    assert_left(head, 1, "");
}
END_TEST

TESTING_MAIN("InterimHeads", interim_heads_are_dropped, other_heads_stay,
             incomplete_head_stays)
