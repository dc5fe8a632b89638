#include "testing.h"

#include <string.h>

#include "Clock.h"
#include "FakeRouters.h"
#include "FakeSource.h"
#include "FleetRecord.h"

#define MESH 16
#define ROUTERS 3
#define KEY "routers"
#define SHRINK_MS 300
/* Longer than membership takes to be complete. */
#define COMPLETE_MS 1500

static FakeRouters_t routers;
static FakeSource_t source;
static FleetSize_t *size;
static FleetRecord_t *record;

/* Creates the record of the router that ranks first or of the last one. */
static void
begin(gboolean first)
{
    FakeRouters_init(&routers, ROUTERS, MESH);
    guint self = 0;
    guint rank = first ? 0 : ROUTERS - 1;
    while (Membership_localRank(routers.list[self].membership, "fleet-size",
                                NULL) != rank) {
        self++;
    }
    FakeSource_init(&source, routers.base);
    size = FleetSize_create(Clock_nowMs());
    FleetRecordSpec_t spec = {.source = &source.super,
                              .topic = "t",
                              .membership = routers.list[self].membership,
                              .size = size,
                              .shrink_ms = SHRINK_MS};
    record = FleetRecord_create(routers.base, &spec);
}

static void
end(void)
{
    FleetRecord_destroy(record);
    FleetSize_destroy(size);
    g_clear_pointer(&source.put_value, g_bytes_unref);
    FakeRouters_clear(&routers);
}

static void
answer_read(const char *value)
{
    KeyedPage_t page = FakePage_make(1, FALSE);
    if (value) {
        FakePage_add(&page, KEY, value, 0);
    }
    FakeSource_answer(&source, &page);
}

static guint
estimate(void)
{
    FleetSizeView_t alone = {.known = 1, .seeds = 1};
    return FleetSize_estimate(size, &alone, Clock_nowMs());
}

static void
assert_written(const char *value)
{
    FakeSource_answerPut(&source, 0);
    ck_assert_str_eq(source.put_key, KEY);
    ck_assert_mem_eq(g_bytes_get_data(source.put_value, NULL), value,
                     strlen(value));
}

START_TEST(first_router_writes_the_number)
{
    begin(TRUE);
    answer_read(NULL);
    assert_written("3");
    end();
}
END_TEST

START_TEST(number_that_is_stored_is_not_written_again)
{
    begin(TRUE);
    answer_read("3");
    FakeRouters_run(&routers, COMPLETE_MS);
    ck_assert_str_eq(source.put_key, "");
    end();
}
END_TEST

START_TEST(smaller_number_is_written_late)
{
    begin(TRUE);
    answer_read("5");
    gint64 read_ms = Clock_nowMs();
    assert_written("3");
    ck_assert_int_ge(Clock_nowMs() - read_ms, SHRINK_MS);
    end();
}
END_TEST

START_TEST(other_routers_read_only_what_they_need)
{
    begin(FALSE);
    FakeRouters_run(&routers, COMPLETE_MS);
    ck_assert_ptr_null(source.done);
    estimate();
    answer_read("7");
    ck_assert_uint_eq(estimate(), 7);
    FakeRouters_run(&routers, COMPLETE_MS);
    ck_assert_str_eq(source.put_key, "");
    end();
}
END_TEST

START_TEST(unreadable_number_counts_as_none)
{
    begin(TRUE);
    answer_read("many");
    assert_written("3");
    end();
}
END_TEST

TESTING_MAIN("FleetRecord", first_router_writes_the_number,
             number_that_is_stored_is_not_written_again,
             smaller_number_is_written_late,
             other_routers_read_only_what_they_need,
             unreadable_number_counts_as_none)
