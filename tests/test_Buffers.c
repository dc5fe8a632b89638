#include "testing.h"

#include "AllocatedBytes.h"
#include "Buffers.h"

#define PIECE "four"
#define PIECES 20000
#define READ_BYTES 4096
#define READS 200
#define LONG_BYTES ((gsize)300 << 10)

/* As libevent reads from a socket, into a block of its own. */
static void
append_piece(struct evbuffer *to, const char *bytes, gsize length)
{
    struct evbuffer *from = evbuffer_new();
    evbuffer_add(from, bytes, length);
    Buffers_append(to, from);
    ck_assert_uint_eq(evbuffer_get_length(from), 0);
    evbuffer_free(from);
}

static gsize
append_all(struct evbuffer *to, const char *bytes, gsize length, guint count)
{
    gsize before = AllocatedBytes_now();
    for (guint i = 0; i < count; i++) {
        append_piece(to, bytes, length);
    }
    ck_assert_uint_eq(evbuffer_get_length(to), length * count);
    return AllocatedBytes_now() - before;
}

START_TEST(small_pieces_take_little_more_than_their_bytes)
{
    struct evbuffer *to = evbuffer_new();
    gsize taken = append_all(to, PIECE, strlen(PIECE), PIECES);
    ck_assert_uint_lt(taken, 2 * strlen(PIECE) * PIECES);
    evbuffer_free(to);
}
END_TEST

START_TEST(reads_of_a_page_take_little_more_than_their_bytes)
{
    struct evbuffer *to = evbuffer_new();
    g_autofree char *page = g_malloc0(READ_BYTES);
    gsize taken = append_all(to, page, READ_BYTES, READS);
    ck_assert_uint_lt(taken, READ_BYTES * READS / 4 * 5);
    evbuffer_free(to);
}
END_TEST

START_TEST(bytes_stay_in_order)
{
    struct evbuffer *to = evbuffer_new();
    g_autoptr(GString) expected = g_string_new(NULL);
    for (guint i = 0; i < 1000; i++) {
        g_autofree char *text = g_strdup_printf("%u,", i);
        g_string_append(expected, text);
        append_piece(to, text, strlen(text));
    }
    g_autofree char *text = g_malloc0(LONG_BYTES);
    g_string_append_len(expected, text, (gssize)LONG_BYTES);
    append_piece(to, text, LONG_BYTES);
    append_piece(to, PIECE, strlen(PIECE));
    g_string_append(expected, PIECE);
    ck_assert_uint_eq(evbuffer_get_length(to), expected->len);
    ck_assert_mem_eq(evbuffer_pullup(to, -1), expected->str, expected->len);
    evbuffer_free(to);
}
END_TEST

/* A block that was reserved and not written was read without an end. */
START_TEST(an_empty_buffer_with_a_reserved_block_adds_nothing)
{
    struct evbuffer *from = evbuffer_new();
    struct evbuffer *to = evbuffer_new();
    struct evbuffer_iovec part;
    ck_assert_int_eq(evbuffer_reserve_space(from, READ_BYTES, &part, 1), 1);
    Buffers_append(to, from);
    ck_assert_uint_eq(evbuffer_get_length(to), 0);
    evbuffer_free(from);
    evbuffer_free(to);
}
END_TEST

TESTING_MAIN("Buffers", small_pieces_take_little_more_than_their_bytes,
             reads_of_a_page_take_little_more_than_their_bytes,
             bytes_stay_in_order,
             an_empty_buffer_with_a_reserved_block_adds_nothing)
