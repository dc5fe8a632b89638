#include "Json.h"

#include <string.h>

#include "Errors.h"

static void
append_escape(GString *out, unsigned char byte)
{
    switch (byte) {
    case '"':
        g_string_append(out, "\\\"");
        break;
    case '\\':
        g_string_append(out, "\\\\");
        break;
    case '\n':
        g_string_append(out, "\\n");
        break;
    default:
        g_string_append_printf(out, "\\u%04x", byte);
        break;
    }
}

void
Json_appendString(GString *out, const char *text, gssize length)
{
    size_t size = length < 0 ? strlen(text) : (size_t)length;
    if (!g_utf8_validate_len(text, size, NULL)) {
        size = 0;
    }
    g_string_append_c(out, '"');
    size_t unescaped_start = 0;
    for (size_t i = 0; i < size; i++) {
        unsigned char byte = (unsigned char)text[i];
        if (byte >= 0x20 && byte != '"' && byte != '\\') {
            continue;
        }
        g_string_append_len(out, text + unescaped_start,
                            (gssize)(i - unescaped_start));
        append_escape(out, byte);
        unescaped_start = i + 1;
    }
    g_string_append_len(out, text + unescaped_start,
                        (gssize)(size - unescaped_start));
    g_string_append_c(out, '"');
}

json_t *
Json_parse(const char *data, size_t length, GError **error)
{
    json_error_t parse_error;
    json_t *root =
        json_loadb(data, length, JSON_REJECT_DUPLICATES, &parse_error);
    if (!root) {
        g_set_error(error, WT_ERROR, WT_ERROR_BAD_BODY,
                    "line %d, column %d: %s", parse_error.line,
                    parse_error.column, parse_error.text);
        return NULL;
    }
    if (!json_is_object(root)) {
        json_decref(root);
        g_set_error_literal(error, WT_ERROR, WT_ERROR_BAD_BODY,
                            "the body is not an object");
        return NULL;
    }
    return root;
}

const char *
Json_getString(const json_t *object, const char *key)
{
    return json_string_value(json_object_get(object, key));
}

gint64
Json_getInteger(const json_t *object, const char *key, gint64 fallback)
{
    const json_t *value = json_object_get(object, key);
    return json_is_integer(value) ? json_integer_value(value) : fallback;
}
