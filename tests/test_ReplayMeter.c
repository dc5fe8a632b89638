/**
 * DOC: test_ReplayMeter
 *
 * How far the busiest engine of a replay is above the others.
 */
#include "testing.h"

#include "ReplayMeter.h"

#define ENGINES 4
#define SECONDS 4
/* Tokens that an engine reads in a second on either side. */
#define OTHERS_TOKENS 1000
#define RESERVED_TOKENS 100

typedef struct {
    ReplaySpec_t spec;
    ReplayResult_t result;
    ReplayMeter_t *meter;
    guint64 read[ENGINES];
} Fixture_t;

static void
set_up(Fixture_t *this)
{
    *this = (Fixture_t){.spec.fleet.engines = ENGINES};
    this->meter = ReplayMeter_create(&this->spec, &this->result);
}

static void
note_second(Fixture_t *this, guint engine, gboolean is_reserved, guint64 times)
{
    guint64 tokens = is_reserved ? RESERVED_TOKENS : OTHERS_TOKENS;
    this->read[engine] += times * tokens;
    ReplayMeter_noteEngine(this->meter, engine, is_reserved,
                           this->read[engine]);
}

static double
finish(Fixture_t *this, guint silent)
{
    g_autoptr(GArray) requests =
        g_array_new(FALSE, FALSE, sizeof(ReplayRequest_t));
    for (guint i = 0; i < ENGINES; i++) {
        ReplayMeter_noteRead(this->meter, i, this->read[i], i == silent);
    }
    ReplayMeter_finish(this->meter, requests);
    ReplayMeter_destroy(this->meter);
    return this->result.busiest;
}

/* It read long prompts for some time, and counted as busier than the engines
 * that were always reserved. */
START_TEST(an_engine_that_changes_sides_is_not_the_busiest)
{
    Fixture_t fixture;
    set_up(&fixture);
    for (guint second = 0; second < SECONDS; second++) {
        note_second(&fixture, 0, TRUE, 1);
        note_second(&fixture, 1, second > 0, 1);
        note_second(&fixture, 2, FALSE, 1);
        note_second(&fixture, 3, FALSE, 1);
    }
    ck_assert_double_eq_tol(finish(&fixture, ENGINES), 1, 1e-9);
}
END_TEST

START_TEST(an_engine_that_reads_twice_as_much_as_its_side_is_found)
{
    Fixture_t fixture;
    set_up(&fixture);
    for (guint second = 0; second < SECONDS; second++) {
        note_second(&fixture, 0, TRUE, 4);
        note_second(&fixture, 1, TRUE, 1);
        note_second(&fixture, 2, TRUE, 1);
        note_second(&fixture, 3, FALSE, 1);
    }
    ck_assert_double_eq_tol(finish(&fixture, ENGINES), 2, 1e-9);
}
END_TEST

START_TEST(engines_that_fell_silent_do_not_lower_the_mean)
{
    Fixture_t fixture;
    set_up(&fixture);
    for (guint second = 0; second < SECONDS; second++) {
        for (guint i = 0; i < ENGINES; i++) {
            note_second(&fixture, i, FALSE, i == 3 && second > 0 ? 0 : 1);
        }
    }
    ck_assert_double_eq_tol(finish(&fixture, 3), 1, 1e-9);
}
END_TEST

TESTING_MAIN("ReplayMeter", an_engine_that_changes_sides_is_not_the_busiest,
             an_engine_that_reads_twice_as_much_as_its_side_is_found,
             engines_that_fell_silent_do_not_lower_the_mean)
