#include "Json.h"

#include <string.h>

#include "Errors.h"

/* An escaped code unit, and where its digits begin. */
#define ESCAPE_LENGTH 6
#define ESCAPE_DIGITS 2

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

size_t
Json_skipString(const char *data, size_t length, size_t at)
{
    for (at++; at < length && data[at] != '"'; at++) {
        at += data[at] == '\\' ? 1 : 0;
    }
    return at + 1;
}

/* Each value but the outermost one stands behind such a byte, or behind the
 * name of a member that does. */
static gboolean
precedes_value(char byte)
{
    return byte == ',' || byte == '[' || byte == '{';
}

gboolean
Json_hasMoreValues(const char *data, size_t length, gsize most)
{
    gsize count = 1;
    for (size_t at = 0; at < length && count <= most;) {
        if (data[at] == '"') {
            at = Json_skipString(data, length, at);
            continue;
        }
        count += precedes_value(data[at]) ? 1 : 0;
        at++;
    }
    return count > most;
}

/* jansson parses and frees nested values by recursion, and a level takes some
 * 150 bytes of the stack. */
static gboolean
is_too_deep(const char *data, size_t length, guint depth_max)
{
    guint depth = 0;
    for (size_t at = 0; at < length && depth <= depth_max;) {
        if (data[at] == '"') {
            at = Json_skipString(data, length, at);
            continue;
        }
        if (data[at] == '[' || data[at] == '{') {
            depth++;
        }
        else if ((data[at] == ']' || data[at] == '}') && depth > 0) {
            depth--;
        }
        at++;
    }
    return depth > depth_max;
}

static json_t *
parse_value(const char *data, size_t length, guint depth_max, size_t flags,
            GError **error)
{
    if (is_too_deep(data, length, depth_max)) {
        g_set_error(error, WT_ERROR, WT_ERROR_BAD_BODY,
                    "values are nested more than %d levels deep",
                    JSON_DEPTH_MAX);
        return NULL;
    }
    json_error_t parse_error;
    json_t *value =
        json_loadb(data, length, JSON_REJECT_DUPLICATES | flags, &parse_error);
    if (!value) {
        g_set_error(error, WT_ERROR, WT_ERROR_BAD_BODY,
                    "line %d, column %d: %s", parse_error.line,
                    parse_error.column, parse_error.text);
    }
    return value;
}

static json_t *
parse_object(const char *data, size_t length, size_t flags, GError **error)
{
    json_t *root = parse_value(data, length, JSON_DEPTH_MAX, flags, error);
    if (root && !json_is_object(root)) {
        json_decref(root);
        g_set_error_literal(error, WT_ERROR, WT_ERROR_BAD_BODY,
                            "the body is not an object");
        return NULL;
    }
    return root;
}

json_t *
Json_parseValue(const char *data, size_t length, guint depth_max,
                GError **error)
{
    return parse_value(data, length, depth_max, JSON_DECODE_ANY, error);
}

json_t *
Json_parse(const char *data, size_t length, GError **error)
{
    return parse_object(data, length, 0, error);
}

/* Returns the code unit of an escape such as \u00e9, or 0 if there is none. */
static guint
read_escape(const char *at)
{
    guint unit = 0;
    if (at[0] != '\\' || at[1] != 'u') {
        return 0;
    }
    for (gsize i = ESCAPE_DIGITS; i < ESCAPE_LENGTH; i++) {
        if (!g_ascii_isxdigit(at[i])) {
            return 0;
        }
        unit = unit * 16 + (guint)g_ascii_xdigit_value(at[i]);
    }
    return unit;
}

/* Returns the bytes of the escape at @at, after the repair of a surrogate
 * without its other half. */
static gsize
repair_escape(char *at)
{
    guint unit = read_escape(at);
    if (unit < 0xD800 || unit > 0xDFFF) {
        return at[1] == '\0' ? 1 : 2;
    }
    guint next = read_escape(at + ESCAPE_LENGTH);
    if (unit < 0xDC00 && next >= 0xDC00 && next <= 0xDFFF) {
        return (gsize)2 * ESCAPE_LENGTH;
    }
    memcpy(at + ESCAPE_DIGITS, "fffd", ESCAPE_LENGTH - ESCAPE_DIGITS);
    return ESCAPE_LENGTH;
}

json_t *
Json_parseRepaired(const char *data, size_t length, GError **error)
{
    json_t *root = parse_object(data, length, JSON_ALLOW_NUL, NULL);
    if (root) {
        return root;
    }
    g_autofree char *text = g_utf8_make_valid(data, (gssize)length);
    char *at = strchr(text, '\\');
    while (at) {
        at = strchr(at + repair_escape(at), '\\');
    }
    return parse_object(text, strlen(text), JSON_ALLOW_NUL, error);
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
