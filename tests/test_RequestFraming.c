#include "testing.h"

#include <string.h>

#include "HeadCheck.h"
#include "RelayForm.h"
#include "RequestFraming.h"

#define POST "POST / HTTP/1.1\r\nHost: h\r\n"
#define CHUNKED POST "Transfer-Encoding: chunked\r\n\r\n"
#define BODY "5\r\nhello\r\n"
#define LAST "0\r\n\r\n"
#define BROKEN "x\r\n"
#define PROOF "0123456789abcdef0123456789abcdef"
#define PROOF_LINE "Wheattiller-Forward-Proof: " PROOF "\r\n"
#define NEXT "GET / HTTP/1.1\r\n\r\n" /* no chunk */

static void
feed(RequestFraming_t *framing, const char *bytes, gsize length)
{
    g_autofree char *copy = g_strndup(bytes, length);
    RequestFraming_feed(framing, copy, length);
}

static void
ck_assert_broken(const char *bytes, gboolean expected)
{
    gsize length = strlen(bytes);
    for (gsize step = 1; step <= length; step++) {
        RequestFraming_t *framing = RequestFraming_create(PROOF, NULL);
        for (gsize at = 0; at < length; at += step) {
            feed(framing, bytes + at, MIN(step, length - at));
        }
        ck_assert_msg(RequestFraming_isBroken(framing) == expected,
                      "%s in parts of %zu", bytes, step);
        RequestFraming_destroy(framing);
    }
}

START_TEST(sound_requests_follow_each_other)
{
    ck_assert_broken(CHUNKED BODY LAST CHUNKED BODY LAST, FALSE);
    ck_assert_broken(CHUNKED BODY "0\r\nTrailer: 1\r\n\r\n" CHUNKED LAST,
                     FALSE);
    ck_assert_broken(POST "Content-Length: 3\r\n\r\nx\r\n" CHUNKED LAST,
                     FALSE);
    ck_assert_broken("GET / HTTP/1.1\r\n\r\n" CHUNKED LAST, FALSE);
    ck_assert_broken(
        "HEAD / HTTP/1.1\r\nContent-Length: 0\r\n\r\n" CHUNKED LAST, FALSE);
    ck_assert_broken(
        "POST / HTTP/1.1\r\ntransfer-encoding:Chunked\r\n\r\n" BODY LAST,
        FALSE);
    ck_assert_broken("\r\n" CHUNKED LAST "\r\n" CHUNKED LAST, FALSE);
}
END_TEST

static void
ck_assert_left(const char *bytes, const char *expected)
{
    gsize length = strlen(bytes);
    for (gsize step = 1; step <= length; step++) {
        g_autoptr(GString) left = g_string_new(NULL);
        RequestFraming_t *framing = RequestFraming_create(NULL, NULL);
        for (gsize at = 0; at < length; at += step) {
            gsize size = MIN(step, length - at);
            g_autofree char *copy = g_strndup(bytes + at, size);
            size = RequestFraming_feed(framing, copy, size);
            g_string_append_len(left, copy, (gssize)size);
        }
        ck_assert_str_eq(left->str, expected);
        RequestFraming_destroy(framing);
    }
}

START_TEST(empty_lines_between_requests_are_left_out)
{
    ck_assert_left("\r\n", "");
    ck_assert_left("\r\n\r\n" NEXT "\r\n" NEXT "\r\n", NEXT NEXT);
    ck_assert_left(POST "Content-Length: 4\r\n\r\n\r\n\r\n\r\n" NEXT,
                   POST "Content-Length: 4\r\n\r\n\r\n\r\n" NEXT);
    ck_assert_left(CHUNKED "4\r\n\r\n\r\n\r\n" LAST "\r\n" NEXT,
                   CHUNKED "4\r\n\r\n\r\n\r\n" LAST NEXT);
    ck_assert_broken("\n" NEXT, TRUE);
    ck_assert_broken("\r" NEXT, TRUE);
    ck_assert_broken("\r\n\n" NEXT, TRUE);
}
END_TEST

START_TEST(bytes_of_heads_and_requests_are_counted)
{
    RequestFraming_t *framing = RequestFraming_create(NULL, NULL);
    const char *parts[] = {"\r\nGET / HTTP/1.1\r\n", "A: 1\r\n\r\n",
                           "POST / HTTP/1.1\r\nContent-Length: 2\r\n\r\nx"};
    feed(framing, parts[0], strlen(parts[0]));
    ck_assert_uint_eq(RequestFraming_headBytes(framing), 14);
    ck_assert_uint_eq(RequestFraming_bytes(framing), 16);
    feed(framing, parts[1], strlen(parts[1]));
    ck_assert_uint_eq(RequestFraming_headBytes(framing), 18);
    feed(framing, parts[2], strlen(parts[2]));
    ck_assert_uint_eq(RequestFraming_headBytes(framing), 32);
    ck_assert_uint_eq(RequestFraming_bytes(framing), strlen(parts[2]));
    feed(framing, "y", 1);
    ck_assert_uint_eq(RequestFraming_bytes(framing), strlen(parts[2]) + 1);
    RequestFraming_destroy(framing);
}
END_TEST

