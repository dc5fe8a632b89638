#include "testing.h"

#include <string.h>
#include <time.h>

#include "ChunkCheck.h"

#define CHUNK_HEAD "fffffff\r\n"
#define PIECES 60000
#define PIECE_BYTES 64

/* Feeds the bytes in parts of @step, as they may arrive. */
static ChunkState_t
check_in_parts(const char *bytes, gsize step)
{
    struct evbuffer *buffer = evbuffer_new();
    ChunkCheck_t check = {0};
    gsize length = strlen(bytes);
    ChunkCheck_begin(&check);
    for (gsize at = 0; at < length; at += step) {
        gsize added = MIN(step, length - at);
        evbuffer_add(buffer, bytes + at, added);
        ChunkCheck_feedTail(&check, buffer, added);
    }
    evbuffer_free(buffer);
    return check.state;
}

static void
ck_assert_state(const char *bytes, ChunkState_t expected)
{
    for (gsize step = 1; step <= strlen(bytes) + 1; step++) {
        ck_assert_msg(check_in_parts(bytes, step) == expected,
                      "%s in parts of %zu", bytes, step);
    }
}

START_TEST(a_sound_body_ends_with_its_last_chunk)
{
    ck_assert_state("0\r\n\r\n", CHUNK_ENDED);
    ck_assert_state("5\r\nhello\r\n0\r\n\r\n", CHUNK_ENDED);
    ck_assert_state("000a\r\n0123456789\r\n000\r\n\r\n", CHUNK_ENDED);
    ck_assert_state("A;x=\"y\"\r\n0123456789\r\n0 ;z\r\n\r\n", CHUNK_ENDED);
    ck_assert_state("5  \r\nhello\r\n0\r\n\r\n", CHUNK_ENDED);
    ck_assert_state("4\r\n\r\n0\n\r\n0\r\nTrailer: 1\r\n\r\n", CHUNK_ENDED);
}
END_TEST

START_TEST(a_body_that_goes_on_is_neither)
{
    ck_assert_state("", CHUNK_SIZE_BEGIN);
    ck_assert_state("5", CHUNK_SIZE);
    ck_assert_state("5\r\nhel", CHUNK_DATA);
    ck_assert_state("5\r\nhello\r\n", CHUNK_SIZE_BEGIN);
    ck_assert_state("7fffffffffffffff\r\n", CHUNK_DATA);
}
END_TEST

START_TEST(what_evhttp_takes_for_a_last_chunk_is_broken)
{
    static const char *const lines[] = {
        " \r\n",
        "\t0\r\n",
        " x\r\n",
        "-0\r\n",
        "+0\r\n",
        "0x0\r\n",
        "\r\n",
        "\n0\n",
        "0\n",
        "0 junk\r\n",
        "0\r0\r\n",
        "-1\r\n",
        "+5\r\n",
        "0x5\r\n",
        "G\r\n",
        "5 5\r\n",
        "5\r\r\n",
        "0;x\n",
        "x\r\n",
        "5\n",
        "8000000000000000\r\n",
        "FFFFFFFFFFFFFFFFF\r\n",
    };
    for (gsize i = 0; i < G_N_ELEMENTS(lines); i++) {
        g_autofree char *later = g_strconcat("1\r\nx\r\n", lines[i], NULL);
        ck_assert_state(lines[i], CHUNK_BROKEN);
        ck_assert_state(later, CHUNK_BROKEN);
    }
}
END_TEST

START_TEST(a_chunk_that_is_longer_or_shorter_than_its_size_is_broken)
{
    ck_assert_state("3\r\nhello\r\n0\r\n\r\n", CHUNK_BROKEN);
    ck_assert_state("3\r\nhel 0\r\n\r\n", CHUNK_BROKEN);
    ck_assert_state("3\r\nhel0\r\n\r\n", CHUNK_BROKEN);
    ck_assert_state("3\r\nhel\n0\r\n\r\n", CHUNK_BROKEN);
    ck_assert_state("7\r\nhello\r\n0\r\n\r\n", CHUNK_BROKEN);
}
END_TEST

