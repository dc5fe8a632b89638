#ifndef HEADER_RelayExchange
#define HEADER_RelayExchange
/**
 * DOC: RelayExchange
 *
 * The kind of Exchange_t that forwards bytes unchanged, as a complete answer
 * or as an event stream. If a resumable stream breaks, it continues at another
 * upstream after the last event that the caller received.
 */
#include "Context.h"
#include "RelayForm.h"

/**
 * struct RelayExchangeSpec_t - an admitted request
 * @http: the caller's evhttp request; the exchange answers it
 * @config: configuration that the request was admitted under
 * @route: route in @config
 * @service: service that was picked from the route's targets
 * @customer: customer in @config, or NULL
 * @request: the parsed head; the exchange takes ownership of its contents
 */
typedef struct {
    struct evhttp_request *http;
    RouteConfig_t *config;
    const Route_t *route;
    const char *service;
    const RouteCustomer_t *customer;
    const RelayRequest_t *request;
} RelayExchangeSpec_t;

/** RelayExchange_start() - start to process a request; the caller always gets
 * an answer or a refusal */
void RelayExchange_start(Context_t *context, const RelayExchangeSpec_t *spec);

#endif
