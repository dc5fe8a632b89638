/* Which requests count as the same. */
#include "RequestDigest.h"

#include <string.h>

#include "testing.h"

static GBytes *
bytes_of(const char *text)
{
    return g_bytes_new(text, strlen(text));
}

static RequestDigest_t
make(const char *customer, const char *path, const char *text)
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

START_TEST(customer_path_and_body_make_it)
{
    RequestDigest_t known = make("a", "/ask/x", "body");
    ck_assert(is_same(known, make("a", "/ask/x", "body")));
    ck_assert(!is_same(known, make("b", "/ask/x", "body")));
    ck_assert(!is_same(known, make("a", "/ask/y", "body")));
    ck_assert(!is_same(known, make("a", "/ask/x?q=1", "body")));
    ck_assert(!is_same(known, make("a", "/ask/x", "body ")));
}
END_TEST

START_TEST(texts_do_not_run_into_each_other)
{
    ck_assert(!is_same(make("a", "/b", "c"), make("a/b", "", "c")));
    ck_assert(!is_same(make("", "/b", "c"), make("", "/bc", "")));
}
END_TEST

START_TEST(another_key_makes_another_one)
{
    g_autoptr(GBytes) key = bytes_of("another one of 22 byte");
    g_autoptr(GBytes) body = bytes_of("body");
    RequestIdentity_t identity = {"a", "/ask/x", body};
    ck_assert(!is_same(make("a", "/ask/x", "body"),
                       RequestDigest_make(&identity, key)));
}
END_TEST

START_TEST(text_and_back)
{
    RequestDigest_t known = make("a", "/ask/x", "body");
    RequestDigest_t read;
    char text[REQUEST_DIGEST_TEXT + 1];
    RequestDigest_write(&known, text);
    ck_assert_uint_eq(strlen(text), REQUEST_DIGEST_TEXT);
    ck_assert(RequestDigest_read(text, &read));
    ck_assert(is_same(known, read));
    ck_assert(!RequestDigest_read("", &read));
    ck_assert(!RequestDigest_read("00", &read));
    ck_assert(!RequestDigest_read("not hex digits, but long enough!", &read));
}
END_TEST

TESTING_MAIN("RequestDigest", customer_path_and_body_make_it,
             texts_do_not_run_into_each_other, another_key_makes_another_one,
             text_and_back)
