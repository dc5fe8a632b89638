#include "testing.h"

#include "EngineMemory.h"

#define CAPACITY_TOKENS 100000

START_TEST(a_prefix_is_evicted_when_newer_tokens_exceed_the_capacity)
{
    EngineMemory_t memory = {0};
    MemoryMark_t mark = EngineMemory_mark(&memory);
    EngineMemory_notePeerTokens(&memory, CAPACITY_TOKENS);
    ck_assert(EngineMemory_retains(&memory, &mark, CAPACITY_TOKENS, 0));
    EngineMemory_notePeerTokens(&memory, 1);
    ck_assert(!EngineMemory_retains(&memory, &mark, CAPACITY_TOKENS, 0));
    mark = EngineMemory_mark(&memory);
    ck_assert(EngineMemory_retains(&memory, &mark, CAPACITY_TOKENS, 0));
}
END_TEST

START_TEST(running_requests_use_capacity)
{
    EngineMemory_t memory = {0};
    for (guint i = 0; i < 100; i++) {
        EngineMemory_noteSent(&memory, 5000, 0);
    }
    MemoryMark_t mark = EngineMemory_mark(&memory);
    ck_assert(EngineMemory_retains(&memory, &mark, CAPACITY_TOKENS, 19));
    ck_assert(!EngineMemory_retains(&memory, &mark, CAPACITY_TOKENS, 21));
}
END_TEST

START_TEST(a_clear_drops_all_prefixes)
{
    EngineMemory_t memory = {0};
    MemoryMark_t mark = EngineMemory_mark(&memory);
    EngineMemory_clear(&memory);
    ck_assert(!EngineMemory_retains(&memory, &mark, CAPACITY_TOKENS, 0));
}
END_TEST

START_TEST(only_tokens_of_this_router_are_unsent)
{
    EngineMemory_t memory = {0};
    EngineMemory_noteSent(&memory, 900, 700);
    EngineMemory_notePeerTokens(&memory, 5000);
    ck_assert_uint_eq(memory.unsent_tokens, 700);
    ck_assert_uint_eq(memory.inserted_tokens, 5700);
}
END_TEST

TESTING_MAIN("EngineMemory",
             a_prefix_is_evicted_when_newer_tokens_exceed_the_capacity,
             running_requests_use_capacity, a_clear_drops_all_prefixes,
             only_tokens_of_this_router_are_unsent)
