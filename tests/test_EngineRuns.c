#include "testing.h"

#include "EngineRuns.h"

#define SENT_MS 1000
#define ASKED_MS 2500

static EngineRuns_t *runs;

/* The engine reports one run with @made events, unless its id is NULL. */
static void
report(const char *id, guint made, guint queued, gint64 asked_ms)
{
    GHashTable *events =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    if (id) {
        g_hash_table_insert(events, g_strdup(id), GUINT_TO_POINTER(made));
    }
    EngineRuns_replace(runs, events, queued, asked_ms);
}

static gboolean
is_lost(guint events)
{
    return EngineRuns_isLost(runs, "a", events, SENT_MS);
}

static void
begin(void)
{
    runs = EngineRuns_create();
}

static void
end(void)
{
    EngineRuns_destroy(runs);
}

START_TEST(nothing_is_known_without_a_report)
{
    begin();
    ck_assert(!is_lost(0));
    report(NULL, 0, 0, ASKED_MS);
    EngineRuns_clear(runs);
    ck_assert(!is_lost(0));
    end();
}
END_TEST

START_TEST(request_that_the_engine_does_not_know_is_lost)
{
    begin();
    report("b", 3, 0, ASKED_MS);
    ck_assert(is_lost(0));
    ck_assert(is_lost(7));
    end();
}
END_TEST

START_TEST(request_may_wait_where_any_does)
{
    begin();
    report("b", 3, 1, ASKED_MS);
    ck_assert(!is_lost(0));
    end();
}
END_TEST

START_TEST(request_that_runs_is_lost_with_events_on_the_way)
{
    begin();
    report("a", 3, 5, ASKED_MS);
    ck_assert(!is_lost(3));
    ck_assert(!is_lost(4));
    ck_assert(is_lost(2));
    end();
}
END_TEST

START_TEST(report_may_be_older_than_its_answer)
{
    begin();
    report(NULL, 0, 0, SENT_MS + 499);
    ck_assert(!is_lost(0));
    report(NULL, 0, 0, SENT_MS + 500);
    ck_assert(is_lost(0));
    end();
}
END_TEST

START_TEST(reports_are_asked_for_now_and_then)
{
    begin();
    ck_assert(EngineRuns_mayAsk(runs, 100));
    ck_assert(!EngineRuns_mayAsk(runs, 1099));
    ck_assert(EngineRuns_mayAsk(runs, 1100));
    end();
}
END_TEST

TESTING_MAIN("EngineRuns", nothing_is_known_without_a_report,
             request_that_the_engine_does_not_know_is_lost,
             request_may_wait_where_any_does,
             request_that_runs_is_lost_with_events_on_the_way,
             report_may_be_older_than_its_answer,
             reports_are_asked_for_now_and_then)
