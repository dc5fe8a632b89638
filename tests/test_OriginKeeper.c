#include "OriginKeeper.h"

#include "Clock.h"
#include "StreamOrigins.h"
#include "testing.h"

#define ROUTERS 8
#define WINDOW_MS 30000
#define STEP_MS 5
#define SETTLE_MS 400
#define ANSWER_MS 1100
#define READ_MS 10
#define STREAMS 200

typedef struct {
    guint from;
    guint to;
    GBytes *bytes;
} Packet_t;

typedef struct {
    guint number; /* its identity is this plus 1 */
    guint64 start;
    SoftwareVersions_t *versions;
    VersionGate_t *gate; /* NULL for none */
    OriginKeeper_t *keeper;
    gint64 tick_ms;      /* 0 for none */
    gboolean is_down;    /* receives and sends nothing */
    gboolean is_old;     /* a build without the messages */
    gboolean is_unknown; /* to the others, until it joins */
    gboolean has_old_list;
    gboolean is_cut_from_store;
    gboolean is_store_lost;
    gboolean leaves_reads; /* to other routers */
    gint64 list_ms;
    gint64 read_ms; /* when the open read was sent; 0 for none */
    guint reads;
    guint learn_calls;
    guint record_calls;
} Router_t;

typedef struct {
    gboolean is_answered;
    OriginSource_t source;
    char *software;
    guint replies;
} Outcome_t;

static Router_t routers[ROUTERS];
static GQueue packets;
static Counters_t *counters;
static GRand *draws;
static double loss;
static gboolean is_second_stored; /* v2 is on the store's list */
static guint sent;
static gint64 now_ms;

static void
set_time(gint64 ms)
{
    now_ms = ms;
    Clock_freeze(ms * 1000);
}

static RequestDigest_t
digest(guint number)
{
    RequestDigest_t out = {{0}};
    guint32 hash = number * 2654435761U;
    memcpy(out.bytes, &hash, sizeof(hash));
    memcpy(out.bytes + sizeof(hash), &number, sizeof(number));
    return out;
}

static guint
find_owners(void *owner, const RequestDigest_t *key, guint64 *out, guint max)
{
    const Router_t *this = owner;
    guint first = RequestDigest_hash(key) % ROUTERS;
    guint found = 0;
    for (guint i = 0; i < ROUTERS && found < max; i++) {
        guint number = (first + i) % ROUTERS;
        if (!routers[number].is_unknown) {
            out[found++] = number == this->number ? ORIGIN_SELF : number + 1;
        }
    }
    return found;
}

static void
send_message(void *owner, guint64 router, const Wt__PeerMessage *message)
{
    const Router_t *this = owner;
    gsize size = wt__peer_message__get_packed_size(message);
    guint8 *bytes = g_malloc(size);
    Packet_t *packet = g_new0(Packet_t, 1);
    wt__peer_message__pack(message, bytes);
    packet->from = this->number;
    packet->to = (guint)router - 1;
    packet->bytes = g_bytes_new_take(bytes, size);
    g_queue_push_tail(&packets, packet);
    sent++;
}

static void
schedule_tick(void *owner, gint64 in_ms)
{
    Router_t *this = owner;
    gint64 at_ms = now_ms + MAX(in_ms, 1);
    this->tick_ms = this->tick_ms > 0 ? MIN(this->tick_ms, at_ms) : at_ms;
}

static gboolean
is_list_current(void *owner)
{
    return !((const Router_t *)owner)->has_old_list;
}

static gint64
list_ms(void *owner)
{
    return ((const Router_t *)owner)->list_ms;
}

static void
check_list(void *owner)
{
    Router_t *this = owner;
    if (this->read_ms == 0 && !this->leaves_reads) {
        this->read_ms = now_ms;
        this->reads++;
    }
}

static gboolean
is_store_lost(void *owner)
{
    return ((const Router_t *)owner)->is_store_lost;
}

static void
learn(void *owner, gboolean is_urgent)
{
    ((Router_t *)owner)->learn_calls += is_urgent ? 1 : 0;
}

static void
record(void *owner)
{
    ((Router_t *)owner)->record_calls++;
}

static guint
find_all(void *owner, AskedRouter_t *out, guint max)
{
    const Router_t *this = owner;
    guint found = 0;
    for (guint i = 0; i < ROUTERS && found < max; i++) {
        if (i != this->number && !routers[i].is_unknown) {
            out[found++] = (AskedRouter_t){i + 1, routers[i].start};
        }
    }
    return found;
}

/* All routers that have a gate state that they use the second version. */
static void
read_records(void *owner)
{
    const Router_t *this = owner;
    VersionGate_beginRead(this->gate, now_ms);
    for (guint i = 0; i < ROUTERS; i++) {
        if (routers[i].gate) {
            VersionUse_t use = {
                .service = (char *)"s",
                .software = (char *)"v2",
                .base = (char *)"v1",
                .process = VersionGate_process(routers[i].gate),
            };
            VersionGate_read(this->gate, &use);
        }
    }
    VersionGate_endRead(this->gate);
}

static gboolean
is_settled(void *owner)
{
    (void)owner;
    return TRUE;
}

static const OriginLinksClass_t links = {
    .find_owners = find_owners,
    .send = send_message,
    .schedule_tick = schedule_tick,
    .is_list_current = is_list_current,
    .list_ms = list_ms,
    .check_list = check_list,
    .is_store_lost = is_store_lost,
    .learn = learn,
    .record = record,
    .is_settled = is_settled,
    .find_all = find_all,
    .read_records = read_records,
};

static void
list_engine(Router_t *this, const char *name, const char *software)
{
    SoftwareVersions_put(this->versions, name, "s", software, now_ms);
}

