#ifndef HEADER_OperatorQueries
#define HEADER_OperatorQueries
/**
 * DOC: OperatorQueries
 *
 * The service OperatorQuery: everything that operators can ask. No query
 * changes anything.
 */
#include <protobuf-c/protobuf-c.h>

#include "Context.h"

/**
 * OperatorQueries_service() - the service for a router
 *
 * Return: static; the same for each call
 */
ProtobufCService *OperatorQueries_service(Context_t *context);

#endif
