#include "testing.h"

#include "MemoryReport.h"

#define NOW_MS 5000
#define SECOND_MS 1000

START_TEST(refusals_are_told_once_a_second)
{
    gsize answers = 1;
    gsize streams = 2;
    MemoryParts_t parts = {.memory = MemoryUse_create(1),
                           .answers = &answers,
                           .streams = &streams};
    MemoryReport_t *report = MemoryReport_create(&parts);
    ck_assert(MemoryReport_noteRefusal(report, NOW_MS));
    ck_assert(!MemoryReport_noteRefusal(report, NOW_MS));
    ck_assert(!MemoryReport_noteRefusal(report, NOW_MS + SECOND_MS - 1));
    parts.bodies = BodyBudget_create(0);
    ck_assert(MemoryReport_noteRefusal(report, NOW_MS + SECOND_MS));
    MemoryReport_destroy(report);
    BodyBudget_unref((BodyBudget_t *)parts.bodies);
    MemoryUse_destroy(parts.memory);
}
END_TEST

TESTING_MAIN("MemoryReport", refusals_are_told_once_a_second)
