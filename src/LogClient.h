#ifndef HEADER_LogClient
#define HEADER_LogClient
/**
 * DOC: LogClient
 *
 * Interface to the platform's append-only log. Each wire protocol of the log
 * is one class (LogHttp.h).
 */
#include <glib.h>

/**
 * LogAppended_t - called once for each append
 * @offset: offset of the record
 * @error: NULL on success; WT_ERROR_CONNECT or _REFUSED if certainly nothing
 *     was appended; any other error if the record may have been appended or
 *     may still be
 */
typedef void (*LogAppended_t)(guint64 offset, const GError *error, void *data);

/**
 * struct LogRecords_t - result of a read, valid during the callback
 * @first: offset of the first record
 * @records: GBytes *, at consecutive offsets
 * @start: oldest offset that the log still stores
 * @head: offset that the next record will get
 * @epoch: the log's epoch at the time of the answer (StoreEpoch.h)
 */
typedef struct {
    guint64 first;
    GPtrArray *records;
    guint64 start;
    guint64 head;
    guint64 epoch;
} LogRecords_t;

/**
 * LogRead_t - called once for each read
 * @records: NULL on error; on WT_ERROR_TRUNCATED only @start and @epoch are
 *     set
 * @error: WT_ERROR_TRUNCATED if the offset is older than the oldest record
 */
typedef void (*LogRead_t)(const LogRecords_t *records, const GError *error,
                          void *data);

typedef struct LogClient LogClient_t;

/**
 * struct LogClientClass_t - methods of one wire protocol
 */
typedef struct {
    void (*destroy)(LogClient_t *this);
    void (*append)(LogClient_t *this, const char *stream, GBytes *record,
                   LogAppended_t done, void *data);
    void (*read)(LogClient_t *this, const char *stream, guint64 from,
                 gint64 wait_ms, LogRead_t done, void *data);
} LogClientClass_t;

/**
 * struct LogClient_t - base of each class
 */
struct LogClient {
    const LogClientClass_t *class;
};

/** LogClient_destroy() - free it; callbacks of open calls are never called */
static inline void
LogClient_destroy(LogClient_t *this)
{
    this->class->destroy(this);
}

/**
 * LogClient_append() - append one record
 * @stream: stream to append to
 */
static inline void
LogClient_append(LogClient_t *this, const char *stream, GBytes *record,
                 LogAppended_t done, void *data)
{
    this->class->append(this, stream, record, done, data);
}

/**
 * LogClient_read() - read records, starting at an offset
 * @wait_ms: how long the log may delay its answer until a record exists
 */
static inline void
LogClient_read(LogClient_t *this, const char *stream, guint64 from,
               gint64 wait_ms, LogRead_t done, void *data)
{
    this->class->read(this, stream, from, wait_ms, done, data);
}

#endif
