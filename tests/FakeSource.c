#include "FakeSource.h"

#include <string.h>

#include "Errors.h"

static void
list(RecordSource_t *super, const char *topic, const GString *after,
     KeyedPageDone_t done, void *data)
{
    (void)topic;
    (void)after;
    FakeSource_t *this = (FakeSource_t *)super;
    this->done = done;
    this->data = data;
}

static void
read_from(RecordSource_t *super, const char *topic, guint64 from,
          gint64 wait_ms, KeyedPageDone_t done, void *data)
{
    (void)topic;
    (void)wait_ms;
    FakeSource_t *this = (FakeSource_t *)super;
    this->read_from = from;
    this->done = done;
    this->data = data;
}

static void
put(RecordSource_t *super, const char *topic, const char *key, GBytes *value,
    KeyedPutDone_t done, void *data)
{
    (void)topic;
    FakeSource_t *this = (FakeSource_t *)super;
    g_strlcpy(this->put_key, key, sizeof(this->put_key));
    g_clear_pointer(&this->put_value, g_bytes_unref);
    this->put_value = value ? g_bytes_ref(value) : NULL;
    this->put_done = done;
    this->put_data = data;
}

static const RecordSourceClass_t class = {
    .list = list, .read = read_from, .put = put};

void
FakeSource_init(FakeSource_t *this, struct event_base *base)
{
    *this = (FakeSource_t){.super = {.class = &class}, .base = base};
}

void
FakeSource_await(FakeSource_t *this)
{
    while (!this->done) {
        event_base_loop(this->base, EVLOOP_ONCE);
    }
}

static void
complete_call(FakeSource_t *this, const KeyedPage_t *page, const GError *error)
{
    KeyedPageDone_t done = this->done;
    this->done = NULL;
    done(page, error, this->data);
}

void
FakeSource_answer(FakeSource_t *this, KeyedPage_t *page)
{
    FakeSource_await(this);
    complete_call(this, page, NULL);
    g_ptr_array_unref(page->records);
}

void
FakeSource_fail(FakeSource_t *this, int code)
{
    g_autoptr(GError) error = g_error_new_literal(WT_ERROR, code, "x");
    FakeSource_await(this);
    complete_call(this, NULL, error);
}

KeyedPage_t
FakePage_make(guint64 end, gboolean more)
{
    return (KeyedPage_t){
        .records = g_ptr_array_new_with_free_func(KeyedRecord_free),
        .end = {.offset = end},
        .more = more,
    };
}

void
FakePage_add(KeyedPage_t *page, const char *key, const char *value,
             guint64 offset)
{
    KeyedRecord_t *record = g_new0(KeyedRecord_t, 1);
    record->key = g_string_new(key);
    record->value = value ? g_bytes_new(value, strlen(value)) : NULL;
    record->position = (StorePosition_t){page->end.epoch, offset};
    g_ptr_array_add(page->records, record);
}

void
FakeSource_answerPut(FakeSource_t *this, int code)
{
    while (!this->put_done) {
        event_base_loop(this->base, EVLOOP_ONCE);
    }
    KeyedPutDone_t done = this->put_done;
    g_autoptr(GError) error =
        code != 0 ? g_error_new(WT_ERROR, code, "error set by the test")
                  : NULL;
    this->put_done = NULL;
    done(error, this->put_data);
}
