/* Requests that stopped kept their bytes until the router was over its memory.
 */
#include "Arrivals.h"

#include "testing.h"

#define MIB ((gsize)1 << 20)
#define MEMORY (100 * MIB)
#define CHECK_MS 100

static struct event_base *base;
static MemoryUse_t *memory;
static BodyBudget_t *budget;
static Arrivals_t *arrivals;
static Arrival_t requests[3];
static gboolean refuses[3]; /* can't be refused */
static GString *seen;       /* the letters of those that gave way */

static gboolean
is_gone(void *owner)
{
    (void)owner;
    return FALSE;
}

static gboolean
give_way(void *owner, ArrivalCause_t cause)
{
    Arrival_t *request = owner;
    gsize i = (gsize)(request - requests);
    if (refuses[i]) {
        return FALSE;
    }
    g_string_append_c(seen, (char)((cause == ARRIVAL_SHORT ? 'a' : 'A') + i));
    Arrival_remove(request);
    return TRUE;
}

static void
begin(void)
{
    base = event_base_new();
    memory = MemoryUse_create(0);
    budget = BodyBudget_create(1000);
    seen = g_string_new("");
    ArrivalsSpec_t spec = {.memory = memory,
                           .budget = budget,
                           .is_gone = is_gone,
                           .give_way = give_way};
    arrivals = Arrivals_create(base, &spec);
    for (guint i = 0; i < G_N_ELEMENTS(requests); i++) {
        requests[i] = (Arrival_t){.owner = &requests[i], .bytes = 10 * MIB};
        refuses[i] = FALSE;
    }
}

static void
end(void)
{
    for (guint i = 0; i < G_N_ELEMENTS(requests); i++) {
        Arrival_remove(&requests[i]);
    }
    Arrivals_destroy(arrivals);
    BodyBudget_unref(budget);
    MemoryUse_destroy(memory);
    g_string_free(seen, TRUE);
    event_base_free(base);
}

static void
note_all(gint64 now_ms)
{
    for (guint i = 0; i < G_N_ELEMENTS(requests); i++) {
        Arrival_note(&requests[i], arrivals, now_ms + i);
    }
}

static void
check_until(gint64 from_ms, gint64 to_ms)
{
    for (gint64 at_ms = from_ms; at_ms <= to_ms; at_ms += CHECK_MS) {
        Arrivals_check(arrivals, at_ms);
    }
}

/* @excess bytes above what is easy. */
static void
fill(gsize excess)
{
    gsize used = MemoryUse_used(memory, 1);
    MemoryUse_setMax(memory, MEMORY);
    MemoryUse_add(memory, (gssize)(MEMORY / 100 * 70 + excess - used));
}

START_TEST(nothing_gives_way_while_memory_is_easy)
{
    begin();
    MemoryUse_setMax(memory, MEMORY);
    note_all(0);
    check_until(0, 20000);
    ck_assert_str_eq(seen->str, "");
    end();
}
END_TEST

START_TEST(the_longest_stopped_give_way_until_enough_is_free)
{
    begin();
    fill(15 * MIB);
    note_all(0);
    Arrival_note(&requests[0], arrivals, 10);
    check_until(0, 900);
    ck_assert_str_eq(seen->str, "");
    Arrivals_check(arrivals, 1050);
    ck_assert_str_eq(seen->str, "bc");
    end();
}
END_TEST

START_TEST(those_that_make_progress_stay)
{
    begin();
    fill(50 * MIB);
    note_all(0);
    check_until(0, 900);
    Arrival_note(&requests[1], arrivals, 950);
    check_until(1000, 1800);
    ck_assert_str_eq(seen->str, "ac");
    end();
}
END_TEST

START_TEST(the_next_one_goes_for_one_that_can_not_be_refused)
{
    begin();
    fill(5 * MIB);
    note_all(0);
    refuses[0] = TRUE;
    check_until(0, 1100);
    ck_assert_str_eq(seen->str, "b");
    end();
}
END_TEST

/* A process that was stopped took all requests for stopped ones. */
START_TEST(time_in_which_the_process_stood_still_does_not_count)
{
    begin();
    fill(50 * MIB);
    note_all(0);
    check_until(0, 500);
    Arrivals_check(arrivals, 5000);
    ck_assert_str_eq(seen->str, "");
    note_all(5010);
    check_until(5100, 5900);
    ck_assert_str_eq(seen->str, "");
    end();
}
END_TEST

START_TEST(one_that_holds_room_gives_way_to_those_that_wait)
{
    begin();
    BodyClaim_t *holder = BodyClaim_create(budget);
    BodyClaim_t *waiter = BodyClaim_create(budget);
    ck_assert(BodyClaim_try(holder, 900, 0));
    BodyClaim_setHeld(holder, 900);
    note_all(0);
    requests[1].room = 900;
    check_until(0, 6000);
    ck_assert_str_eq(seen->str, "");
    ck_assert(!BodyClaim_try(waiter, 900, 6000));
    Arrivals_check(arrivals, 6100);
    ck_assert_str_eq(seen->str, "B");
    BodyClaim_destroy(waiter);
    BodyClaim_destroy(holder);
    end();
}
END_TEST

TESTING_MAIN("Arrivals", nothing_gives_way_while_memory_is_easy,
             the_longest_stopped_give_way_until_enough_is_free,
             those_that_make_progress_stay,
             the_next_one_goes_for_one_that_can_not_be_refused,
             time_in_which_the_process_stood_still_does_not_count,
             one_that_holds_room_gives_way_to_those_that_wait)
