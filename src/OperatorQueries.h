#ifndef HEADER_OperatorQueries
#define HEADER_OperatorQueries
/**
 * DOC: OperatorQueries
 *
 * The RPC service OperatorQuery: read-only calls.
 */
#include <protobuf-c/protobuf-c.h>

#include "Context.h"

/**
 * OperatorQueries_service() - get the service of a router
 *
 * Return: a static object, the same on each call
 */
ProtobufCService *OperatorQueries_service(Context_t *context);

#endif