static void
learn_single_version(const Router_t *this)
{
    SoftwareVersions_noteBefore(this->versions, "s", "v1", now_ms);
    SoftwareVersions_learn(this->versions);
}

static void
create_keeper(Router_t *this)
{
    OriginKeeperSpec_t spec = {
        .links = &links,
        .owner = this,
        .versions = this->versions,
        .gate = this->gate,
        .counters = counters,
        .window_ms = WINDOW_MS,
    };
    this->keeper = OriginKeeper_create(&spec);
    OriginKeeper_finishRestore(this->keeper);
    list_engine(this, "e1", "v1");
}

static void
start_router(guint number, gboolean is_learned)
{
    Router_t *this = &routers[number];
    *this = (Router_t){.number = number, .start = now_ms};
    this->versions = SoftwareVersions_create();
    if (is_learned) {
        learn_single_version(this);
    }
    create_keeper(this);
}

static void
stop_router(guint number)
{
    OriginKeeper_destroy(routers[number].keeper);
    SoftwareVersions_destroy(routers[number].versions);
    if (routers[number].gate) {
        VersionGate_destroy(routers[number].gate);
    }
}

/* Starts again a router that knows the version that served alone before the
 * second one joined. */
static void
restart_with_base(guint number)
{
    Router_t *this = &routers[number];
    stop_router(number);
    *this = (Router_t){.number = number, .start = now_ms};
    this->versions = SoftwareVersions_create();
    SoftwareVersions_setWindow(this->versions, WINDOW_MS);
    SoftwareVersions_noteBaseBefore(this->versions, "s", "v1");
    learn_single_version(this);
    this->gate = VersionGate_create(this->versions, WINDOW_MS);
    create_keeper(this);
    list_engine(this, "e2", "v2");
}

static void
restart_router(guint number)
{
    stop_router(number);
    start_router(number, FALSE);
    list_engine(&routers[number], "e2", "v2");
}

static void
begin_fleet(guint32 seed)
{
    g_queue_init(&packets);
    counters = Counters_create();
    draws = g_rand_new_with_seed(seed);
    loss = 0;
    sent = 0;
    is_second_stored = FALSE;
    set_time(1000);
    for (guint i = 0; i < ROUTERS; i++) {
        start_router(i, TRUE);
    }
}

static void
free_packet(gpointer data)
{
    Packet_t *packet = data;
    g_bytes_unref(packet->bytes);
    g_free(packet);
}

static void
end_fleet(void)
{
    for (guint i = 0; i < ROUTERS; i++) {
        stop_router(i);
    }
    g_queue_clear_full(&packets, free_packet);
    Counters_destroy(counters);
    g_rand_free(draws);
}

static void
list_second_version(void)
{
    is_second_stored = TRUE;
    for (guint i = 0; i < ROUTERS; i++) {
        list_engine(&routers[i], "e2", "v2");
    }
}

static void
deliver(const Packet_t *packet)
{
    gsize size = 0;
    const guint8 *bytes = g_bytes_get_data(packet->bytes, &size);
    const Router_t *to = &routers[packet->to];
    if (to->is_down || to->is_old || routers[packet->from].is_down ||
        g_rand_double(draws) < loss) {
        return;
    }
    Wt__PeerMessage *message = wt__peer_message__unpack(NULL, size, bytes);
    OriginKeeper_receive(to->keeper, message, packet->from + 1);
    wt__peer_message__free_unpacked(message, NULL);
}

static void
deliver_all(void)
{
    for (guint left = packets.length; left > 0; left--) {
        Packet_t *packet = g_queue_pop_head(&packets);
        deliver(packet);
        free_packet(packet);
    }
}

/* What a read shows had been written when it was sent. */
static void
receive_list(Router_t *this, gint64 at_ms)
{
    this->list_ms = MAX(this->list_ms, at_ms);
    if (is_second_stored) {
        list_engine(this, "e2", "v2");
    }
}

static void
answer_read(Router_t *this)
{
    if (this->read_ms == 0 || now_ms < this->read_ms + READ_MS ||
        this->is_cut_from_store) {
        return;
    }
    receive_list(this, this->read_ms);
    this->read_ms = 0;
}

static void
pass_time(gint64 ms)
{
    for (gint64 end_ms = now_ms + ms; now_ms < end_ms;) {
        set_time(now_ms + STEP_MS);
        deliver_all();
        for (guint i = 0; i < ROUTERS; i++) {
            answer_read(&routers[i]);
            if (routers[i].tick_ms > 0 && now_ms >= routers[i].tick_ms) {
                routers[i].tick_ms = 0;
                OriginKeeper_tick(routers[i].keeper);
            }
        }
    }
}

static void
begin_stream(guint router, guint number, const char *software)
{
    RequestDigest_t key = digest(number);
    OriginKeeper_begin(routers[router].keeper, &key, "s", software, FALSE);
}

static void
end_stream(guint router, guint number, gboolean is_whole)
{
    RequestDigest_t key = digest(number);
    OriginKeeper_end(routers[router].keeper, &key, is_whole);
}

static void
on_asked(void *owner, const OriginAnswer_t *answer)
{
    Outcome_t *outcome = owner;
    ck_assert(!outcome->is_answered);
    outcome->is_answered = TRUE;
    outcome->source = answer->source;
    outcome->software = g_strdup(answer->software);
    outcome->replies = answer->replies;
}

