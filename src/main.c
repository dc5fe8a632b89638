/**
 * DOC: main
 *
 * The program wheattiller; see CommandLine.h.
 */
#include <sodium.h>

#include "CommandLine.h"
#include "Fleet.h"

/* By the words of the setting [platform] form. */
static const PlatformForm_t *const forms[] = {
    [PLATFORM_NATIVE] = NULL,
    [PLATFORM_FLEET] = &Fleet_form,
};

int
main(int argc, char **argv)
{
    if (sodium_init() < 0) {
        fputs("wheattiller: libsodium can't start\n", stderr);
        return EXIT_INVALID;
    }
    return (int)CommandLine_run(forms, argc, argv);
}
