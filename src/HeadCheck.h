#ifndef HEADER_HeadCheck
#define HEADER_HeadCheck
/**
 * DOC: HeadCheck
 *
 * Checks the lines of an answer's heads, interim ones and trailers included
 * (see LineCheck.h), and counts them. evhttp keeps each field in three
 * allocations and limits only their text, so that a head of empty fields takes
 * a hundred times its size. The check sees the bytes before evhttp reads them.
 */
#include <event2/buffer.h>
#include <glib.h>

#include "LineCheck.h"

/** HEAD_LINES_MAX - most lines of all heads and of the trailers */
#define HEAD_LINES_MAX 256

/**
 * struct HeadCheck_t - the check of one answer; all zero before it begins
 * @lines: complete lines received so far
 * @line_bytes: bytes of the line under way, its end not included
 * @is_first_line_read: a line of the head under way was received
 * @is_interim: the head under way is that of an interim answer
 * @is_ended: the last head was received
 * @takes_folds: a field may go on in the next line, which evhttp joins with a
 *     blank (RFC 9112, section 5.2); set by the owner
 * @has_field: a field of the head or of the trailers was received
 * @syntax: check of the lines
 */
typedef struct {
    guint lines;
    gsize line_bytes;
    gboolean is_first_line_read;
    gboolean is_interim;
    gboolean is_ended;
    gboolean takes_folds;
    gboolean has_field;
    LineCheck_t syntax;
} HeadCheck_t;

/**
 * HeadCheck_feedTail() - check what was received last; does nothing after the
 * end of the head
 * @length: number of bytes at the end of @buffer
 */
void HeadCheck_feedTail(HeadCheck_t *this, struct evbuffer *buffer,
                        gsize length);

/** HeadCheck_addTrailers() - check the trailers of a body as well, whose lines
 * count with those of the head */
void HeadCheck_addTrailers(HeadCheck_t *this);

/**
 * HeadCheck_drops() - as HeadCheck_feedTail(); drops the input of a head with
 * too many lines or a malformed one, so that evhttp doesn't read its fields
 *
 * Return: whether it was dropped; the connection must be closed
 */
gboolean HeadCheck_drops(HeadCheck_t *this, struct evbuffer *buffer,
                         gsize length);

/** HeadCheck_isTooLong() - whether there were more than HEAD_LINES_MAX lines
 */
gboolean HeadCheck_isTooLong(const HeadCheck_t *this);

/** HeadCheck_isBroken() - whether a line was malformed */
gboolean HeadCheck_isBroken(const HeadCheck_t *this);

/** HeadCheck_fault() - what was malformed, as a phrase for logs; or NULL */
const char *HeadCheck_fault(const HeadCheck_t *this);

#endif