/* Returns the version that the router finds, or NULL. */
static char *
ask(guint router, guint number, OriginSource_t *source)
{
    RequestDigest_t key = digest(number);
    Outcome_t outcome = {FALSE};
    OriginAnswer_t answer;
    OriginQuery_t *query = OriginKeeper_ask(
        routers[router].keeper, &key, "s", FALSE, &answer, on_asked, &outcome);
    if (query) {
        pass_time(ANSWER_MS);
    }
    else {
        on_asked(&outcome, &answer);
    }
    ck_assert(outcome.is_answered);
    if (source) {
        *source = outcome.source;
    }
    return outcome.software;
}

static void
check_asked(guint router, guint number, const char *expected,
            OriginSource_t expected_source)
{
    OriginSource_t source = ORIGIN_FROM_NOBODY;
    g_autofree char *software = ask(router, number, &source);
    ck_assert_str_eq(software ? software : "none",
                     expected ? expected : "none");
    ck_assert_str_eq(OriginSource_name(source),
                     OriginSource_name(expected_source));
}

static guint
owner_of(guint number, guint rank)
{
    RequestDigest_t key = digest(number);
    return (RequestDigest_hash(&key) + rank) % ROUTERS;
}

/* A router that is no owner of the stream. */
static guint
stranger_of(guint number, guint rank)
{
    return owner_of(number, ORIGIN_OWNERS + rank);
}

/* Another router is yet to read of the second version. */
static void
list_second_version_but_at(guint other)
{
    is_second_stored = TRUE;
    for (guint i = 0; i < ROUTERS; i++) {
        if (i != other) {
            list_engine(&routers[i], "e2", "v2");
        }
    }
}

START_TEST(a_stream_of_two_versions_is_known_everywhere)
{
    begin_fleet(1);
    list_second_version();
    for (guint i = 0; i < STREAMS; i++) {
        begin_stream(i % ROUTERS, i, i % 2 ? "v1" : "v2");
    }
    pass_time(SETTLE_MS);
    for (guint i = 0; i < STREAMS; i++) {
        g_autofree char *software = ask((i + 3) % ROUTERS, i, NULL);
        ck_assert_str_eq(software, i % 2 ? "v1" : "v2");
    }
    end_fleet();
}
END_TEST

START_TEST(nothing_is_sent_while_there_is_one_version)
{
    begin_fleet(1);
    for (guint i = 0; i < STREAMS; i++) {
        begin_stream(i % ROUTERS, i, "v1");
        check_asked((i + 1) % ROUTERS, i, "v1", ORIGIN_FROM_LIST);
        end_stream(i % ROUTERS, i, i % 2 == 0);
    }
    pass_time(2 * WINDOW_MS);
    ck_assert_uint_eq(sent, 0);
    end_fleet();
}
END_TEST

START_TEST(a_stream_begun_before_the_second_version_is_told_then)
{
    begin_fleet(1);
    guint running = 1;
    guint broken = 2;
    begin_stream(stranger_of(running, 0), running, "v1");
    begin_stream(stranger_of(broken, 0), broken, "v1");
    end_stream(stranger_of(broken, 0), broken, FALSE);
    list_second_version();
    pass_time(SETTLE_MS);
    check_asked(stranger_of(running, 1), running, "v1", ORIGIN_FROM_OWNER);
    check_asked(stranger_of(broken, 1), broken, "v1", ORIGIN_FROM_OWNER);
    end_fleet();
}
END_TEST

START_TEST(a_whole_stream_of_a_single_version_is_not_kept)
{
    begin_fleet(1);
    begin_stream(0, 1, "v1");
    end_stream(0, 1, TRUE);
    ck_assert_uint_eq(OriginKeeper_count(routers[0].keeper), 0);
    begin_stream(0, 2, "v1");
    end_stream(0, 2, FALSE);
    ck_assert_uint_eq(OriginKeeper_count(routers[0].keeper), 1);
    end_fleet();
}
END_TEST

/* A caller that used the id of a stream again got the rest from the version of
 * the earlier one. */
START_TEST(a_stream_that_began_at_two_versions_is_unknown)
{
    begin_fleet(1);
    list_second_version();
    guint number = 3;
    guint first = stranger_of(number, 0);
    begin_stream(first, number, "v1");
    end_stream(first, number, FALSE);
    pass_time(SETTLE_MS);
    begin_stream(stranger_of(number, 1), number, "v2");
    pass_time(SETTLE_MS);
    g_autofree char *software = ask(stranger_of(number, 2), number, NULL);
    ck_assert_str_eq(software ? software : "", "");
    end_fleet();
}
END_TEST

START_TEST(a_version_that_nobody_knows_is_not_guessed)
{
    begin_fleet(1);
    list_second_version();
    check_asked(0, 99, NULL, ORIGIN_FROM_NOBODY);
    end_fleet();
}
END_TEST

START_TEST(a_stream_outlives_two_of_its_owners_and_its_router)
{
    begin_fleet(1);
    list_second_version();
    guint number = 5;
    begin_stream(stranger_of(number, 0), number, "v2");
    pass_time(SETTLE_MS);
    restart_router(stranger_of(number, 0));
    restart_router(owner_of(number, 0));
    routers[owner_of(number, 1)].is_down = TRUE;
    check_asked(stranger_of(number, 1), number, "v2", ORIGIN_FROM_OWNER);
    end_fleet();
}
END_TEST

START_TEST(owners_that_restarted_learn_of_streams_that_still_run)
{
    begin_fleet(1);
    list_second_version();
    guint number = 5;
    begin_stream(stranger_of(number, 0), number, "v2");
    pass_time(SETTLE_MS);
    for (guint rank = 0; rank < ORIGIN_OWNERS; rank++) {
        restart_router(owner_of(number, rank));
    }
    check_asked(stranger_of(number, 1), number, NULL, ORIGIN_FROM_NOBODY);
    pass_time(4000);
    check_asked(stranger_of(number, 1), number, "v2", ORIGIN_FROM_OWNER);
    end_fleet();
}
END_TEST

