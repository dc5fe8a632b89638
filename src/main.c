/**
 * DOC: main
 *
 * Entry point of the program wheattiller; see CommandLine.h.
 */
#include <fcntl.h>
#include <sodium.h>
#include <unistd.h>

#include "CommandLine.h"
#include "Fleet.h"

/* Indexed by the value of the setting "form" in section [platform]. */
static const PlatformForm_t *const platform_forms[] = {
    [PLATFORM_NATIVE] = NULL,
    [PLATFORM_FLEET] = &Fleet_form,
};

/* A descriptor that is opened later must not get the number of a standard
 * stream that was closed: what is logged would go there. */
static void
open_missing_streams(void)
{
    for (int fd = STDIN_FILENO; fd <= STDERR_FILENO; fd++) {
        if (fcntl(fd, F_GETFD) < 0) {
            (void)open("/dev/null", O_RDWR);
        }
    }
}

int
main(int argc, char **argv)
{
    open_missing_streams();
    if (sodium_init() < 0) {
        fputs("wheattiller: libsodium can't start\n", stderr);
        return EXIT_INVALID;
    }
    return (int)CommandLine_run(platform_forms, argc, argv);
}
