/* The base counts as served without a pause only where that is shown. */
#include "BaseVersion.h"

#include "testing.h"

static const guint64 recorded[] = {5, 6};

START_TEST(a_base_without_a_recorded_start_is_not_served)
{
    BaseVersion_t *this = BaseVersion_create("v1", TRUE);
    ck_assert_str_eq(BaseVersion_software(this), "v1");
    ck_assert(BaseVersion_isServed(this));
    BaseVersion_setRecorded(this, recorded, G_N_ELEMENTS(recorded));
    ck_assert(!BaseVersion_isServed(this));
    BaseVersion_noteListed(this, 7);
    ck_assert(!BaseVersion_isServed(this));
    BaseVersion_noteListed(this, 6);
    ck_assert(BaseVersion_isServed(this));
    BaseVersion_destroy(this);
}
END_TEST

START_TEST(a_base_that_ended_is_not_served_again)
{
    BaseVersion_t *this = BaseVersion_create("v1", FALSE);
    BaseVersion_setRecorded(this, recorded, G_N_ELEMENTS(recorded));
    BaseVersion_noteListed(this, 5);
    BaseVersion_noteEnded(this);
    ck_assert(!BaseVersion_isServed(this));
    BaseVersion_noteListed(this, 5);
    ck_assert(!BaseVersion_isServed(this));
    BaseVersion_destroy(this);
}
END_TEST

TESTING_MAIN("BaseVersion", a_base_without_a_recorded_start_is_not_served,
             a_base_that_ended_is_not_served_again)
