#include "Buffers.h"

/* More bytes fill most of their blocks. */
#define COPY_MAX ((gsize)64 << 10)

static void
copy_bytes(struct evbuffer *to, struct evbuffer *from)
{
    struct evbuffer_iovec part;
    while (evbuffer_get_length(from) > 0 &&
           evbuffer_peek(from, -1, NULL, &part, 1) > 0) {
        evbuffer_add(to, part.iov_base, part.iov_len);
        evbuffer_drain(from, part.iov_len);
    }
}

void
Buffers_append(struct evbuffer *to, struct evbuffer *from)
{
    if (evbuffer_get_length(from) > COPY_MAX) {
        evbuffer_add_buffer(to, from);
    }
    else {
        copy_bytes(to, from);
    }
}
