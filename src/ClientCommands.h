#ifndef HEADER_ClientCommands
#define HEADER_ClientCommands
/**
 * DOC: ClientCommands
 *
 * The commands that ask or change something through the routers' RPCs.
 */
#include <glib.h>

#include "ExitCode.h"
#include "Output.h"

/**
 * struct ClientOptions_t - what the command line said
 * @routers: Address_t of operators' interfaces
 * @key: the operators' key
 * @output: form of the answers
 * @timeout_ms: for one call
 * @wait: apply: until every router named has it in force
 * @prune: plan, apply: remove what the files do not declare
 * @words: further arguments, ended by NULL
 */
typedef struct {
    GArray *routers;
    char *key;
    OutputForm_t output;
    gint64 timeout_ms;
    gboolean wait;
    gboolean prune;
    char **words;
} ClientOptions_t;

/** ClientCommands_plan() - show what apply would do */
ExitCode_t ClientCommands_plan(const ClientOptions_t *options);

/** ClientCommands_apply() - make the files' declarations be in force */
ExitCode_t ClientCommands_apply(const ClientOptions_t *options);

/** ClientCommands_result() - what became of a command, by its id in hex */
ExitCode_t ClientCommands_result(const ClientOptions_t *options);

/** ClientCommands_get() - declarations in force, of a kind, of a name */
ExitCode_t ClientCommands_get(const ClientOptions_t *options);

/** ClientCommands_status() - each router named, and upstreams as it sees them
 */
ExitCode_t ClientCommands_status(const ClientOptions_t *options);

/** ClientCommands_counters() - counters with a prefix */
ExitCode_t ClientCommands_counters(const ClientOptions_t *options);

/** ClientCommands_explain() - why a request went where it did */
ExitCode_t ClientCommands_explain(const ClientOptions_t *options);

/** ClientCommands_crashes() - requests under which upstreams have ended */
ExitCode_t ClientCommands_crashes(const ClientOptions_t *options);

/** ClientCommands_release() - let one of them be sent again, by its digest */
ExitCode_t ClientCommands_release(const ClientOptions_t *options);

#endif
