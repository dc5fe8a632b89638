#include "ResumeToken.h"

#include <sodium.h>
#include <string.h>

#include "Errors.h"
#include "Json.h"

#define BASE64_VARIANT sodium_base64_VARIANT_URLSAFE_NO_PADDING
#define TOKEN_MAX 2048

ResumePoint_t *
ResumePoint_create(void)
{
    ResumePoint_t *this = g_new0(ResumePoint_t, 1);
    this->customer = g_string_new(NULL);
    this->upstream = g_string_new(NULL);
    this->stream = g_string_new(NULL);
    this->request = g_string_new(NULL);
    this->model = g_string_new(NULL);
    return this;
}

void
ResumePoint_destroy(ResumePoint_t *this)
{
    g_string_free(this->customer, TRUE);
    g_string_free(this->upstream, TRUE);
    g_string_free(this->stream, TRUE);
    g_string_free(this->request, TRUE);
    g_string_free(this->model, TRUE);
    g_free(this);
}

static char *
encode_point(const ResumePoint_t *point)
{
    json_t *body = json_pack(
        "{s:s, s:s, s:I, s:s, s:s, s:s}", "c", point->customer->str, "u",
        point->upstream->str, "i", (json_int_t)point->incarnation, "s",
        point->stream->str, "r", point->request->str, "m", point->model->str);
    char *text = json_dumps(body, JSON_COMPACT);
    json_decref(body);
    return text;
}

GString *
ResumeToken_seal(const ResumePoint_t *point, GBytes *key)
{
    char *text = encode_point(point);
    size_t length = strlen(text);
    size_t size =
        crypto_secretbox_NONCEBYTES + crypto_secretbox_MACBYTES + length;
    g_autofree guint8 *box = g_malloc(size);
    randombytes_buf(box, crypto_secretbox_NONCEBYTES);
    crypto_secretbox_easy(box + crypto_secretbox_NONCEBYTES,
                          (const guint8 *)text, length, box,
                          g_bytes_get_data(key, NULL));
    free(text);
    size_t encoded = sodium_base64_ENCODED_LEN(size, BASE64_VARIANT);
    GString *token = g_string_sized_new(encoded);
    g_string_set_size(token, encoded);
    sodium_bin2base64(token->str, encoded, box, size, BASE64_VARIANT);
    g_string_truncate(token, encoded - 1);
    return token;
}

static void
assign_field(GString *out, const json_t *body, const char *key)
{
    const char *text = Json_getString(body, key);
    g_string_assign(out, text ? text : "");
}

static ResumePoint_t *
decode_point(const char *text, size_t length, guint64 offset)
{
    json_t *body = Json_parse(text, length, NULL);
    if (!body) {
        return NULL;
    }
    ResumePoint_t *point = ResumePoint_create();
    assign_field(point->customer, body, "c");
    assign_field(point->upstream, body, "u");
    assign_field(point->stream, body, "s");
    assign_field(point->request, body, "r");
    assign_field(point->model, body, "m");
    point->incarnation = (guint64)Json_getInteger(body, "i", 0);
    point->offset = offset;
    json_decref(body);
    return point;
}

static ResumePoint_t *
open_box(const guint8 *box, size_t size, guint64 offset, GBytes *key)
{
    size_t overhead = crypto_secretbox_NONCEBYTES + crypto_secretbox_MACBYTES;
    if (size <= overhead) {
        return NULL;
    }
    guint8 text[TOKEN_MAX];
    if (crypto_secretbox_open_easy(text, box + crypto_secretbox_NONCEBYTES,
                                   size - crypto_secretbox_NONCEBYTES, box,
                                   g_bytes_get_data(key, NULL)) != 0) {
        return NULL;
    }
    return decode_point((const char *)text, size - overhead, offset);
}

ResumePoint_t *
ResumeToken_open(const char *text, GBytes *key, GError **error)
{
    ResumePoint_t *point = NULL;
    const char *dot = strrchr(text, '.');
    guint64 offset = 0;
    if (dot && dot - text < TOKEN_MAX &&
        g_ascii_string_to_unsigned(dot + 1, 10, 0, G_MAXUINT32, &offset,
                                   NULL)) {
        guint8 box[TOKEN_MAX];
        size_t size = 0;
        if (sodium_base642bin(box, sizeof(box), text, (size_t)(dot - text),
                              NULL, &size, NULL, BASE64_VARIANT) == 0) {
            point = open_box(box, size, offset, key);
        }
    }
    if (!point) {
        g_set_error_literal(error, WT_ERROR, WT_ERROR_BAD_TOKEN,
                            "malformed resume token, or sealed with another "
                            "key");
    }
    return point;
}
