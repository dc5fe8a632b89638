/* Fuzz target for the bytes of an answer as they arrive, before evhttp reads
 * them. */
#include <string.h>

#include "ChunkCheck.h"
#include "HeadCheck.h"
#include "InterimHeads.h"
#include "targets.h"

/* Shorter than what is kept back of an interim head. */
#define SIZE_MAX_BYTES 4096

typedef struct {
    GByteArray *read;   /* what evhttp would get of the heads */
    GByteArray *chunks; /* what it would get if all bytes were chunks */
    guint dropped;
    HeadCheck_t head;
    ChunkCheck_t chunk_check;
} Seen_t;

static void
move(struct evbuffer *input, GByteArray *out)
{
    gsize length = evbuffer_get_length(input);
    if (length > 0) {
        g_byte_array_append(out, evbuffer_pullup(input, -1), (guint)length);
        evbuffer_drain(input, length);
    }
}

static void
feed(Seen_t *seen, InterimHeads_t *heads, struct evbuffer *input,
     const uint8_t *bytes, gsize length)
{
    evbuffer_add(input, bytes, length);
    ChunkCheck_feedTail(&seen->chunk_check, input, length);
    move(input, seen->chunks);
    evbuffer_add(input, bytes, length);
    HeadCheck_feedTail(&seen->head, input, length);
    seen->dropped += InterimHeads_drop(heads, input);
    move(input, seen->read);
}

/* Receives the bytes in parts of @step. */
static Seen_t
receive(const uint8_t *data, gsize size, gsize step, gboolean takes_folds)
{
    Seen_t seen = {.read = g_byte_array_new(),
                   .chunks = g_byte_array_new(),
                   .head = {.takes_folds = takes_folds}};
    InterimHeads_t heads = {0};
    struct evbuffer *input = evbuffer_new();
    ChunkCheck_begin(&seen.chunk_check);
    for (gsize at = 0; at < size; at += step) {
        feed(&seen, &heads, input, data + at, MIN(step, size - at));
    }
    InterimHeads_clear(&heads);
    evbuffer_free(input);
    return seen;
}

static void
clear(Seen_t *seen)
{
    g_byte_array_unref(seen->read);
    g_byte_array_unref(seen->chunks);
}

static void
assert_same_bytes(const GByteArray *first, const GByteArray *second)
{
    g_assert_cmpmem(first->data, first->len, second->data, second->len);
}

/* What an answer is taken for does not depend on how it arrives. */
static void
assert_same(const Seen_t *first, const Seen_t *second)
{
    assert_same_bytes(first->read, second->read);
    assert_same_bytes(first->chunks, second->chunks);
    g_assert_cmpuint(first->dropped, ==, second->dropped);
    g_assert_cmpuint(first->head.lines, ==, second->head.lines);
    g_assert(first->head.is_ended == second->head.is_ended);
    g_assert_cmpstr(HeadCheck_fault(&first->head), ==,
                    HeadCheck_fault(&second->head));
    g_assert(ChunkCheck_isEnded(&first->chunk_check) ==
             ChunkCheck_isEnded(&second->chunk_check));
    g_assert(ChunkCheck_isBroken(&first->chunk_check) ==
             ChunkCheck_isBroken(&second->chunk_check));
}

/* Only whole heads in front are dropped, and an end of the bytes is kept back,
 * so that the rest is what came. */
static void
check_read(const Seen_t *seen, const uint8_t *data, gsize size)
{
    g_assert_cmpuint(seen->chunks->len, ==, size);
    g_assert_cmpuint(seen->read->len, <=, size);
    if (seen->read->len > 0) {
        gsize skipped = size - seen->read->len;
        g_assert_cmpmem(seen->read->data, seen->read->len, data + skipped,
                        seen->read->len);
        g_assert(seen->dropped > 0 || skipped == 0);
    }
}

/* Whether the first line, if all of it came, states a status. */
static gboolean
has_status(const uint8_t *data, gsize size)
{
    g_autoptr(GByteArray) text = g_byte_array_new();
    g_byte_array_append(text, data, (guint)size);
    g_byte_array_append(text, (const guint8 *)"", 1);
    const char *line = (const char *)text->data;
    const char *end = strstr(line, "\r\n");
    g_autofree char *first = end ? g_strndup(line, (gsize)(end - line)) : NULL;
    return !first || !*first ||
           g_regex_match_simple("^HTTP/1\\.[01] [1-5][0-9]{2}( |$)", first,
                                G_REGEX_RAW, 0);
}

/* The first byte tells the size of the parts, and whether folds are taken. */
int
Fuzz_answerBytes(const uint8_t *data, size_t size)
{
    if (size == 0 || size > SIZE_MAX_BYTES) {
        return 0;
    }
    gboolean takes_folds = data[0] & 1;
    gsize step = (gsize)data[0] / 2 + 1;
    Seen_t whole = receive(data + 1, size - 1, size, takes_folds);
    Seen_t parts = receive(data + 1, size - 1, step, takes_folds);
    check_read(&whole, data + 1, size - 1);
    assert_same(&whole, &parts);
    g_assert(HeadCheck_isBroken(&whole.head) ||
             has_status(data + 1, size - 1));
    clear(&whole);
    clear(&parts);
    return 0;
}
