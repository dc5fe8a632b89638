#include "EventPipe.h"

#include <string.h>

/* A line of an event that names its id. */
#define ID_FIELD "id:"

struct EventPipe {
    gsize event_max;
    struct evbuffer *rest; /* bytes of an event that is not whole yet */
    GString *last_id;
    guint64 passed;
    gboolean overfull;
    gboolean restarted;
};

EventPipe_t *
EventPipe_create(gsize event_max)
{
    EventPipe_t *this = g_new0(EventPipe_t, 1);
    this->event_max = event_max;
    this->rest = evbuffer_new();
    this->last_id = g_string_new(NULL);
    return this;
}

void
EventPipe_destroy(EventPipe_t *this)
{
    evbuffer_free(this->rest);
    g_string_free(this->last_id, TRUE);
    g_free(this);
}

gsize
EventPipe_firstLength(struct evbuffer *bytes)
{
    struct evbuffer_ptr plain = evbuffer_search(bytes, "\n\n", 2, NULL);
    struct evbuffer_ptr returns = evbuffer_search(bytes, "\r\n\r\n", 4, NULL);
    if (returns.pos >= 0 && (plain.pos < 0 || returns.pos < plain.pos)) {
        return (gsize)returns.pos + 4;
    }
    return plain.pos >= 0 ? (gsize)plain.pos + 2 : 0;
}

/* The value of the id line, without the space that may lead it. */
static GString *
find_id(const char *event, gsize length)
{
    const char *at = event;
    const char *end = event + length;
    while (at < end) {
        const char *line_end = memchr(at, '\n', (gsize)(end - at));
        gsize size = (gsize)((line_end ? line_end : end) - at);
        gsize field = strlen(ID_FIELD);
        if (size >= field && memcmp(at, ID_FIELD, field) == 0) {
            GString *id = g_string_new_len(at + field, (gssize)(size - field));
            g_strstrip(id->str);
            id->len = strlen(id->str);
            return id;
        }
        at += size + 1;
    }
    return NULL;
}

static gboolean
read_number(const GString *id, guint64 *number)
{
    return g_ascii_string_to_unsigned(id->str, 10, 0, G_MAXUINT64, number,
                                      NULL);
}

/* Ids rise; those that are no numbers can't be compared. */
static gboolean
has_passed(const EventPipe_t *this, const GString *id)
{
    guint64 last = 0;
    guint64 now = 0;
    return this->restarted && read_number(this->last_id, &last) &&
           read_number(id, &now) && now <= last;
}

gboolean
EventPipe_isNumbered(const EventPipe_t *this)
{
    guint64 last = 0;
    return read_number(this->last_id, &last);
}

static gboolean
pass_event(EventPipe_t *this, gsize length, struct evbuffer *out)
{
    const char *event =
        (const char *)evbuffer_pullup(this->rest, (ev_ssize_t)length);
    GString *id = find_id(event, length);
    gboolean again = id && has_passed(this, id);
    if (again) {
        evbuffer_drain(this->rest, length);
    }
    else {
        evbuffer_remove_buffer(this->rest, out, length);
        this->passed++;
    }
    if (id && !again) {
        g_string_assign(this->last_id, id->str);
    }
    if (id) {
        g_string_free(id, TRUE);
    }
    return !again;
}

/* Nothing of it is kept, as its upstream may go on for ever. */
static void
set_overfull(EventPipe_t *this)
{
    this->overfull = TRUE;
    evbuffer_drain(this->rest, evbuffer_get_length(this->rest));
}

guint
EventPipe_feed(EventPipe_t *this, struct evbuffer *in, struct evbuffer *out)
{
    guint count = 0;
    gsize length = 0;
    evbuffer_add_buffer(this->rest, in);
    while (!this->overfull &&
           (length = EventPipe_firstLength(this->rest)) > 0 &&
           length <= this->event_max) {
        count += pass_event(this, length, out) ? 1 : 0;
    }
    if (this->overfull || evbuffer_get_length(this->rest) > this->event_max) {
        set_overfull(this);
    }
    return count;
}

gboolean
EventPipe_isOverfull(const EventPipe_t *this)
{
    return this->overfull;
}

void
EventPipe_restart(EventPipe_t *this)
{
    evbuffer_drain(this->rest, evbuffer_get_length(this->rest));
    this->overfull = FALSE;
    this->restarted = TRUE;
}

void
EventPipe_flush(EventPipe_t *this, struct evbuffer *out)
{
    evbuffer_add_buffer(out, this->rest);
}

guint64
EventPipe_passed(const EventPipe_t *this)
{
    return this->passed;
}

const char *
EventPipe_lastId(const EventPipe_t *this)
{
    return this->last_id->len > 0 ? this->last_id->str : NULL;
}