START_TEST(all_routers_restart_and_older_streams_are_unknown)
{
    begin_fleet(1);
    list_second_version();
    begin_stream(0, 1, "v2");
    pass_time(SETTLE_MS);
    for (guint i = 0; i < ROUTERS; i++) {
        restart_router(i);
    }
    check_asked(3, 1, NULL, ORIGIN_FROM_NOBODY);
    begin_stream(0, 2, "v2");
    pass_time(SETTLE_MS);
    g_autofree char *software = ask(3, 2, NULL);
    ck_assert_str_eq(software, "v2");
    end_fleet();
}
END_TEST

START_TEST(a_router_that_just_started_learns_of_the_single_version)
{
    begin_fleet(1);
    guint number = 7;
    guint asker = stranger_of(number, 0);
    stop_router(asker);
    start_router(asker, FALSE);
    check_asked(asker, number, "v1", ORIGIN_FROM_LIST);
    ck_assert_uint_gt(sent, 0);
    end_fleet();
}
END_TEST

/* After a restart of all routers, streams of services that had one version
 * were refused. */
START_TEST(all_routers_restart_and_learn_of_the_single_version)
{
    begin_fleet(1);
    for (guint i = 0; i < ROUTERS; i++) {
        stop_router(i);
        start_router(i, FALSE);
    }
    guint number = 7;
    RequestDigest_t key = digest(number);
    Router_t *asker = &routers[stranger_of(number, 0)];
    OriginAnswer_t answer;
    Outcome_t outcome = {FALSE};
    ck_assert_ptr_nonnull(OriginKeeper_ask(asker->keeper, &key, "s", FALSE,
                                           &answer, on_asked, &outcome));
    ck_assert_uint_eq(asker->learn_calls, 1);
    pass_time(50);
    ck_assert(!outcome.is_answered);
    learn_single_version(asker);
    pass_time(50);
    ck_assert_str_eq(outcome.software, "v1");
    g_free(outcome.software);
    end_fleet();
}
END_TEST

START_TEST(a_query_finds_what_is_restored_meanwhile)
{
    begin_fleet(1);
    list_second_version();
    guint number = 7;
    guint asker = stranger_of(number, 0);
    stop_router(asker);
    start_router(asker, FALSE);
    RequestDigest_t key = digest(number);
    OriginAnswer_t answer;
    Outcome_t outcome = {FALSE};
    OriginKeeper_t *keeper = routers[asker].keeper;
    ck_assert_ptr_nonnull(OriginKeeper_ask(keeper, &key, "s", FALSE, &answer,
                                           on_asked, &outcome));
    pass_time(50);
    ck_assert(!outcome.is_answered);
    OriginKeeper_restore(keeper, &key, "s", "v2", FALSE);
    learn_single_version(&routers[asker]);
    pass_time(50);
    ck_assert_int_eq(outcome.source, ORIGIN_FROM_STORE);
    ck_assert_str_eq(outcome.software, "v2");
    g_free(outcome.software);
    end_fleet();
}
END_TEST

START_TEST(streams_are_recorded_once_there_are_two_versions)
{
    begin_fleet(1);
    begin_stream(0, 1, "v1");
    ck_assert_uint_eq(routers[0].record_calls, 0);
    list_engine(&routers[0], "e2", "v2");
    ck_assert_uint_eq(routers[0].record_calls, 1);
    begin_stream(0, 2, "v2");
    ck_assert_uint_eq(routers[0].record_calls, 2);
    end_fleet();
}
END_TEST

/* The version of a stream at an engine that the router has not heard of yet
 * was taken for the one that the router knew. */
START_TEST(a_router_with_an_old_list_asks_and_does_not_guess_alone)
{
    begin_fleet(1);
    guint number = 7;
    guint asker = stranger_of(number, 0);
    list_second_version_but_at(asker);
    routers[asker].has_old_list = TRUE;
    routers[asker].is_cut_from_store = TRUE;
    begin_stream(stranger_of(number, 1), number, "v2");
    pass_time(SETTLE_MS);
    check_asked(asker, number, "v2", ORIGIN_FROM_OWNER);
    for (guint rank = 0; rank < ORIGIN_OWNERS; rank++) {
        routers[owner_of(number, rank)].is_down = TRUE;
    }
    check_asked(asker, number, "v2", ORIGIN_FROM_OWNER);
    routers[stranger_of(number, 1)].is_down = TRUE;
    check_asked(asker, number, NULL, ORIGIN_FROM_NOBODY);
    end_fleet();
}
END_TEST

START_TEST(an_old_list_and_owners_that_answer_mean_the_single_version)
{
    begin_fleet(1);
    guint number = 7;
    guint asker = stranger_of(number, 0);
    routers[asker].has_old_list = TRUE;
    routers[asker].is_cut_from_store = TRUE;
    check_asked(asker, number, "v1", ORIGIN_FROM_LIST);
    end_fleet();
}
END_TEST

/* A router whose list was some seconds old took the only version that it knew
 * for the one that began the stream. */
START_TEST(a_version_that_joined_after_the_last_read_is_not_overlooked)
{
    begin_fleet(1);
    guint number = 7;
    guint asker = stranger_of(number, 0);
    list_second_version_but_at(asker);
    begin_stream(stranger_of(number, 1), number, "v2");
    pass_time(SETTLE_MS);
    check_asked(asker, number, "v2", ORIGIN_FROM_OWNER);
    end_fleet();
}
END_TEST

