#include "testing.h"

#include <string.h>

#include "Errors.h"
#include "RecordPatch.h"

#define ROUTES 4000
#define MORE_ROUTES 1400
/* Most bytes of a patch for one route, and for MORE_ROUTES of them. */
#define ONE_ROUTE_MAX 1000
#define MORE_ROUTES_MAX (MORE_ROUTES * 40)

/* A text like that of a configuration: many entries that differ in few
 * letters. Those up to @skipped are left out. */
static GBytes *
make_config(guint routes, guint skipped)
{
    GString *text = g_string_new("{\"routes\":[");
    g_autoptr(GRand) random = g_rand_new_with_seed(1);
    for (guint i = 0; i < routes; i++) {
        guint32 name = g_rand_int(random);
        if (i < skipped) {
            continue;
        }
        g_string_append_printf(
            text,
            "{\"name\":\"r%08x\",\"hostname\":\"%08x.example\","
            "\"path_prefix\":\"/%08x/\",\"kind\":\"idempotent\","
            "\"timeout_ms\":600,\"target_latency_ms\":120,\"priority\":1,"
            "\"service\":\"s\",\"max_attempts\":2,\"public\":false},",
            name, name * 7, name * 13);
    }
    g_string_append(text, "]}");
    return g_string_free_to_bytes(text);
}

static PatchFrame_t
frame_of(GBytes *frame, GBytes *value)
{
    PatchFrame_t out = {.size = g_bytes_get_size(value),
                        .hash = RecordPatch_hash(value)};
    out.bytes = g_bytes_get_data(frame, &out.length);
    return out;
}

static gsize
check_round_trip(GBytes *base, GBytes *value)
{
    g_autoptr(GError) error = NULL;
    g_autoptr(GBytes) frame = RecordPatch_encode(base, value, &error);
    g_assert_no_error(error);
    PatchFrame_t in = frame_of(frame, value);
    g_autoptr(GBytes) decoded = RecordPatch_decode(base, &in, &error);
    g_assert_no_error(error);
    ck_assert(g_bytes_equal(decoded, value));
    return in.length;
}

/* A change of one route was transferred as the whole configuration. */
START_TEST(patch_of_one_route_is_short_whatever_the_length)
{
    for (guint routes = ROUTES / 4; routes <= ROUTES; routes *= 2) {
        g_autoptr(GBytes) before = make_config(routes, 1);
        g_autoptr(GBytes) after = make_config(routes, 0);
        ck_assert_uint_le(check_round_trip(before, after), ONE_ROUTE_MAX);
        ck_assert_uint_le(check_round_trip(after, before), ONE_ROUTE_MAX);
    }
}
END_TEST

START_TEST(patch_of_many_routes_is_as_long_as_what_is_new_in_them)
{
    g_autoptr(GBytes) before = make_config(ROUTES, 0);
    g_autoptr(GBytes) after = make_config(ROUTES + MORE_ROUTES, 0);
    ck_assert_uint_le(check_round_trip(before, after), MORE_ROUTES_MAX);
}
END_TEST

START_TEST(values_of_any_length_pass_with_and_without_a_base)
{
    g_autoptr(GBytes) none = g_bytes_new(NULL, 0);
    g_autoptr(GBytes) one = g_bytes_new("x", 1);
    g_autoptr(GBytes) config = make_config(ROUTES, 0);
    GBytes *values[] = {none, one, config};
    for (guint i = 0; i < G_N_ELEMENTS(values); i++) {
        check_round_trip(NULL, values[i]);
        for (guint j = 0; j < G_N_ELEMENTS(values); j++) {
            check_round_trip(values[j], values[i]);
        }
    }
}
END_TEST

static void
check_fails(GBytes *base, const PatchFrame_t *frame)
{
    g_autoptr(GError) error = NULL;
    ck_assert_ptr_null(RecordPatch_decode(base, frame, &error));
    g_assert_error(error, WT_ERROR, WT_ERROR_BAD_BODY);
}

START_TEST(patch_of_another_base_or_a_damaged_one_is_an_error)
{
    g_autoptr(GBytes) before = make_config(ROUTES, 1);
    g_autoptr(GBytes) other = make_config(ROUTES, 2);
    g_autoptr(GBytes) after = make_config(ROUTES, 0);
    g_autoptr(GBytes) frame = RecordPatch_encode(before, after, NULL);
    PatchFrame_t in = frame_of(frame, after);
    check_fails(other, &in);
    check_fails(NULL, &in);
    in.length--;
    check_fails(before, &in);
    in.length++;
    in.size++;
    check_fails(before, &in);
    in.size -= 2;
    check_fails(before, &in);
    in.size = G_MAXUINT64;
    check_fails(before, &in);
    in = frame_of(frame, after);
    in.hash++;
    check_fails(before, &in);
}
END_TEST

START_TEST(damaged_bytes_never_decode_to_another_value)
{
    g_autoptr(GBytes) before = make_config(ROUTES / 4, 1);
    g_autoptr(GBytes) after = make_config(ROUTES / 4, 0);
    g_autoptr(GBytes) frame = RecordPatch_encode(before, after, NULL);
    PatchFrame_t in = frame_of(frame, after);
    g_autofree guint8 *bytes = g_memdup2(in.bytes, in.length);
    in.bytes = bytes;
    for (gsize i = 0; i < in.length; i++) {
        g_autoptr(GError) error = NULL;
        bytes[i] ^= 0x55;
        g_autoptr(GBytes) decoded = RecordPatch_decode(before, &in, &error);
        ck_assert(!decoded || g_bytes_equal(decoded, after));
        bytes[i] ^= 0x55;
    }
}
END_TEST

TESTING_MAIN("RecordPatch", patch_of_one_route_is_short_whatever_the_length,
             patch_of_many_routes_is_as_long_as_what_is_new_in_them,
             values_of_any_length_pass_with_and_without_a_base,
             patch_of_another_base_or_a_damaged_one_is_an_error,
             damaged_bytes_never_decode_to_another_value)
