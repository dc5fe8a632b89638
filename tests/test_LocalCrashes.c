#include "testing.h"

#include "LocalCrashes.h"

#define CRASH 7
#define MORE_THAN_MAX 300

START_TEST(answer_to_a_later_request_retracts_the_crash)
{
    LocalCrashes_t *crashes = LocalCrashes_create();
    LocalCrashes_add(crashes, CRASH, 100);
    LocalCrashes_add(crashes, CRASH, 900);
    ck_assert(!LocalCrashes_retract(crashes, CRASH, 100));
    ck_assert(!LocalCrashes_retract(crashes, CRASH + 1, 101));
    ck_assert(LocalCrashes_retract(crashes, CRASH, 101));
    ck_assert(!LocalCrashes_retract(crashes, CRASH, 1000));
    LocalCrashes_destroy(crashes);
}
END_TEST

START_TEST(oldest_crashes_are_dropped)
{
    LocalCrashes_t *crashes = LocalCrashes_create();
    for (guint64 crash = 1; crash <= MORE_THAN_MAX; crash++) {
        LocalCrashes_add(crashes, crash, 0);
    }
    ck_assert(!LocalCrashes_retract(crashes, 1, 1));
    ck_assert(LocalCrashes_retract(crashes, MORE_THAN_MAX, 1));
    LocalCrashes_destroy(crashes);
}
END_TEST

TESTING_MAIN("LocalCrashes", answer_to_a_later_request_retracts_the_crash,
             oldest_crashes_are_dropped)
