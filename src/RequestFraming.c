#include "RequestFraming.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <string.h>

#include "BodyFraming.h"
#include "ChunkCheck.h"

/* Longer than the lines that matter, without blanks. */
#define LINE_MAX_BYTES 64
#define CHUNKED_LINE "transfer-encoding:chunked"
#define LENGTH_PREFIX "content-length:"

typedef enum {
    PART_HEAD,
    PART_LENGTH,
    PART_CHUNKS,
    PART_TRAILERS,
} Part_t;

struct RequestFraming {
    Part_t part;
    char line[LINE_MAX_BYTES]; /* the beginning of the line under way */
    gsize line_bytes;
    gboolean is_line_cut;
    gboolean is_first_line;
    gboolean has_no_body; /* whatever its head states */
    gboolean is_chunked;
    guint64 left; /* of a body with a length */
    ChunkCheck_t chunks;
};

/* By struct bufferevent, not owned. The entry of a closed connection remains
 * until its address is used again, so that there are no more of them than
 * connections were open at the same time. */
static GHashTable *watched;

static void
begin_head(RequestFraming_t *this)
{
    *this = (RequestFraming_t){.is_first_line = TRUE};
}

static void
begin_body(RequestFraming_t *this)
{
    if (this->has_no_body) {
        begin_head(this);
    }
    else if (this->is_chunked) {
        this->part = PART_CHUNKS;
        ChunkCheck_begin(&this->chunks);
    }
    else if (this->left > 0) {
        this->part = PART_LENGTH;
    }
    else {
        begin_head(this);
    }
}

static void
read_method(RequestFraming_t *this)
{
    this->has_no_body = g_str_has_prefix(this->line, "HEAD ") ||
                        g_str_has_prefix(this->line, "TRACE ");
    this->is_first_line = FALSE;
}

static void
read_header(RequestFraming_t *this)
{
    if (this->is_line_cut) {
        return;
    }
    if (g_ascii_strcasecmp(this->line, CHUNKED_LINE) == 0) {
        this->is_chunked = TRUE;
    }
    else if (g_ascii_strncasecmp(this->line, LENGTH_PREFIX,
                                 strlen(LENGTH_PREFIX)) == 0) {
        this->left =
            g_ascii_strtoull(this->line + strlen(LENGTH_PREFIX), NULL, 10);
    }
}

static void
end_line(RequestFraming_t *this)
{
    gboolean is_empty = this->line_bytes == 0;
    this->line[this->line_bytes] = '\0';
    if (this->part == PART_TRAILERS) {
        if (is_empty) {
            begin_head(this);
        }
    }
    else if (is_empty && !this->is_first_line) {
        begin_body(this);
    }
    else if (this->is_first_line) {
        read_method(this);
    }
    else {
        read_header(this);
    }
    this->line_bytes = 0;
    this->is_line_cut = FALSE;
}

/* The method ends with a blank; elsewhere blanks are left out. */
static gboolean
is_kept(const RequestFraming_t *this, char byte)
{
    gboolean is_blank = byte == ' ' || byte == '\t';
    return byte != '\r' && (!is_blank || this->is_first_line);
}

static void
read_line_byte(RequestFraming_t *this, char byte)
{
    if (byte == '\n') {
        end_line(this);
    }
    else if (!is_kept(this, byte)) {
        return;
    }
    else if (this->line_bytes < LINE_MAX_BYTES - 1) {
        this->line[this->line_bytes++] = byte;
    }
    else {
        this->is_line_cut = TRUE;
    }
}

static gsize
read_line(RequestFraming_t *this, const char *bytes, gsize length)
{
    const char *end = memchr(bytes, '\n', length);
    gsize size = end ? (gsize)(end - bytes) + 1 : length;
    for (gsize i = 0; i < size; i++) {
        read_line_byte(this, bytes[i]);
    }
    return size;
}

static gsize
read_body(RequestFraming_t *this, const char *bytes, gsize length)
{
    (void)bytes;
    gsize size = (gsize)MIN(this->left, (guint64)length);
    this->left -= size;
    if (this->left == 0) {
        begin_head(this);
    }
    return size;
}

static gsize
read_chunks(RequestFraming_t *this, const char *bytes, gsize length)
{
    gsize size = ChunkCheck_feed(&this->chunks, bytes, length);
    if (ChunkCheck_isEnded(&this->chunks)) {
        this->part = PART_TRAILERS;
    }
    return size;
}

static gsize (*const readers[])(RequestFraming_t *this, const char *bytes,
                                gsize length) = {
    [PART_HEAD] = read_line,
    [PART_LENGTH] = read_body,
    [PART_CHUNKS] = read_chunks,
    [PART_TRAILERS] = read_line,
};

void
RequestFraming_feed(RequestFraming_t *this, const char *bytes, gsize length)
{
    gsize at = 0;
    while (at < length && !RequestFraming_isBroken(this)) {
        at += readers[this->part](this, bytes + at, length - at);
    }
}

gboolean
RequestFraming_isBroken(const RequestFraming_t *this)
{
    return ChunkCheck_isBroken(&this->chunks);
}

RequestFraming_t *
RequestFraming_create(void)
{
    RequestFraming_t *this = g_new(RequestFraming_t, 1);
    begin_head(this);
    return this;
}

void
RequestFraming_destroy(RequestFraming_t *this)
{
    g_free(this);
}

static void
on_input(struct evbuffer *buffer, const struct evbuffer_cb_info *info,
         void *data)
{
    gsize size = evbuffer_get_length(buffer);
    struct evbuffer_ptr at;
    struct evbuffer_iovec part;
    if (info->n_added == 0) {
        return;
    }
    evbuffer_ptr_set(buffer, &at, size - info->n_added, EVBUFFER_PTR_SET);
    while (evbuffer_peek(buffer, -1, &at, &part, 1) > 0) {
        RequestFraming_feed(data, part.iov_base, part.iov_len);
        if (evbuffer_ptr_set(buffer, &at, part.iov_len, EVBUFFER_PTR_ADD) !=
            0) {
            return;
        }
    }
}

static void
destroy_entry(gpointer entry)
{
    RequestFraming_destroy(entry);
}

void
RequestFraming_watch(struct bufferevent *bev)
{
    RequestFraming_t *framing = RequestFraming_create();
    if (!watched) {
        watched = g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL,
                                        destroy_entry);
    }
    g_hash_table_replace(watched, bev, framing);
    evbuffer_add_cb(bufferevent_get_input(bev), on_input, framing);
}

static gboolean
has_broken_chunks(struct evhttp_connection *connection)
{
    const RequestFraming_t *framing =
        watched ? g_hash_table_lookup(
                      watched, evhttp_connection_get_bufferevent(connection))
                : NULL;
    return framing && RequestFraming_isBroken(framing);
}

gboolean
RequestFraming_isAmbiguous(struct evhttp_request *request)
{
    return BodyFraming_isAmbiguousRequest(
               evhttp_request_get_command(request),
               evhttp_request_get_input_headers(request)) ||
           has_broken_chunks(evhttp_request_get_connection(request));
}
