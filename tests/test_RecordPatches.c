#include "testing.h"

#include <string.h>

#include "RecordPatches.h"

#define KEY "config"
#define LONG_BYTES 1000000
#define SHORT_BYTES 100
/* Bytes of all kept values together, whatever their number. */
#define KEPT_MAX (4U << 20)
#define CHANGES 50
/* Far below the length of a value, and above what one change takes. */
#define PATCH_MAX 1000

static RecordPatches_t *patches;

static StorePosition_t
position_at(guint64 offset)
{
    return (StorePosition_t){.offset = offset};
}

/* Values of two offsets differ in a few letters at their end. */
static KeyedRecord_t *
make_record(guint64 offset, gsize bytes)
{
    GString *text = g_string_new(NULL);
    g_autoptr(GRand) random = g_rand_new_with_seed(1);
    while (text->len < bytes) {
        g_string_append_printf(text, "%08x", g_rand_int(random));
    }
    g_string_append_printf(text, "%" G_GUINT64_FORMAT, offset);
    return KeyedRecord_create(KEY, strlen(KEY), g_string_free_to_bytes(text),
                              position_at(offset));
}

static gsize
encode_for(const KeyedRecord_t *record, guint64 known, gboolean *has_base)
{
    EncodedRecord_t encoded;
    ck_assert(
        RecordPatches_encode(patches, record, position_at(known), &encoded));
    gsize bytes = g_bytes_get_size(encoded.frame);
    *has_base = encoded.base != NULL;
    EncodedRecord_clear(&encoded);
    return bytes;
}

START_TEST(record_is_encoded_with_what_the_receiver_has)
{
    patches = RecordPatches_create();
    RecordPatches_keep(patches, make_record(3, LONG_BYTES));
    RecordPatches_keep(patches, make_record(5, LONG_BYTES));
    KeyedRecord_t *newest = make_record(7, LONG_BYTES);
    EncodedRecord_t encoded;
    ck_assert(RecordPatches_encode(patches, newest, position_at(5), &encoded));
    ck_assert_uint_eq(encoded.base->position.offset, 3);
    EncodedRecord_clear(&encoded);
    ck_assert(RecordPatches_encode(patches, newest, position_at(6), &encoded));
    ck_assert_uint_eq(encoded.base->position.offset, 5);
    ck_assert_uint_le(g_bytes_get_size(encoded.frame), PATCH_MAX);
    Wt__RecordPatch message;
    RecordPatches_fill(&message, &encoded);
    ck_assert(message.has_base);
    ck_assert_uint_eq(message.base_offset, 5);
    KeyedRecord_t *decoded =
        RecordPatches_decode(&message, encoded.base, 0, NULL);
    ck_assert(g_bytes_equal(decoded->value, newest->value));
    ck_assert_uint_eq(decoded->position.offset, 7);
    KeyedRecord_free(decoded);
    EncodedRecord_clear(&encoded);
    KeyedRecord_free(newest);
    RecordPatches_destroy(patches);
}
END_TEST

START_TEST(record_without_a_kept_base_is_encoded_whole)
{
    gboolean has_base = TRUE;
    patches = RecordPatches_create();
    RecordPatches_keep(patches, make_record(3, LONG_BYTES));
    KeyedRecord_t *newest = make_record(7, LONG_BYTES);
    ck_assert_uint_gt(encode_for(newest, 2, &has_base), PATCH_MAX);
    ck_assert(!has_base);
    StorePosition_t later_epoch = {.epoch = 1, .offset = 6};
    EncodedRecord_t encoded;
    ck_assert(RecordPatches_encode(patches, newest, later_epoch, &encoded));
    ck_assert_ptr_null(encoded.base);
    EncodedRecord_clear(&encoded);
    KeyedRecord_free(newest);
    RecordPatches_destroy(patches);
}
END_TEST

START_TEST(kept_records_are_bounded_by_their_bytes)
{
    gboolean has_base = FALSE;
    patches = RecordPatches_create();
    for (guint64 offset = 0; offset < CHANGES; offset++) {
        RecordPatches_keep(patches, make_record(offset, LONG_BYTES));
        ck_assert_uint_le(RecordPatches_bytes(patches), KEPT_MAX);
    }
    KeyedRecord_t *newest = make_record(CHANGES, LONG_BYTES);
    encode_for(newest, CHANGES, &has_base);
    ck_assert(has_base);
    KeyedRecord_free(newest);
    RecordPatches_destroy(patches);
}
END_TEST

START_TEST(removal_has_no_value)
{
    patches = RecordPatches_create();
    KeyedRecord_t *removal =
        KeyedRecord_create(KEY, strlen(KEY), NULL, position_at(7));
    EncodedRecord_t encoded;
    Wt__RecordPatch message;
    ck_assert(
        RecordPatches_encode(patches, removal, position_at(3), &encoded));
    RecordPatches_fill(&message, &encoded);
    KeyedRecord_t *decoded = RecordPatches_decode(&message, NULL, 0, NULL);
    ck_assert_ptr_null(decoded->value);
    KeyedRecord_free(decoded);
    EncodedRecord_clear(&encoded);
    KeyedRecord_free(removal);
    RecordPatches_destroy(patches);
}
END_TEST

START_TEST(many_records_are_encoded_at_the_same_time)
{
    patches = RecordPatches_create();
    EncodedRecord_t encoded[CHANGES];
    KeyedRecord_t *records[CHANGES];
    for (guint i = 0; i < CHANGES; i++) {
        records[i] =
            make_record(i, i % 2 == 0 ? LONG_BYTES / 100 : SHORT_BYTES);
        ck_assert(RecordPatches_encode(patches, records[i], position_at(0),
                                       &encoded[i]));
    }
    for (guint i = 0; i < CHANGES; i++) {
        Wt__RecordPatch message;
        RecordPatches_fill(&message, &encoded[i]);
        KeyedRecord_t *decoded = RecordPatches_decode(&message, NULL, 0, NULL);
        ck_assert(g_bytes_equal(decoded->value, records[i]->value));
        KeyedRecord_free(decoded);
        EncodedRecord_clear(&encoded[i]);
        KeyedRecord_free(records[i]);
    }
    RecordPatches_destroy(patches);
}
END_TEST

TESTING_MAIN("RecordPatches", record_is_encoded_with_what_the_receiver_has,
             record_without_a_kept_base_is_encoded_whole,
             kept_records_are_bounded_by_their_bytes, removal_has_no_value,
             many_records_are_encoded_at_the_same_time)
