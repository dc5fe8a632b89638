#include "testing.h"

#include "GroupPartitions.h"

#define OBJECTIVE_US 250000
#define PROMPT_US 470000

static GroupPartitions_t *groups;
static const GroupSize_t size = {.engines = 10, .slots = 16};

static void
begin(void)
{
    groups = GroupPartitions_create();
}

static void
end(void)
{
    GroupPartitions_destroy(groups);
}

static guint
reserved(const char *target, guint group, gint64 now_ms)
{
    return GroupPartitions_reserved(groups, target, group, &size, OBJECTIVE_US,
                                    now_ms);
}

/* Both kinds of requests arrive for a group that is dispatched here. */
static void
dispatch(const char *target, guint group, gint64 now_ms)
{
    GroupPartition_t *partition = GroupPartitions_get(groups, target, group);
    GroupPartition_noteArrival(partition, TRUE, now_ms);
    GroupPartition_noteArrival(partition, FALSE, now_ms);
    GroupPartition_notePrompt(partition, PROMPT_US);
}

START_TEST(unknown_groups_have_no_reserved_engines)
{
    begin();
    ck_assert_uint_eq(reserved("llm", 1, 0), 0);
    end();
}
END_TEST

START_TEST(own_measurements_are_kept_for_each_group)
{
    begin();
    dispatch("llm", 1, 1000);
    ck_assert_uint_eq(reserved("llm", 1, 1000), 1);
    ck_assert_uint_eq(reserved("llm", 2, 1000), 0);
    ck_assert_uint_eq(reserved("chat", 1, 1000), 0);
    end();
}
END_TEST

START_TEST(reported_number_is_used_for_ten_seconds)
{
    begin();
    GroupPartitions_noteReported(groups, "llm", 1, 4, 1000);
    ck_assert_uint_eq(reserved("llm", 1, 10999), 4);
    ck_assert_uint_eq(reserved("llm", 1, 11000), 0);
    ck_assert_uint_eq(reserved("llm", 2, 1000), 0);
    end();
}
END_TEST

START_TEST(reported_number_leaves_an_engine_to_the_others)
{
    begin();
    GroupPartitions_noteReported(groups, "llm", 1, 40, 1000);
    ck_assert_uint_eq(reserved("llm", 1, 1000), 9);
    const GroupSize_t one = {.engines = 1, .slots = 16};
    ck_assert_uint_eq(
        GroupPartitions_reserved(groups, "llm", 1, &one, OBJECTIVE_US, 1000),
        0);
    end();
}
END_TEST

START_TEST(dispatcher_relies_on_its_own_measurements)
{
    begin();
    dispatch("llm", 1, 1000);
    GroupPartitions_noteReported(groups, "llm", 1, 7, 1000);
    ck_assert_uint_eq(reserved("llm", 1, 3000), 1);
    ck_assert_uint_eq(reserved("llm", 1, 3001), 7);
    end();
}
END_TEST

/* A router that took over a group reserved next to nothing until it had
 * measured the demand. */
START_TEST(new_dispatcher_reserves_what_the_former_one_did)
{
    begin();
    GroupPartitions_noteReported(groups, "llm", 1, 7, 500);
    dispatch("llm", 1, 1000);
    ck_assert_uint_eq(reserved("llm", 1, 1000), 7);
    ck_assert_uint_eq(reserved("llm", 1, 1999), 7);
    ck_assert_uint_eq(reserved("llm", 1, 2000), 1);
    end();
}
END_TEST

START_TEST(groups_in_use_survive_thousands_of_others)
{
    begin();
    GroupPartitions_noteReported(groups, "llm", 0, 4, 1000);
    for (guint i = 1; i < 20000; i++) {
        GroupPartitions_noteReported(groups, "llm", i, 2, 1000);
        dispatch("llm", 0, 1000);
    }
    ck_assert_uint_gt(reserved("llm", 0, 1000), 0);
    ck_assert_uint_eq(reserved("llm", 19999, 1000), 2);
    ck_assert_uint_eq(reserved("llm", 1, 1000), 0);
    end();
}
END_TEST

TESTING_MAIN("GroupPartitions", unknown_groups_have_no_reserved_engines,
             own_measurements_are_kept_for_each_group,
             reported_number_is_used_for_ten_seconds,
             reported_number_leaves_an_engine_to_the_others,
             dispatcher_relies_on_its_own_measurements,
             new_dispatcher_reserves_what_the_former_one_did,
             groups_in_use_survive_thousands_of_others)
