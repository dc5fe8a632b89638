#ifndef HEADER_OperatorClient
#define HEADER_OperatorClient
/**
 * DOC: OperatorClient
 *
 * Client of the operator interface for the command line. Calls are
 * synchronous.
 */
#include <glib.h>
#include <protobuf-c/protobuf-c.h>

#include "KeyTable.h"

/**
 * struct OperatorClient_t - opaque
 */
typedef struct OperatorClient OperatorClient_t;

/**
 * OperatorClient_create() - create a client of one or more routers
 * @routers: Address_t, copied
 * @key: the operator key
 * @timeout_ms: limit of one call
 */
OperatorClient_t *OperatorClient_create(const GArray *routers, const char *key,
                                        gint64 timeout_ms);

/** OperatorClient_destroy() - free it */
void OperatorClient_destroy(OperatorClient_t *this);

/** OperatorClient_countRouters() - number of routers */
guint OperatorClient_countRouters(const OperatorClient_t *this);

/**
 * OperatorClient_call() - call a method
 * @router: index of the router, or -1 for the first that is reachable
 * @method: "SERVICE/METHOD"
 * @request: request message
 * @response: descriptor of the response message
 * @error: WT_ERROR_CONNECT, _TIMEOUT, _CUT or _BAD_ANSWER
 *
 * Return: the response, freed by protobuf_c_message_free_unpacked(), or NULL
 */
ProtobufCMessage *
OperatorClient_call(OperatorClient_t *this, gint router, const char *method,
                    const ProtobufCMessage *request,
                    const ProtobufCMessageDescriptor *response,
                    GError **error);

#endif
