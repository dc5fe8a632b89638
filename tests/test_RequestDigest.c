/* Tests which requests have the same digest. */
#include "RequestDigest.h"

#include <string.h>

#include "testing.h"

static GBytes *
bytes_of(const char *text)
{
    return g_bytes_new(text, strlen(text));
}

static RequestDigest_t
make_digest(const char *customer, const char *path, const char *text)
{
    g_autoptr(GBytes) key = bytes_of("sixteen bytes at least");
    g_autoptr(GBytes) body = bytes_of(text);
    RequestIdentity_t identity = {customer, path, body};
    return RequestDigest_make(&identity, key);
}

static gboolean
is_same(RequestDigest_t left, RequestDigest_t right)
{
    return RequestDigest_equal(&left, &right);
}

START_TEST(a_digest_covers_customer_path_and_body)
{
    RequestDigest_t original = make_digest("a", "/ask/x", "body");
    ck_assert(is_same(original, make_digest("a", "/ask/x", "body")));
    ck_assert(!is_same(original, make_digest("b", "/ask/x", "body")));
    ck_assert(!is_same(original, make_digest("a", "/ask/y", "body")));
    ck_assert(!is_same(original, make_digest("a", "/ask/x?q=1", "body")));
    ck_assert(!is_same(original, make_digest("a", "/ask/x", "body ")));
}
END_TEST

START_TEST(boundaries_between_texts_count)
{
    ck_assert(
        !is_same(make_digest("a", "/b", "c"), make_digest("a/b", "", "c")));
    ck_assert(
        !is_same(make_digest("", "/b", "c"), make_digest("", "/bc", "")));
}
END_TEST

START_TEST(a_digest_depends_on_the_key)
{
    g_autoptr(GBytes) key = bytes_of("another one of 22 byte");
    g_autoptr(GBytes) body = bytes_of("body");
    RequestIdentity_t identity = {"a", "/ask/x", body};
    ck_assert(!is_same(make_digest("a", "/ask/x", "body"),
                       RequestDigest_make(&identity, key)));
}
END_TEST

START_TEST(hex_round_trip)
{
    RequestDigest_t original = make_digest("a", "/ask/x", "body");
    RequestDigest_t read;
    char text[REQUEST_DIGEST_TEXT + 1];
    RequestDigest_write(&original, text);
    ck_assert_uint_eq(strlen(text), REQUEST_DIGEST_TEXT);
    ck_assert(RequestDigest_read(text, &read));
    ck_assert(is_same(original, read));
    ck_assert(!RequestDigest_read("", &read));
    ck_assert(!RequestDigest_read("00", &read));
    ck_assert(!RequestDigest_read("not hex digits, but long enough!", &read));
}
END_TEST

TESTING_MAIN("RequestDigest", a_digest_covers_customer_path_and_body,
             boundaries_between_texts_count, a_digest_depends_on_the_key,
             hex_round_trip)
