#ifndef HEADER_CommandLine
#define HEADER_CommandLine
/**
 * DOC: CommandLine
 *
 * The commands of the program, their options and exit codes.
 */
#include "ExitCode.h"
#include "PlatformForm.h"

/**
 * CommandLine_run() - parse the arguments and run the command
 * @forms: of platforms, by PlatformName_t; NULL for the native one
 */
ExitCode_t CommandLine_run(const PlatformForm_t *const *forms, int argc,
                           char **argv);

#endif
