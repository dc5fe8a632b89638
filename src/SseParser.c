#include "SseParser.h"

#include <string.h>

struct SseParser {
    gsize event_max;
    gsize size; /* bytes of the current event so far */
    SseEvent_t event;
    void *user;
    GString *id;
    GString *data;
    gboolean has_id;
    gboolean has_data;
};

SseParser_t *
SseParser_create(gsize event_max, SseEvent_t event, void *user)
{
    SseParser_t *this = g_new0(SseParser_t, 1);
    this->event_max = event_max;
    this->event = event;
    this->user = user;
    this->id = g_string_new(NULL);
    this->data = g_string_new(NULL);
    return this;
}

void
SseParser_destroy(SseParser_t *this)
{
    g_string_free(this->id, TRUE);
    g_string_free(this->data, TRUE);
    g_free(this);
}

static gboolean
end_event(SseParser_t *this)
{
    gboolean should_continue = TRUE;
    if (this->has_data) {
        should_continue =
            this->event(this->has_id ? this->id->str : NULL, this->data->str,
                        this->data->len, this->user);
    }
    this->has_id = FALSE;
    this->has_data = FALSE;
    this->size = 0;
    g_string_truncate(this->data, 0);
    return should_continue;
}

/* Returns the value of a "name: value" line, or NULL for another field. */
static const char *
field_value(const char *line, gsize length, const char *name,
            gsize name_length)
{
    if (length <= name_length || line[name_length] != ':' ||
        memcmp(line, name, name_length) != 0) {
        return NULL;
    }
    const char *value = line + name_length + 1;
    return value < line + length && *value == ' ' ? value + 1 : value;
}

static void
parse_field(SseParser_t *this, const char *line, gsize length)
{
    const char *value = field_value(line, length, "data", strlen("data"));
    if (value) {
        if (this->has_data) {
            g_string_append_c(this->data, '\n');
        }
        g_string_append_len(this->data, value,
                            (gssize)(line + length - value));
        this->has_data = TRUE;
        return;
    }
    value = field_value(line, length, "id", strlen("id"));
    if (value) {
        g_string_truncate(this->id, 0);
        g_string_append_len(this->id, value, (gssize)(line + length - value));
        this->has_id = TRUE;
    }
}

static gboolean
parse_line(SseParser_t *this, const char *line, gsize length)
{
    if (length == 0) {
        return end_event(this);
    }
    this->size += length + 1;
    if (this->size > this->event_max) {
        return FALSE;
    }
    parse_field(this, line, length);
    return TRUE;
}

/* Parses all complete lines in place, without copying them. Returns the number
 * of bytes consumed. */
static gsize
parse_lines(SseParser_t *this, const char *data, gsize length,
            gboolean *should_continue)
{
    gsize consumed = 0;
    const char *end = NULL;
    while (*should_continue &&
           (end = memchr(data + consumed, '\n', length - consumed))) {
        gsize size = (gsize)(end - (data + consumed));
        gboolean has_cr = size > 0 && end[-1] == '\r';
        *should_continue =
            parse_line(this, data + consumed, size - (has_cr ? 1 : 0));
        consumed += size + 1;
    }
    return consumed;
}

gboolean
SseParser_feed(SseParser_t *this, struct evbuffer *input)
{
    gboolean should_continue = TRUE;
    gsize length = evbuffer_get_length(input);
    if (length > 0) {
        const char *data = (const char *)evbuffer_pullup(input, -1);
        evbuffer_drain(input,
                       parse_lines(this, data, length, &should_continue));
    }
    return should_continue &&
           this->size + evbuffer_get_length(input) <= this->event_max;
}
