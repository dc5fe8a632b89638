#include "testing.h"

#include <event2/keyvalq_struct.h>
#include <sys/queue.h>

#include "UpstreamNotice.h"

static const UpstreamNoticeForm_t form = {
    .headers = {[NOTICE_LIMIT] = "Limit", [NOTICE_LEAVING] = "Leaving"},
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
    UpstreamNotice_t notice = UpstreamNotice_read(&form, &headers);
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

TESTING_MAIN("UpstreamNotice", an_answer_that_says_nothing,
             an_answer_that_says_all, only_one_sets_a_flag,
             two_flags_must_agree)
