#ifndef HEADER_RelayExchange
#define HEADER_RelayExchange
/**
 * DOC: RelayExchange
 *
 * The form of a request whose bytes pass through unchanged, as a whole
 * answer or as a stream of events. A resumable stream that breaks goes on at
 * another upstream behind the last event that the caller has.
 */
#include "Context.h"
#include "RelayForm.h"

/**
 * struct RelayExchangeSpec_t - an admitted request
 * @http: of evhttp; answered by the exchange
 * @config: version that it is admitted under
 * @route: of @config
 * @service: the route's target that it goes to
 * @customer: of @config, or NULL
 * @request: what its head says; taken over
 */
typedef struct {
    struct evhttp_request *http;
    RouteConfig_t *config;
    const Route_t *route;
    const char *service;
    const RouteCustomer_t *customer;
    const RelayRequest_t *request;
} RelayExchangeSpec_t;

/** RelayExchange_start() - take a request on; it always gets an answer */
void RelayExchange_start(Context_t *context, const RelayExchangeSpec_t *spec);

#endif
