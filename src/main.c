/**
 * DOC: main
 *
 * Entry point of the program wheattiller; see CommandLine.h.
 */
#include <sodium.h>

#include "CommandLine.h"
#include "Fleet.h"

/* Indexed by the value of the setting "form" in section [platform]. */
static const PlatformForm_t *const platform_forms[] = {
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
    return (int)CommandLine_run(platform_forms, argc, argv);
}
