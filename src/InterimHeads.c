#include "InterimHeads.h"

#include <string.h>

#include "Buffers.h"

/* Each 0 stands for a digit, the blank at the end for that or the line's end.
 */
#define START "HTTP/1.0 100 "
#define START_LENGTH (sizeof(START) - 1)
#define STATUS_OFFSET 9
#define STATUS_LENGTH 3
#define SWITCHING "101"
#define HEAD_END "\r\n\r\n"
#define HEAD_END_LENGTH (sizeof(HEAD_END) - 1)
/* A longer one is left to evhttp, which has a limit for it. */
#define KEPT_MAX 16384

static gboolean
matches(char byte, gsize at)
{
    if (at == START_LENGTH - 1) {
        return byte == ' ' || byte == '\r';
    }
    return START[at] == '0' ? g_ascii_isdigit(byte) : byte == START[at];
}

static gboolean
is_start(const char *bytes, gsize length)
{
    for (gsize at = 0; at < length; at++) {
        if (!matches(bytes[at], at)) {
            return FALSE;
        }
    }
    return length < STATUS_OFFSET + STATUS_LENGTH ||
           memcmp(bytes + STATUS_OFFSET, SWITCHING, STATUS_LENGTH) != 0;
}

/* Whether the input begins as an interim head does, as far as it came. */
static gboolean
may_begin_interim(struct evbuffer *input)
{
    char start[START_LENGTH];
    ev_ssize_t length = evbuffer_copyout(input, start, sizeof(start));
    return length > 0 && is_start(start, (gsize)length);
}

static gboolean
drop_first(struct evbuffer *input)
{
    struct evbuffer_ptr end =
        evbuffer_search(input, HEAD_END, HEAD_END_LENGTH, NULL);
    if (!may_begin_interim(input) || end.pos < 0) {
        return FALSE;
    }
    evbuffer_drain(input, (size_t)end.pos + HEAD_END_LENGTH);
    return TRUE;
}

/* Returns what has all that was received and not read. */
static struct evbuffer *
gather(const InterimHeads_t *this, struct evbuffer *input)
{
    if (!this->kept || evbuffer_get_length(this->kept) == 0) {
        return input;
    }
    Buffers_append(this->kept, input);
    return this->kept;
}

static void
put_back(struct evbuffer *input, struct evbuffer *received)
{
    if (received != input) {
        evbuffer_prepend_buffer(input, received);
    }
}

static void
keep_back(InterimHeads_t *this, struct evbuffer *received)
{
    if (!this->kept) {
        this->kept = evbuffer_new();
    }
    if (received != this->kept) {
        Buffers_append(this->kept, received);
    }
}

guint
InterimHeads_drop(InterimHeads_t *this, struct evbuffer *input)
{
    guint dropped = 0;
    if (this->is_over) {
        return 0;
    }
    this->is_moving = TRUE;
    struct evbuffer *received = gather(this, input);
    while (drop_first(received)) {
        dropped++;
    }
    gsize length = evbuffer_get_length(received);
    if (may_begin_interim(received) && length <= KEPT_MAX) {
        keep_back(this, received);
    }
    else {
        put_back(input, received);
        this->is_over = length > 0;
    }
    this->is_moving = FALSE;
    return dropped;
}

gboolean
InterimHeads_isMoving(const InterimHeads_t *this)
{
    return this->is_moving;
}

void
InterimHeads_clear(InterimHeads_t *this)
{
    if (this->kept) {
        evbuffer_free(this->kept);
        this->kept = NULL;
    }
}
