#include "SseParser.h"

#include <stdlib.h>
#include <string.h>

struct SseParser {
    SseEvent_t event;
    void *user;
    GString *id;
    GString *data;
    gboolean has_id;
    gboolean has_data;
};

SseParser_t *
SseParser_create(SseEvent_t event, void *user)
{
    SseParser_t *this = g_new0(SseParser_t, 1);
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
    gboolean go_on = TRUE;
    if (this->has_data) {
        go_on = this->event(this->has_id ? this->id->str : NULL,
                            this->data->str, this->data->len, this->user);
    }
    this->has_id = FALSE;
    this->has_data = FALSE;
    g_string_truncate(this->data, 0);
    return go_on;
}

/* The value of "name: value", or NULL where the line is another field. */
static const char *
value_of(const char *line, const char *name)
{
    size_t length = strlen(name);
    if (strncmp(line, name, length) != 0 || line[length] != ':') {
        return NULL;
    }
    const char *value = line + length + 1;
    return *value == ' ' ? value + 1 : value;
}

static void
take_field(SseParser_t *this, const char *line, size_t length)
{
    const char *value = value_of(line, "data");
    if (value) {
        if (this->has_data) {
            g_string_append_c(this->data, '\n');
        }
        g_string_append_len(this->data, value,
                            (gssize)(line + length - value));
        this->has_data = TRUE;
        return;
    }
    value = value_of(line, "id");
    if (value) {
        g_string_assign(this->id, value);
        this->has_id = TRUE;
    }
}

static gboolean
take_line(SseParser_t *this, const char *line, size_t length)
{
    if (length == 0) {
        return end_event(this);
    }
    take_field(this, line, length);
    return this->data->len <= SSE_LINE_MAX;
}

gboolean
SseParser_feed(SseParser_t *this, struct evbuffer *input)
{
    size_t length = 0;
    char *line = NULL;
    while ((line = evbuffer_readln(input, &length, EVBUFFER_EOL_CRLF))) {
        gboolean go_on = take_line(this, line, length);
        free(line);
        if (!go_on) {
            return FALSE;
        }
    }
    return evbuffer_get_length(input) <= SSE_LINE_MAX;
}