START_TEST(a_router_cut_off_from_all_with_a_current_list_does_not_guess)
{
    begin_fleet(1);
    guint number = 7;
    guint asker = stranger_of(number, 0);
    list_second_version_but_at(asker);
    routers[asker].is_cut_from_store = TRUE;
    routers[asker].is_down = TRUE;
    begin_stream(stranger_of(number, 1), number, "v2");
    pass_time(SETTLE_MS);
    check_asked(asker, number, NULL, ORIGIN_FROM_NOBODY);
    end_fleet();
}
END_TEST

/* An owner that had not heard of the newer version decided alone. */
START_TEST(an_owner_that_lags_behind_does_not_decide)
{
    begin_fleet(1);
    guint number = 7;
    guint asker = stranger_of(number, 0);
    guint first = owner_of(number, 0);
    is_second_stored = TRUE;
    for (guint i = 0; i < ROUTERS; i++) {
        routers[i].is_cut_from_store = TRUE;
        if (i != asker && i != first) {
            list_engine(&routers[i], "e2", "v2");
        }
    }
    check_asked(asker, number, NULL, ORIGIN_FROM_NOBODY);
    routers[owner_of(number, 1)].is_down = TRUE;
    routers[owner_of(number, 2)].is_down = TRUE;
    check_asked(asker, number, NULL, ORIGIN_FROM_NOBODY);
    end_fleet();
}
END_TEST

static void
lose_store(void)
{
    for (guint i = 0; i < ROUTERS; i++) {
        routers[i].is_cut_from_store = TRUE;
        routers[i].has_old_list = TRUE;
        routers[i].is_store_lost = TRUE;
    }
}

/* Streams of a service with one version were refused while nobody could read
 * the list. */
START_TEST(without_the_store_most_routers_decide)
{
    begin_fleet(1);
    guint number = 7;
    lose_store();
    for (guint down = 0; down <= 4; down++) {
        gboolean are_most = ROUTERS - down > ROUTERS / 2;
        check_asked(stranger_of(number, 0), number, are_most ? "v1" : NULL,
                    are_most ? ORIGIN_FROM_LIST : ORIGIN_FROM_NOBODY);
        routers[owner_of(number, down < 3 ? down : down + 1)].is_down = TRUE;
    }
    end_fleet();
}
END_TEST

START_TEST(without_the_store_routers_that_just_started_abstain)
{
    begin_fleet(1);
    guint number = 7;
    stop_router(owner_of(number, 0));
    start_router(owner_of(number, 0), FALSE);
    lose_store();
    check_asked(stranger_of(number, 0), number, "v1", ORIGIN_FROM_LIST);
    end_fleet();
}
END_TEST

/* A few routers that were cut off together took each other's word that there
 * was one version. */
START_TEST(routers_that_are_cut_off_together_do_not_decide)
{
    for (guint number = 0; number < STREAMS; number++) {
        begin_fleet(number);
        lose_store();
        is_second_stored = TRUE;
        guint asker = g_rand_int_range(draws, 0, ROUTERS);
        for (guint i = 0; i < ROUTERS; i++) {
            routers[i].is_down = (i + ROUTERS - asker) % ROUTERS > 2;
        }
        check_asked(asker, number, NULL, ORIGIN_FROM_NOBODY);
        end_fleet();
    }
}
END_TEST

START_TEST(a_router_that_leaves_reads_to_others_waits_for_the_list)
{
    begin_fleet(1);
    guint number = 7;
    Router_t *asker = &routers[stranger_of(number, 0)];
    RequestDigest_t key = digest(number);
    OriginAnswer_t answer;
    Outcome_t outcome = {FALSE};
    asker->leaves_reads = TRUE;
    ck_assert_ptr_nonnull(OriginKeeper_ask(asker->keeper, &key, "s", FALSE,
                                           &answer, on_asked, &outcome));
    pass_time(600);
    ck_assert(!outcome.is_answered);
    receive_list(asker, now_ms - 100);
    pass_time(20);
    ck_assert_str_eq(outcome.software, "v1");
    g_free(outcome.software);
    end_fleet();
}
END_TEST

START_TEST(callers_that_come_at_once_share_a_read)
{
    begin_fleet(1);
    Router_t *asker = &routers[0];
    Outcome_t outcomes[STREAMS] = {{FALSE}};
    for (guint i = 0; i < STREAMS; i++) {
        RequestDigest_t key = digest(i);
        OriginAnswer_t answer;
        ck_assert_ptr_nonnull(OriginKeeper_ask(
            asker->keeper, &key, "s", FALSE, &answer, on_asked, &outcomes[i]));
    }
    pass_time(2 * READ_MS);
    for (guint i = 0; i < STREAMS; i++) {
        ck_assert_str_eq(outcomes[i].software, "v1");
        g_free(outcomes[i].software);
    }
    ck_assert_uint_eq(asker->reads, 1);
    ck_assert_uint_eq(sent, 0);
    end_fleet();
}
END_TEST

/* What began a stream at an engine whose version was not known yet was taken
 * for the only version that is known. */
START_TEST(a_stream_of_an_unknown_version_is_told)
{
    begin_fleet(1);
    guint number = 7;
    begin_stream(stranger_of(number, 0), number, "");
    pass_time(SETTLE_MS);
    check_asked(owner_of(number, 0), number, "", ORIGIN_FROM_HERE);
    end_fleet();
}
END_TEST

static void
disturb(Router_t *this)
{
    this->is_down = g_rand_int_range(draws, 0, 4) == 0;
    this->is_cut_from_store = g_rand_int_range(draws, 0, 4) == 0;
    this->has_old_list = g_rand_boolean(draws);
    if (g_rand_boolean(draws)) {
        receive_list(this, now_ms);
    }
}

