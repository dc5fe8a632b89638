/* Which version began a stream that nobody knows follows only where no process
 * that is gone can have begun it at another one. */
#include "VersionGate.h"

#include "testing.h"

#define WINDOW_MS 30000
#define HOLD_MS 1000
#define OTHER 77

static SoftwareVersions_t *versions;
static VersionGate_t *gate;

static void
create(void)
{
    versions = SoftwareVersions_create();
    SoftwareVersions_setWindow(versions, WINDOW_MS);
    SoftwareVersions_noteBefore(versions, "s", "v1", 1);
    SoftwareVersions_noteBaseBefore(versions, "s", "v1");
    SoftwareVersions_learn(versions);
    SoftwareVersions_put(versions, "a", "s", "v1", 1);
    gate = VersionGate_create(versions, WINDOW_MS);
}

static void
destroy(void)
{
    VersionGate_destroy(gate);
    SoftwareVersions_destroy(versions);
}

static void
join(gint64 now_ms)
{
    SoftwareVersions_put(versions, "b", "s", "v2", now_ms);
}

static guint
write_uses(gint64 now_ms)
{
    g_autoptr(GPtrArray) uses = VersionGate_list(gate, now_ms);
    return uses->len;
}

static void
read_use(const char *base, const char *software, guint64 process)
{
    VersionUse_t use = {.service = "s",
                        .software = (char *)software,
                        .base = (char *)base,
                        .process = process};
    VersionGate_beginRead(gate, 10);
    VersionGate_read(gate, &use);
    VersionGate_endRead(gate);
}

/* The base, if only this process and @replied run; 0 for none. */
static const char *
find_base(guint64 replied)
{
    guint64 own = VersionGate_process(gate);
    g_autoptr(GArray) processes = g_array_new(FALSE, FALSE, sizeof(guint64));
    g_array_append_val(processes, own);
    if (replied != 0) {
        g_array_append_val(processes, replied);
    }
    return VersionGate_findBase(gate, "s", processes);
}

START_TEST(nothing_is_held_or_written_while_one_version_serves)
{
    create();
    ck_assert_ptr_null(VersionGate_findHeld(gate, "s", FALSE, 2));
    ck_assert_uint_eq(write_uses(2), 0);
    destroy();
}
END_TEST

START_TEST(streams_keep_to_the_base_until_the_record_is_acknowledged)
{
    create();
    join(2);
    ck_assert_str_eq(VersionGate_findHeld(gate, "s", FALSE, 3), "v1");
    ck_assert_uint_eq(write_uses(3), 2);
    ck_assert_str_eq(VersionGate_findHeld(gate, "s", FALSE, 4), "v1");
    VersionGate_noteWritten(gate, 5);
    ck_assert_ptr_null(VersionGate_findHeld(gate, "s", FALSE, 5));
    destroy();
}
END_TEST

/* An acknowledgement of what was written before the version joined. */
START_TEST(a_record_without_the_statement_opens_nothing)
{
    create();
    ck_assert_uint_eq(write_uses(1), 0);
    join(2);
    ck_assert_str_eq(VersionGate_findHeld(gate, "s", FALSE, 2), "v1");
    VersionGate_noteWritten(gate, 3);
    ck_assert_str_eq(VersionGate_findHeld(gate, "s", FALSE, 3), "v1");
    destroy();
}
END_TEST

/* A version that was used unstated passed for the base after a restart. */
START_TEST(a_store_that_takes_nothing_holds_streams_as_long)
{
    create();
    join(2);
    ck_assert_ptr_nonnull(VersionGate_findHeld(gate, "s", FALSE, 2));
    gint64 late_ms = 2 + WINDOW_MS / 2;
    ck_assert_ptr_nonnull(VersionGate_findHeld(gate, "s", FALSE, late_ms));
    ck_assert(VersionGate_isFresh(gate, "s", late_ms));
    VersionGate_noteUnstated(gate, "s", late_ms);
    ck_assert(!VersionGate_isFresh(gate, "s", late_ms));
    destroy();
}
END_TEST

/* The list may show a version only after an upstream of it was met. */
START_TEST(streams_keep_to_the_base_beside_an_unknown_version)
{
    create();
    ck_assert_str_eq(VersionGate_findHeld(gate, "s", TRUE, 2), "v1");
    ck_assert_uint_eq(write_uses(2), 0);
    VersionGate_noteWritten(gate, 3);
    ck_assert_str_eq(VersionGate_findHeld(gate, "s", TRUE, 3), "v1");
    destroy();
}
END_TEST

