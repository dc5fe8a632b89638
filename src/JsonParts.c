#include "JsonParts.h"

#include <string.h>

#include "Json.h"

/* Levels of the object and of a list, in which a value is nested. */
#define OUTER_LEVELS 2

typedef struct {
    gsize start; /* behind the '[' */
    gsize end;   /* of the ']' */
    gboolean is_read;
} List_t;

struct JsonParts {
    const char *text;
    gsize length;
    GArray *lists; /* List_t */
    json_t *root;  /* each list holds its index in lists alone */
};

static gboolean
is_opening(char byte)
{
    return byte == '[' || byte == '{';
}

static gboolean
is_closing(char byte)
{
    return byte == ']' || byte == '}';
}

/* Returns the index of the first byte behind the one at @at, or behind the
 * string that begins there. */
static gsize
next_index(const JsonParts_t *this, gsize at)
{
    gsize next = at + 1;
    if (this->text[at] == '"') {
        next = Json_skipString(this->text, this->length, at);
    }
    return MIN(next, this->length);
}

/* Returns the index of the ',' or ']' behind the value at @at, or the length
 * of the text. */
static gsize
end_of_value(const JsonParts_t *this, gsize at)
{
    guint depth = 0;
    for (; at < this->length; at = next_index(this, at)) {
        char byte = this->text[at];
        if (depth == 0 && (byte == ',' || byte == ']')) {
            break;
        }
        if (is_opening(byte)) {
            depth++;
        }
        else if (is_closing(byte) && depth > 0) {
            depth--;
        }
    }
    return at;
}

static gsize
end_of_list(const JsonParts_t *this, gsize start)
{
    gsize at = end_of_value(this, start);
    while (at < this->length && this->text[at] == ',') {
        at = end_of_value(this, at + 1);
    }
    return at;
}

/* Returns the index of the first byte behind the list. */
static gsize
add_list(JsonParts_t *this, GString *outline, gsize start)
{
    List_t list = {.start = start, .end = end_of_list(this, start)};
    g_string_append_printf(outline, "[%u", this->lists->len);
    g_array_append_val(this->lists, list);
    if (list.end == this->length) {
        return list.end;
    }
    g_string_append_c(outline, ']');
    return list.end + 1;
}

/* Adds the bytes from @at on that are in no list, or notes the list that
 * begins there. Returns the index of the first byte behind them. */
static gsize
add_bytes(JsonParts_t *this, GString *outline, gsize at, guint depth)
{
    if (this->text[at] == '[' && depth == 1) {
        return add_list(this, outline, at + 1);
    }
    gsize next = next_index(this, at);
    g_string_append_len(outline, this->text + at, (gssize)(next - at));
    return next;
}

/* Returns the text with the index of each list in place of its values. */
static GString *
make_outline(JsonParts_t *this)
{
    GString *outline = g_string_new(NULL);
    guint depth = 0;
    for (gsize at = 0; at < this->length;) {
        char byte = this->text[at];
        gboolean is_list = byte == '[' && depth == 1;
        at = add_bytes(this, outline, at, depth);
        if (is_opening(byte) && !is_list) {
            depth++;
        }
        else if (is_closing(byte) && depth > 0) {
            depth--;
        }
    }
    return outline;
}

JsonParts_t *
JsonParts_create(const char *text, gsize length, GError **error)
{
    JsonParts_t *this = g_new0(JsonParts_t, 1);
    this->text = text;
    this->length = length;
    this->lists = g_array_new(FALSE, FALSE, sizeof(List_t));
    GString *outline = make_outline(this);
    this->root = Json_parse(outline->str, outline->len, error);
    g_string_free(outline, TRUE);
    if (!this->root) {
        JsonParts_destroy(this);
        return NULL;
    }
    return this;
}

void
JsonParts_destroy(JsonParts_t *this)
{
    json_decref(this->root);
    g_array_unref(this->lists);
    g_free(this);
}

const json_t *
JsonParts_root(const JsonParts_t *this)
{
    return this->root;
}

static gboolean
is_blank_byte(char byte)
{
    return byte == ' ' || byte == '\t' || byte == '\r' || byte == '\n';
}

static gboolean
is_blank(const JsonParts_t *this, gsize start, gsize end)
{
    while (start < end && is_blank_byte(this->text[start])) {
        start++;
    }
    return start == end;
}

static gboolean
read_value(const JsonParts_t *this, gsize start, gsize end,
           JsonPartRead_t read, void *data, GError **error)
{
    json_t *value = Json_parseValue(this->text + start, end - start,
                                    JSON_DEPTH_MAX - OUTER_LEVELS, error);
    if (!value) {
        g_prefix_error(error, "value at byte %" G_GSIZE_FORMAT ": ", start);
        return FALSE;
    }
    if (read) {
        read(value, data);
    }
    json_decref(value);
    return TRUE;
}

static gboolean
read_values(const JsonParts_t *this, const List_t *list, JsonPartRead_t read,
            void *data, GError **error)
{
    gsize start = list->start;
    while (start <= list->end) {
        gsize end = end_of_value(this, start);
        if (!read_value(this, start, end, read, data, error)) {
            return FALSE;
        }
        start = end + 1;
    }
    return TRUE;
}

static gboolean
read_list(const JsonParts_t *this, List_t *list, JsonPartRead_t read,
          void *data, GError **error)
{
    list->is_read = TRUE;
    return is_blank(this, list->start, list->end) ||
           read_values(this, list, read, data, error);
}

gboolean
JsonParts_readList(JsonParts_t *this, const char *key, JsonPartRead_t read,
                   void *data, GError **error)
{
    const json_t *member = json_object_get(this->root, key);
    if (!json_is_array(member)) {
        return TRUE;
    }
    json_int_t index = json_integer_value(json_array_get(member, 0));
    return read_list(this, &g_array_index(this->lists, List_t, index), read,
                     data, error);
}

gboolean
JsonParts_checkRest(JsonParts_t *this, GError **error)
{
    for (guint i = 0; i < this->lists->len; i++) {
        List_t *list = &g_array_index(this->lists, List_t, i);
        if (!list->is_read && !read_list(this, list, NULL, NULL, error)) {
            return FALSE;
        }
    }
    return TRUE;
}
