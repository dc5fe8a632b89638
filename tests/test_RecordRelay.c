#include "testing.h"

#include "RecordRelay.h"

/* Two entries of this length fit into what is told, three do not. */
#define ENTRY_BYTES 8000

static void
add(RecordRelay_t *relay, guint64 offset)
{
    g_autofree char *text = g_strnfill(ENTRY_BYTES, 'x');
    g_autoptr(GBytes) value = g_bytes_new(text, ENTRY_BYTES);
    RecordRelay_add(relay, "key", value, (StorePosition_t){.offset = offset});
}

START_TEST(a_whole_list_is_too_long_to_be_told)
{
    RecordRelay_t *relay = RecordRelay_create(NULL, "t");
    add(relay, 1);
    add(relay, 2);
    ck_assert(!RecordRelay_isTooLong(relay));
    add(relay, 3);
    ck_assert(RecordRelay_isTooLong(relay));
    RecordRelay_tell(relay, (StorePosition_t){.offset = 4}, 0, 0, FALSE);
    ck_assert(!RecordRelay_isTooLong(relay));
    RecordRelay_destroy(relay);
}
END_TEST

START_TEST(removals_are_short)
{
    RecordRelay_t *relay = RecordRelay_create(NULL, "t");
    for (guint64 offset = 0; offset < 1000; offset++) {
        RecordRelay_add(relay, "key", NULL,
                        (StorePosition_t){.offset = offset});
    }
    ck_assert(!RecordRelay_isTooLong(relay));
    RecordRelay_destroy(relay);
}
END_TEST

TESTING_MAIN("RecordRelay", a_whole_list_is_too_long_to_be_told,
             removals_are_short)
