#include "testing.h"

#include "BodyFraming.h"

#include <event2/keyvalq_struct.h>
#include <sys/queue.h>

static BodyFraming_t
read_framing(int status, const char *const *lines)
{
    struct evkeyvalq headers;
    TAILQ_INIT(&headers);
    for (; *lines; lines += 2) {
        evhttp_add_header(&headers, lines[0], lines[1]);
    }
    BodyFraming_t framing =
        BodyFraming_read(EVHTTP_REQ_POST, status, &headers);
    evhttp_clear_headers(&headers);
    return framing;
}

#define FRAMING(status, ...)                                                  \
    read_framing(status, (const char *const[]){__VA_ARGS__, NULL})

START_TEST(a_length_or_chunks_mark_the_end)
{
    ck_assert_int_eq(FRAMING(200, "Content-Length", "0"), BODY_LENGTH);
    ck_assert_int_eq(FRAMING(500, "content-length", "12"), BODY_LENGTH);
    ck_assert_int_eq(FRAMING(200, "Transfer-Encoding", "Chunked"),
                     BODY_CHUNKED);
}
END_TEST

START_TEST(without_either_the_connection_marks_the_end)
{
    ck_assert_int_eq(FRAMING(200, "Connection", "close"),
                     BODY_CLOSE_DELIMITED);
    ck_assert_int_eq(FRAMING(500, "Connection", "keep-alive"),
                     BODY_CLOSE_DELIMITED);
}
END_TEST

START_TEST(answers_without_a_body_need_no_mark)
{
    struct evkeyvalq headers;
    TAILQ_INIT(&headers);
    ck_assert_int_eq(BodyFraming_read(EVHTTP_REQ_HEAD, 200, &headers),
                     BODY_EMPTY);
    ck_assert_int_eq(BodyFraming_read(EVHTTP_REQ_GET, 204, &headers),
                     BODY_EMPTY);
    ck_assert_int_eq(BodyFraming_read(EVHTTP_REQ_GET, 304, &headers),
                     BODY_EMPTY);
    ck_assert_int_eq(FRAMING(204, "Content-Length", "12"), BODY_EMPTY);
}
END_TEST

START_TEST(contradictory_or_unreadable_lengths_are_ambiguous)
{
    ck_assert_int_eq(
        FRAMING(200, "Content-Length", "3", "Transfer-Encoding", "chunked"),
        BODY_AMBIGUOUS);
    ck_assert_int_eq(
        FRAMING(200, "Content-Length", "3", "Content-Length", "4"),
        BODY_AMBIGUOUS);
    ck_assert_int_eq(FRAMING(200, "Transfer-Encoding", "gzip, chunked"),
                     BODY_AMBIGUOUS);
    static const char *const lengths[] = {
        "", "-1", "+1", "0x10", "3, 3", "3x", "x", "9999999999999999999"};
    for (gsize i = 0; i < G_N_ELEMENTS(lengths); i++) {
        ck_assert_int_eq(FRAMING(200, "Content-Length", lengths[i]),
                         BODY_AMBIGUOUS);
    }
    /* GLib's reader of numbers skips it. */
    ck_assert_int_eq(FRAMING(200, "Content-Length", "\v2"), BODY_AMBIGUOUS);
}
END_TEST

START_TEST(interim_answers_are_no_final_ones)
{
    ck_assert_int_eq(FRAMING(103, "Link", "x"), BODY_AMBIGUOUS);
}
END_TEST

static gboolean
is_ambiguous_request(enum evhttp_cmd_type method, const char *const *lines)
{
    struct evkeyvalq headers;
    TAILQ_INIT(&headers);
    for (; *lines; lines += 2) {
        evhttp_add_header(&headers, lines[0], lines[1]);
    }
    gboolean is_ambiguous = BodyFraming_isAmbiguousRequest(method, &headers);
    evhttp_clear_headers(&headers);
    return is_ambiguous;
}

#define AMBIGUOUS_FOR(method, ...)                                            \
    is_ambiguous_request(method, (const char *const[]){__VA_ARGS__, NULL})
#define AMBIGUOUS(...) AMBIGUOUS_FOR(EVHTTP_REQ_POST, __VA_ARGS__)

START_TEST(requests_state_their_body_once_and_in_one_way)
{
    ck_assert(!AMBIGUOUS("Host", "x"));
    ck_assert(!AMBIGUOUS("Content-Length", "0"));
    ck_assert(!AMBIGUOUS("transfer-encoding", "Chunked"));
    ck_assert(AMBIGUOUS("Content-Length", "1", "content-length", "1"));
    ck_assert(
        AMBIGUOUS("Content-Length", "1", "Transfer-Encoding", "chunked"));
    ck_assert(AMBIGUOUS("Transfer-Encoding", "identity"));
    ck_assert(AMBIGUOUS("Transfer-Encoding", "gzip, chunked"));
    ck_assert(AMBIGUOUS("Content-Length", "+1"));
    ck_assert(AMBIGUOUS("Content-Length", ""));
    ck_assert(AMBIGUOUS("Content-Length ", "1"));
    ck_assert(AMBIGUOUS("X(", "1"));
}
END_TEST

#define UNKNOWN (1 << 15) /* as evhttp has it */

START_TEST(requests_of_methods_without_a_body_state_none)
{
    static const enum evhttp_cmd_type methods[] = {
        EVHTTP_REQ_HEAD, EVHTTP_REQ_TRACE, (enum evhttp_cmd_type)UNKNOWN};
    for (gsize i = 0; i < G_N_ELEMENTS(methods); i++) {
        ck_assert(!AMBIGUOUS_FOR(methods[i], "Host", "x"));
        ck_assert(!AMBIGUOUS_FOR(methods[i], "Content-Length", "00"));
        ck_assert(AMBIGUOUS_FOR(methods[i], "Content-Length", "01"));
        ck_assert(AMBIGUOUS_FOR(methods[i], "Transfer-Encoding", "chunked"));
    }
    ck_assert(!AMBIGUOUS_FOR(EVHTTP_REQ_GET, "Content-Length", "1"));
    ck_assert(!AMBIGUOUS_FOR(EVHTTP_REQ_DELETE, "Content-Length", "1"));
}
END_TEST

TESTING_MAIN("BodyFraming", requests_of_methods_without_a_body_state_none,
             requests_state_their_body_once_and_in_one_way,
             a_length_or_chunks_mark_the_end,
             without_either_the_connection_marks_the_end,
             answers_without_a_body_need_no_mark,
             contradictory_or_unreadable_lengths_are_ambiguous,
             interim_answers_are_no_final_ones)
