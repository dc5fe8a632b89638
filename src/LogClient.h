#ifndef HEADER_LogClient
#define HEADER_LogClient
/**
 * DOC: LogClient
 *
 * The platform's append-only log as the rest of the project sees it. A wire
 * form of the log is one class (LogHttp.h).
 */
#include <glib.h>

/**
 * LogAppended_t - called once for each append
 * @offset: of the record
 * @error: NULL, or WT_ERROR_CONNECT or _REFUSED where it is sure that
 *     nothing was appended, or another where it may have been or may yet be
 */
typedef void (*LogAppended_t)(guint64 offset, const GError *error, void *data);

/**
 * struct LogRecords_t - the answer to a read, valid during the callback
 * @first: offset of the first record
 * @records: GBytes *, at consecutive offsets
 * @start: oldest offset that the log still has
 * @head: offset that the next record gets
 * @epoch: of the log when it answered (StoreEpoch.h)
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
 * @records: NULL where there is an error, but for WT_ERROR_TRUNCATED: then
 *     only @start and @epoch are set
 * @error: WT_ERROR_TRUNCATED where the offset is older than the log keeps
 */
typedef void (*LogRead_t)(const LogRecords_t *records, const GError *error,
                          void *data);

typedef struct LogClient LogClient_t;

/**
 * struct LogClientClass_t - one wire form
 */
typedef struct {
    void (*destroy)(LogClient_t *this);
    void (*append)(LogClient_t *this, const char *stream, GBytes *record,
                   LogAppended_t done, void *data);
    void (*read)(LogClient_t *this, const char *stream, guint64 from,
                 gint64 wait_ms, LogRead_t done, void *data);
} LogClientClass_t;

/**
 * struct LogClient_t - extended by each class
 */
struct LogClient {
    const LogClientClass_t *class;
};

/** LogClient_destroy() - free it; open calls are never answered */
static inline void
LogClient_destroy(LogClient_t *this)
{
    this->class->destroy(this);
}

/**
 * LogClient_append() - append one record
 * @stream: name of the stream
 */
static inline void
LogClient_append(LogClient_t *this, const char *stream, GBytes *record,
                 LogAppended_t done, void *data)
{
    this->class->append(this, stream, record, done, data);
}

/**
 * LogClient_read() - read records from an offset on
 * @wait_ms: how long the log may hold the answer until there is one
 */
static inline void
LogClient_read(LogClient_t *this, const char *stream, guint64 from,
               gint64 wait_ms, LogRead_t done, void *data)
{
    this->class->read(this, stream, from, wait_ms, done, data);
}

#endif
