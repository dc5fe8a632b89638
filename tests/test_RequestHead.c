#include "testing.h"

#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <sys/queue.h>

#include "RelayForm.h"
#include "RequestHead.h"

static void
on_done(struct evhttp_request *request, void *data)
{
    (void)request;
    (void)data;
}

static struct evhttp_request *
create_request(enum evhttp_cmd_type type, const char *target)
{
    struct evhttp_request *request = evhttp_request_new(on_done, NULL);
    request->type = type;
    request->uri = strdup(target);
    request->major = 1;
    request->minor = 1;
    return request;
}

static struct evkeyvalq *
headers_of(struct evhttp_request *request)
{
    return evhttp_request_get_input_headers(request);
}

static void
ck_assert_target(enum evhttp_cmd_type type, const char *target,
                 const char *expected, const char *host)
{
    struct evhttp_request *request = create_request(type, target);
    evhttp_add_header(headers_of(request), "Host", "h");
    RequestHead_normalize(request);
    ck_assert_str_eq(evhttp_request_get_uri(request), expected);
    ck_assert_str_eq(evhttp_find_header(headers_of(request), "Host"), host);
    evhttp_request_free(request);
}

START_TEST(absolute_targets_become_paths)
{
    ck_assert_target(EVHTTP_REQ_GET, "/a?b", "/a?b", "h");
    ck_assert_target(EVHTTP_REQ_GET, "http://x/a?b", "/a?b", "x");
    ck_assert_target(EVHTTP_REQ_GET, "HTTPS://x:1/", "/", "x:1");
    ck_assert_target(EVHTTP_REQ_GET, "http://x", "/", "x");
    ck_assert_target(EVHTTP_REQ_GET, "http://x?b", "/?b", "x");
    ck_assert_target(EVHTTP_REQ_OPTIONS, "http://x", "*", "x");
    ck_assert_target(EVHTTP_REQ_OPTIONS, "http://x/", "/", "x");
    ck_assert_target(EVHTTP_REQ_GET, "/http://x/a", "/http://x/a", "h");
}
END_TEST

START_TEST(other_targets_stay)
{
    ck_assert_target(EVHTTP_REQ_GET, "http:///a", "http:///a", "h");
    ck_assert_target(EVHTTP_REQ_GET, "http://u@x/a", "http://u@x/a", "h");
    ck_assert_target(EVHTTP_REQ_GET, "ftp://x/a", "ftp://x/a", "h");
    ck_assert_target(EVHTTP_REQ_OPTIONS, "*", "*", "h");
    ck_assert_target(EVHTTP_REQ_GET, "", "", "h");
}
END_TEST

START_TEST(no_host_is_made_up)
{
    struct evhttp_request *request =
        create_request(EVHTTP_REQ_GET, "http://x/a");
    RequestHead_normalize(request);
    ck_assert_ptr_null(evhttp_find_header(headers_of(request), "Host"));
    evhttp_request_free(request);
}
END_TEST

static void
ck_assert_connection(const char *one, const char *other, const char *first)
{
    struct evhttp_request *request = create_request(EVHTTP_REQ_GET, "/");
    evhttp_add_header(headers_of(request), "connection", one);
    evhttp_add_header(headers_of(request), "Connection", other);
    RequestHead_normalize(request);
    ck_assert_str_eq(evhttp_find_header(headers_of(request), "Connection"),
                     first);
    evhttp_request_free(request);
}

START_TEST(a_close_comes_first)
{
    ck_assert_connection("a, Close", "b", "close");
    ck_assert_connection("keep-alive", "b\t,close ,c", "close");
    ck_assert_connection("", ",,close", "close");
    ck_assert_connection("a, not-close", "closed", "a, not-close");
    ck_assert_connection("keep-alive", "\"close\"", "keep-alive");
}
END_TEST

START_TEST(methods_without_a_name_are_known_by_their_word)
{
    struct evhttp_request *request = create_request(EVHTTP_REQ_POST, "/");
    RequestHead_normalize(request);
    ck_assert_ptr_null(RequestHead_unnamedMethod(request));
    ck_assert_int_eq(RequestHead_methodToSend(request), EVHTTP_REQ_POST);
    evhttp_add_header(headers_of(request), RELAY_METHOD, "FOO");
    ck_assert_ptr_null(RequestHead_unnamedMethod(request));
    RequestHead_normalize(request);
    ck_assert_int_eq(evhttp_request_get_command(request), METHOD_UNNAMED);
    ck_assert_str_eq(RequestHead_unnamedMethod(request), "FOO");
    ck_assert_int_eq(RequestHead_methodToSend(request), EVHTTP_REQ_POST);
    evhttp_request_free(request);
}
END_TEST

START_TEST(later_versions_are_answered_as_the_known_one)
{
    struct evhttp_request *request = create_request(EVHTTP_REQ_GET, "/");
    request->minor = 7;
    RequestHead_normalize(request);
    ck_assert(RequestHead_hasVersion(request));
    ck_assert_int_eq(request->minor, 1);
    request->major = 0;
    ck_assert(!RequestHead_hasVersion(request));
    evhttp_request_free(request);
}
END_TEST

TESTING_MAIN("RequestHead", absolute_targets_become_paths, other_targets_stay,
             no_host_is_made_up, a_close_comes_first,
             methods_without_a_name_are_known_by_their_word,
             later_versions_are_answered_as_the_known_one)
