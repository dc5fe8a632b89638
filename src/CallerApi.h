#ifndef HEADER_CallerApi
#define HEADER_CallerApi
/**
 * DOC: CallerApi
 *
 * The HTTP interface of callers and of the balancer: it finds out who asks
 * for what, refuses what is wrong with a typed error, and hands the rest to
 * Exchange.h or ServiceExchange.h.
 */
#include <event2/http.h>

#include "Context.h"

/** CallerApi_handle() - an evhttp callback; @data is the Context_t */
void CallerApi_handle(struct evhttp_request *request, void *data);

#endif
