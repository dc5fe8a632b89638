#ifndef HEADER_Buffers
#define HEADER_Buffers
/**
 * DOC: Buffers
 *
 * How bytes that were received are kept. libevent reads into blocks of a
 * kilobyte or more and moves whole blocks from buffer to buffer, so that bytes
 * that arrive a few at a time would take hundreds of times their number, in no
 * bound.
 */
#include <event2/buffer.h>
#include <glib.h>

/** Buffers_append() - move all bytes of a buffer to the end of another one,
 * where they take little more memory than their number */
void Buffers_append(struct evbuffer *to, struct evbuffer *from);

#endif