/* A version that joined again was used while the record lost its statement. */
START_TEST(a_statement_ends_when_its_removal_is_written)
{
    create();
    join(2);
    write_uses(2);
    VersionGate_noteWritten(gate, 3);
    ck_assert_ptr_null(VersionGate_findHeld(gate, "s", FALSE, 3));
    SoftwareVersions_remove(versions, "b", 4);
    gint64 later_ms = 5 + WINDOW_MS;
    ck_assert_uint_eq(write_uses(later_ms), 0);
    join(later_ms);
    ck_assert_str_eq(VersionGate_findHeld(gate, "s", FALSE, later_ms), "v1");
    destroy();
}
END_TEST

/* The version that was left alone became the base of the next one. */
START_TEST(a_version_that_joins_another_base_is_held_again)
{
    create();
    join(2);
    write_uses(2);
    VersionGate_noteWritten(gate, 3);
    SoftwareVersions_remove(versions, "a", 4);
    gint64 later_ms = 5 + WINDOW_MS;
    SoftwareVersions_put(versions, "c", "s", "v3", later_ms);
    ck_assert_str_eq(VersionGate_findHeld(gate, "s", FALSE, later_ms), "v2");
    destroy();
}
END_TEST

START_TEST(the_base_follows_if_all_that_used_others_reply)
{
    create();
    join(2);
    VersionGate_beginRead(gate, 10);
    VersionGate_endRead(gate);
    ck_assert_str_eq(find_base(0), "v1");
    read_use("v1", "v2", OTHER);
    ck_assert_ptr_null(find_base(0));
    ck_assert_str_eq(find_base(OTHER), "v1");
    read_use("", "v2", OTHER);
    ck_assert_str_eq(find_base(OTHER), "v1");
    ck_assert_int_eq(VersionGate_readMs(gate), 10);
    destroy();
}
END_TEST

/* Streams that began at another version while the base had no upstream were
 * taken for ones of the base once it had one again. */
START_TEST(a_base_that_had_no_upstream_meanwhile_leaves_it_unknown)
{
    create();
    SoftwareVersions_noteStart(versions, "a", 5);
    join(2);
    ck_assert_str_eq(find_base(0), "v1");
    ck_assert(SoftwareVersions_isBaseListed(versions, "s"));
    SoftwareVersions_remove(versions, "a", 3);
    ck_assert(!SoftwareVersions_isBaseListed(versions, "s"));
    ck_assert_ptr_null(find_base(0));
    SoftwareVersions_put(versions, "a", "s", "v1", 4);
    SoftwareVersions_noteStart(versions, "a", 5);
    ck_assert(SoftwareVersions_isBaseListed(versions, "s"));
    ck_assert_ptr_null(find_base(0));
    destroy();
}
END_TEST

/* The same after a restart, where the record names the upstreams that served
 * while there was one version. */
START_TEST(a_base_without_a_recorded_upstream_leaves_it_unknown)
{
    guint64 recorded[] = {5, 6};
    create();
    SoftwareVersions_noteBaseStarts(versions, "s", recorded, 2);
    SoftwareVersions_noteStart(versions, "a", 7);
    join(2);
    ck_assert_ptr_null(find_base(0));
    SoftwareVersions_put(versions, "c", "s", "v1", 3);
    SoftwareVersions_noteStart(versions, "c", 6);
    ck_assert_str_eq(find_base(0), "v1");
    destroy();
}
END_TEST

START_TEST(a_base_whose_upstreams_are_replaced_one_by_one_is_known)
{
    create();
    SoftwareVersions_noteStart(versions, "a", 5);
    join(2);
    SoftwareVersions_noteStart(versions, "a", 6);
    SoftwareVersions_put(versions, "c", "s", "v1", 3);
    SoftwareVersions_noteStart(versions, "c", 7);
    SoftwareVersions_noteStart(versions, "a", 0);
    ck_assert_str_eq(find_base(0), "v1");
    SoftwareVersions_noteStart(versions, "c", 0);
    ck_assert_ptr_null(find_base(0));
    destroy();
}
END_TEST

START_TEST(another_base_or_an_unreadable_record_leaves_it_unknown)
{
    create();
    join(2);
    read_use("v0", "v2", OTHER);
    ck_assert_ptr_null(find_base(OTHER));
    VersionGate_beginRead(gate, 11);
    VersionGate_noteUnreadable(gate);
    VersionGate_endRead(gate);
    ck_assert_ptr_null(find_base(OTHER));
    destroy();
}
END_TEST

