#ifndef HEADER_CommandLine
#define HEADER_CommandLine
/**
 * DOC: CommandLine
 *
 * The commands of the program, their options and exit codes.
 */
#include "PlatformForm.h"

/**
 * enum ExitCode_t - what a command returns to the shell
 * @EXIT_OK: done
 * @EXIT_INVALID: a file or a declaration is at fault, or nothing was found
 * @EXIT_USAGE: the command line is at fault
 * @EXIT_UNREACHABLE: no router or log was reached; nothing was changed
 * @EXIT_CONFLICT: another operator's change came first
 * @EXIT_UNKNOWN: the outcome is unknown; ask again with "result"
 */
typedef enum {
    EXIT_OK = 0,
    EXIT_INVALID = 1,
    EXIT_USAGE = 2,
    EXIT_UNREACHABLE = 3,
    EXIT_CONFLICT = 4,
    EXIT_UNKNOWN = 5,
} ExitCode_t;

/**
 * CommandLine_run() - parse the arguments and run the command
 * @forms: of platforms, by PlatformName_t; NULL for the native one
 */
ExitCode_t CommandLine_run(const PlatformForm_t *const *forms, int argc,
                           char **argv);

#endif
