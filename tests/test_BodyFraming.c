#include "testing.h"

#include "BodyFraming.h"

#include <event2/http_struct.h>
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

static const char *
find_fault(int status, const char *const *lines)
{
    struct evkeyvalq headers;
    TAILQ_INIT(&headers);
    for (; *lines; lines += 2) {
        evhttp_add_header(&headers, lines[0], lines[1]);
    }
    const char *fault =
        BodyFraming_findFault(EVHTTP_REQ_POST, status, &headers);
    evhttp_clear_headers(&headers);
    return fault;
}

#define FAULT(status, ...)                                                    \
    find_fault(status, (const char *const[]){__VA_ARGS__, NULL})

/* A log line told no more than that the end was not marked or ambiguous. */
START_TEST(faults_of_the_framing_are_told_apart)
{
    const char *const faults[] = {
        FAULT(101, "Upgrade", "x"),
        FAULT(103, "Link", "x"),
        FAULT(200, "Content-Length", "3", "Transfer-Encoding", "chunked"),
        FAULT(200, "Content-Length", "3", "Content-Length", "3"),
        FAULT(200, "Content-Length", "3, 3"),
        FAULT(200, "Transfer-Encoding", "gzip, chunked"),
        FAULT(200, "Transfer-Encoding", "chunked", "Transfer-Encoding",
              "chunked"),
    };
    for (gsize i = 0; i < G_N_ELEMENTS(faults); i++) {
        ck_assert(faults[i]);
        for (gsize j = 0; j < i; j++) {
            ck_assert_str_ne(faults[i], faults[j]);
        }
    }
    ck_assert(!FAULT(200, "Content-Length", "3"));
    ck_assert(!FAULT(200, "Transfer-Encoding", "chunked"));
    ck_assert(!FAULT(200, "Connection", "close"));
    ck_assert(!FAULT(204, "Content-Length", "x"));
}
END_TEST

/* evhttp took a length behind a tab for none. */
START_TEST(blanks_and_tabs_are_no_part_of_values)
{
    static const struct {
        const char *name, *value, *read;
        BodyFraming_t framing;
    } cases[] = {
        {"Content-Length", "\t3", "3", BODY_LENGTH},
        {"Content-Length", " \t 3\t \t", "3", BODY_LENGTH},
        {"Content-Length", " \t ", "", BODY_AMBIGUOUS},
        {"Content-Length", "3 3", "3 3", BODY_AMBIGUOUS},
        {"Content-Length", "\v3", "\v3", BODY_AMBIGUOUS},
        {"Transfer-Encoding", "\tchunked ", "chunked", BODY_CHUNKED},
        {"X-Note", "\ta\tb\t", "a\tb", BODY_CLOSE_DELIMITED},
    };
    for (gsize i = 0; i < G_N_ELEMENTS(cases); i++) {
        const char *fault = NULL;
        struct evhttp_request *request = evhttp_request_new(NULL, NULL);
        struct evkeyvalq *headers = evhttp_request_get_input_headers(request);
        request->response_code = 200;
        evhttp_add_header(headers, cases[i].name, cases[i].value);
        ck_assert_int_eq(BodyFraming_receive(request, &fault),
                         cases[i].framing);
        ck_assert_str_eq(evhttp_find_header(headers, cases[i].name),
                         cases[i].read);
        ck_assert((fault != NULL) == (cases[i].framing == BODY_AMBIGUOUS));
        evhttp_request_free(request);
    }
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
             interim_answers_are_no_final_ones,
             faults_of_the_framing_are_told_apart,
             blanks_and_tabs_are_no_part_of_values)