/* Routers learn of the second version at different times, and some are out of
 * touch with the others, the store, or both. */
START_TEST(lists_of_different_age_never_give_a_wrong_version)
{
    guint known = 0;
    guint in_touch = 0;
    for (guint32 seed = 1; seed <= 200; seed++) {
        begin_fleet(seed);
        guint number = g_rand_int(draws);
        Router_t *beginner = &routers[stranger_of(number, 0)];
        Router_t *asker = &routers[g_rand_int_range(draws, 0, ROUTERS)];
        loss = g_rand_double_range(draws, 0, 0.2);
        is_second_stored = TRUE;
        for (guint i = 0; i < ROUTERS; i++) {
            disturb(&routers[i]);
        }
        beginner->is_down = FALSE;
        receive_list(beginner, now_ms);
        begin_stream(beginner->number, number, "v2");
        pass_time(g_rand_int_range(draws, 5, 100));
        g_autofree char *software = ask(asker->number, number, NULL);
        ck_assert_msg(!software || g_str_equal(software, "v2"), "seed %u: %s",
                      seed, software);
        if (!asker->is_down && !asker->is_cut_from_store) {
            in_touch++;
            known += software ? 1 : 0;
        }
        end_fleet();
    }
    ck_assert_uint_gt(in_touch, 50);
    ck_assert_uint_ge(known, in_touch * 9 / 10);
}
END_TEST

START_TEST(a_build_that_tells_nothing_makes_streams_unknown_not_mixed)
{
    begin_fleet(1);
    list_second_version();
    guint number = 9;
    for (guint rank = 0; rank < ORIGIN_OWNERS; rank++) {
        routers[owner_of(number, rank)].is_old = TRUE;
    }
    begin_stream(stranger_of(number, 0), number, "v1");
    pass_time(SETTLE_MS);
    check_asked(stranger_of(number, 1), number, NULL, ORIGIN_FROM_NOBODY);
    check_asked(stranger_of(number, 0), number, "v1", ORIGIN_FROM_HERE);
    end_fleet();
}
END_TEST

START_TEST(a_route_with_several_services_is_told_with_one_version)
{
    begin_fleet(1);
    RequestDigest_t key = digest(4);
    OriginAnswer_t answer;
    OriginKeeper_begin(routers[stranger_of(4, 0)].keeper, &key, "s", "v1",
                       TRUE);
    pass_time(SETTLE_MS);
    Outcome_t outcome = {FALSE};
    ck_assert_ptr_nonnull(OriginKeeper_ask(routers[stranger_of(4, 1)].keeper,
                                           &key, "other", TRUE, &answer,
                                           on_asked, &outcome));
    pass_time(SETTLE_MS);
    ck_assert_str_eq(outcome.software, "v1");
    g_free(outcome.software);
    end_fleet();
}
END_TEST

/* A stream that nobody knew went on at the service that its next request was
 * given, though the other one may have begun it. */
START_TEST(an_unknown_stream_of_several_services_is_not_continued)
{
    begin_fleet(1);
    RequestDigest_t key = digest(4);
    OriginAnswer_t answer;
    Outcome_t outcome = {FALSE};
    ck_assert_ptr_nonnull(OriginKeeper_ask(routers[stranger_of(4, 1)].keeper,
                                           &key, "s", TRUE, &answer, on_asked,
                                           &outcome));
    pass_time(SETTLE_MS);
    ck_assert(outcome.is_answered);
    ck_assert_int_eq(outcome.source, ORIGIN_FROM_NOBODY);
    end_fleet();
}
END_TEST

START_TEST(a_cancelled_query_is_not_answered)
{
    begin_fleet(1);
    list_second_version();
    RequestDigest_t key = digest(stranger_of(1, 0));
    OriginAnswer_t answer;
    Outcome_t outcome = {FALSE};
    OriginQuery_t *query = OriginKeeper_ask(
        routers[0].keeper, &key, "s", FALSE, &answer, on_asked, &outcome);
    ck_assert_ptr_nonnull(query);
    OriginKeeper_cancel(routers[0].keeper, query);
    pass_time(SETTLE_MS);
    ck_assert(!outcome.is_answered);
    end_fleet();
}
END_TEST

/* A lost message may make a stream unknown; it must never make it mixed. */
START_TEST(losses_and_restarts_never_give_a_wrong_version)
{
    for (guint32 seed = 1; seed <= 20; seed++) {
        guint known = 0;
        begin_fleet(seed);
        list_second_version();
        loss = 0.1;
        for (guint i = 0; i < STREAMS; i++) {
            if (g_rand_int_range(draws, 0, 20) == 0) {
                restart_router(g_rand_int_range(draws, 0, ROUTERS));
            }
            const char *expected = g_rand_boolean(draws) ? "v1" : "v2";
            begin_stream(g_rand_int_range(draws, 0, ROUTERS), i, expected);
            pass_time(20);
            g_autofree char *software =
                ask(g_rand_int_range(draws, 0, ROUTERS), i, NULL);
            ck_assert(!software || g_str_equal(software, expected));
            known += software ? 1 : 0;
        }
        ck_assert_msg(known >= STREAMS * 9 / 10, "seed %u: %u of %u", seed,
                      known, STREAMS);
        end_fleet();
    }
}
END_TEST

static void
begin_fleet_with_base(void)
{
    begin_fleet(1);
    for (guint i = 0; i < ROUTERS; i++) {
        restart_with_base(i);
    }
    pass_time(STEP_MS);
    sent = 0;
}

static void
begin_asking(guint router, guint number, Outcome_t *outcome)
{
    RequestDigest_t key = digest(number);
    OriginAnswer_t answer;
    ck_assert_ptr_nonnull(OriginKeeper_ask(routers[router].keeper, &key, "s",
                                           FALSE, &answer, on_asked, outcome));
}

