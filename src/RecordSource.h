#ifndef HEADER_RecordSource
#define HEADER_RecordSource
/**
 * DOC: RecordSource
 *
 * A keyed topic of the platform's store as the rest of the project sees it:
 * a log of records with keys, of which the newest of each key stays. A wire
 * form of it is one class.
 */
#include "KeyedRecord.h"

/**
 * struct KeyedPage_t - the answer to a call, valid during its callback
 * @records: KeyedRecord_t *, freed with the page
 * @end: where the next record of the topic gets its place
 * @more: a list goes on after the last key of this page
 */
typedef struct {
    GPtrArray *records;
    StorePosition_t end;
    gboolean more;
} KeyedPage_t;

/**
 * KeyedDone_t - called once for each call
 * @page: NULL where there is an error
 * @error: WT_ERROR_TRUNCATED where the offset is older than the topic keeps
 */
typedef void (*KeyedDone_t)(const KeyedPage_t *page, const GError *error,
                            void *data);

/**
 * KeyedPut_t - called once for each record that was put
 * @error: NULL where it is there; else it may be there or may yet be, but for
 *     WT_ERROR_CONNECT and _REFUSED
 */
typedef void (*KeyedPut_t)(const GError *error, void *data);

typedef struct RecordSource RecordSource_t;

/**
 * struct RecordSourceClass_t - one wire form
 * @destroy: see RecordSource_destroy()
 * @list: see RecordSource_list()
 * @read: see RecordSource_read()
 * @put: see RecordSource_put()
 */
typedef struct {
    void (*destroy)(RecordSource_t *this);
    void (*list)(RecordSource_t *this, const char *topic, const char *after,
                 KeyedDone_t done, void *data);
    void (*read)(RecordSource_t *this, const char *topic, guint64 from,
                 gint64 wait_ms, KeyedDone_t done, void *data);
    void (*put)(RecordSource_t *this, const char *topic, const char *key,
                GBytes *value, KeyedPut_t done, void *data);
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

/**
 * RecordSource_put() - append the newest record of a key
 * @value: NULL to remove the key
 */
static inline void
RecordSource_put(RecordSource_t *this, const char *topic, const char *key,
                 GBytes *value, KeyedPut_t done, void *data)
{
    this->class->put(this, topic, key, value, done, data);
}

#endif
