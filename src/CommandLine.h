#ifndef HEADER_CommandLine
#define HEADER_CommandLine
/**
 * DOC: CommandLine
 *
 * Parses the command line and runs the chosen command.
 */
#include "ExitCode.h"
#include "PlatformForm.h"

/**
 * CommandLine_run() - parse the arguments and run the command
 * @forms: platform forms indexed by PlatformName_t; NULL for the native one
 */
ExitCode_t CommandLine_run(const PlatformForm_t *const *forms, int argc,
                           char **argv);

#endif
