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
