#include "testing.h"

#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <sys/queue.h>

#include "ConnectionOptions.h"
#include "RelayForm.h"

static const char *const kept[] = {"X-Kept", NULL};

/* Returns the names that are left. */
static char *
strip(const char *const *pairs)
{
    struct evkeyvalq headers = {0};
    const struct evkeyval *header = NULL;
    GString *left = g_string_new(NULL);
    TAILQ_INIT(&headers);
    for (; *pairs; pairs += 2) {
        evhttp_add_header(&headers, pairs[0], pairs[1]);
    }
    ConnectionOptions_strip(&headers, kept);
    TAILQ_FOREACH(header, &headers, next)
    {
        g_string_append_printf(left, "%s ", header->key);
    }
    evhttp_clear_headers(&headers);
    return g_string_free(left, FALSE);
}

#define ck_assert_left(expected, ...)                                         \
    do {                                                                      \
        const char *pairs[] = {__VA_ARGS__, NULL};                            \
        g_autofree char *left = strip(pairs);                                 \
        ck_assert_str_eq(left, expected);                                     \
    } while (0)

START_TEST(named_fields_are_removed)
{
    ck_assert_left("Connection ", "Connection", "X-Hop", "X-Hop", "1");
    ck_assert_left("Connection A ", "x-hop", "1", "Connection",
                   "close ,\tX-HOP,, ", "X-Hop", "2", "A", "1");
    ck_assert_left("Connection A connection ", "Connection", "b, c", "A", "1",
                   "B", "1", "connection", "d", "C", "1", "D", "1");
}
END_TEST

START_TEST(other_fields_stay)
{
    ck_assert_left("A B ", "A", "1", "B", "1");
    ck_assert_left("Connection A ", "Connection", "", "A", "1");
    ck_assert_left("Connection Aa ", "Connection", "a, aaa, a a, aa;b", "Aa",
                   "1");
}
END_TEST

/* A caller could have had the router lose what it tells others. */
START_TEST(what_a_router_relies_on_stays)
{
    ck_assert_left("Connection X-Kept ", "Connection", "x-kept, connection",
                   "X-Kept", "1");
    ck_assert_left("Connection Host Content-Length ", "Connection",
                   "host, content-length", "Host", "1", "Content-Length", "1");
    ck_assert_left("Connection " RELAY_FORWARDED_BY " ", "Connection",
                   RELAY_FORWARDED_BY, RELAY_FORWARDED_BY, "1");
}
END_TEST

TESTING_MAIN("ConnectionOptions", named_fields_are_removed, other_fields_stay,
             what_a_router_relies_on_stays)
