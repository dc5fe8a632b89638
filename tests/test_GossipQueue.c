#include "testing.h"

#include "GossipQueue.h"

static GString *taken;
static guint room;

static gboolean
take(FactKind_t kind, const char *name, void *data)
{
    (void)data;
    if (room == 0) {
        return FALSE;
    }
    room--;
    g_string_append_printf(taken, "%d%s ", (int)kind, name);
    return TRUE;
}

static void
assert_fill(GossipQueue_t *queue, guint space, const char *expected)
{
    taken = g_string_new(NULL);
    room = space;
    GossipQueue_fill(queue, take, NULL);
    ck_assert_str_eq(taken->str, expected);
    g_string_free(taken, TRUE);
}

START_TEST(urgent_facts_go_first)
{
    GossipQueue_t *queue = GossipQueue_create();
    GossipQueue_add(queue, FACT_UPSTREAM_LOAD, "a", 1);
    GossipQueue_add(queue, FACT_HEARTBEAT, "b", 1);
    GossipQueue_add(queue, FACT_UPSTREAM_NEWS, "c", 1);
    assert_fill(queue, 2, "0c 1b ");
    assert_fill(queue, 9, "2a ");
    assert_fill(queue, 9, "");
    GossipQueue_destroy(queue);
}
END_TEST

START_TEST(each_is_sent_as_often_as_wanted)
{
    GossipQueue_t *queue = GossipQueue_create();
    GossipQueue_add(queue, FACT_HEARTBEAT, "a", 2);
    assert_fill(queue, 9, "1a ");
    assert_fill(queue, 9, "1a ");
    assert_fill(queue, 9, "");
    ck_assert_uint_eq(GossipQueue_length(queue), 0);
    GossipQueue_destroy(queue);
}
END_TEST

START_TEST(newer_news_of_a_fact_take_its_place)
{
    GossipQueue_t *queue = GossipQueue_create();
    GossipQueue_add(queue, FACT_HEARTBEAT, "a", 1);
    GossipQueue_add(queue, FACT_HEARTBEAT, "a", 3);
    ck_assert_uint_eq(GossipQueue_length(queue), 1);
    assert_fill(queue, 9, "1a ");
    ck_assert_uint_eq(GossipQueue_length(queue), 1);
    GossipQueue_destroy(queue);
}
END_TEST

START_TEST(all_get_their_turn_when_room_is_short)
{
    GossipQueue_t *queue = GossipQueue_create();
    GossipQueue_add(queue, FACT_HEARTBEAT, "a", 2);
    GossipQueue_add(queue, FACT_HEARTBEAT, "b", 2);
    assert_fill(queue, 1, "1a ");
    assert_fill(queue, 1, "1b ");
    assert_fill(queue, 1, "1a ");
    assert_fill(queue, 9, "1b ");
    GossipQueue_destroy(queue);
}
END_TEST

TESTING_MAIN("GossipQueue", urgent_facts_go_first,
             each_is_sent_as_often_as_wanted,
             newer_news_of_a_fact_take_its_place,
             all_get_their_turn_when_room_is_short)
