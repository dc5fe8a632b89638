#ifndef HEADER_OperatorApi
#define HEADER_OperatorApi
/**
 * DOC: OperatorApi
 *
 * HTTP interface for operators. It checks the operator key, looks up the
 * method of proto/operator.proto and passes the message to OperatorCommands.h
 * or OperatorQueries.h. It also serves /metrics, without a key.
 */
#include <event2/http.h>

#include "Context.h"

/** OperatorApi_handle() - evhttp callback; @data is the Context_t */
void OperatorApi_handle(struct evhttp_request *request, void *data);

#endif
