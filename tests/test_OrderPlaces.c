#include "testing.h"

#include "OrderPlaces.h"

#define ENGINES 9

static OrderPlacesFacts_t
facts(guint unused, guint loading)
{
    return (OrderPlacesFacts_t){.reached = ENGINES,
                                .unused = unused,
                                .serving = ENGINES - unused - loading,
                                .loading = loading,
                                .least = 1,
                                .percent = 28};
}

/* How many begin to load, of those that serve or of those that don't. */
static guint
taken(const OrderPlacesFacts_t *known, gboolean serves, guint engines)
{
    OrderPlaces_t places = OrderPlaces_count(known);
    guint count = 0;
    while (count < engines && OrderPlaces_has(&places, serves)) {
        OrderPlaces_take(&places, serves);
        count++;
    }
    return count;
}

START_TEST(a_share_loads_at_once)
{
    OrderPlacesFacts_t none = facts(0, 0);
    OrderPlacesFacts_t one = facts(0, 1);
    OrderPlacesFacts_t two = facts(0, 2);
    ck_assert_uint_eq(taken(&none, TRUE, ENGINES), 2);
    ck_assert_uint_eq(taken(&one, TRUE, ENGINES), 1);
    ck_assert_uint_eq(taken(&two, TRUE, ENGINES), 0);
}
END_TEST

START_TEST(the_last_that_serve_are_left_while_others_get_no_requests)
{
    OrderPlacesFacts_t known = facts(6, 0);
    ck_assert_uint_eq(taken(&known, TRUE, 3), 0);
    ck_assert_uint_eq(taken(&known, FALSE, 6), 5);
}
END_TEST

START_TEST(one_of_few_engines_may_always_load)
{
    OrderPlacesFacts_t known = {
        .reached = 2, .serving = 2, .least = 1, .percent = 28};
    ck_assert_uint_eq(taken(&known, TRUE, 2), 1);
    known = (OrderPlacesFacts_t){
        .reached = 1, .serving = 1, .least = 1, .percent = 28};
    ck_assert_uint_eq(taken(&known, TRUE, 1), 1);
}
END_TEST

START_TEST(no_engine_is_no_error)
{
    OrderPlacesFacts_t known = {.least = 1, .percent = 28};
    OrderPlaces_t places = OrderPlaces_count(&known);
    ck_assert_uint_eq(places.keep, 0);
    ck_assert(!OrderPlaces_has(&places, TRUE));
}
END_TEST

TESTING_MAIN("OrderPlaces", a_share_loads_at_once,
             the_last_that_serve_are_left_while_others_get_no_requests,
             one_of_few_engines_may_always_load, no_engine_is_no_error)
