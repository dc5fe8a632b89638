#ifndef HEADER_ServiceExchange
#define HEADER_ServiceExchange
/**
 * DOC: ServiceExchange
 *
 * The life of one request to a plain service: passed through to one of its
 * upstreams, and to another one only where a repeat is allowed or nothing
 * ran.
 */
#include <event2/http.h>

#include "Context.h"

/**
 * struct ServiceExchangeSpec_t - an admitted request
 * @request: of evhttp; answered by the exchange
 * @id: the request's id
 * @caller: who asks
 * @service: name of the service, declared
 * @path: with its query, as the service sees it
 */
typedef struct {
    struct evhttp_request *request;
    const char *id;
    const Caller_t *caller;
    const char *service;
    const char *path;
} ServiceExchangeSpec_t;

/** ServiceExchange_start() - take a request on; it always gets an answer */
void ServiceExchange_start(Context_t *context,
                           const ServiceExchangeSpec_t *spec);

#endif
