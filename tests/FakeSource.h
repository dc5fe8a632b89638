#ifndef HEADER_FakeSource
#define HEADER_FakeSource
/**
 * DOC: FakeSource
 *
 * A RecordSource whose calls a test answers, one at a time.
 */
#include <event2/event.h>

#include "RecordSource.h"

/** Longest key of a put that is kept, with its end */
#define FAKE_KEY_MAX 64

/**
 * struct FakeSource_t - the source
 * @super: given to what is tested
 * @base: whose timers make the calls
 * @read_from: offset of the last call to read
 * @done: of the call under way, or NULL
 * @data: for @done
 * @put_key: of the last call to put; empty for none
 * @put_value: of it, or NULL
 * @put_done: of the put under way, or NULL
 * @put_data: for @put_done
 */
typedef struct {
    RecordSource_t super;
    struct event_base *base;
    guint64 read_from;
    KeyedPageDone_t done;
    void *data;
    char put_key[FAKE_KEY_MAX];
    GBytes *put_value;
    KeyedPutDone_t put_done;
    void *put_data;
} FakeSource_t;

/** FakeSource_init() - no call yet */
void FakeSource_init(FakeSource_t *this, struct event_base *base);

/** FakeSource_await() - let timers fire until the next call is made */
void FakeSource_await(FakeSource_t *this);

/** FakeSource_answer() - await a call and answer it; frees the records */
void FakeSource_answer(FakeSource_t *this, KeyedPage_t *page);

/** FakeSource_fail() - await a call and let it fail with a WT_ERROR */
void FakeSource_fail(FakeSource_t *this, int code);

/** FakeSource_answerPut() - await a put and answer it
 * @code: a WT_ERROR, or 0 where it is there */
void FakeSource_answerPut(FakeSource_t *this, int code);

/** FakePage_make() - a page without records */
KeyedPage_t FakePage_make(guint64 end, gboolean more);

/** FakePage_add() - add a record; @value NULL for a removal */
void FakePage_add(KeyedPage_t *page, const char *key, const char *value,
                  guint64 offset);

#endif
