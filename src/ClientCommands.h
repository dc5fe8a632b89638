#ifndef HEADER_ClientCommands
#define HEADER_ClientCommands
/**
 * DOC: ClientCommands
 *
 * Commands that query or change routers through their operator RPCs.
 */
#include <glib.h>

#include "ExitCode.h"
#include "Output.h"

/**
 * struct ClientOptions_t - parsed options of the client commands
 * @routers: Address_t of the routers' operator interfaces
 * @key: the operator key
 * @output: output format of responses
 * @timeout_ms: limit of one RPC
 * @wait: apply: wait until the changes are in force on every listed router
 * @prune: plan, apply: remove objects that the files do not declare
 * @args: positional arguments of the command, terminated by NULL
 */
typedef struct {
    GArray *routers;
    char *key;
    OutputForm_t output;
    gint64 timeout_ms;
    gboolean wait;
    gboolean prune;
    char **args;
} ClientOptions_t;

/** ClientCommands_plan() - print the changes that apply would make */
ExitCode_t ClientCommands_plan(const ClientOptions_t *options);

/** ClientCommands_apply() - put the files' declarations in force */
ExitCode_t ClientCommands_apply(const ClientOptions_t *options);

/** ClientCommands_result() - print the outcome of a command, by its hex id */
ExitCode_t ClientCommands_result(const ClientOptions_t *options);

/** ClientCommands_get() - print declarations in force, by kind and name */
ExitCode_t ClientCommands_get(const ClientOptions_t *options);

/** ClientCommands_status() - print the status of each listed router and its
 * view of the upstreams */
ExitCode_t ClientCommands_status(const ClientOptions_t *options);

/** ClientCommands_counters() - print counters with a given prefix */
ExitCode_t ClientCommands_counters(const ClientOptions_t *options);

/** ClientCommands_explain() - print the routing decisions for a request */
ExitCode_t ClientCommands_explain(const ClientOptions_t *options);

/** ClientCommands_crashes() - print requests during which upstreams crashed */
ExitCode_t ClientCommands_crashes(const ClientOptions_t *options);

/** ClientCommands_release() - lift the quarantine of a request, by digest */
ExitCode_t ClientCommands_release(const ClientOptions_t *options);

#endif
