#ifndef HEADER_InterimHeads
#define HEADER_InterimHeads
/**
 * DOC: InterimHeads
 *
 * Drops interim heads in front of an answer (RFC 9110, section 15.2): those
 * with any status of 1xx but 101, behind which no HTTP follows. evhttp reads
 * on behind "100 Continue" alone, and in a later turn of the loop, so that it
 * may see the end of the connection before the answer that came with it.
 *
 * What may become such a head is kept back until it is one, so that evhttp
 * reads no part of it.
 */
#include <event2/buffer.h>
#include <glib.h>

/**
 * struct InterimHeads_t - the heads in front of one answer; all zero before it
 * begins
 * @kept: the part of a head that was received; owned; or NULL
 * @is_over: evhttp may have read a part of the answer's head
 * @is_moving: InterimHeads_drop() is under way
 */
typedef struct {
    struct evbuffer *kept;
    gboolean is_over;
    gboolean is_moving;
} InterimHeads_t;

/**
 * InterimHeads_drop() - drop complete interim heads, and keep an incomplete
 * one back
 * @input: has what was received and not read
 *
 * Return: number of heads that were dropped
 */
guint InterimHeads_drop(InterimHeads_t *this, struct evbuffer *input);

/** InterimHeads_isMoving() - whether a callback of the input reports what
 * InterimHeads_drop() does to it, and not what was received */
gboolean InterimHeads_isMoving(const InterimHeads_t *this);

/** InterimHeads_clear() - free what is kept back */
void InterimHeads_clear(InterimHeads_t *this);

#endif
