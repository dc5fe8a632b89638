/* Which requests have come through lately. */
#include "WholeAnswers.h"

#include <string.h>

#include "testing.h"

#define NOW_MS 1000000

static RequestDigest_t
digest_of(guint number)
{
    RequestDigest_t digest = {{0}};
    memcpy(digest.bytes, &number, sizeof(number));
    return digest;
}

static void
note(WholeAnswers_t *answers, guint number, gint64 at_ms)
{
    RequestDigest_t digest = digest_of(number);
    WholeAnswers_note(answers, &digest, at_ms);
}

static gboolean
take(WholeAnswers_t *answers, guint number, gint64 at_ms)
{
    RequestDigest_t digest = digest_of(number);
    return WholeAnswers_take(answers, &digest, at_ms);
}

START_TEST(it_is_said_of_a_request_once)
{
    WholeAnswers_t *answers = WholeAnswers_create();
    note(answers, 1, NOW_MS);
    note(answers, 1, NOW_MS);
    ck_assert(take(answers, 1, NOW_MS));
    ck_assert(!take(answers, 1, NOW_MS));
    ck_assert(!take(answers, 2, NOW_MS));
    note(answers, 1, NOW_MS);
    ck_assert(take(answers, 1, NOW_MS));
    WholeAnswers_destroy(answers);
}
END_TEST

START_TEST(it_is_forgotten_with_time)
{
    WholeAnswers_t *answers = WholeAnswers_create();
    note(answers, 1, NOW_MS);
    ck_assert(!take(answers, 1, NOW_MS + WHOLE_ANSWERS_MS + 1));
    note(answers, 2, NOW_MS);
    note(answers, 3, NOW_MS + WHOLE_ANSWERS_MS + 1);
    ck_assert(!take(answers, 2, NOW_MS + WHOLE_ANSWERS_MS));
    WholeAnswers_destroy(answers);
}
END_TEST

START_TEST(the_oldest_give_way)
{
    WholeAnswers_t *answers = WholeAnswers_create();
    for (guint number = 0; number <= WHOLE_ANSWERS_MAX; number++) {
        note(answers, number, NOW_MS);
    }
    ck_assert(!take(answers, 0, NOW_MS));
    ck_assert(take(answers, 1, NOW_MS));
    ck_assert(take(answers, WHOLE_ANSWERS_MAX, NOW_MS));
    WholeAnswers_destroy(answers);
}
END_TEST

TESTING_MAIN("WholeAnswers", it_is_said_of_a_request_once,
             it_is_forgotten_with_time, the_oldest_give_way)
