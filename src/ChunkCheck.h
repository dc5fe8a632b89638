#ifndef HEADER_ChunkCheck
#define HEADER_ChunkCheck
/**
 * DOC: ChunkCheck
 *
 * Checks the framing of a body that comes in chunks (RFC 9112, section 7.1).
 * evhttp reads a chunk's size like a C number and skips empty lines before it,
 * so that a blank, a sign or the rest of a chunk that is longer than its size
 * may pass for the last chunk, and a truncated body for a complete one. The
 * check sees the bytes before evhttp reads them. It overwrites tabs behind a
 * size and extensions, which evhttp takes for an error, with spaces, which it
 * skips.
 */
#include <event2/buffer.h>
#include <glib.h>

/**
 * enum ChunkState_t - what the next byte belongs to
 * @CHUNK_NONE: no body in chunks is under way
 * @CHUNK_SIZE_BEGIN: the first digit of a size
 * @CHUNK_SIZE: a size
 * @CHUNK_BLANK: blanks between a size and an extension or the line's end
 * @CHUNK_EXTENSION: a chunk extension
 * @CHUNK_SIZE_END: the line feed after a size
 * @CHUNK_DATA: data of a chunk
 * @CHUNK_DATA_CR: the carriage return after the data
 * @CHUNK_DATA_END: the line feed after the data
 * @CHUNK_ENDED: the trailers, after the last chunk
 * @CHUNK_BROKEN: the framing is broken
 */
typedef enum {
    CHUNK_NONE,
    CHUNK_SIZE_BEGIN,
    CHUNK_SIZE,
    CHUNK_BLANK,
    CHUNK_EXTENSION,
    CHUNK_SIZE_END,
    CHUNK_DATA,
    CHUNK_DATA_CR,
    CHUNK_DATA_END,
    CHUNK_ENDED,
    CHUNK_BROKEN,
} ChunkState_t;

/**
 * struct ChunkCheck_t - the check of one body; all zero before it begins
 * @state: what the next byte belongs to
 * @left: the size read so far, then the bytes of the chunk that are to come
 * @line_bytes: bytes so far of the line of a size
 */
typedef struct {
    ChunkState_t state;
    guint64 left;
    guint line_bytes;
} ChunkCheck_t;

/** ChunkCheck_begin() - begin with a body */
void ChunkCheck_begin(ChunkCheck_t *this);

/**
 * ChunkCheck_feedTail() - check what was received last; does nothing unless a
 * body is under way
 * @buffer: with memory of its own
 * @length: number of bytes at the end of @buffer
 *
 * Return: number of these bytes that follow the end of the last chunk's line,
 * if it was among them; 0 otherwise
 */
gsize ChunkCheck_feedTail(ChunkCheck_t *this, struct evbuffer *buffer,
                          gsize length);

/**
 * ChunkCheck_feed() - as ChunkCheck_feedTail(), for bytes in memory
 *
 * Return: number of bytes that belong to the body, up to the end of the last
 * chunk's line or to the byte that broke the framing
 */
gsize ChunkCheck_feed(ChunkCheck_t *this, char *bytes, gsize length);

/** ChunkCheck_isEnded() - whether the last chunk was received */
gboolean ChunkCheck_isEnded(const ChunkCheck_t *this);

/** ChunkCheck_isBehindData() - whether the last byte ended the data of a chunk
 */
gboolean ChunkCheck_isBehindData(const ChunkCheck_t *this);

/** ChunkCheck_isBroken() - whether a byte broke the framing */
gboolean ChunkCheck_isBroken(const ChunkCheck_t *this);

#endif
