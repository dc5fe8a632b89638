/**
 * DOC: main
 *
 * The program wheattiller; see CommandLine.h.
 */
#include <sodium.h>
#include <stdio.h>

#include "CommandLine.h"

int
main(int argc, char **argv)
{
    if (sodium_init() < 0) {
        fputs("wheattiller: libsodium can't start\n", stderr);
        return EXIT_INVALID;
    }
    return (int)CommandLine_run(argc, argv);
}
