#ifndef HEADER_KeyedLog
#define HEADER_KeyedLog
/**
 * DOC: KeyedLog
 *
 * Records with keys on a plain append-only log, for platforms whose log has
 * none of its own: a record is its key's length in one byte, the key, and the
 * value. A list is read from the oldest record that the log keeps, so that it
 * suits topics of few records that need not outlive the log's retention.
 */
#include "LogClient.h"
#include "RecordSource.h"

/** KeyedLog_create() - a view of a log, which must be freed first: it answers
 * nothing afterwards */
RecordSource_t *KeyedLog_create(LogClient_t *log);

#endif
