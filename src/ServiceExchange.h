#ifndef HEADER_ServiceExchange
#define HEADER_ServiceExchange
/**
 * DOC: ServiceExchange
 *
 * Processes one request to a plain service: forwards it to one of the
 * service's upstreams, and to another one only if the request may be repeated
 * or did not run.
 */
#include <event2/http.h>

#include "Context.h"

/**
 * struct ServiceExchangeSpec_t - an admitted request
 * @request: request of evhttp; answered by the exchange
 * @id: the request's id
 * @caller: the caller
 * @service: name of a declared service
 * @path: path and query for the upstream
 */
typedef struct {
    struct evhttp_request *request;
    const char *id;
    const Caller_t *caller;
    const char *service;
    const char *path;
} ServiceExchangeSpec_t;

/** ServiceExchange_start() - start to process a request; it always gets an
 * answer */
void ServiceExchange_start(Context_t *context,
                           const ServiceExchangeSpec_t *spec);

#endif
