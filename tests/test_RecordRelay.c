#include "testing.h"

#include "RecordRelay.h"

/* Two entries of this length fit into a broadcast, three do not. */
#define ENTRY_BYTES 8000

static void
add_record(RecordRelay_t *relay, guint64 offset)
{
    g_autofree char *text = g_strnfill(ENTRY_BYTES, 'x');
    g_autoptr(GBytes) value = g_bytes_new(text, ENTRY_BYTES);
    RecordRelay_addUpdate(relay, "key", value,
                          (StorePosition_t){.offset = offset});
}

START_TEST(list_of_large_records_is_oversized)
{
    RecordRelay_t *relay = RecordRelay_create(NULL, "t");
    add_record(relay, 1);
    add_record(relay, 2);
    ck_assert(!RecordRelay_isOversized(relay));
    add_record(relay, 3);
    ck_assert(RecordRelay_isOversized(relay));
    RecordRelay_broadcast(relay, (StorePosition_t){.offset = 4}, 0, 0, FALSE);
    ck_assert(!RecordRelay_isOversized(relay));
    RecordRelay_destroy(relay);
}
END_TEST

START_TEST(removals_do_not_add_to_the_size)
{
    RecordRelay_t *relay = RecordRelay_create(NULL, "t");
    for (guint64 offset = 0; offset < 1000; offset++) {
        RecordRelay_addUpdate(relay, "key", NULL,
                              (StorePosition_t){.offset = offset});
    }
    ck_assert(!RecordRelay_isOversized(relay));
    RecordRelay_destroy(relay);
}
END_TEST

static guint live_values;

static void
free_value(gpointer data)
{
    live_values--;
    g_free(data);
}

/* A router that read on through many long records kept all of them. */
START_TEST(records_too_long_for_a_broadcast_are_not_kept)
{
    RecordRelay_t *relay = RecordRelay_create(NULL, "t");
    for (guint64 offset = 0; offset < 1000; offset++) {
        void *bytes = g_malloc0(ENTRY_BYTES);
        g_autoptr(GBytes) value =
            g_bytes_new_with_free_func(bytes, ENTRY_BYTES, free_value, bytes);
        live_values++;
        RecordRelay_addUpdate(relay, "key", value,
                              (StorePosition_t){.offset = offset});
    }
    ck_assert_uint_le(live_values, 2);
    ck_assert(RecordRelay_isOversized(relay));
    ck_assert(RecordRelay_hasUpdates(relay));
    RecordRelay_broadcast(relay, (StorePosition_t){.offset = 1000}, 0, 0,
                          FALSE);
    ck_assert(!RecordRelay_hasUpdates(relay));
    RecordRelay_destroy(relay);
}
END_TEST

TESTING_MAIN("RecordRelay", list_of_large_records_is_oversized,
             removals_do_not_add_to_the_size,
             records_too_long_for_a_broadcast_are_not_kept)
