#ifndef HEADER_LogHttp
#define HEADER_LogHttp
/**
 * DOC: LogHttp
 *
 * Client of the log service over HTTP and JSON. POST /streams/NAME/records
 * appends the body; GET /streams/NAME/records?from=N&wait_ms=T reads. Each
 * answer has the log's epoch in the header Log-Epoch.
 */
#include <event2/event.h>

#include "KeyTable.h"
#include "LogClient.h"
#include "StoreEpoch.h"

/**
 * LogHttp_create() - create a client of one log service
 * @timeout_ms: timeout of a call; the wait_ms of a read is added to it
 * @epoch: epoch of that log; must outlive the client
 */
LogClient_t *LogHttp_create(struct event_base *base, const Address_t *address,
                            gint64 timeout_ms, StoreEpoch_t *epoch);

#endif
