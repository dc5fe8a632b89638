#ifndef HEADER_testing
#define HEADER_testing
/**
 * DOC: testing
 *
 * Common includes and main function of the module tests.
 */
#include <check.h>
#include <glib.h>
#include <sodium.h>
#include <stdlib.h>
#include <unistd.h>

#define OWN_HOST_SIZE sizeof("127.255.255.255")

/** OwnHost_get() - loopback address that no other process on this machine has,
 * so that a port that is free again leads to no other run */
static inline const char *
OwnHost_get(void)
{
    static char host[OWN_HOST_SIZE];
    guint pid = (guint)getpid(); /* of 22 bits at most */
    g_snprintf(host, sizeof(host), "127.%u.%u.%u", 64 + (pid >> 16),
               pid >> 8 & 255, pid & 255);
    return host;
}

/** TESTING_MAIN() - define a main function that runs the given tests */
#define TESTING_MAIN(name, ...)                                               \
    int main(void)                                                            \
    {                                                                         \
        const TTest *cases[] = {__VA_ARGS__};                                 \
        if (sodium_init() < 0) {                                              \
            return EXIT_FAILURE;                                              \
        }                                                                     \
        Suite *suite = suite_create(name);                                    \
        TCase *group = tcase_create(name);                                    \
        for (gsize i = 0; i < G_N_ELEMENTS(cases); i++) {                     \
            tcase_add_test(group, cases[i]);                                  \
        }                                                                     \
        suite_add_tcase(suite, group);                                        \
        SRunner *runner = srunner_create(suite);                              \
        srunner_set_fork_status(runner, CK_NOFORK);                           \
        srunner_run_all(runner, CK_NORMAL);                                   \
        int failed = srunner_ntests_failed(runner);                           \
        srunner_free(runner);                                                 \
        return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;                     \
    }

#endif
