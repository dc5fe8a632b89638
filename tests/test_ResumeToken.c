#include "testing.h"

#include "Errors.h"
#include "ResumeToken.h"

static GBytes *
make_key(guint8 byte)
{
    guint8 bytes[32];
    for (gsize i = 0; i < sizeof(bytes); i++) {
        bytes[i] = byte;
    }
    return g_bytes_new(bytes, sizeof(bytes));
}

static GString *
make_token(GBytes *key)
{
    ResumePoint_t *point = ResumePoint_create();
    g_string_assign(point->customer, "acme");
    g_string_assign(point->upstream, "e1");
    g_string_assign(point->stream, "s-9");
    g_string_assign(point->request, "r-1");
    g_string_assign(point->model, "m");
    point->incarnation = 1234567890123;
    GString *sealed = ResumeToken_seal(point, key);
    ResumePoint_destroy(point);
    g_string_append(sealed, ".17");
    return sealed;
}

START_TEST(token_opens_to_what_was_sealed)
{
    GBytes *key = make_key(1);
    GString *text = make_token(key);
    ResumePoint_t *point = ResumeToken_open(text->str, key, NULL);
    ck_assert_ptr_nonnull(point);
    ck_assert_str_eq(point->customer->str, "acme");
    ck_assert_str_eq(point->upstream->str, "e1");
    ck_assert_str_eq(point->stream->str, "s-9");
    ck_assert_uint_eq(point->incarnation, 1234567890123);
    ck_assert_uint_eq(point->offset, 17);
    ResumePoint_destroy(point);
    g_string_free(text, TRUE);
    g_bytes_unref(key);
}
END_TEST

static void
assert_refused(const char *text, GBytes *key)
{
    g_autoptr(GError) error = NULL;
    ck_assert_ptr_null(ResumeToken_open(text, key, &error));
    ck_assert(g_error_matches(error, WT_ERROR, WT_ERROR_BAD_TOKEN));
}

START_TEST(change_of_any_character_is_detected)
{
    GBytes *key = make_key(1);
    GString *text = make_token(key);
    for (gsize i = 0; i + 3 < text->len; i++) {
        char original = text->str[i];
        text->str[i] = original == 'A' ? 'B' : 'A';
        assert_refused(text->str, key);
        text->str[i] = original;
    }
    g_string_free(text, TRUE);
    g_bytes_unref(key);
}
END_TEST

START_TEST(wrong_key_or_malformed_token_is_refused)
{
    GBytes *key = make_key(1);
    GBytes *other = make_key(2);
    GString *text = make_token(key);
    assert_refused(text->str, other);
    assert_refused("", key);
    assert_refused(".5", key);
    assert_refused("AAAA.5", key);
    assert_refused("no-offset", key);
    g_string_append(text, "x");
    assert_refused(text->str, key);
    g_string_set_size(text, 10000);
    memset(text->str, 'A', 10000);
    g_string_append(text, ".1");
    assert_refused(text->str, key);
    g_string_free(text, TRUE);
    g_bytes_unref(key);
    g_bytes_unref(other);
}
END_TEST

TESTING_MAIN("ResumeToken", token_opens_to_what_was_sealed,
             change_of_any_character_is_detected,
             wrong_key_or_malformed_token_is_refused)