START_TEST(extensions_become_blanks)
{
    char bytes[] = "3;a\r\nx;y\r\n1 ;b=\"c;d\"\r\n;\r\n0;e\r\n;\r\n";
    ChunkCheck_t check = {0};
    ChunkCheck_begin(&check);
    gsize length = ChunkCheck_feed(&check, bytes, strlen(bytes));
    ck_assert(ChunkCheck_isEnded(&check));
    ck_assert_str_eq(bytes + length, ";\r\n");
    ck_assert_str_eq(bytes, "3  \r\nx;y\r\n1         \r\n;\r\n0  \r\n;\r\n");
}
END_TEST

/* evhttp takes a tab behind a size for an error. */
START_TEST(tabs_behind_a_size_become_spaces)
{
    char bytes[] = "3\t;a\r\nx\ty\r\n0 \t\r\n";
    ChunkCheck_t check = {0};
    ChunkCheck_begin(&check);
    ChunkCheck_feed(&check, bytes, strlen(bytes));
    ck_assert(ChunkCheck_isEnded(&check));
    ck_assert_str_eq(bytes, "3   \r\nx\ty\r\n0  \r\n");
}
END_TEST

START_TEST(a_long_line_of_a_size_is_broken)
{
    g_autofree char *zeros = g_strnfill(5000, '0');
    g_autofree char *blanks = g_strnfill(5000, ' ');
    g_autofree char *size = g_strconcat(zeros, "1\r\n", NULL);
    g_autofree char *blank = g_strconcat("1", blanks, "\r\n", NULL);
    ck_assert_int_eq(check_in_parts(size, 100), CHUNK_BROKEN);
    ck_assert_int_eq(check_in_parts(blank, 100), CHUNK_BROKEN);
}
END_TEST

START_TEST(a_long_extension_is_broken)
{
    g_autofree char *allowed = g_strnfill(4000, 'x');
    g_autofree char *longer = g_strnfill(5000, 'x');
    g_autofree char *sound = g_strconcat("1;", allowed, "\r\n", NULL);
    g_autofree char *broken = g_strconcat("1;", longer, "\r\n", NULL);
    ck_assert_int_eq(check_in_parts(sound, 100), CHUNK_DATA);
    ck_assert_int_eq(check_in_parts(broken, 100), CHUNK_BROKEN);
}
END_TEST

START_TEST(nothing_is_checked_without_a_body)
{
    ChunkCheck_t check = {0};
    char bytes[] = "x";
    ChunkCheck_feed(&check, bytes, 1);
    ck_assert(!ChunkCheck_isBroken(&check));
}
END_TEST

/* The place of each piece was looked for from the chunk's beginning. */
START_TEST(a_long_chunk_in_small_pieces_takes_little_processor_time)
{
    static const char piece[PIECE_BYTES];
    struct evbuffer *buffer = evbuffer_new();
    ChunkCheck_t check = {0};
    clock_t began = clock();
    ChunkCheck_begin(&check);
    evbuffer_add(buffer, CHUNK_HEAD, strlen(CHUNK_HEAD));
    ChunkCheck_feedTail(&check, buffer, strlen(CHUNK_HEAD));
    for (guint i = 0; i < PIECES; i++) {
        evbuffer_add_reference(buffer, piece, PIECE_BYTES, NULL, NULL);
        ck_assert_uint_eq(ChunkCheck_feedTail(&check, buffer, PIECE_BYTES), 0);
    }
    ck_assert_int_lt((clock() - began) / CLOCKS_PER_SEC, 1);
    ck_assert_uint_eq(check.left, 0xfffffff - PIECES * PIECE_BYTES);
    evbuffer_free(buffer);
}
END_TEST

TESTING_MAIN("ChunkCheck",
             a_long_chunk_in_small_pieces_takes_little_processor_time,
             a_sound_body_ends_with_its_last_chunk,
             a_body_that_goes_on_is_neither,
             what_evhttp_takes_for_a_last_chunk_is_broken,
             a_chunk_that_is_longer_or_shorter_than_its_size_is_broken,
             extensions_become_blanks, tabs_behind_a_size_become_spaces,
             a_long_line_of_a_size_is_broken, a_long_extension_is_broken,
             nothing_is_checked_without_a_body)
