#ifndef HEADER_CallerApi
#define HEADER_CallerApi
/**
 * DOC: CallerApi
 *
 * The HTTP interface for callers and for the load balancer: authenticates and
 * validates a request, answers an invalid one with a typed error, and passes a
 * valid one to StreamExchange.h or ServiceExchange.h.
 */
#include <event2/http.h>

#include "Context.h"

/** CallerApi_handle() - callback of evhttp; @data is the Context_t */
void CallerApi_handle(struct evhttp_request *request, void *data);

#endif
