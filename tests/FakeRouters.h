#ifndef HEADER_FakeRouters
#define HEADER_FakeRouters
/**
 * DOC: FakeRouters
 *
 * Fake routers that consist of their membership and their links to each other
 * and share the event loop of a test. A test attaches the tested modules to
 * the first router; the others store the messages that they receive.
 */
#include "Membership.h"

/** Port for callers that the first router tells the others; the next ones
 * follow. Nothing listens there. */
#define FAKE_CALLERS_PORT 1

/** Most routers of a test */
#define FAKE_ROUTERS_MAX 64

/**
 * struct FakeRouter_t - one fake router
 * @settings: settings of its membership
 * @membership: its membership and links
 * @received: received Wt__PeerMessage that are not about membership, in order
 * @handler: function that receives these messages instead of @received, or
 *     NULL
 * @handler_data: argument for @handler
 */
typedef struct {
    Settings_t settings;
    Membership_t *membership;
    GPtrArray *received;
    void (*handler)(void *handler_data, Member_t *from,
                    const Wt__PeerMessage *message);
    void *handler_data;
} FakeRouter_t;

/**
 * struct FakeRouters_t - all fake routers of a test
 * @base: event loop of all routers
 * @upstreams: upstreams of all routers
 * @counters: counters of all routers
 * @list: the routers
 * @count: number of routers
 */
typedef struct {
    struct event_base *base;
    UpstreamSet_t *upstreams;
    Counters_t *counters;
    FakeRouter_t list[FAKE_ROUTERS_MAX];
    guint count;
} FakeRouters_t;

/**
 * FakeRouters_init() - start routers and wait until each is linked to all
 * others and its membership has converged
 * @mesh_routers: setting of that name: largest number of routers that are all
 *     linked to each other
 */
void FakeRouters_init(FakeRouters_t *this, guint count, gint64 mesh_routers);

/**
 * FakeRouters_start() - start routers without waiting for their links
 * @seeds: number of earlier routers whose addresses each router knows
 * @budget: gossip budget in bytes per second
 */
void FakeRouters_start(FakeRouters_t *this, guint count, gint64 mesh_routers,
                       guint seeds, gint64 budget);

/** FakeRouters_join() - start @more routers besides the existing ones */
void FakeRouters_join(FakeRouters_t *this, guint more, gint64 mesh_routers,
                      guint seeds, gint64 budget);

/** FakeRouters_clear() - close all links and free the routers */
void FakeRouters_clear(FakeRouters_t *this);

/** FakeRouters_await() - run the event loop until a condition holds */
void FakeRouters_await(FakeRouters_t *this,
                       gboolean (*condition)(const FakeRouters_t *this));

/** FakeRouters_run() - run the event loop for @ms milliseconds, to check
 * that something does not happen; stalls of the process do not count
 * (ProcessClock.h) */
void FakeRouters_run(FakeRouters_t *this, gint64 ms);

/** FakeRouters_find() - the newest message of a kind that a router received,
 * or NULL */
const Wt__PeerMessage *FakeRouters_find(const FakeRouters_t *this, guint which,
                                        Wt__PeerMessage__BodyCase kind);

/** FakeRouters_count() - number of messages of a kind that a router received
 */
guint FakeRouters_count(const FakeRouters_t *this, guint which,
                        Wt__PeerMessage__BodyCase kind);

/** FakeRouters_freeAddress() - a loopback address whose port was free when it
 * was tried */
Address_t FakeRouters_freeAddress(void);

#endif
