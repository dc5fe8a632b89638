#include "EventPipe.h"

#include <string.h>

#include "Buffers.h"

/* Start of the line that holds the id of an event. */
#define ID_FIELD "id:"

struct EventPipe {
    gsize event_max;
    struct evbuffer *partial; /* start of an incomplete event */
    gsize searched; /* bytes of @partial that hold no end of an event */
    GString *last_id;
    gsize counted; /* part of @total */
    gsize *total;  /* or NULL */
    gsize total_max;
    guint64 passed_count;
    gboolean is_too_large;
    gboolean restarted;
};

EventPipe_t *
EventPipe_create(gsize event_max)
{
    EventPipe_t *this = g_new0(EventPipe_t, 1);
    this->event_max = event_max;
    this->partial = evbuffer_new();
    this->last_id = g_string_new(NULL);
    return this;
}

void
EventPipe_shareLimit(EventPipe_t *this, gsize *total, gsize total_max)
{
    this->total = total;
    this->total_max = total_max;
}

static void
count_kept(EventPipe_t *this)
{
    gsize length = evbuffer_get_length(this->partial) + this->last_id->len;
    if (this->total) {
        *this->total = *this->total - this->counted + length;
        this->counted = length;
    }
}

static void
drop_partial(EventPipe_t *this)
{
    evbuffer_drain(this->partial, evbuffer_get_length(this->partial));
    this->searched = 0;
    count_kept(this);
}

void
EventPipe_destroy(EventPipe_t *this)
{
    g_string_truncate(this->last_id, 0);
    drop_partial(this);
    evbuffer_free(this->partial);
    g_string_free(this->last_id, TRUE);
    g_free(this);
}

/* A separator may begin in bytes that were searched. */
static struct evbuffer_ptr
find_from(struct evbuffer *bytes, gsize searched, const char *separator)
{
    gsize length = strlen(separator);
    struct evbuffer_ptr start;
    gsize from = searched >= length ? searched - (length - 1) : 0;
    if (evbuffer_ptr_set(bytes, &start, from, EVBUFFER_PTR_SET) != 0) {
        return (struct evbuffer_ptr){.pos = -1};
    }
    return evbuffer_search(bytes, separator, length, &start);
}

gsize
EventPipe_firstEventLength(struct evbuffer *bytes, gsize *searched)
{
    struct evbuffer_ptr plain = find_from(bytes, *searched, "\n\n");
    struct evbuffer_ptr returns = find_from(bytes, *searched, "\r\n\r\n");
    gsize length = 0;
    if (returns.pos >= 0 && (plain.pos < 0 || returns.pos < plain.pos)) {
        length = (gsize)returns.pos + 4;
    }
    else if (plain.pos >= 0) {
        length = (gsize)plain.pos + 2;
    }
    *searched = length > 0 ? 0 : evbuffer_get_length(bytes);
    return length;
}

/* Returns the value of the id line without surrounding white space, or NULL.
 */
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
parse_number(const GString *id, guint64 *number)
{
    return g_ascii_string_to_unsigned(id->str, 10, 0, G_MAXUINT64, number,
                                      NULL);
}

/* Numeric ids increase within a stream. Other ids can't be compared, so their
 * events always pass. */
static gboolean
is_duplicate(const EventPipe_t *this, const GString *id)
{
    guint64 last = 0;
    guint64 now = 0;
    return this->restarted && parse_number(this->last_id, &last) &&
           parse_number(id, &now) && now <= last;
}

gboolean
EventPipe_hasNumericId(const EventPipe_t *this)
{
    guint64 last = 0;
    return parse_number(this->last_id, &last);
}

static gboolean
pass_event(EventPipe_t *this, gsize length, struct evbuffer *out)
{
    const char *event =
        (const char *)evbuffer_pullup(this->partial, (ev_ssize_t)length);
    GString *id = find_id(event, length);
    gboolean duplicate = id && is_duplicate(this, id);
    if (duplicate) {
        evbuffer_drain(this->partial, length);
    }
    else {
        evbuffer_remove_buffer(this->partial, out, length);
        this->passed_count++;
    }
    if (id && !duplicate) {
        g_string_assign(this->last_id, id->str);
    }
    if (id) {
        g_string_free(id, TRUE);
    }
    return !duplicate;
}

/* Discards the partial event, as the upstream may never end it. */
static void
discard_event(EventPipe_t *this)
{
    this->is_too_large = TRUE;
    drop_partial(this);
}

static gboolean
is_partial_too_large(const EventPipe_t *this)
{
    gsize length = evbuffer_get_length(this->partial);
    return length > this->event_max ||
           (length > EVENT_FREE_MAX && this->total &&
            *this->total > this->total_max);
}

guint
EventPipe_feed(EventPipe_t *this, struct evbuffer *in, struct evbuffer *out)
{
    guint count = 0;
    gsize length = 0;
    Buffers_append(this->partial, in);
    while (!this->is_too_large &&
           (length = EventPipe_firstEventLength(this->partial,
                                                &this->searched)) > 0 &&
           length <= this->event_max) {
        count += pass_event(this, length, out) ? 1 : 0;
    }
    count_kept(this);
    if (this->is_too_large || is_partial_too_large(this)) {
        discard_event(this);
    }
    return count;
}

gboolean
EventPipe_isEventTooLarge(const EventPipe_t *this)
{
    return this->is_too_large;
}

void
EventPipe_restart(EventPipe_t *this)
{
    drop_partial(this);
    this->is_too_large = FALSE;
    this->restarted = TRUE;
}

void
EventPipe_flush(EventPipe_t *this, struct evbuffer *out)
{
    evbuffer_add_buffer(out, this->partial);
    this->searched = 0;
    count_kept(this);
}

gsize
EventPipe_pendingBytes(const EventPipe_t *this)
{
    return evbuffer_get_length(this->partial);
}

gboolean
EventPipe_isPartialEvent(struct evbuffer *bytes)
{
    gsize length = evbuffer_get_length(bytes);
    const char *text = (const char *)evbuffer_pullup(bytes, -1);
    for (gsize i = 0; i < length; i++) {
        if (text[i] != '\n' && text[i] != '\r') {
            return TRUE;
        }
    }
    return FALSE;
}

gboolean
EventPipe_isInsideEvent(const EventPipe_t *this)
{
    return EventPipe_isPartialEvent(this->partial);
}

guint64
EventPipe_countPassed(const EventPipe_t *this)
{
    return this->passed_count;
}

const char *
EventPipe_lastId(const EventPipe_t *this)
{
    return this->last_id->len > 0 ? this->last_id->str : NULL;
}
