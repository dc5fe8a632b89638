#ifndef HEADER_RecordSource
#define HEADER_RecordSource
/**
 * DOC: RecordSource
 *
 * Interface to a keyed topic of the platform's store: a log of records with
 * keys, in which the newest record of each key is retained. Each wire form of
 * the store is one class.
 */
#include "KeyedRecord.h"

/**
 * struct KeyedPage_t - the answer to a call, valid during the callback
 * @records: KeyedRecord_t *, freed with the page
 * @end: position that the next record of the topic will get
 * @more: the list continues after the last key of this page
 */
typedef struct {
    GPtrArray *records;
    StorePosition_t end;
    gboolean more;
} KeyedPage_t;

/**
 * KeyedPageDone_t - callback with the result of a list or a read, called once
 * @page: NULL on error
 * @error: NULL on success; WT_ERROR_TRUNCATED if records at the offset have
 *     expired. WT_ERROR_LATE, at most once, means that there is no answer yet
 *     but the call continues, and this is called again
 */
typedef void (*KeyedPageDone_t)(const KeyedPage_t *page, const GError *error,
                                void *data);

/**
 * KeyedPutDone_t - callback with the result of a put, called once
 * @error: NULL if the record was stored. After WT_ERROR_CONNECT and
 *     WT_ERROR_REFUSED the record was not stored; after any other error it may
 *     be stored already or later
 */
typedef void (*KeyedPutDone_t)(const GError *error, void *data);

typedef struct RecordSource RecordSource_t;

/**
 * struct RecordSourceClass_t - operations of one wire form
 * @destroy: see RecordSource_destroy()
 * @list: see RecordSource_list()
 * @read: see RecordSource_read()
 * @put: see RecordSource_put()
 * @is_receiving: see RecordSource_isReceiving(); may be NULL
 */
typedef struct {
    void (*destroy)(RecordSource_t *this);
    void (*list)(RecordSource_t *this, const char *topic, const GString *after,
                 KeyedPageDone_t done, void *data);
    void (*read)(RecordSource_t *this, const char *topic, guint64 from,
                 gint64 wait_ms, KeyedPageDone_t done, void *data);
    void (*put)(RecordSource_t *this, const char *topic, const char *key,
                GBytes *value, KeyedPutDone_t done, void *data);
    gboolean (*is_receiving)(const RecordSource_t *this);
} RecordSourceClass_t;

/** struct RecordSource_t - base structure, extended by each class */
struct RecordSource {
    const RecordSourceClass_t *class;
};

/** RecordSource_destroy() - free the source; callbacks of open calls are never
 * called */
static inline void
RecordSource_destroy(RecordSource_t *this)
{
    this->class->destroy(this);
}

/**
 * RecordSource_list() - list the newest record of each key, one page per call
 * @after: last key of the previous page, or NULL for the first page
 */
static inline void
RecordSource_list(RecordSource_t *this, const char *topic,
                  const GString *after, KeyedPageDone_t done, void *data)
{
    this->class->list(this, topic, after, done, data);
}

/**
 * RecordSource_read() - read records from an offset on
 * @wait_ms: how long the store may hold the answer until there is a record
 */
static inline void
RecordSource_read(RecordSource_t *this, const char *topic, guint64 from,
                  gint64 wait_ms, KeyedPageDone_t done, void *data)
{
    this->class->read(this, topic, from, wait_ms, done, data);
}

/**
 * RecordSource_put() - append the newest record of a key
 * @value: NULL to remove the key
 */
static inline void
RecordSource_put(RecordSource_t *this, const char *topic, const char *key,
                 GBytes *value, KeyedPutDone_t done, void *data)
{
    this->class->put(this, topic, key, value, done, data);
}

/** RecordSource_isReceiving() - whether a long answer is arriving */
static inline gboolean
RecordSource_isReceiving(const RecordSource_t *this)
{
    return this->class->is_receiving && this->class->is_receiving(this);
}

#endif