static void
check_outcome(Outcome_t *outcome, const char *expected)
{
    ck_assert(outcome->is_answered);
    ck_assert_str_eq(outcome->software ? outcome->software : "none", expected);
    g_free(outcome->software);
}

/* A router that had just read that the base had no upstream left could be lost
 * before the others read that. */
START_TEST(a_base_is_taken_only_from_a_list_later_than_the_request)
{
    begin_fleet_with_base();
    Router_t *asker = &routers[0];
    Outcome_t outcome = {FALSE};
    asker->leaves_reads = TRUE;
    begin_asking(0, 1, &outcome);
    pass_time(500);
    ck_assert(!outcome.is_answered);
    receive_list(asker, now_ms);
    pass_time(20);
    ck_assert_str_eq(OriginSource_name(outcome.source), "base");
    check_outcome(&outcome, "v1");
    end_fleet();
}
END_TEST

START_TEST(a_stream_of_the_base_is_known_at_once_if_all_are_known)
{
    begin_fleet_with_base();
    Outcome_t outcome = {FALSE};
    begin_asking(0, 1, &outcome);
    pass_time(3 * STEP_MS);
    check_outcome(&outcome, "v1");
    ck_assert_int_eq(outcome.source, ORIGIN_FROM_BASE);
    ck_assert_uint_eq(sent, 2 * (ROUTERS - 1));
    end_fleet();
}
END_TEST

/* After a restart of all routers, streams that were continued at one of them
 * before it knew of all others were refused. */
START_TEST(a_router_that_joins_during_a_query_is_asked)
{
    begin_fleet_with_base();
    Outcome_t outcome = {FALSE};
    routers[5].is_unknown = TRUE;
    begin_asking(0, 1, &outcome);
    pass_time(600);
    ck_assert(!outcome.is_answered);
    routers[5].is_unknown = FALSE;
    pass_time(30);
    check_outcome(&outcome, "v1");
    ck_assert_int_eq(outcome.source, ORIGIN_FROM_BASE);
    end_fleet();
}
END_TEST

/* What was sent to it before went to a process that was gone. */
START_TEST(a_router_that_starts_again_during_a_query_is_asked_again)
{
    begin_fleet_with_base();
    Outcome_t outcome = {FALSE};
    routers[5].is_down = TRUE;
    begin_asking(0, 1, &outcome);
    pass_time(600);
    ck_assert(!outcome.is_answered);
    routers[5].is_down = FALSE;
    routers[5].start = now_ms;
    pass_time(30);
    check_outcome(&outcome, "v1");
    end_fleet();
}
END_TEST

START_TEST(routers_that_join_are_each_asked_once)
{
    begin_fleet_with_base();
    Outcome_t outcome = {FALSE};
    for (guint i = 1; i < ROUTERS; i++) {
        routers[i].is_unknown = TRUE;
    }
    begin_asking(0, 1, &outcome);
    for (guint i = 1; i < ROUTERS; i++) {
        ck_assert(!outcome.is_answered);
        pass_time(100);
        routers[i].is_unknown = FALSE;
    }
    pass_time(30);
    check_outcome(&outcome, "v1");
    ck_assert_uint_eq(sent, 2 * (ROUTERS - 1));
    end_fleet();
}
END_TEST

START_TEST(a_router_that_joins_and_does_not_answer_holds_no_query)
{
    begin_fleet_with_base();
    Outcome_t outcome = {FALSE};
    routers[5].is_unknown = TRUE;
    routers[5].is_down = TRUE;
    begin_asking(0, 1, &outcome);
    pass_time(ORIGIN_ASK_ALL_TIMEOUT_MS - 50);
    routers[5].is_unknown = FALSE;
    pass_time(50 + 2 * STEP_MS);
    check_outcome(&outcome, "none");
    ck_assert_uint_eq(sent, 2 * (ROUTERS - 2) + 1);
    end_fleet();
}
END_TEST

/* Streams that nothing could tell any more were refused after 0.8 s. */
START_TEST(a_base_that_a_former_process_left_is_not_waited_for)
{
    begin_fleet_with_base();
    Outcome_t outcome = {FALSE};
    VersionUse_t use = {
        .service = "s", .software = "v2", .base = "v1", .process = 99};
    VersionGate_carry(routers[0].gate, &use, now_ms);
    VersionGate_read(routers[0].gate, &use);
    routers[5].is_down = TRUE;
    begin_asking(0, 1, &outcome);
    pass_time(ORIGIN_ASK_TIMEOUT_MS + 2 * STEP_MS);
    check_outcome(&outcome, "none");
    end_fleet();
}
END_TEST

/* A router that joins may have begun the stream. */
START_TEST(a_router_that_joins_and_knows_the_stream_decides)
{
    begin_fleet_with_base();
    Outcome_t outcome = {FALSE};
    guint number = 1;
    routers[5].is_unknown = TRUE;
    routers[4].is_down = TRUE;
    begin_asking(0, number, &outcome);
    pass_time(300);
    RequestDigest_t key = digest(number);
    OriginKeeper_restore(routers[5].keeper, &key, "s", "v2", TRUE);
    routers[5].is_unknown = FALSE;
    pass_time(30);
    check_outcome(&outcome, "v2");
    ck_assert_int_eq(outcome.source, ORIGIN_FROM_OWNER);
    end_fleet();
}
END_TEST