START_TEST(what_builds_without_statements_began_counts)
{
    create();
    join(2);
    read_use("", "v1", 0);
    ck_assert_str_eq(find_base(0), "v1");
    read_use("", "v2", 0);
    ck_assert_ptr_null(find_base(0));
    destroy();
}
END_TEST

START_TEST(a_gap_or_an_older_store_leaves_no_base)
{
    create();
    join(2);
    SoftwareVersions_noteGap(versions, 3);
    ck_assert_ptr_null(find_base(0));
    destroy();
    create();
    join(2);
    SoftwareVersions_clearBases(versions);
    ck_assert_ptr_null(find_base(0));
    destroy();
}
END_TEST

START_TEST(what_a_former_process_stated_is_stated_for_the_window)
{
    VersionUse_t use = {
        .service = "s", .software = "v2", .base = "v1", .process = OTHER};
    create();
    VersionGate_carry(gate, &use, 5);
    ck_assert(VersionGate_hasCarried(gate));
    ck_assert_uint_eq(write_uses(4 + WINDOW_MS), 1);
    ck_assert_uint_eq(write_uses(5 + WINDOW_MS), 0);
    destroy();
}
END_TEST

START_TEST(streams_whose_time_is_over_are_told_from_others)
{
    create();
    ck_assert(VersionGate_isFresh(gate, "s", 1));
    join(2);
    write_uses(2);
    VersionGate_noteWritten(gate, 3);
    ck_assert(VersionGate_isFresh(gate, "s", 3 + WINDOW_MS));
    ck_assert(!VersionGate_isFresh(gate, "s", 4 + WINDOW_MS));
    destroy();
}
END_TEST

/* What one router stated made the streams of others unknown that had not
 * recorded them yet. */
START_TEST(a_use_is_stated_once_others_had_time_to_record)
{
    create();
    VersionGate_setHold(gate, HOLD_MS);
    SoftwareVersions_noteStart(versions, "a", 5);
    join(2);
    ck_assert_str_eq(VersionGate_findHeld(gate, "s", FALSE, 2), "v1");
    gint64 due_ms = 2 + HOLD_MS;
    ck_assert_uint_eq(write_uses(due_ms - 1), 0);
    VersionGate_noteWritten(gate, due_ms - 1);
    ck_assert_str_eq(VersionGate_findHeld(gate, "s", FALSE, due_ms), "v1");
    ck_assert_uint_eq(write_uses(due_ms), 2);
    VersionGate_noteWritten(gate, due_ms);
    ck_assert_ptr_null(VersionGate_findHeld(gate, "s", FALSE, due_ms));
    destroy();
}
END_TEST

START_TEST(a_use_is_stated_at_once_if_the_base_is_not_listed)
{
    create();
    VersionGate_setHold(gate, HOLD_MS);
    SoftwareVersions_noteStart(versions, "a", 5);
    join(2);
    ck_assert_uint_eq(write_uses(2), 0);
    SoftwareVersions_remove(versions, "a", 3);
    ck_assert_uint_eq(write_uses(3), 2);
    destroy();
}
END_TEST

START_TEST(a_use_is_stated_at_once_if_others_stated_theirs)
{
    create();
    VersionGate_setHold(gate, HOLD_MS);
    SoftwareVersions_noteStart(versions, "a", 5);
    join(2);
    read_use("v1", "v1", OTHER);
    ck_assert_uint_eq(write_uses(2), 0);
    read_use("v0", "v2", OTHER);
    ck_assert_uint_eq(write_uses(2), 0);
    read_use("v1", "v2", OTHER);
    ck_assert_uint_eq(write_uses(2), 2);
    destroy();
}
END_TEST

/* The process that stated no base hid the others, and nothing was stated. */
START_TEST(a_statement_without_a_base_hides_no_other)
{
    create();
    VersionGate_setHold(gate, HOLD_MS);
    SoftwareVersions_noteStart(versions, "a", 5);
    join(2);
    read_use("v1", "v2", OTHER);
    read_use("", "v2", OTHER + 1);
    ck_assert_uint_eq(write_uses(2), 2);
    destroy();
}
END_TEST

