#ifndef HEADER_RelayApi
#define HEADER_RelayApi
/**
 * DOC: RelayApi
 *
 * Admits relayed requests: finds their route, checks their key and that the
 * configuration known here is fresh enough to trust it, and hands them on.
 * It also tells the balancer whether this router is ready.
 */
#include <event2/http.h>

#include "Context.h"

/** RelayApi_handle() - callback of evhttp; data is a Context_t */
void RelayApi_handle(struct evhttp_request *request, void *data);

/** RelayApi_canServe() - whether a configuration and the list of upstreams
 * are known */
gboolean RelayApi_canServe(const Context_t *context);

/** RelayApi_handleReady() - the same for the readiness address */
void RelayApi_handleReady(struct evhttp_request *request, void *data);

#endif
