#include "testing.h"

#include "GossipQueue.h"

static GString *accepted;
static guint capacity;

static gboolean
accept_fact(FactKind_t kind, const char *name, void *data)
{
    (void)data;
    if (capacity == 0) {
        return FALSE;
    }
    capacity--;
    g_string_append_printf(accepted, "%d%s ", (int)kind, name);
    return TRUE;
}

static void
assert_offered(GossipQueue_t *queue, guint message_capacity,
               const char *expected)
{
    accepted = g_string_new(NULL);
    capacity = message_capacity;
    GossipQueue_offerFacts(queue, accept_fact, NULL);
    ck_assert_str_eq(accepted->str, expected);
    g_string_free(accepted, TRUE);
}

START_TEST(urgent_facts_are_sent_first)
{
    GossipQueue_t *queue = GossipQueue_create();
    GossipQueue_add(queue, FACT_UPSTREAM_LOAD, "a", 1);
    GossipQueue_add(queue, FACT_HEARTBEAT, "b", 1);
    GossipQueue_add(queue, FACT_UPSTREAM_UPDATE, "c", 1);
    assert_offered(queue, 2, "0c 1b ");
    assert_offered(queue, 9, "2a ");
    assert_offered(queue, 9, "");
    GossipQueue_destroy(queue);
}
END_TEST

START_TEST(fact_is_sent_the_requested_number_of_times)
{
    GossipQueue_t *queue = GossipQueue_create();
    GossipQueue_add(queue, FACT_HEARTBEAT, "a", 2);
    assert_offered(queue, 9, "1a ");
    assert_offered(queue, 9, "1a ");
    assert_offered(queue, 9, "");
    ck_assert_uint_eq(GossipQueue_length(queue), 0);
    GossipQueue_destroy(queue);
}
END_TEST

START_TEST(newer_update_replaces_a_queued_fact)
{
    GossipQueue_t *queue = GossipQueue_create();
    GossipQueue_add(queue, FACT_HEARTBEAT, "a", 1);
    GossipQueue_add(queue, FACT_HEARTBEAT, "a", 3);
    ck_assert_uint_eq(GossipQueue_length(queue), 1);
    assert_offered(queue, 9, "1a ");
    ck_assert_uint_eq(GossipQueue_length(queue), 1);
    GossipQueue_destroy(queue);
}
END_TEST

START_TEST(facts_alternate_when_messages_are_small)
{
    GossipQueue_t *queue = GossipQueue_create();
    GossipQueue_add(queue, FACT_HEARTBEAT, "a", 2);
    GossipQueue_add(queue, FACT_HEARTBEAT, "b", 2);
    assert_offered(queue, 1, "1a ");
    assert_offered(queue, 1, "1b ");
    assert_offered(queue, 1, "1a ");
    assert_offered(queue, 9, "1b ");
    GossipQueue_destroy(queue);
}
END_TEST

TESTING_MAIN("GossipQueue", urgent_facts_are_sent_first,
             fact_is_sent_the_requested_number_of_times,
             newer_update_replaces_a_queued_fact,
             facts_alternate_when_messages_are_small)
