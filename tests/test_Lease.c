/* One decides at a time, and no fencing number is used by two, over returns
 * of the log from an older copy. Two routers had given orders under number 25,
 * 11.8 s apart: the first one's record was gone, and its offset was given out
 * again. Nothing but the first one's silence had kept them apart, as a router
 * that finds no lease took one at once.
 *
 * Many worlds run at once, each with a log, some routers and faults drawn from
 * a seed. */
#include "testing.h"

#include "Clock.h"
#include "FakeLogs.h"
#include "Lease.h"

#define WORLDS 24
#define ROUTERS 4
#define LEASE_MS 400
#define POLL_MS 60
#define LOOK_MS 2
#define RUN_MS 9000
/* Of lengths of the log that are remembered, one at each look. */
#define LENGTHS 512
/* A holder that loses nothing but seconds of the log goes on: who has no
 * trouble with the log is not without a holder for longer than it takes others
 * to be sure. */
#define TAKEN_IN_MS 3000

typedef struct {
    Lease_t *lease;
    LogClient_t *client;
    StoreEpoch_t *epoch;
    char name[8];
    guint64 incarnation;
} Router_t;

typedef struct {
    struct event_base *base;
    guint32 seed;
    GRand *random;
    FakeLog_t *log;
    Router_t routers[ROUTERS];
    GHashTable *users; /* number -> router that used it, plus one */
    guint64 lengths[LENGTHS];
    guint looks;
    guint64 most;    /* number used */
    gint64 back_ms;  /* when the log comes back, 0 while it is there */
    gint64 next_ms;  /* of the next fault */
    gint64 quiet_ms; /* no faults from then on */
    gint64 rest_ms;  /* until when nobody wants it, 0 for no rest */
    guint twice;     /* numbers that two used */
    guint lower;     /* uses of a lower number after a higher one */
    guint together;  /* looks with two holders */
    guint without;   /* looks without a holder */
    guint returns;
    gboolean held; /* by somebody, at the end */
} World_t;

static void
start_router(World_t *this, Router_t *router)
{
    router->incarnation++;
    router->epoch = StoreEpoch_create(NULL);
    router->client = FakeLog_connect(this->log, router->epoch);
    LeaseSpec_t spec = {
        .log = router->client,
        .epoch = router->epoch,
        .scope = "s",
        .holder = router->name,
        .incarnation = router->incarnation,
        .duration_ms = LEASE_MS,
        .poll_ms = POLL_MS,
    };
    router->lease = Lease_create(this->base, &spec);
    Lease_follow(router->lease, TRUE);
    Lease_want(router->lease, TRUE, 0);
}

static void
stop_router(Router_t *router)
{
    LogClient_destroy(router->client);
    Lease_destroy(router->lease);
    StoreEpoch_destroy(router->epoch);
}

static void
begin_world(World_t *this, struct event_base *base, guint32 seed)
{
    *this = (World_t){.base = base, .seed = seed};
    this->random = g_rand_new_with_seed(seed);
    this->log = FakeLog_create(base, seed);
    this->users =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
    this->quiet_ms = Clock_nowMs() + RUN_MS - TAKEN_IN_MS;
    FakeLog_setFaults(this->log, 10);
    for (guint i = 0; i < ROUTERS; i++) {
        g_snprintf(this->routers[i].name, sizeof(this->routers[i].name), "r%u",
                   i);
        start_router(this, &this->routers[i]);
    }
}

static void
end_world(World_t *this)
{
    for (guint i = 0; i < ROUTERS; i++) {
        stop_router(&this->routers[i]);
    }
    FakeLog_destroy(this->log);
    g_hash_table_destroy(this->users);
    g_rand_free(this->random);
}

static gint32
draw(World_t *this, gint32 least, gint32 most)
{
    return g_rand_int_range(this->random, least, most + 1);
}

/* Records of up to so many looks before are lost. */
static void
come_back(World_t *this)
{
    guint lost = (guint)draw(this, 0, MIN((gint32)this->looks, LENGTHS) - 1);
    guint64 copy = this->lengths[(this->looks - lost - 1) % LENGTHS];
    copy = MIN(copy, FakeLog_length(this->log));
    FakeLog_comeBackOlder(this->log, copy);
    FakeLog_setAway(this->log, FALSE);
    this->back_ms = 0;
    this->returns++;
    /* What it lost can not come back with the next return. */
    for (guint i = 0; i < LENGTHS; i++) {
        this->lengths[i] = MIN(this->lengths[i], copy);
    }
}

static void
set_wanted(World_t *this, gboolean wanted)
{
    for (guint i = 0; i < ROUTERS; i++) {
        Lease_want(this->routers[i].lease, wanted, 0);
    }
}

/* Nothing is to be done for so long that all records expire. */
static void
begin_rest(World_t *this, gint64 now_ms)
{
    this->rest_ms = now_ms + 2 * LEASE_MS;
    set_wanted(this, FALSE);
}

