#ifndef HEADER_StoredRecords
#define HEADER_StoredRecords
/**
 * DOC: StoredRecords
 *
 * Records of a keyed topic of the platform's store that routers read once
 * after their start, as they have no disks: what all routers know would be
 * lost if they restarted at once. Later changes come by other ways. While the
 * store is unreachable, writes are queued and only the newest of each key is
 * kept.
 */
#include <event2/event.h>

#include "Counters.h"
#include "RecordSource.h"

/**
 * struct StoredRecordsEvents_t - events in the log
 * @read: all records were read
 * @unread: a read failed and is repeated
 * @unwritten: a write failed and is repeated
 * @unreadable: a record is not understood
 * @left_out: too many writes are queued, and one was dropped
 */
typedef struct {
    const char *read;
    const char *unread;
    const char *unwritten;
    const char *unreadable;
    const char *left_out;
} StoredRecordsEvents_t;

/**
 * struct StoredRecordsSpec_t - dependencies; all must outlive the records
 * @source: of the records; must be freed before them
 * @topic: of the records
 * @counters: of calls to the store; NULL to count none, as in module tests
 * @events: events in the log
 * @read: called for each record that is stored at the start; returns FALSE if
 *     the record is not understood
 * @read_all: called after the last record was read, at each read
 * @written: called when a write was acknowledged; it must not write. @value is
 *     NULL for a removal. NULL for none
 * @owner: passed to @read, @read_all and @written
 */
typedef struct {
    RecordSource_t *source;
    const char *topic;
    Counters_t *counters;
    const StoredRecordsEvents_t *events;
    gboolean (*read)(void *owner, const char *key, GBytes *value);
    void (*read_all)(void *owner);
    void (*written)(void *owner, const char *key, const GBytes *value);
    void *owner;
} StoredRecordsSpec_t;

/** struct StoredRecords_t - opaque */
typedef struct StoredRecords StoredRecords_t;

/** StoredRecords_create() - create records that are not read yet */
StoredRecords_t *StoredRecords_create(struct event_base *base,
                                      const StoredRecordsSpec_t *spec);

/** StoredRecords_skipRead() - cancel the scheduled read; a read that is in
 * progress continues */
void StoredRecords_skipRead(StoredRecords_t *this);

/** StoredRecords_setRouters() - callers wait for the records, so that pauses
 * after failed calls are no longer than this number of routers requires */
void StoredRecords_setRouters(StoredRecords_t *this, guint routers);

/** StoredRecords_scheduleRead() - read the records after at most @in_ms; once
 * the first read was made it has no effect */
void StoredRecords_scheduleRead(StoredRecords_t *this, gint64 in_ms);

/**
 * StoredRecords_readAgain() - read all records once more, at once
 *
 * Return: FALSE if they are being read, or were not read before
 */
gboolean StoredRecords_readAgain(StoredRecords_t *this);

/** StoredRecords_destroy() - free the records; queued writes are lost */
void StoredRecords_destroy(StoredRecords_t *this);

/** StoredRecords_put() - write the record of a key */
void StoredRecords_put(StoredRecords_t *this, const char *key, GBytes *value);

/** StoredRecords_remove() - remove the record of a key */
void StoredRecords_remove(StoredRecords_t *this, const char *key);

#endif