START_TEST(tabs_before_values_become_spaces)
{
    ck_assert_left(POST "A:\t b\t c\t\r\n\r\n\t",
                   POST "A:  b\t c\t\r\n\r\n\t");
    ck_assert_left(POST "A: \t:\tb\r\n\r\n", POST "A:  :\tb\r\n\r\n");
    ck_assert_left(POST "A:\t\r\nB: a\tb\r\n\r\n",
                   POST "A: \r\nB: a\tb\r\n\r\n");
    ck_assert_left(POST "Content-Length: 3\r\n\r\n:\tx",
                   POST "Content-Length: 3\r\n\r\n:\tx");
    ck_assert_left(CHUNKED "0\r\nA:\tb\r\n\r\n", CHUNKED "0\r\nA: b\r\n\r\n");
}
END_TEST

static void
ck_assert_unnamed(const char *bytes, gsize step, const char *word,
                  const char *from)
{
    gsize length = strlen(bytes);
    UnnamedMethod_t method = {0};
    RequestFraming_t *framing = RequestFraming_create(NULL, NULL);
    for (gsize at = 0; at < length; at += step) {
        feed(framing, bytes + at, MIN(step, length - at));
    }
    ck_assert(RequestFraming_takeUnnamed(framing, &method) == (word != NULL));
    ck_assert_pstr_eq(method.word, word);
    ck_assert_uint_eq(method.distance, word ? strlen(from) : 0);
    ck_assert(!RequestFraming_takeUnnamed(framing, &method));
    g_free(method.word);
    RequestFraming_destroy(framing);
}

START_TEST(methods_without_a_name_are_told)
{
    const char *unnamed = "FOO / HTTP/1.1\r\n\r\n" NEXT;
    for (gsize step = 1; step <= strlen(NEXT "\r\n") * 2; step++) {
        ck_assert_unnamed(NEXT NEXT, step, NULL, NULL);
        ck_assert_unnamed("FOO / HTTP/1.1", step, NULL, NULL);
        ck_assert_unnamed("FOO / HTTP/1.1\r\n\r\n" NEXT, step, "FOO", unnamed);
        ck_assert_unnamed(NEXT "\r\nFOO / HTTP/1.1\r\n\r\n" NEXT, step, "FOO",
                          unnamed);
        ck_assert_unnamed("GETS / HTTP/1.1\r\n", step, "GETS",
                          "GETS / HTTP/1.1\r\n");
        ck_assert_unnamed("get / HTTP/1.1\r\n", step, "get",
                          "get / HTTP/1.1\r\n");
        ck_assert_unnamed("CONNECT / HTTP/1.1\r\n", step, "CONNECT",
                          "CONNECT / HTTP/1.1\r\n");
    }
    ck_assert_broken(POST RELAY_METHOD ": a\r\n", TRUE);
}
END_TEST

START_TEST(broken_chunks_are_found_in_any_request)
{
    ck_assert_broken(CHUNKED BROKEN, TRUE);
    ck_assert_broken(CHUNKED BODY BROKEN, TRUE);
    ck_assert_broken(CHUNKED BODY LAST CHUNKED BROKEN, TRUE);
    ck_assert_broken("\r\n" CHUNKED BROKEN, TRUE);
    ck_assert_broken(POST "TRANSFER-ENCODING: \t chunked \r\n\r\n" BROKEN,
                     TRUE);
    ck_assert_broken(
        "GET / HTTP/1.1\r\nContent-Length: 1\r\n\r\nx" CHUNKED BROKEN, TRUE);
}
END_TEST

START_TEST(malformed_lines_are_found_in_any_request)
{
    ck_assert_broken("POST / HTTP/1.1\ntransfer-encoding:Chunked\n\n" LAST,
                     TRUE);
    ck_assert_broken(CHUNKED LAST POST "\n" CHUNKED LAST, TRUE);
    ck_assert_broken(CHUNKED LAST POST "X-Note: a\r\n b\r\n\r\n", TRUE);
    ck_assert_broken(CHUNKED BODY "0\r\nX-Note : a\r\n\r\n", TRUE);
    ck_assert_broken(CHUNKED BODY "0\r\nContent-Length: 5\r\n\r\n", TRUE);
    ck_assert_broken(CHUNKED BODY "0\r\ntransfer-encoding: x\r\n\r\n", TRUE);
    ck_assert_broken(POST "Content-Length: 4\r\n\r\n\n a\n" CHUNKED LAST,
                     FALSE);
}
END_TEST

