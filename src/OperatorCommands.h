#ifndef HEADER_OperatorCommands
#define HEADER_OperatorCommands
/**
 * DOC: OperatorCommands
 *
 * The service OperatorCommand: everything by which operators change
 * something.
 */
#include <protobuf-c/protobuf-c.h>

#include "Context.h"
#include "operator.pb-c.h"

/**
 * OperatorCommands_service() - the service for a router
 *
 * Return: static; the same for each call
 */
ProtobufCService *OperatorCommands_service(Context_t *context);

/**
 * OperatorCommands_answer() - tell the outcome of a command
 * @changes: of the command; may be empty where they are not known
 */
void OperatorCommands_answer(const Context_t *context, CommandEnd_t end,
                             guint64 revision, Wt__Change **changes,
                             gsize change_count,
                             Wt__ApplyResponse_Closure closure,
                             void *closure_data);

#endif
