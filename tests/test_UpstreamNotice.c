#include "testing.h"

#include <event2/keyvalq_struct.h>
#include <string.h>
#include <sys/queue.h>

#include "UpstreamBackoff.h"
#include "UpstreamNotice.h"

static const UpstreamNoticeForm_t form = {
    .headers = {[NOTICE_LIMIT] = "Limit",
                [NOTICE_LEAVING] = "Leaving",
                [NOTICE_REST] = "Rest"},
};

static struct evkeyvalq headers;

static void
say(const char *name, const char *value)
{
    ck_assert_int_eq(evhttp_add_header(&headers, name, value), 0);
}

static UpstreamNotice_t
read_all(void)
{
    UpstreamNotice_t notice =
        UpstreamNotice_read(&form, HTTP_SERVUNAVAIL, &headers);
    evhttp_clear_headers(&headers);
    return notice;
}

static NoticeFlag_t
read_leaving(const char *value)
{
    say("leaving", value);
    return read_all().leaving;
}

START_TEST(an_answer_that_says_nothing)
{
    TAILQ_INIT(&headers);
    say("Connection", "close");
    UpstreamNotice_t notice = read_all();
    ck_assert_int_eq(notice.limit.kind, LIMIT_ABSENT);
    ck_assert_int_eq(notice.leaving, FLAG_UNSET);
}
END_TEST

START_TEST(an_answer_that_says_all)
{
    TAILQ_INIT(&headers);
    say("LIMIT", "1.5");
    say("Leaving", "1");
    UpstreamNotice_t notice = read_all();
    ck_assert_double_eq(notice.limit.per_s, 1.5);
    ck_assert_int_eq(notice.leaving, FLAG_SET);
}
END_TEST

START_TEST(only_one_sets_a_flag)
{
    TAILQ_INIT(&headers);
    ck_assert_int_eq(read_leaving("0"), FLAG_UNSET);
    ck_assert_int_eq(read_leaving(""), FLAG_UNREADABLE);
    ck_assert_int_eq(read_leaving("yes"), FLAG_UNREADABLE);
    ck_assert_int_eq(read_leaving("11"), FLAG_UNREADABLE);
}
END_TEST

START_TEST(two_flags_must_agree)
{
    TAILQ_INIT(&headers);
    say("leaving", "1");
    ck_assert_int_eq(read_leaving("1"), FLAG_SET);
    say("leaving", "0");
    ck_assert_int_eq(read_leaving("1"), FLAG_UNREADABLE);
}
END_TEST

static RestNotice_t
read_rest(int status, const char *value)
{
    say("rest", value);
    UpstreamNotice_t notice = UpstreamNotice_read(&form, status, &headers);
    evhttp_clear_headers(&headers);
    return notice.rest;
}

START_TEST(seconds_of_rest_are_read)
{
    TAILQ_INIT(&headers);
    ck_assert_int_eq(read_rest(503, "3").for_ms, 3000);
    ck_assert_int_eq(read_rest(503, "0.25").for_ms, 250);
    ck_assert_int_eq(read_rest(503, "0").kind, REST_ASKED);
    ck_assert_int_eq(read_rest(503, "99999999999999999999").for_ms,
                     UPSTREAM_BACKOFF_MAX_MS);
    ck_assert_int_eq(read_rest(200, "3").kind, REST_ABSENT);
    ck_assert_int_eq(read_rest(429, "3").kind, REST_ABSENT);
    ck_assert_int_eq(read_rest(500, "3").kind, REST_ABSENT);
}
END_TEST

START_TEST(what_is_no_number_of_seconds_is_unreadable)
{
    static const char *const texts[] = {
        "",    "-1",  "soon",
        "1e3", "inf", "nan",
        "3 s", "0x3", "Fri, 31 Dec 1999 23:59:59 GMT"};
    char digits[401];
    TAILQ_INIT(&headers);
    for (gsize i = 0; i < G_N_ELEMENTS(texts); i++) {
        ck_assert_int_eq(read_rest(503, texts[i]).kind, REST_UNREADABLE);
    }
    memset(digits, '9', sizeof(digits) - 1);
    digits[sizeof(digits) - 1] = '\0';
    ck_assert_int_eq(read_rest(503, digits).kind, REST_UNREADABLE);
    say("rest", "3");
    ck_assert_int_eq(read_rest(503, "4").kind, REST_UNREADABLE);
    say("rest", "3");
    ck_assert_int_eq(read_rest(503, "3.0").for_ms, 3000);
}
END_TEST

TESTING_MAIN("UpstreamNotice", an_answer_that_says_nothing,
             an_answer_that_says_all, only_one_sets_a_flag,
             two_flags_must_agree, seconds_of_rest_are_read,
             what_is_no_number_of_seconds_is_unreadable)
