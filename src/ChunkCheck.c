#include "ChunkCheck.h"

/* A size must fit the signed 64 bits of evhttp. */
#define SIZE_DIGIT_MAX (G_MAXINT64 >> 4)
/* Longest line of a size with its extensions, in bytes. */
#define LINE_MAX_BYTES 4096

static ChunkState_t
read_digit(ChunkCheck_t *this, char byte)
{
    if (!g_ascii_isxdigit(byte) || this->left > SIZE_DIGIT_MAX) {
        return CHUNK_BROKEN;
    }
    this->left = this->left * 16 + (guint64)g_ascii_xdigit_value(byte);
    return CHUNK_SIZE;
}

static ChunkState_t
read_blank(ChunkCheck_t *this, char byte)
{
    (void)this;
    switch (byte) {
    case ' ':
    case '\t':
        return CHUNK_BLANK;
    case ';':
        return CHUNK_EXTENSION;
    case '\r':
        return CHUNK_SIZE_END;
    default:
        return CHUNK_BROKEN;
    }
}

static ChunkState_t
read_size(ChunkCheck_t *this, char byte)
{
    return g_ascii_isxdigit(byte) ? read_digit(this, byte)
                                  : read_blank(this, byte);
}

static ChunkState_t
read_extension(ChunkCheck_t *this, char byte)
{
    (void)this;
    if (byte == '\n') {
        return CHUNK_BROKEN;
    }
    return byte == '\r' ? CHUNK_SIZE_END : CHUNK_EXTENSION;
}

static ChunkState_t
read_size_end(ChunkCheck_t *this, char byte)
{
    if (byte != '\n') {
        return CHUNK_BROKEN;
    }
    return this->left > 0 ? CHUNK_DATA : CHUNK_ENDED;
}

static ChunkState_t
read_data(ChunkCheck_t *this, char byte)
{
    (void)byte;
    this->left--;
    return this->left > 0 ? CHUNK_DATA : CHUNK_DATA_CR;
}

static ChunkState_t
read_data_cr(ChunkCheck_t *this, char byte)
{
    (void)this;
    return byte == '\r' ? CHUNK_DATA_END : CHUNK_BROKEN;
}

static ChunkState_t
read_data_end(ChunkCheck_t *this, char byte)
{
    (void)this;
    return byte == '\n' ? CHUNK_SIZE_BEGIN : CHUNK_BROKEN;
}

static ChunkState_t (*const readers[])(ChunkCheck_t *this, char byte) = {
    [CHUNK_SIZE_BEGIN] = read_digit,  [CHUNK_SIZE] = read_size,
    [CHUNK_BLANK] = read_blank,       [CHUNK_EXTENSION] = read_extension,
    [CHUNK_SIZE_END] = read_size_end, [CHUNK_DATA] = read_data,
    [CHUNK_DATA_CR] = read_data_cr,   [CHUNK_DATA_END] = read_data_end,
};

static gboolean
is_under_way(const ChunkCheck_t *this)
{
    return this->state != CHUNK_NONE && this->state != CHUNK_ENDED &&
           this->state != CHUNK_BROKEN;
}

/* Returns how many bytes of data can be passed over at once. */
static gsize
skip_data(ChunkCheck_t *this, gsize length)
{
    gsize skipped = 0;
    if (this->state == CHUNK_DATA) {
        skipped = (gsize)MIN(this->left - 1, (guint64)length);
        this->left -= skipped;
    }
    return skipped;
}

static gboolean
is_in_line(const ChunkCheck_t *this)
{
    return this->state == CHUNK_SIZE || this->state == CHUNK_BLANK ||
           this->state == CHUNK_EXTENSION;
}

static void
read_byte(ChunkCheck_t *this, char *byte)
{
    this->state = readers[this->state](this, *byte);
    if (this->state == CHUNK_BLANK || this->state == CHUNK_EXTENSION) {
        *byte = ' ';
    }
    if (!is_in_line(this)) {
        this->line_bytes = 0;
    }
    else if (++this->line_bytes > LINE_MAX_BYTES) {
        this->state = CHUNK_BROKEN;
    }
}

gsize
ChunkCheck_feed(ChunkCheck_t *this, char *bytes, gsize length)
{
    gsize at = 0;
    while (is_under_way(this) && at < length) {
        at += skip_data(this, length - at);
        if (at < length) {
            read_byte(this, &bytes[at]);
            at++;
        }
    }
    return at;
}

/* Whether they are data, so that their place in the buffer, which is found
 * from its beginning, doesn't matter. */
static gboolean
skips_all(ChunkCheck_t *this, gsize length)
{
    if (this->state != CHUNK_DATA || this->left <= length) {
        return FALSE;
    }
    this->left -= length;
    return TRUE;
}

gsize
ChunkCheck_feedTail(ChunkCheck_t *this, struct evbuffer *buffer, gsize length)
{
    gsize size = evbuffer_get_length(buffer);
    struct evbuffer_ptr at;
    struct evbuffer_iovec part;
    gsize fed = 0;
    if (!is_under_way(this) || length == 0 || skips_all(this, length)) {
        return 0;
    }
    evbuffer_ptr_set(buffer, &at, size - length, EVBUFFER_PTR_SET);
    while (evbuffer_peek(buffer, -1, &at, &part, 1) > 0) {
        fed += ChunkCheck_feed(this, part.iov_base, part.iov_len);
        if (evbuffer_ptr_set(buffer, &at, part.iov_len, EVBUFFER_PTR_ADD) !=
            0) {
            break;
        }
    }
    return ChunkCheck_isEnded(this) ? length - fed : 0;
}

void
ChunkCheck_begin(ChunkCheck_t *this)
{
    *this = (ChunkCheck_t){.state = CHUNK_SIZE_BEGIN};
}

gboolean
ChunkCheck_isEnded(const ChunkCheck_t *this)
{
    return this->state == CHUNK_ENDED;
}

gboolean
ChunkCheck_isBehindData(const ChunkCheck_t *this)
{
    return this->state == CHUNK_DATA_CR;
}

gboolean
ChunkCheck_isBroken(const ChunkCheck_t *this)
{
    return this->state == CHUNK_BROKEN;
}
