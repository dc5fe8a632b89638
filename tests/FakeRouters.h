#ifndef HEADER_FakeRouters
#define HEADER_FakeRouters
/**
 * DOC: FakeRouters
 *
 * Routers of which only the links to each other exist, all on one loop of a
 * test. The first one is that whose parts are tested; the others keep what
 * they are told.
 */
#include "Membership.h"

/** Most routers of a test */
#define FAKE_ROUTERS_MAX 64

/**
 * struct FakeRouter_t - one of them
 * @settings: that it was made with
 * @membership: its links
 * @told: Wt__PeerMessage that are not about membership, in their order
 * @take: gets them instead, or NULL
 * @taker: for @take
 */
typedef struct {
    Settings_t settings;
    Membership_t *membership;
    GPtrArray *told;
    void (*take)(void *taker, Member_t *from, const Wt__PeerMessage *message);
    void *taker;
} FakeRouter_t;

/**
 * struct FakeRouters_t - all of them
 * @base: their loop
 * @upstreams: of all of them
 * @counters: of all of them
 * @list: the routers
 * @count: how many
 */
typedef struct {
    struct event_base *base;
    UpstreamSet_t *upstreams;
    Counters_t *counters;
    FakeRouter_t list[FAKE_ROUTERS_MAX];
    guint count;
} FakeRouters_t;

/**
 * FakeRouters_init() - start them and wait until all are linked with all
 * and take others for known
 * @mesh_routers: up to so many take themselves for linked with all
 */
void FakeRouters_init(FakeRouters_t *this, guint count, gint64 mesh_routers);

/**
 * FakeRouters_start() - start them, and wait for nothing
 * @seeds: each knows so many of those before it
 * @budget: of gossip, in bytes a second
 */
void FakeRouters_start(FakeRouters_t *this, guint count, gint64 mesh_routers,
                       guint seeds, gint64 budget);

/** FakeRouters_join() - start so many more, like those before */
void FakeRouters_join(FakeRouters_t *this, guint more, gint64 mesh_routers,
                      guint seeds, gint64 budget);

/** FakeRouters_clear() - end their links and free what they hold */
void FakeRouters_clear(FakeRouters_t *this);

/** FakeRouters_await() - let the loop run until a condition holds */
void FakeRouters_await(FakeRouters_t *this,
                       gboolean (*holds)(const FakeRouters_t *this));

/** FakeRouters_run() - let the loop run for so long, for what must not come */
void FakeRouters_run(FakeRouters_t *this, gint64 ms);

/** FakeRouters_find() - the newest message of a kind that one was told, or
 * NULL */
const Wt__PeerMessage *FakeRouters_find(const FakeRouters_t *this, guint which,
                                        Wt__PeerMessage__BodyCase kind);

/** FakeRouters_count() - how many messages of a kind one was told */
guint FakeRouters_count(const FakeRouters_t *this, guint which,
                        Wt__PeerMessage__BodyCase kind);

/** FakeRouters_freeAddress() - an address on loopback whose port was free a
 * moment ago */
Address_t FakeRouters_freeAddress(void);

#endif
