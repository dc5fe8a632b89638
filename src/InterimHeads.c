#include "InterimHeads.h"

#include <string.h>

/* Of "HTTP/1.1 100 Continue". */
#define VERSION "HTTP/1."
#define VERSION_LENGTH (sizeof(VERSION) - 1)
#define STATUS " 100 "
#define STATUS_LENGTH (sizeof(STATUS) - 1)
#define HEAD_END "\r\n\r\n"
#define HEAD_END_LENGTH (sizeof(HEAD_END) - 1)

static gboolean
begins_interim(struct evbuffer *input)
{
    /* One byte is the minor version. */
    char start[VERSION_LENGTH + 1 + STATUS_LENGTH];
    return evbuffer_copyout(input, start, sizeof(start)) ==
               (ev_ssize_t)sizeof(start) &&
           memcmp(start, VERSION, VERSION_LENGTH) == 0 &&
           memcmp(start + VERSION_LENGTH + 1, STATUS, STATUS_LENGTH) == 0;
}

guint
InterimHeads_drop(struct evbuffer *input)
{
    guint dropped = 0;
    while (begins_interim(input)) {
        struct evbuffer_ptr end =
            evbuffer_search(input, HEAD_END, HEAD_END_LENGTH, NULL);
        if (end.pos < 0) {
            break;
        }
        evbuffer_drain(input, (size_t)end.pos + HEAD_END_LENGTH);
        dropped++;
    }
    return dropped;
}