/* A router that had just started asked those that it knew for owners. */
START_TEST(an_owner_that_becomes_known_during_a_query_is_asked)
{
    begin_fleet(1);
    list_second_version();
    guint number = 5;
    Outcome_t outcome = {FALSE};
    begin_stream(stranger_of(number, 2), number, "v2");
    pass_time(SETTLE_MS);
    restart_router(owner_of(number, 0));
    routers[owner_of(number, 1)].is_down = TRUE;
    routers[owner_of(number, 2)].is_unknown = TRUE;
    begin_asking(stranger_of(number, 1), number, &outcome);
    pass_time(90);
    ck_assert(!outcome.is_answered);
    routers[owner_of(number, 2)].is_unknown = FALSE;
    pass_time(70);
    check_outcome(&outcome, "v2");
    end_fleet();
}
END_TEST

static void
receive_origin(const RequestDigest_t *key, gsize size, const char *service,
               const char *software, guint32 left_ms)
{
    Wt__StreamOrigin origin = WT__STREAM_ORIGIN__INIT;
    Wt__StreamOrigin *pointer = &origin;
    Wt__OriginNews news = WT__ORIGIN_NEWS__INIT;
    Wt__PeerMessage message = WT__PEER_MESSAGE__INIT;
    origin.digest.data = (guint8 *)key->bytes;
    origin.digest.len = size;
    origin.service = (char *)service;
    origin.software = (char *)software;
    origin.left_ms = left_ms;
    news.n_origins = 1;
    news.origins = &pointer;
    message.body_case = WT__PEER_MESSAGE__BODY_ORIGIN_NEWS;
    message.origin_news = &news;
    OriginKeeper_receive(routers[0].keeper, &message, 2);
}

START_TEST(malformed_streams_are_ignored)
{
    g_autofree char *long_name = g_strnfill(300, 'x');
    RequestDigest_t key = digest(1);
    begin_fleet(1);
    receive_origin(&key, 3, "s", "v1", 100);
    receive_origin(&key, sizeof(key.bytes), "", "v1", 100);
    receive_origin(&key, sizeof(key.bytes), long_name, "v1", 100);
    receive_origin(&key, sizeof(key.bytes), "s", long_name, 100);
    receive_origin(&key, sizeof(key.bytes), "s", "v1", 0);
    ck_assert_uint_eq(OriginKeeper_count(routers[0].keeper), 0);
    receive_origin(&key, sizeof(key.bytes), "s", "v1", G_MAXUINT32);
    ck_assert_uint_eq(OriginKeeper_count(routers[0].keeper), 1);
    set_time(now_ms + WINDOW_MS);
    RequestDigest_t other = digest(2);
    receive_origin(&other, sizeof(other.bytes), "s", "v1", 100);
    ck_assert_uint_eq(OriginKeeper_count(routers[0].keeper), 1);
    end_fleet();
}
END_TEST

START_TEST(a_flood_of_streams_does_not_grow_the_table)
{
    begin_fleet(1);
    for (guint i = 0; i < STREAM_ORIGINS_MAX + 100; i++) {
        RequestDigest_t key = digest(i);
        receive_origin(&key, sizeof(key.bytes), "s", "v1", 1000);
    }
    ck_assert_uint_eq(OriginKeeper_count(routers[0].keeper),
                      STREAM_ORIGINS_MAX);
    end_fleet();
}
END_TEST

TESTING_MAIN("OriginKeeper", a_stream_of_two_versions_is_known_everywhere,
             nothing_is_sent_while_there_is_one_version,
             a_stream_begun_before_the_second_version_is_told_then,
             a_whole_stream_of_a_single_version_is_not_kept,
             a_stream_that_began_at_two_versions_is_unknown,
             a_version_that_nobody_knows_is_not_guessed,
             a_stream_outlives_two_of_its_owners_and_its_router,
             owners_that_restarted_learn_of_streams_that_still_run,
             all_routers_restart_and_older_streams_are_unknown,
             a_router_that_just_started_learns_of_the_single_version,
             all_routers_restart_and_learn_of_the_single_version,
             a_query_finds_what_is_restored_meanwhile,
             streams_are_recorded_once_there_are_two_versions,
             a_router_with_an_old_list_asks_and_does_not_guess_alone,
             an_old_list_and_owners_that_answer_mean_the_single_version,
             a_version_that_joined_after_the_last_read_is_not_overlooked,
             a_router_cut_off_from_all_with_a_current_list_does_not_guess,
             an_owner_that_lags_behind_does_not_decide,
             without_the_store_most_routers_decide,
             without_the_store_routers_that_just_started_abstain,
             routers_that_are_cut_off_together_do_not_decide,
             a_router_that_leaves_reads_to_others_waits_for_the_list,
             a_base_is_taken_only_from_a_list_later_than_the_request,
             callers_that_come_at_once_share_a_read,
             a_stream_of_an_unknown_version_is_told,
             lists_of_different_age_never_give_a_wrong_version,
             a_build_that_tells_nothing_makes_streams_unknown_not_mixed,
             a_route_with_several_services_is_told_with_one_version,
             an_unknown_stream_of_several_services_is_not_continued,
             a_cancelled_query_is_not_answered,
             losses_and_restarts_never_give_a_wrong_version,
             a_stream_of_the_base_is_known_at_once_if_all_are_known,
             a_router_that_joins_during_a_query_is_asked,
             a_router_that_starts_again_during_a_query_is_asked_again,
             routers_that_join_are_each_asked_once,
             a_router_that_joins_and_does_not_answer_holds_no_query,
             a_base_that_a_former_process_left_is_not_waited_for,
             a_router_that_joins_and_knows_the_stream_decides,
             an_owner_that_becomes_known_during_a_query_is_asked,
             malformed_streams_are_ignored,
             a_flood_of_streams_does_not_grow_the_table)