START_TEST(a_statement_of_another_base_hides_no_other)
{
    create();
    VersionGate_setHold(gate, HOLD_MS);
    SoftwareVersions_noteStart(versions, "a", 5);
    join(2);
    read_use("v1", "v2", OTHER);
    read_use("v0", "v2", OTHER + 1);
    ck_assert_uint_eq(write_uses(2), 2);
    destroy();
}
END_TEST

/* What had begun after an upgrade made the next join stated at once. */
START_TEST(a_stream_that_begins_while_one_version_serves_is_no_use)
{
    create();
    VersionGate_setHold(gate, HOLD_MS);
    SoftwareVersions_noteStart(versions, "a", 5);
    VersionGate_noteBegun(gate, "s", "v2", 2);
    VersionGate_noteBegun(gate, "s", "", 2);
    join(2);
    ck_assert_uint_eq(write_uses(2), 0);
    destroy();
}
END_TEST

/* Its record listed the stream without a statement. */
START_TEST(a_stream_that_goes_on_at_another_version_is_a_use)
{
    create();
    VersionGate_setHold(gate, HOLD_MS);
    SoftwareVersions_noteStart(versions, "a", 5);
    join(2);
    VersionGate_noteBegun(gate, "s", "v1", 2);
    ck_assert_uint_eq(write_uses(2), 0);
    VersionGate_noteBegun(gate, "s", "v2", 2);
    ck_assert_uint_eq(write_uses(2), 2);
    destroy();
}
END_TEST

/* What was stated counts while the versions serve, not for a later join. */
START_TEST(a_statement_of_others_ends_with_the_join)
{
    create();
    VersionGate_setHold(gate, HOLD_MS);
    SoftwareVersions_noteStart(versions, "a", 5);
    join(2);
    read_use("v1", "v2", OTHER);
    SoftwareVersions_remove(versions, "b", 3);
    gint64 later_ms = 4 + WINDOW_MS;
    ck_assert_ptr_null(VersionGate_findHeld(gate, "s", FALSE, later_ms));
    join(later_ms);
    ck_assert_uint_eq(write_uses(later_ms), 0);
    ck_assert_uint_eq(write_uses(later_ms + HOLD_MS), 2);
    destroy();
}
END_TEST

/* The base became known only later, and the record lost its statement. */
START_TEST(a_use_before_the_base_was_known_stays_stated)
{
    create();
    VersionGate_setHold(gate, HOLD_MS);
    SoftwareVersions_clearBases(versions);
    SoftwareVersions_noteStart(versions, "a", 5);
    SoftwareVersions_putTarget(versions, "b", "s", "v2", 2);
    SoftwareVersions_clearBases(versions);
    ck_assert_ptr_null(VersionGate_findHeld(gate, "s", FALSE, 2));
    SoftwareVersions_noteBaseBefore(versions, "s", "v1");
    ck_assert_uint_eq(write_uses(3), 2);
    destroy();
}
END_TEST

TESTING_MAIN("VersionGate",
             nothing_is_held_or_written_while_one_version_serves,
             streams_keep_to_the_base_until_the_record_is_acknowledged,
             a_record_without_the_statement_opens_nothing,
             a_store_that_takes_nothing_holds_streams_as_long,
             streams_keep_to_the_base_beside_an_unknown_version,
             a_statement_ends_when_its_removal_is_written,
             a_version_that_joins_another_base_is_held_again,
             the_base_follows_if_all_that_used_others_reply,
             a_base_that_had_no_upstream_meanwhile_leaves_it_unknown,
             a_base_without_a_recorded_upstream_leaves_it_unknown,
             a_base_whose_upstreams_are_replaced_one_by_one_is_known,
             another_base_or_an_unreadable_record_leaves_it_unknown,
             what_builds_without_statements_began_counts,
             a_gap_or_an_older_store_leaves_no_base,
             what_a_former_process_stated_is_stated_for_the_window,
             streams_whose_time_is_over_are_told_from_others,
             a_use_is_stated_once_others_had_time_to_record,
             a_use_is_stated_at_once_if_the_base_is_not_listed,
             a_use_is_stated_at_once_if_others_stated_theirs,
             a_statement_without_a_base_hides_no_other,
             a_statement_of_another_base_hides_no_other,
             a_stream_that_begins_while_one_version_serves_is_no_use,
             a_stream_that_goes_on_at_another_version_is_a_use,
             a_statement_of_others_ends_with_the_join,
             a_use_before_the_base_was_known_stays_stated)
