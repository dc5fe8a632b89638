#ifndef HEADER_KeyedLog
#define HEADER_KeyedLog
/**
 * DOC: KeyedLog
 *
 * Implements keyed topics on a plain append-only log, for platforms whose log
 * has no keys. A record consists of its key's length in one byte, the key, and
 * the value. Each list reads the whole log from its oldest retained record, so
 * this suits topics of few records that need not outlive the log's retention.
 */
#include "LogClient.h"
#include "RecordSource.h"

/** KeyedLog_create() - a record source on @log. Free @log before the
 * source: a freed log client does not answer open calls, so no callback uses
 * the freed source. */
RecordSource_t *KeyedLog_create(LogClient_t *log);

#endif
