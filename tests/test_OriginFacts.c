/* A router says which version began a stream only where it knows that. */
#include "OriginFacts.h"

#include "Clock.h"
#include "testing.h"

#define WINDOW_MS 30000
#define CAME_MS 1000
#define OTHER 77

static gboolean is_current;
static gboolean is_lost;
static gint64 read_ms;
static guint urgent;
static StreamOrigins_t *origins;
static SoftwareVersions_t *versions;
static VersionGate_t *gate;
static OriginFacts_t *facts;

static gboolean
is_list_current(void *owner)
{
    (void)owner;
    return is_current;
}

static gint64
list_ms(void *owner)
{
    (void)owner;
    return read_ms;
}

static gboolean
is_store_lost(void *owner)
{
    (void)owner;
    return is_lost;
}

static void
learn(void *owner, gboolean is_urgent)
{
    (void)owner;
    urgent += is_urgent ? 1 : 0;
}

static const OriginLinksClass_t class = {
    .is_list_current = is_list_current,
    .list_ms = list_ms,
    .is_store_lost = is_store_lost,
    .learn = learn,
};
static const OriginLinks_t links = {.class = &class};

static void
create(void)
{
    Clock_freeze(G_GINT64_CONSTANT(1000) * CAME_MS);
    is_current = TRUE;
    is_lost = FALSE;
    read_ms = 0;
    urgent = 0;
    origins = StreamOrigins_create(4);
    versions = SoftwareVersions_create();
    SoftwareVersions_setWindow(versions, WINDOW_MS);
    SoftwareVersions_noteBaseBefore(versions, "s", "v1");
    SoftwareVersions_noteBefore(versions, "s", "v1", 1);
    gate = VersionGate_create(versions, WINDOW_MS);
    OriginFactsSpec_t spec = {
        .links = &links,
        .origins = origins,
        .versions = versions,
        .gate = gate,
        .window_ms = WINDOW_MS,
    };
    facts = OriginFacts_create(&spec);
}

static void
learn_all(void)
{
    SoftwareVersions_learn(versions);
    SoftwareVersions_put(versions, "a", "s", "v1", 1);
    OriginFacts_finishRestore(facts);
}

static void
join(void)
{
    SoftwareVersions_put(versions, "b", "s", "v2", CAME_MS);
}

static void
read_records(gint64 at_ms, guint64 process)
{
    VersionUse_t use = {.service = (char *)"s",
                        .software = (char *)"v2",
                        .base = (char *)"v1",
                        .process = process};
    VersionGate_beginRead(gate, at_ms);
    VersionGate_read(gate, &use);
    VersionGate_endRead(gate);
}

static const char *
find_base(guint64 replied)
{
    guint64 own = OriginFacts_process(facts);
    g_autoptr(GArray) processes = g_array_new(FALSE, FALSE, sizeof(guint64));
    g_array_append_val(processes, own);
    g_array_append_val(processes, replied);
    return OriginFacts_findBase(facts, "s", processes, CAME_MS);
}

static void
destroy(void)
{
    OriginFacts_destroy(facts);
    VersionGate_destroy(gate);
    SoftwareVersions_destroy(versions);
    StreamOrigins_destroy(origins);
}

START_TEST(the_store_is_read_until_all_is_learned)
{
    create();
    OriginFacts_learn(facts, TRUE);
    ck_assert_uint_eq(urgent, 1);
    SoftwareVersions_learn(versions);
    ck_assert(!OriginFacts_isLearned(facts));
    OriginFacts_finishRestore(facts);
    ck_assert(OriginFacts_isLearned(facts));
    OriginFacts_learn(facts, TRUE);
    ck_assert_uint_eq(urgent, 1);
    destroy();
}
END_TEST

START_TEST(a_stream_that_is_remembered_is_found)
{
    create();
    RequestDigest_t digest = {{1}};
    RequestDigest_t other = {{2}};
    OriginAnswer_t answer = {.source = ORIGIN_FROM_NOBODY};
    StreamOrigins_put(origins, &digest, "s", "v2", CAME_MS + WINDOW_MS,
                      CAME_MS);
    ck_assert(!OriginFacts_findStream(facts, &other, &answer));
    ck_assert(OriginFacts_findStream(facts, &digest, &answer));
    ck_assert_int_eq(answer.source, ORIGIN_FROM_HERE);
    ck_assert_str_eq(answer.software, "v2");
    destroy();
}
END_TEST

START_TEST(an_old_list_names_a_single_version_to_peers_without_the_store_alone)
{
    create();
    learn_all();
    ck_assert_str_eq(OriginFacts_findOnly(facts, "s"), "v1");
    ck_assert_str_eq(OriginFacts_findOnlyForPeer(facts, "s"), "v1");
    is_current = FALSE;
    ck_assert_ptr_null(OriginFacts_findOnly(facts, "s"));
    ck_assert_ptr_null(OriginFacts_findOnlyForPeer(facts, "s"));
    is_lost = TRUE;
    ck_assert_ptr_null(OriginFacts_findOnly(facts, "s"));
    ck_assert_str_eq(OriginFacts_findOnlyForPeer(facts, "s"), "v1");
    ck_assert(!OriginFacts_hasSeveral(facts, "s"));
    join();
    ck_assert_ptr_null(OriginFacts_findOnlyForPeer(facts, "s"));
    ck_assert(OriginFacts_hasSeveral(facts, "s"));
    destroy();
}
END_TEST

START_TEST(a_list_read_before_the_caller_came_is_not_later)
{
    create();
    read_ms = CAME_MS - 1;
    ck_assert(!OriginFacts_isListLater(facts, CAME_MS));
    read_ms = CAME_MS;
    ck_assert(OriginFacts_isListLater(facts, CAME_MS));
    destroy();
}
END_TEST

START_TEST(the_base_needs_a_list_and_records_read_later_than_the_caller_came)
{
    create();
    learn_all();
    ck_assert(!OriginFacts_mayBeBase(facts, "s"));
    join();
    ck_assert(OriginFacts_mayBeBase(facts, "s"));
    read_records(CAME_MS - 1, OTHER);
    ck_assert_ptr_null(find_base(OTHER));
    read_ms = CAME_MS;
    ck_assert_ptr_null(find_base(OTHER));
    read_records(CAME_MS, OTHER);
    ck_assert_str_eq(find_base(OTHER), "v1");
    ck_assert_ptr_null(find_base(OTHER + 1));
    read_ms = CAME_MS - 1;
    ck_assert_ptr_null(find_base(OTHER));
    destroy();
}
END_TEST

START_TEST(the_base_needs_a_process_that_would_know_the_stream)
{
    create();
    learn_all();
    join();
    read_ms = CAME_MS;
    read_records(CAME_MS, OTHER);
    ck_assert_str_eq(find_base(OTHER), "v1");
    ck_assert(OriginFacts_wouldKnow(facts, "s"));
    VersionGate_noteUnstated(gate, "s", CAME_MS);
    ck_assert(!OriginFacts_wouldKnow(facts, "s"));
    ck_assert_ptr_null(find_base(OTHER));
    destroy();
}
END_TEST

TESTING_MAIN(
    "OriginFacts", the_store_is_read_until_all_is_learned,
    a_stream_that_is_remembered_is_found,
    an_old_list_names_a_single_version_to_peers_without_the_store_alone,
    a_list_read_before_the_caller_came_is_not_later,
    the_base_needs_a_list_and_records_read_later_than_the_caller_came,
    the_base_needs_a_process_that_would_know_the_stream)
