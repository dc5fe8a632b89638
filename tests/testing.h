#ifndef HEADER_testing
#define HEADER_testing
/**
 * DOC: testing
 *
 * What every test program of a module starts with.
 */
#include <check.h>
#include <glib.h>
#include <sodium.h>
#include <stdlib.h>

/** TESTING_MAIN() - run the cases of one test program */
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
