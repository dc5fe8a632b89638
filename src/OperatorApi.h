#ifndef HEADER_OperatorApi
#define HEADER_OperatorApi
/**
 * DOC: OperatorApi
 *
 * The HTTP interface of operators: it checks their key, finds the method of
 * proto/operator.proto that is called and hands the message on to
 * OperatorCommands.h or OperatorQueries.h. It serves /metrics as well.
 */
#include <event2/http.h>

#include "Context.h"

/** OperatorApi_handle() - an evhttp callback; @data is the Context_t */
void OperatorApi_handle(struct evhttp_request *request, void *data);

#endif
