#ifndef HEADER_LogHttp
#define HEADER_LogHttp
/**
 * DOC: LogHttp
 *
 * The log service over HTTP and JSON: POST /streams/NAME/records appends the
 * body, GET /streams/NAME/records?from=N&wait_ms=T reads. Each answer tells
 * the log's epoch in a header.
 */
#include <event2/event.h>

#include "KeyTable.h"
#include "LogClient.h"
#include "StoreEpoch.h"

/**
 * LogHttp_create() - a client of one log service
 * @timeout_ms: how long an answer may take beyond a read's own wait
 * @epoch: of that log; must outlive it
 */
LogClient_t *LogHttp_create(struct event_base *base, const Address_t *address,
                            gint64 timeout_ms, StoreEpoch_t *epoch);

#endif
