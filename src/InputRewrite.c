#include "InputRewrite.h"

#include <stdlib.h>
#include <string.h>

#include "RelayForm.h"

/* evhttp wants three words. */
#define REFUSED_LINE "refused\r\n"
#define LINE_END "\r\n"

/* Puts parts in the place of the last bytes, which they are parts of. */
static void
replace_tail(struct evbuffer *buffer, gsize length,
             const struct evbuffer_iovec *parts, int count)
{
    struct evbuffer *sound = evbuffer_new();
    evbuffer_remove_buffer(buffer, sound,
                           evbuffer_get_length(buffer) - length);
    for (int i = 0; i < count; i++) {
        evbuffer_add(sound, parts[i].iov_base, parts[i].iov_len);
    }
    evbuffer_drain(buffer, length);
    evbuffer_add_buffer(buffer, sound);
    evbuffer_free(sound);
}

/* evhttp reads no body behind a method that it has no name for. */
static void
replace_method(struct evbuffer *buffer, const UnnamedMethod_t *method)
{
    struct evbuffer *sound = evbuffer_new();
    gsize length = 0;
    evbuffer_remove_buffer(buffer, sound,
                           evbuffer_get_length(buffer) - method->distance);
    evbuffer_drain(buffer, strlen(method->word));
    char *line = evbuffer_readln(buffer, &length, EVBUFFER_EOL_CRLF_STRICT);
    evbuffer_add_printf(sound, "POST%s\r\n" RELAY_METHOD ": %s\r\n", line,
                        method->word);
    evbuffer_add_buffer(sound, buffer);
    evbuffer_add_buffer(buffer, sound);
    evbuffer_free(sound);
    free(line);
}

static void
replace_methods(struct evbuffer *buffer, RequestFraming_t *framing)
{
    UnnamedMethod_t method;
    while (RequestFraming_takeUnnamed(framing, &method)) {
        gsize before = evbuffer_get_length(buffer);
        replace_method(buffer, &method);
        RequestFraming_noteAdded(framing, &method,
                                 evbuffer_get_length(buffer) - before);
        g_free(method.word);
    }
}

/* evhttp copies data that something follows, and skips empty lines behind it.
 */
static void
follow_data(struct evbuffer *buffer, RequestFraming_t *framing)
{
    if (RequestFraming_isBehindData(framing)) {
        evbuffer_add(buffer, LINE_END, strlen(LINE_END));
        RequestFraming_noteAppended(framing, strlen(LINE_END));
    }
}

void
InputRewrite_feed(struct evbuffer *buffer, RequestFraming_t *framing,
                  gsize added)
{
    struct evbuffer_ptr at;
    gsize left = 0;
    evbuffer_ptr_set(buffer, &at, evbuffer_get_length(buffer) - added,
                     EVBUFFER_PTR_SET);
    int count = evbuffer_peek(buffer, -1, &at, NULL, 0);
    g_autofree struct evbuffer_iovec *parts =
        g_new(struct evbuffer_iovec, count);
    evbuffer_peek(buffer, -1, &at, parts, count);
    for (int i = 0; i < count; i++) {
        parts[i].iov_len =
            RequestFraming_feed(framing, parts[i].iov_base, parts[i].iov_len);
        left += parts[i].iov_len;
    }
    if (left < added) {
        replace_tail(buffer, added, parts, count);
    }
    replace_methods(buffer, framing);
    follow_data(buffer, framing);
}

void
InputRewrite_dropLast(struct evbuffer *buffer, gsize length)
{
    replace_tail(buffer, length, NULL, 0);
}

void
InputRewrite_refuseLast(struct evbuffer *buffer,
                        const RequestFraming_t *framing)
{
    InputRewrite_dropLast(buffer, RequestFraming_bytes(framing));
    evbuffer_add(buffer, REFUSED_LINE, strlen(REFUSED_LINE));
}
