#ifndef HEADER_RelayApi
#define HEADER_RelayApi
/**
 * DOC: RelayApi
 *
 * HTTP entry point for relayed requests: finds the route of a request, checks
 * its key, checks that this router's configuration is fresh enough to rely on,
 * and starts an exchange. It also answers the load balancer's readiness check.
 */
#include <event2/http.h>

#include "Context.h"

/** RelayApi_handle() - evhttp callback for relayed requests; @data is a
 * Context_t */
void RelayApi_handle(struct evhttp_request *request, void *data);

/** RelayApi_canServe() - whether this router has a configuration and the list
 * of upstreams */
gboolean RelayApi_canServe(const Context_t *context);

/** RelayApi_handleReady() - evhttp callback for the readiness check; @data is
 * a Context_t */
void RelayApi_handleReady(struct evhttp_request *request, void *data);

#endif
