#include "testing.h"

#include "ConnectionKeeping.h"

static const gboolean once = TRUE;
static const gboolean any = FALSE;

START_TEST(work_that_runs_once_waits_until_a_connection_stayed_open)
{
    ConnectionKeeping_t keeping = {0};
    ck_assert(ConnectionKeeping_allows(&keeping, any));
    ck_assert(!ConnectionKeeping_allows(&keeping, once));
    ck_assert(!ConnectionKeeping_noteOpen(&keeping, KEEPING_IDLE_MS - 1));
    ck_assert(!ConnectionKeeping_allows(&keeping, once));
    ck_assert(ConnectionKeeping_needsSample(&keeping));
    ck_assert(ConnectionKeeping_noteOpen(&keeping, KEEPING_IDLE_MS));
    ck_assert(ConnectionKeeping_allows(&keeping, once));
    ck_assert(!ConnectionKeeping_needsSample(&keeping));
}
END_TEST

/* All requests that came until the first was cut would be lost with it. */
START_TEST(one_request_tries_until_it_is_answered)
{
    ConnectionKeeping_t keeping = {0};
    ConnectionKeeping_noteOpen(&keeping, KEEPING_IDLE_MS);
    ck_assert(ConnectionKeeping_beginTrial(&keeping));
    ck_assert(!ConnectionKeeping_allows(&keeping, once));
    ck_assert(!ConnectionKeeping_beginTrial(&keeping));
    ConnectionKeeping_endTrial(&keeping);
    ck_assert(ConnectionKeeping_allows(&keeping, once));
    ck_assert(ConnectionKeeping_beginTrial(&keeping));
    ConnectionKeeping_noteAnswer(&keeping);
    ck_assert(ConnectionKeeping_allows(&keeping, once));
    ck_assert(!ConnectionKeeping_beginTrial(&keeping));
}
END_TEST

START_TEST(all_requests_wait_once_one_was_closed)
{
    ConnectionKeeping_t keeping = {0};
    ConnectionKeeping_noteOpen(&keeping, KEEPING_IDLE_MS);
    ConnectionKeeping_noteClosed(&keeping, 2);
    ck_assert(!ConnectionKeeping_allows(&keeping, any));
    ck_assert(!ConnectionKeeping_allows(&keeping, once));
    ck_assert(ConnectionKeeping_noteOpen(&keeping, KEEPING_IDLE_MS));
    ck_assert(ConnectionKeeping_allows(&keeping, any));
    ck_assert(ConnectionKeeping_allows(&keeping, once));
}
END_TEST

START_TEST(the_wait_is_longer_than_what_one_was_open_for)
{
    ConnectionKeeping_t keeping = {0};
    ConnectionKeeping_noteClosed(&keeping, 300);
    ConnectionKeeping_noteClosed(&keeping, 20);
    ck_assert(!ConnectionKeeping_noteOpen(&keeping, 301));
    ck_assert(!ConnectionKeeping_allows(&keeping, any));
    ck_assert(ConnectionKeeping_noteOpen(&keeping, 600));
}
END_TEST

START_TEST(a_connection_without_use_may_be_closed)
{
    ConnectionKeeping_t keeping = {0};
    ConnectionKeeping_noteOpen(&keeping, KEEPING_IDLE_MS);
    ConnectionKeeping_noteClosed(&keeping, 5000);
    ck_assert(ConnectionKeeping_allows(&keeping, any));
    ck_assert(ConnectionKeeping_allows(&keeping, once));
}
END_TEST

START_TEST(a_proof_holds_until_the_next_start)
{
    ConnectionKeeping_t keeping = {0};
    ConnectionKeeping_noteClosed(&keeping, 20);
    ConnectionKeeping_noteAnswer(&keeping);
    ConnectionKeeping_noteClosed(&keeping, 20);
    ck_assert(ConnectionKeeping_allows(&keeping, any));
    ck_assert(ConnectionKeeping_allows(&keeping, once));
    ck_assert(!ConnectionKeeping_needsSample(&keeping));
    ConnectionKeeping_clear(&keeping);
    ck_assert(!ConnectionKeeping_allows(&keeping, once));
}
END_TEST

TESTING_MAIN("ConnectionKeeping",
             work_that_runs_once_waits_until_a_connection_stayed_open,
             one_request_tries_until_it_is_answered,
             all_requests_wait_once_one_was_closed,
             the_wait_is_longer_than_what_one_was_open_for,
             a_connection_without_use_may_be_closed,
             a_proof_holds_until_the_next_start)
