/* What routers tell each other of streams is checked as it is read. */
#include "OriginLinks.h"

#include <string.h>

#include "testing.h"

#define RANKED 4

static guint64 sent_to;

static guint
find_owners(void *owner, const RequestDigest_t *digest, guint64 *out,
            guint max)
{
    static const guint64 ranked[RANKED] = {7, ORIGIN_SELF, 8, 9};
    (void)owner;
    (void)digest;
    guint found = MIN(max, RANKED);
    memcpy(out, ranked, found * sizeof(ranked[0]));
    return found;
}

static void
send_message(void *owner, guint64 router, const Wt__PeerMessage *message)
{
    (void)owner;
    (void)message;
    sent_to = router;
}

static const OriginLinksClass_t class = {
    .find_owners = find_owners,
    .send = send_message,
};

START_TEST(this_router_is_not_among_the_others)
{
    OriginLinks_t links = {.class = &class};
    RequestDigest_t digest = {{0}};
    guint64 others[ORIGIN_WITNESSES];
    ck_assert_uint_eq(
        OriginLinks_findOthers(&links, &digest, others, ORIGIN_OWNERS), 2);
    ck_assert_uint_eq(others[0], 7);
    ck_assert_uint_eq(others[1], 8);
    ck_assert_uint_eq(
        OriginLinks_findOthers(&links, &digest, others, ORIGIN_WITNESSES), 3);
}
END_TEST

START_TEST(a_message_is_sent_and_counted)
{
    OriginLinks_t links = {.class = &class, .counters = Counters_create()};
    Wt__PeerMessage message = WT__PEER_MESSAGE__INIT;
    OriginLinks_send(&links, 7, &message);
    ck_assert_uint_eq(sent_to, 7);
    ck_assert_int_eq(
        Counters_value(links.counters, "origin_messages_total", NULL), 1);
    Counters_destroy(links.counters);
}
END_TEST

START_TEST(a_digest_of_another_length_is_not_read)
{
    RequestDigest_t digest = {{1}};
    RequestDigest_t out = {{0}};
    ProtobufCBinaryData bytes = {.data = digest.bytes,
                                 .len = sizeof(digest.bytes)};
    ck_assert(OriginLinks_readDigest(&bytes, &out));
    ck_assert_mem_eq(out.bytes, digest.bytes, sizeof(out.bytes));
    bytes.len--;
    ck_assert(!OriginLinks_readDigest(&bytes, &out));
    bytes.len = 0;
    ck_assert(!OriginLinks_readDigest(&bytes, &out));
}
END_TEST

START_TEST(names_have_a_length_of_1_to_255_bytes)
{
    g_autofree char *longest = g_strnfill(255, 'x');
    g_autofree char *longer = g_strnfill(256, 'x');
    ck_assert(!OriginLinks_isName(""));
    ck_assert(OriginLinks_isName("s"));
    ck_assert(OriginLinks_isName(longest));
    ck_assert(!OriginLinks_isName(longer));
}
END_TEST

TESTING_MAIN("OriginLinks", this_router_is_not_among_the_others,
             a_message_is_sent_and_counted,
             a_digest_of_another_length_is_not_read,
             names_have_a_length_of_1_to_255_bytes)
