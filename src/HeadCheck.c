#include "HeadCheck.h"

/* Of "HTTP/1.1 100 Continue". */
#define STATUS_OFFSET 9

static void
end_line(HeadCheck_t *this)
{
    gboolean is_empty = this->line_bytes == 0;
    this->lines++;
    this->line_bytes = 0;
    this->has_field = !is_empty && this->is_first_line_read;
    if (!is_empty) {
        this->is_first_line_read = TRUE;
        return;
    }
    this->is_ended = this->is_first_line_read && !this->is_interim;
    if (this->is_first_line_read) {
        this->is_first_line_read = FALSE;
        this->is_interim = FALSE;
    }
}

static LineKind_t
kind_of_line(const HeadCheck_t *this)
{
    if (!this->is_first_line_read) {
        return LINE_OF_STATUS;
    }
    return this->takes_folds && this->has_field ? LINE_OF_FOLDABLE
                                                : LINE_OF_FIELD;
}

static void
feed_byte(HeadCheck_t *this, char byte)
{
    LineCheck_feed(&this->syntax, kind_of_line(this), byte);
    if (byte == '\n') {
        end_line(this);
        return;
    }
    if (byte == '\r') {
        return;
    }
    if (!this->is_first_line_read && this->line_bytes == STATUS_OFFSET) {
        this->is_interim = byte == '1';
    }
    this->line_bytes++;
}

void
HeadCheck_addTrailers(HeadCheck_t *this)
{
    this->is_ended = FALSE;
    this->is_first_line_read = TRUE;
    this->has_field = FALSE;
    this->line_bytes = 0;
}

static gboolean
is_refused(const HeadCheck_t *this)
{
    return HeadCheck_isTooLong(this) || HeadCheck_isBroken(this);
}

static gboolean
is_under_way(const HeadCheck_t *this)
{
    return !this->is_ended && !is_refused(this);
}

static void
feed(HeadCheck_t *this, const char *bytes, gsize length)
{
    for (gsize i = 0; i < length && is_under_way(this); i++) {
        feed_byte(this, bytes[i]);
    }
}

void
HeadCheck_feedTail(HeadCheck_t *this, struct evbuffer *buffer, gsize length)
{
    gsize size = evbuffer_get_length(buffer);
    struct evbuffer_ptr at;
    struct evbuffer_iovec part;
    if (!is_under_way(this) || length == 0) {
        return;
    }
    evbuffer_ptr_set(buffer, &at, size - length, EVBUFFER_PTR_SET);
    while (evbuffer_peek(buffer, -1, &at, &part, 1) > 0) {
        feed(this, part.iov_base, part.iov_len);
        if (evbuffer_ptr_set(buffer, &at, part.iov_len, EVBUFFER_PTR_ADD) !=
            0) {
            return;
        }
    }
}

gboolean
HeadCheck_drops(HeadCheck_t *this, struct evbuffer *buffer, gsize length)
{
    HeadCheck_feedTail(this, buffer, length);
    if (is_refused(this) && length > 0) {
        evbuffer_drain(buffer, evbuffer_get_length(buffer));
    }
    return is_refused(this);
}

gboolean
HeadCheck_isBroken(const HeadCheck_t *this)
{
    return LineCheck_isBroken(&this->syntax);
}

const char *
HeadCheck_fault(const HeadCheck_t *this)
{
    switch (this->syntax.broken_by) {
    case LINE_FAULT_NONE:
        return NULL;
    case LINE_FAULT_LINE_FEED:
        return "a line of the answer's head ends in a bare line feed";
    case LINE_FAULT_FOLD:
        return "a field of the answer's head is folded";
    case LINE_FAULT_STATUS:
        return "the answer's status line is malformed";
    default:
        return "a line of the answer's head is malformed";
    }
}

gboolean
HeadCheck_isTooLong(const HeadCheck_t *this)
{
    return this->lines > HEAD_LINES_MAX;
}