/* What followed was taken for the next request, which evhttp took for a part
 * of the body. */
START_TEST(bodies_without_a_clear_end_are_broken)
{
    const char *length = "Content-Length: 5\r\n";
    const char *coding = "Transfer-Encoding: chunked\r\n";
    const char *other = "Transfer-Encoding: identity\r\n";
    const char *pairs[][2] = {{length, "Content-Length: 0\r\n"},
                              {length, length},
                              {length, coding},
                              {coding, length},
                              {coding, coding},
                              {coding, other},
                              {length, other},
                              {other, ""}};
    for (guint i = 0; i < G_N_ELEMENTS(pairs); i++) {
        g_autofree char *post =
            g_strconcat(POST, pairs[i][0], pairs[i][1], "\r\n", NULL);
        g_autofree char *head = g_strconcat("HEAD / HTTP/1.1\r\n", pairs[i][0],
                                            pairs[i][1], "\r\n", NULL);
        ck_assert_broken(post, TRUE);
        ck_assert_broken(head, FALSE);
    }
    ck_assert_broken(POST "Transfer-Encoding: chun\tked\r\n\r\n", TRUE);
    ck_assert_broken(POST "Transfer-Encoding: chunked a\r\n\r\n", TRUE);
    ck_assert_broken(POST "Transfer-Encoding: \t chunked \t\r\n\r\n" LAST,
                     FALSE);
    ck_assert_broken(POST "Content-Length: 5\r\n\r\nhello" CHUNKED LAST,
                     FALSE);
    ck_assert_broken(CHUNKED LAST POST "Content-Length: 0\r\n\r\n", FALSE);
}
END_TEST

/* evhttp reads a length of any number of digits. */
START_TEST(long_lengths_are_read_or_broken)
{
    g_autofree char *zeros = g_strnfill(100, '0');
    g_autofree char *nines = g_strnfill(100, '9');
    g_autofree char *sound = g_strconcat(POST "Content-Length: ", zeros,
                                         "3\r\n\r\n" BROKEN NEXT, NULL);
    g_autofree char *unread =
        g_strconcat(POST "Content-Length: ", nines, "\r\n\r\n", NULL);
    g_autofree char *coding =
        g_strconcat(POST "Transfer-Encoding: ", nines, "\r\n\r\n", NULL);
    ck_assert_broken(sound, FALSE);
    ck_assert_broken(unread, TRUE);
    ck_assert_broken(coding, TRUE);
}
END_TEST

START_TEST(bodies_without_chunks_are_not_checked)
{
    ck_assert_broken(POST "Content-Length: 3\r\n\r\n" BROKEN, FALSE);
    ck_assert_broken(POST "X-Note: chunked\r\n\r\n" NEXT, FALSE);
}
END_TEST

static guint64
read_caller(const char *bytes)
{
    RequestFraming_t *framing = RequestFraming_create(NULL, "Api-Key");
    feed(framing, bytes, strlen(bytes));
    guint64 caller = RequestFraming_caller(framing);
    RequestFraming_destroy(framing);
    return caller;
}

START_TEST(the_key_tells_callers_apart)
{
    g_autofree char *name = g_strnfill(100, 'n');
    g_autofree char *one = g_strconcat(POST "Api-Key: ", name, "1\r\n", NULL);
    g_autofree char *other =
        g_strconcat(POST "Api-Key: ", name, "2\r\n", NULL);
    ck_assert(read_caller(POST "Api-Key: a\r\n") ==
              read_caller(POST "Api-Key:  a\r\nX: 1\r\nContent-Length: 9\r\n"
                               "\r\nx"));
    ck_assert(read_caller(POST "Api-Key: a\r\n") !=
              read_caller(POST "Api-Key: b\r\n"));
    ck_assert(read_caller(one) != read_caller(other));
    ck_assert(read_caller(POST) == 0);
    ck_assert(read_caller(POST "Api-Key: a\r\n\r\nGET / HTTP/1.1\r\n") == 0);
}
END_TEST

