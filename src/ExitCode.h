#ifndef HEADER_ExitCode
#define HEADER_ExitCode
/**
 * DOC: ExitCode
 *
 * Exit codes of the command line program.
 */

/**
 * enum ExitCode_t - exit codes, the same for all commands
 * @EXIT_OK: success
 * @EXIT_INVALID: a file or a declaration is invalid, or nothing was found
 * @EXIT_USAGE: the command line is invalid
 * @EXIT_UNREACHABLE: no router or log was reached; nothing was changed
 * @EXIT_CONFLICT: a change that was applied earlier conflicts
 * @EXIT_UNKNOWN: the outcome is unknown; query it with "result"
 */
typedef enum {
    EXIT_OK = 0,
    EXIT_INVALID = 1,
    EXIT_USAGE = 2,
    EXIT_UNREACHABLE = 3,
    EXIT_CONFLICT = 4,
    EXIT_UNKNOWN = 5,
} ExitCode_t;

#endif