static void
end_rest(World_t *this)
{
    Router_t *router = &this->routers[draw(this, 0, ROUTERS - 1)];
    this->rest_ms = 0;
    FakeLog_expire(this->log, FakeLog_length(this->log));
    stop_router(router);
    start_router(this, router);
    set_wanted(this, TRUE);
}

static void
bring_fault(World_t *this, gint64 now_ms)
{
    Router_t *router = &this->routers[draw(this, 0, ROUTERS - 1)];
    switch (draw(this, 0, 6)) {
    case 0:
    case 1:
        FakeLog_setAway(this->log, TRUE);
        this->back_ms = now_ms + draw(this, 10, 200);
        break;
    case 2:
        come_back(this); /* faster than any call */
        break;
    case 3:
        FakeLog_setCut(router->client, draw(this, 100, 900));
        break;
    case 4:
        stop_router(router);
        start_router(this, router);
        break;
    case 5:
        begin_rest(this, now_ms);
        break;
    default:
        if (FakeLog_length(this->log) > 3) {
            FakeLog_expire(this->log, FakeLog_length(this->log) - 3);
        }
        break;
    }
}

/* Series, and pairs that overlap. */
static void
tend_faults(World_t *this, gint64 now_ms)
{
    if (this->back_ms > 0 && now_ms >= this->back_ms) {
        come_back(this);
    }
    if (this->rest_ms > 0 && now_ms >= this->rest_ms) {
        end_rest(this);
    }
    if (this->rest_ms == 0 && now_ms >= this->next_ms &&
        now_ms < this->quiet_ms) {
        bring_fault(this, now_ms);
        this->next_ms =
            now_ms +
            (draw(this, 0, 2) == 0 ? draw(this, 5, 60) : draw(this, 200, 900));
    }
}

static void
note_use(World_t *this, guint which, guint64 number)
{
    guint user = which + 1;
    gpointer known = g_hash_table_lookup(this->users, &number);
    if (known && GPOINTER_TO_UINT(known) != user) {
        this->twice++;
    }
    if (number < this->most) {
        this->lower++;
    }
    this->most = MAX(this->most, number);
    g_hash_table_replace(this->users, g_memdup2(&number, sizeof(number)),
                         GUINT_TO_POINTER(user));
}

static void
look(World_t *this)
{
    guint holders = 0;
    for (guint i = 0; i < ROUTERS; i++) {
        if (Lease_remainingMs(this->routers[i].lease) > 0) {
            note_use(this, i, Lease_number(this->routers[i].lease));
            holders++;
        }
    }
    this->held = holders > 0;
    this->together += holders > 1 ? 1 : 0;
    this->without += holders == 0 ? 1 : 0;
    this->lengths[this->looks % LENGTHS] = FakeLog_length(this->log);
    this->looks++;
    tend_faults(this, Clock_nowMs());
}

typedef struct {
    World_t *worlds;
    struct event *timer;
    gint64 until_ms;
} Run_t;

static void
on_look(evutil_socket_t fd, short what, void *data)
{
    (void)fd;
    (void)what;
    Run_t *run = data;
    for (guint i = 0; i < WORLDS; i++) {
        look(&run->worlds[i]);
    }
    if (Clock_nowMs() < run->until_ms) {
        Clock_arm(run->timer, LOOK_MS);
    }
}

static guint
count_bad(const World_t *worlds)
{
    guint bad = 0;
    guint without = 0;
    guint looks = 0;
    guint returns = 0;
    for (guint i = 0; i < WORLDS; i++) {
        const World_t *world = &worlds[i];
        if (world->twice + world->lower + world->together > 0 ||
            !world->held) {
            g_print("seed %u: %u numbers of two, %u lower, %u looks with two "
                    "holders, held at the end: %d\n",
                    world->seed, world->twice, world->lower, world->together,
                    world->held);
            bad++;
        }
        without += world->without;
        looks += world->looks;
        returns += world->returns;
    }
    g_print("%u returns, without a holder in %u of %u looks\n", returns,
            without, looks);
    return bad;
}

START_TEST(one_holds_at_a_time_and_no_number_is_used_by_two)
{
    const char *first = g_getenv("SEED");
    guint32 seed = first ? (guint32)atoi(first) : 1;
    struct event_base *base = event_base_new();
    World_t *worlds = g_new0(World_t, WORLDS);
    for (guint i = 0; i < WORLDS; i++) {
        begin_world(&worlds[i], base, seed + i);
    }
    Run_t run = {.worlds = worlds, .until_ms = Clock_nowMs() + RUN_MS};
    run.timer = Clock_timer(base, on_look, &run);
    Clock_arm(run.timer, LOOK_MS);
    while (Clock_nowMs() < run.until_ms) {
        event_base_loop(base, EVLOOP_ONCE);
    }
    guint bad = count_bad(worlds);
    for (guint i = 0; i < WORLDS; i++) {
        end_world(&worlds[i]);
    }
    event_free(run.timer);
    event_base_free(base);
    g_free(worlds);
    ck_assert_uint_eq(bad, 0);
}
END_TEST

TESTING_MAIN("Lease", one_holds_at_a_time_and_no_number_is_used_by_two)
