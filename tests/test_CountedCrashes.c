#include "testing.h"

#include "CountedCrashes.h"

#define CRASH 7
#define MANY 300

START_TEST(an_answer_to_what_was_sent_later_takes_it_back)
{
    CountedCrashes_t *counted = CountedCrashes_create();
    CountedCrashes_add(counted, CRASH, 100);
    CountedCrashes_add(counted, CRASH, 900);
    ck_assert(!CountedCrashes_remove(counted, CRASH, 100));
    ck_assert(!CountedCrashes_remove(counted, CRASH + 1, 101));
    ck_assert(CountedCrashes_remove(counted, CRASH, 101));
    ck_assert(!CountedCrashes_remove(counted, CRASH, 1000));
    CountedCrashes_destroy(counted);
}
END_TEST

START_TEST(the_oldest_are_forgotten)
{
    CountedCrashes_t *counted = CountedCrashes_create();
    for (guint64 crash = 1; crash <= MANY; crash++) {
        CountedCrashes_add(counted, crash, 0);
    }
    ck_assert(!CountedCrashes_remove(counted, 1, 1));
    ck_assert(CountedCrashes_remove(counted, MANY, 1));
    CountedCrashes_destroy(counted);
}
END_TEST

TESTING_MAIN("CountedCrashes", an_answer_to_what_was_sent_later_takes_it_back,
             the_oldest_are_forgotten)
