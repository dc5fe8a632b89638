#ifndef HEADER_RecordSource
#define HEADER_RecordSource
/**
 * DOC: RecordSource
 *
 * A keyed topic of the platform's store as the rest of the project sees it:
 * a log of records with keys, of which the newest of each key stays. A wire
 * form of it is one class.
 */
#include <glib.h>

/**
 * struct KeyedRecord_t - one record
 * @key: what it is about
 * @value: NULL where the key was removed
 * @offset: its place in the topic
 */
typedef struct {
    GString *key;
    GBytes *value;
    guint64 offset;
} KeyedRecord_t;

/**
 * struct KeyedPage_t - the answer to a call, valid during its callback
 * @records: KeyedRecord_t *, freed with the page
 * @end: offset that the next record of the topic gets
 * @more: a list goes on after the last key of this page
 */
typedef struct {
    GPtrArray *records;
    guint64 end;
    gboolean more;
} KeyedPage_t;

/**
 * KeyedDone_t - called once for each call
 * @page: NULL where there is an error
 * @error: WT_ERROR_TRUNCATED where the offset is older than the topic keeps
 */
typedef void (*KeyedDone_t)(const KeyedPage_t *page, const GError *error,
                            void *data);

typedef struct RecordSource RecordSource_t;

/**
 * struct RecordSourceClass_t - one wire form
 * @destroy: see RecordSource_destroy()
 * @list: see RecordSource_list()
 * @read: see RecordSource_read()
 */
typedef struct {
    void (*destroy)(RecordSource_t *this);
    void (*list)(RecordSource_t *this, const char *topic, const char *after,
                 KeyedDone_t done, void *data);
    void (*read)(RecordSource_t *this, const char *topic, guint64 from,
                 gint64 wait_ms, KeyedDone_t done, void *data);
} RecordSourceClass_t;

/** struct RecordSource_t - extended by each class */
struct RecordSource {
    const RecordSourceClass_t *class;
};

/** RecordSource_destroy() - free it; open calls are never answered */
static inline void
RecordSource_destroy(RecordSource_t *this)
{
    this->class->destroy(this);
}

/**
 * RecordSource_list() - the newest record of each key, a page of them
 * @after: the last key of the page before, or NULL
 */
static inline void
RecordSource_list(RecordSource_t *this, const char *topic, const char *after,
                  KeyedDone_t done, void *data)
{
    this->class->list(this, topic, after, done, data);
}

/**
 * RecordSource_read() - records from an offset on
 * @wait_ms: how long the answer may be held until there is one
 */
static inline void
RecordSource_read(RecordSource_t *this, const char *topic, guint64 from,
                  gint64 wait_ms, KeyedDone_t done, void *data)
{
    this->class->read(this, topic, from, wait_ms, done, data);
}

/** KeyedRecord_free() - free one record */
static inline void
KeyedRecord_free(gpointer data)
{
    KeyedRecord_t *record = data;
    g_string_free(record->key, TRUE);
    if (record->value) {
        g_bytes_unref(record->value);
    }
    g_free(record);
}

#endif
