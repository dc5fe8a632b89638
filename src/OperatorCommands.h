#ifndef HEADER_OperatorCommands
#define HEADER_OperatorCommands
/**
 * DOC: OperatorCommands
 *
 * The RPC service OperatorCommand: all calls that change state.
 */
#include <protobuf-c/protobuf-c.h>

#include "Context.h"
#include "operator.pb-c.h"

/**
 * OperatorCommands_service() - get the service of a router
 *
 * Return: a static object, the same on each call
 */
ProtobufCService *OperatorCommands_service(Context_t *context);

/**
 * OperatorCommands_sendOutcome() - send the outcome of a command
 * @changes: changes of the command; empty if they are not known
 */
void OperatorCommands_sendOutcome(const Context_t *context,
                                  CommandResult_t end, guint64 revision,
                                  Wt__Change **changes, gsize change_count,
                                  Wt__ApplyResponse_Closure closure,
                                  void *closure_data);

#endif
