#include "testing.h"

#include <event2/buffer.h>

#include "ErrorPage.h"

#define HEAD "Content-Type: text/html\r\nConnection: close\r\n\r\n"
#define PAGE "<HTML><HEAD>\n<TITLE>x</TITLE>\n</HEAD><BODY>\n</BODY></HTML>\n"

static gboolean
read_page(const char *text, Refusal_t *refusal)
{
    struct evbuffer *output = evbuffer_new();
    evbuffer_add_printf(output, "%s", text);
    gboolean is_page = ErrorPage_read(output, refusal);
    ck_assert_uint_eq(evbuffer_get_length(output), strlen(text));
    evbuffer_free(output);
    return is_page;
}

START_TEST(pages_are_recognized_by_their_status)
{
    Refusal_t refusal = REFUSAL_COUNT;
    ck_assert(read_page("HTTP/1.1 400 Bad Request\r\n" HEAD PAGE, &refusal));
    ck_assert_int_eq(refusal, REFUSAL_BAD_HEADER);
    ck_assert(read_page("HTTP/1.0 413 x\r\n" HEAD PAGE, &refusal));
    ck_assert_int_eq(refusal, REFUSAL_BODY_TOO_LONG);
    ck_assert(read_page("HTTP/1.1 417 x\r\n" HEAD PAGE, &refusal));
    ck_assert_int_eq(refusal, REFUSAL_BAD_EXPECTATION);
    ck_assert(read_page("HTTP/1.1 501 x\r\n" HEAD PAGE, &refusal));
    ck_assert_int_eq(refusal, REFUSAL_UNKNOWN_METHOD);
}
END_TEST

START_TEST(other_output_is_no_page)
{
    Refusal_t refusal = REFUSAL_COUNT;
    g_autofree char *filler = g_strnfill(4096, 'x');
    g_autofree char *longer =
        g_strconcat("HTTP/1.1 400 x\r\n" HEAD, filler, PAGE, NULL);
    ck_assert(!read_page("", &refusal));
    ck_assert(!read_page("HTTP/1.1 100 Continue\r\n\r\n", &refusal));
    ck_assert(!read_page("HTTP/1.1 400 x\r\n" HEAD, &refusal));
    ck_assert(!read_page("HTTP/1.1 200 OK\r\n" HEAD PAGE, &refusal));
    ck_assert(!read_page(PAGE, &refusal));
    ck_assert(!read_page(longer, &refusal));
    ck_assert_int_eq(refusal, REFUSAL_COUNT);
}
END_TEST

TESTING_MAIN("ErrorPage", pages_are_recognized_by_their_status,
             other_output_is_no_page)
