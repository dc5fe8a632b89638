#ifndef HEADER_OperatorClient
#define HEADER_OperatorClient
/**
 * DOC: OperatorClient
 *
 * The command line's side of the operators' interface: one call at a time,
 * waited for.
 */
#include <glib.h>
#include <protobuf-c/protobuf-c.h>

#include "KeyTable.h"

/**
 * struct OperatorClient_t - opaque
 */
typedef struct OperatorClient OperatorClient_t;

/**
 * OperatorClient_create() - a client of some routers
 * @routers: Address_t, copied
 * @key: the operators' key
 * @timeout_ms: for one call
 */
OperatorClient_t *OperatorClient_create(const GArray *routers, const char *key,
                                        gint64 timeout_ms);

/** OperatorClient_destroy() - free it */
void OperatorClient_destroy(OperatorClient_t *this);

/** OperatorClient_routers() - how many routers it has */
guint OperatorClient_routers(const OperatorClient_t *this);

/**
 * OperatorClient_call() - call a method
 * @router: which router, or -1 for the first that is reached
 * @method: "SERVICE/METHOD"
 * @request: the message
 * @response: descriptor of the answer
 * @error: WT_ERROR_CONNECT, _TIMEOUT, _CUT or _BAD_ANSWER
 *
 * Return: the answer, freed by protobuf_c_message_free_unpacked(), or NULL
 */
ProtobufCMessage *
OperatorClient_call(OperatorClient_t *this, gint router, const char *method,
                    const ProtobufCMessage *request,
                    const ProtobufCMessageDescriptor *response,
                    GError **error);

#endif
