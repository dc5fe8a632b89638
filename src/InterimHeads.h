#ifndef HEADER_InterimHeads
#define HEADER_InterimHeads
/**
 * DOC: InterimHeads
 *
 * Drops the heads of "100 Continue" in front of an answer. evhttp reads on
 * behind them in a later turn of the loop, so that it may see the end of the
 * connection before the answer that came with them.
 */
#include <event2/buffer.h>
#include <glib.h>

/**
 * InterimHeads_drop() - drop complete heads of this status
 * @input: begins with the first byte of a head
 *
 * Return: number of heads that were dropped
 */
guint InterimHeads_drop(struct evbuffer *input);

#endif
