#ifndef HEADER_ExitCode
#define HEADER_ExitCode
/**
 * DOC: ExitCode
 *
 * What the commands of the program return to the shell.
 */

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

#endif
