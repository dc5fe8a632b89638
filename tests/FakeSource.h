#ifndef HEADER_FakeSource
#define HEADER_FakeSource
/**
 * DOC: FakeSource
 *
 * Fake RecordSource: the test answers its calls, one at a time.
 */
#include <event2/event.h>

#include "RecordSource.h"

/** Size of the buffer for the key of a put, with the terminating NUL */
#define FAKE_KEY_MAX 64

/**
 * struct FakeSource_t - fake source and its pending calls
 * @super: passed to the tested module
 * @base: event loop whose timers make the calls
 * @read_from: offset of the last read call
 * @done: callback of the pending list or read call, or NULL
 * @data: argument for @done
 * @put_key: key of the last put; empty before the first one
 * @put_value: value of the last put; NULL for a removal
 * @put_done: callback of the pending put, or NULL
 * @put_data: argument for @put_done
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

/** FakeSource_init() - initialize a source without pending calls */
void FakeSource_init(FakeSource_t *this, struct event_base *base);

/** FakeSource_await() - run the event loop until a list or read call is
 * pending */
void FakeSource_await(FakeSource_t *this);

/** FakeSource_answer() - await a list or read call, answer it with @page
 * and free its records */
void FakeSource_answer(FakeSource_t *this, KeyedPage_t *page);

/** FakeSource_fail() - await a list or read call and let it fail with a
 * WT_ERROR */
void FakeSource_fail(FakeSource_t *this, int code);

/** FakeSource_answerPut() - await a put and answer it
 * @code: a WT_ERROR, or 0 for success */
void FakeSource_answerPut(FakeSource_t *this, int code);

/** FakePage_make() - create a page without records */
KeyedPage_t FakePage_make(guint64 end, gboolean more);

/** FakePage_add() - add a record; a NULL @value is a removal */
void FakePage_add(KeyedPage_t *page, const char *key, const char *value,
                  guint64 offset);

#endif
