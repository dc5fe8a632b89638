#include "testing.h"

#include "EngineMemory.h"

#define ROOM 100000

START_TEST(a_prefix_gives_way_when_so_much_came_after_it)
{
    EngineMemory_t memory = {0};
    MemoryMark_t mark = EngineMemory_mark(&memory);
    EngineMemory_takeTold(&memory, ROOM);
    ck_assert(EngineMemory_keeps(&memory, &mark, ROOM, 0));
    EngineMemory_takeTold(&memory, 1);
    ck_assert(!EngineMemory_keeps(&memory, &mark, ROOM, 0));
    mark = EngineMemory_mark(&memory);
    ck_assert(EngineMemory_keeps(&memory, &mark, ROOM, 0));
}
END_TEST

START_TEST(what_runs_takes_room_as_well)
{
    EngineMemory_t memory = {0};
    for (guint i = 0; i < 100; i++) {
        EngineMemory_take(&memory, 5000, 0);
    }
    MemoryMark_t mark = EngineMemory_mark(&memory);
    ck_assert(EngineMemory_keeps(&memory, &mark, ROOM, 19));
    ck_assert(!EngineMemory_keeps(&memory, &mark, ROOM, 21));
}
END_TEST

START_TEST(all_is_gone_with_the_weights)
{
    EngineMemory_t memory = {0};
    MemoryMark_t mark = EngineMemory_mark(&memory);
    EngineMemory_clear(&memory);
    ck_assert(!EngineMemory_keeps(&memory, &mark, ROOM, 0));
}
END_TEST

START_TEST(peers_are_told_of_what_this_router_sent_alone)
{
    EngineMemory_t memory = {0};
    EngineMemory_take(&memory, 900, 700);
    EngineMemory_takeTold(&memory, 5000);
    ck_assert_uint_eq(memory.untold, 700);
    ck_assert_uint_eq(memory.taken, 5700);
}
END_TEST

TESTING_MAIN("EngineMemory", a_prefix_gives_way_when_so_much_came_after_it,
             what_runs_takes_room_as_well, all_is_gone_with_the_weights,
             peers_are_told_of_what_this_router_sent_alone)
