#include "testing.h"

#include <event2/event.h>
#include <string.h>

#include "Errors.h"
#include "RecordFollower.h"

/* A source whose calls a test answers. */
typedef struct {
    RecordSource_t super;
    guint64 read_from;
    KeyedDone_t done;
    void *data;
} Source_t;

typedef struct {
    GString *told;
    guint64 current;
    guint lost;
    guint regained;
} Seen_t;

static Source_t source;
static Seen_t seen;
static struct event_base *base;

static void
list(RecordSource_t *super, const char *topic, const char *after,
     KeyedDone_t done, void *data)
{
    (void)super;
    (void)topic;
    (void)after;
    source.done = done;
    source.data = data;
}

static void
read_from(RecordSource_t *super, const char *topic, guint64 from,
          gint64 wait_ms, KeyedDone_t done, void *data)
{
    (void)super;
    (void)topic;
    (void)wait_ms;
    source.read_from = from;
    source.done = done;
    source.data = data;
}

static const RecordSourceClass_t source_class = {.list = list,
                                                 .read = read_from};

static void
on_record(void *owner, const char *key, GBytes *value)
{
    (void)owner;
    g_string_append_printf(seen.told, "%s%s ", key, value ? "" : "-");
}

static void
on_current(void *owner, guint64 offset, gint64 at_ms)
{
    (void)owner;
    (void)at_ms;
    seen.current = offset;
}

static void
on_lost(void *owner, const GError *error)
{
    (void)owner;
    (void)error;
    seen.lost++;
}

static void
on_regained(void *owner)
{
    (void)owner;
    seen.regained++;
}

static const RecordFollowerEvents_t events = {on_record, on_current, on_lost,
                                              on_regained};

static RecordFollower_t *
begin(void)
{
    memset(&source, 0, sizeof(source));
    source.super.class = &source_class;
    memset(&seen, 0, sizeof(seen));
    seen.told = g_string_new(NULL);
    base = event_base_new();
    RecordFollowerSpec_t spec = {.source = &source.super, .topic = "t"};
    return RecordFollower_create(base, &spec, &events, NULL);
}

static void
end(RecordFollower_t *follower)
{
    RecordFollower_destroy(follower);
    event_base_free(base);
    g_string_free(seen.told, TRUE);
}

/* Lets timers fire until the next call was made. */
static void
await_call(void)
{
    while (!source.done) {
        event_base_loop(base, EVLOOP_ONCE);
    }
}

static void
break_call(int code)
{
    await_call();
    KeyedDone_t done = source.done;
    g_autoptr(GError) error = g_error_new_literal(WT_ERROR, code, "x");
    source.done = NULL;
    done(NULL, error, source.data);
}

/* Records as "key:offset", or "key-:offset" for a removal. */
static void
answer(guint64 page_end, gboolean more, const char *text)
{
    await_call();
    KeyedPage_t page = {.records =
                            g_ptr_array_new_with_free_func(KeyedRecord_free),
                        .end = page_end,
                        .more = more};
    g_auto(GStrv) words = g_strsplit(text, " ", -1);
    for (guint i = 0; words[i] && *words[i]; i++) {
        KeyedRecord_t *record = g_new0(KeyedRecord_t, 1);
        const char *colon = strchr(words[i], ':');
        gboolean removed = colon[-1] == '-';
        record->key =
            g_string_new_len(words[i], colon - words[i] - (removed ? 1 : 0));
        record->value = removed ? NULL : g_bytes_new("v", 1);
        record->offset = g_ascii_strtoull(colon + 1, NULL, 10);
        g_ptr_array_add(page.records, record);
    }
    KeyedDone_t done = source.done;
    source.done = NULL;
    done(&page, NULL, source.data);
    g_ptr_array_unref(page.records);
}

START_TEST(it_lists_and_reads_on_from_the_first_page)
{
    RecordFollower_t *follower = begin();
    answer(10, TRUE, "a:3");
    answer(14, FALSE, "b:12");
    await_call();
    ck_assert_uint_eq(source.read_from, 10);
    answer(14, FALSE, "c:10 b:11 b:12 a-:13");
    ck_assert_str_eq(seen.told->str, "a b c a- ");
    ck_assert_uint_eq(seen.current, 14);
    end(follower);
}
END_TEST

START_TEST(not_current_before_the_end_is_read)
{
    RecordFollower_t *follower = begin();
    answer(10, FALSE, "a:3");
    ck_assert_uint_eq(seen.current, 10);
    answer(20, FALSE, "a:10 a:11");
    ck_assert_uint_eq(seen.current, 10);
    await_call();
    ck_assert_uint_eq(source.read_from, 12);
    end(follower);
}
END_TEST

START_TEST(expired_records_are_listed_anew_and_removals_told)
{
    RecordFollower_t *follower = begin();
    answer(10, FALSE, "a:3 b:4");
    break_call(WT_ERROR_TRUNCATED);
    ck_assert_uint_eq(RecordFollower_offset(follower), 0);
    answer(90, FALSE, "b:4 c:80");
    ck_assert_str_eq(seen.told->str, "a b c a- ");
    ck_assert_uint_eq(RecordFollower_offset(follower), 90);
    ck_assert_uint_eq(seen.lost, 0);
    end(follower);
}
END_TEST

START_TEST(an_outage_is_told_once_and_its_end)
{
    RecordFollower_t *follower = begin();
    answer(10, FALSE, "");
    break_call(WT_ERROR_CONNECT);
    break_call(WT_ERROR_REFUSED);
    ck_assert(RecordFollower_isLost(follower));
    ck_assert_uint_eq(seen.lost, 1);
    answer(10, FALSE, "");
    ck_assert(!RecordFollower_isLost(follower));
    ck_assert_uint_eq(seen.regained, 1);
    end(follower);
}
END_TEST

TESTING_MAIN("RecordFollower", it_lists_and_reads_on_from_the_first_page,
             not_current_before_the_end_is_read,
             expired_records_are_listed_anew_and_removals_told,
             an_outage_is_told_once_and_its_end)
