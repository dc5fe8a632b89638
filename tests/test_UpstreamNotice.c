#include "testing.h"

#include <event2/keyvalq_struct.h>
#include <string.h>
#include <sys/queue.h>

#include "UpstreamBackoff.h"
#include "UpstreamNotice.h"

static const UpstreamNoticeForm_t form = {
    .headers = {[NOTICE_LIMIT] = "Limit",
                [NOTICE_LEAVING] = "Leaving",
                [NOTICE_BACKOFF] = "Rest"},
};

static struct evkeyvalq headers;

static void
add_header(const char *name, const char *value)
{
    ck_assert_int_eq(evhttp_add_header(&headers, name, value), 0);
}

static UpstreamNotice_t
read_notice(void)
{
    UpstreamNotice_t notice =
        UpstreamNotice_read(&form, HTTP_SERVUNAVAIL, &headers);
    evhttp_clear_headers(&headers);
    return notice;
}

static NoticeFlag_t
read_leaving(const char *value)
{
    add_header("leaving", value);
    return read_notice().leaving;
}

START_TEST(answer_without_notices)
{
    TAILQ_INIT(&headers);
    add_header("Connection", "close");
    UpstreamNotice_t notice = read_notice();
    ck_assert_int_eq(notice.limit.kind, LIMIT_ABSENT);
    ck_assert_int_eq(notice.leaving, FLAG_UNSET);
}
END_TEST

START_TEST(answer_with_limit_and_leaving)
{
    TAILQ_INIT(&headers);
    add_header("LIMIT", "1.5");
    add_header("Leaving", "1");
    UpstreamNotice_t notice = read_notice();
    ck_assert_double_eq(notice.limit.per_s, 1.5);
    ck_assert_int_eq(notice.leaving, FLAG_SET);
}
END_TEST

START_TEST(only_the_value_1_sets_a_flag)
{
    TAILQ_INIT(&headers);
    ck_assert_int_eq(read_leaving("0"), FLAG_UNSET);
    ck_assert_int_eq(read_leaving(""), FLAG_UNREADABLE);
    ck_assert_int_eq(read_leaving("yes"), FLAG_UNREADABLE);
    ck_assert_int_eq(read_leaving("11"), FLAG_UNREADABLE);
}
END_TEST

START_TEST(repeated_flags_must_agree)
{
    TAILQ_INIT(&headers);
    add_header("leaving", "1");
    ck_assert_int_eq(read_leaving("1"), FLAG_SET);
    add_header("leaving", "0");
    ck_assert_int_eq(read_leaving("1"), FLAG_UNREADABLE);
}
END_TEST

static BackoffNotice_t
read_backoff(int status, const char *value)
{
    add_header("rest", value);
    UpstreamNotice_t notice = UpstreamNotice_read(&form, status, &headers);
    evhttp_clear_headers(&headers);
    return notice.backoff;
}

START_TEST(seconds_of_backoff_are_parsed)
{
    TAILQ_INIT(&headers);
    ck_assert_int_eq(read_backoff(503, "3").for_ms, 3000);
    ck_assert_int_eq(read_backoff(503, "0.25").for_ms, 250);
    ck_assert_int_eq(read_backoff(503, "0").kind, BACKOFF_REQUESTED);
    ck_assert_int_eq(read_backoff(503, "99999999999999999999").for_ms,
                     UPSTREAM_BACKOFF_MAX_MS);
    ck_assert_int_eq(read_backoff(200, "3").kind, BACKOFF_ABSENT);
    ck_assert_int_eq(read_backoff(429, "3").kind, BACKOFF_ABSENT);
    ck_assert_int_eq(read_backoff(500, "3").kind, BACKOFF_ABSENT);
}
END_TEST

START_TEST(backoff_without_a_number_of_seconds_is_unreadable)
{
    static const char *const texts[] = {
        "",    "-1",  "soon",
        "1e3", "inf", "nan",
        "3 s", "0x3", "Fri, 31 Dec 1999 23:59:59 GMT"};
    char digits[401];
    TAILQ_INIT(&headers);
    for (gsize i = 0; i < G_N_ELEMENTS(texts); i++) {
        ck_assert_int_eq(read_backoff(503, texts[i]).kind, BACKOFF_UNREADABLE);
    }
    memset(digits, '9', sizeof(digits) - 1);
    digits[sizeof(digits) - 1] = '\0';
    ck_assert_int_eq(read_backoff(503, digits).kind, BACKOFF_UNREADABLE);
    add_header("rest", "3");
    ck_assert_int_eq(read_backoff(503, "4").kind, BACKOFF_UNREADABLE);
    add_header("rest", "3");
    ck_assert_int_eq(read_backoff(503, "3.0").for_ms, 3000);
}
END_TEST

TESTING_MAIN("UpstreamNotice", answer_without_notices,
             answer_with_limit_and_leaving, only_the_value_1_sets_a_flag,
             repeated_flags_must_agree, seconds_of_backoff_are_parsed,
             backoff_without_a_number_of_seconds_is_unreadable)