START_TEST(long_lines_do_not_count)
{
    g_autofree char *name = g_strnfill(300, 'n');
    g_autofree char *bytes =
        g_strconcat(POST, name, ": chunked\r\n\r\n", NEXT, NULL);
    ck_assert_broken(bytes, FALSE);
}
END_TEST

static gboolean
may_be_from_router(const char *bytes)
{
    RequestFraming_t *framing = RequestFraming_create(PROOF, NULL);
    feed(framing, bytes, strlen(bytes));
    gboolean result = RequestFraming_mayBeFromRouter(framing);
    RequestFraming_destroy(framing);
    return result;
}

START_TEST(connection_with_the_proof_is_another_routers)
{
    ck_assert(may_be_from_router(POST PROOF_LINE));
    ck_assert(may_be_from_router(POST PROOF_LINE "\r\n" POST));
    ck_assert(may_be_from_router("GET / HTTP/1.1\r\n"
                                 "wheattiller-forward-proof:" PROOF "\r\n"));
}
END_TEST

START_TEST(connection_without_the_proof_is_a_callers)
{
    ck_assert(!may_be_from_router(""));
    ck_assert(!may_be_from_router(POST));
    ck_assert(!may_be_from_router("Wheattiller-Forward-Proof: " PROOF));
    ck_assert(!may_be_from_router(PROOF_LINE));
    ck_assert(!may_be_from_router(POST "Wheattiller-Forwarded-By: r1\r\n"));
    ck_assert(!may_be_from_router(POST "Wheattiller-Forward-Proof: r1\r\n"));
    ck_assert(!may_be_from_router(POST "Wheattiller-Forward-Proof:\r\n" POST));
    ck_assert(
        !may_be_from_router(POST "Wheattiller-Forward-Proof: " PROOF "0\r\n"));
    ck_assert(!may_be_from_router(POST "X: Wheattiller-Forward-Proof: " PROOF
                                       "\r\n"));
    ck_assert(!may_be_from_router(POST "\r\n" PROOF_LINE));
    ck_assert(!may_be_from_router(POST "Content-Length: 65\r\n\r\n"
                                       "\r\n" PROOF_LINE));
}
END_TEST

/* The beginning of a line is no proof, but evhttp must not give up a head
 * before the line is complete. */
START_TEST(line_that_may_become_the_proof_is_awaited)
{
    ck_assert(may_be_from_router(POST "Wheat"));
    ck_assert(may_be_from_router(POST "Wheattiller-Forward-Proof: 01"));
    ck_assert(!may_be_from_router(POST "Wheattiller-Forwarded-By: r"));
    ck_assert(!may_be_from_router(POST "Wheat\r\n"));
    ck_assert(!may_be_from_router(POST "Content-Length: 9\r\n\r\nWheat"));
}
END_TEST

static gboolean
has_too_many_lines(const char *proof_line, guint lines)
{
    RequestFraming_t *framing = RequestFraming_create(PROOF, NULL);
    feed(framing, "GET / HTTP/1.1\r\n", 16);
    feed(framing, proof_line, strlen(proof_line));
    while (RequestFraming_lines(framing) < lines) {
        feed(framing, "A: 1\r\n", 6);
    }
    gboolean result = RequestFraming_hasTooManyLines(framing);
    RequestFraming_destroy(framing);
    return result;
}

START_TEST(only_routers_may_add_lines)
{
    const char *other_line = "Wheattiller-Forward-Proof: r1\r\n";
    ck_assert(!has_too_many_lines("", HEAD_LINES_MAX));
    ck_assert(has_too_many_lines("", HEAD_LINES_MAX + 1));
    ck_assert(has_too_many_lines(other_line, HEAD_LINES_MAX + 1));
    ck_assert(
        !has_too_many_lines(PROOF_LINE, HEAD_LINES_MAX + RELAY_ADDED_LINES));
    ck_assert(has_too_many_lines(PROOF_LINE,
                                 HEAD_LINES_MAX + RELAY_ADDED_LINES + 1));
}
END_TEST

TESTING_MAIN(
    "RequestFraming", sound_requests_follow_each_other,
    empty_lines_between_requests_are_left_out,
    tabs_before_values_become_spaces, bytes_of_heads_and_requests_are_counted,
    methods_without_a_name_are_told, broken_chunks_are_found_in_any_request,
    malformed_lines_are_found_in_any_request, the_key_tells_callers_apart,
    long_lengths_are_read_or_broken, bodies_without_a_clear_end_are_broken,
    bodies_without_chunks_are_not_checked, long_lines_do_not_count,
    connection_with_the_proof_is_another_routers,
    connection_without_the_proof_is_a_callers,
    line_that_may_become_the_proof_is_awaited, only_routers_may_add_lines)
