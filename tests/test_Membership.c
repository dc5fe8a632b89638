#include "testing.h"

#include "FakeRouters.h"

#define ROUTERS 6
#define MESH 16
/* Ten times as long as a link takes until all that is urgent was told. */
#define SETTLE_MS 1000

static FakeRouters_t routers;

static guint
places_known(const FakeRouter_t *router)
{
    const GPtrArray *members = Membership_members(router->membership);
    guint known = 0;
    for (guint i = 0; i < members->len; i++) {
        const Member_t *member = g_ptr_array_index(members, i);
        known += member->address.port != 0 && member->hall->len > 0 ? 1 : 0;
    }
    return known;
}

/* Symptom: after a start of all routers some never learned where a peer that
 * they are linked with stands and listens.
 * Sequence: all routers start at once; each spreads its own fact in full a few
 * times, over the first links that it has; links that come up later bring
 * heartbeats only.
 * Cause: a new link was told of its router by chance alone.
 * Settled by: facts in full that six routers sent each other, of which some
 * links had none, while all had heartbeats. */
START_TEST(routers_that_are_linked_know_where_the_other_one_is)
{
    FakeRouters_init(&routers, ROUTERS, MESH);
    FakeRouters_run(&routers, SETTLE_MS);
    for (guint i = 0; i < ROUTERS; i++) {
        ck_assert_uint_eq(places_known(&routers.list[i]), ROUTERS - 1);
    }
    FakeRouters_clear(&routers);
}
END_TEST

TESTING_MAIN("Membership", routers_that_are_linked_know_where_the_other_one_is)
