#ifndef HEADER_LogHttp
#define HEADER_LogHttp
/**
 * DOC: LogHttp
 *
 * The log service over HTTP and JSON: POST /streams/NAME/records appends the
 * body, GET /streams/NAME/records?from=N&wait_ms=T reads.
 */
#include <event2/event.h>

#include "KeyTable.h"
#include "LogClient.h"

/**
 * LogHttp_create() - a client of one log service
 * @timeout_ms: how long an answer may take beyond a read's own wait
 */
LogClient_t *LogHttp_create(struct event_base *base, const Address_t *address,
                            gint64 timeout_ms);

#endif
