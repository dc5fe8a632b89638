#include "testing.h"

#include <event2/keyvalq_struct.h>
#include <string.h>
#include <sys/queue.h>

#include "Clock.h"
#include "FakeRouters.h"
#include "FakeUpstreams.h"
#include "UpstreamNotices.h"

#define MESH 16
/* Longer than a batch of updates takes to arrive. */
#define DELIVERY_MS 120
#define MISDIRECTED 421
#define REQUEST "r1"

static const UpstreamNoticeForm_t form = {
    .headers = {[NOTICE_LIMIT] = "Limit",
                [NOTICE_LEAVING] = "Leaving",
                [NOTICE_BACKOFF] = "Rest"},
    .misdirected_status = MISDIRECTED,
};

/* Header value for each kind; the tests fail for a kind without one. */
static const char *const values[NOTICE_KIND_COUNT] = {
    [NOTICE_LIMIT] = "2",
    [NOTICE_LEAVING] = "1",
    [NOTICE_BACKOFF] = "3",
};

static FakeRouters_t routers;
static Counters_t *counters;
static UpstreamSet_t *upstreams;
static UpstreamLimits_t *limits;
static UpstreamNotices_t *notices;
static Upstream_t *upstream;

static void
begin(void)
{
    FakeRouters_init(&routers, 2, MESH);
    counters = Counters_create();
    upstreams = UpstreamSet_create(routers.base, 1);
    limits = UpstreamLimits_create(routers.list[0].membership, counters);
    UpstreamNoticesSpec_t spec = {
        .membership = routers.list[0].membership,
        .upstreams = upstreams,
        .limits = limits,
        .counters = counters,
        .form = &form,
    };
    notices = UpstreamNotices_create(routers.base, &spec);
    upstream = FakeUpstreams_put(upstreams, "u");
    Upstream_noteIncarnation(upstream, 1, 0);
}

static void
end(void)
{
    UpstreamNotices_destroy(notices);
    UpstreamLimits_destroy(limits);
    UpstreamSet_destroy(upstreams);
    Counters_destroy(counters);
    FakeRouters_clear(&routers);
}

/* Notices of an answer with the header of one kind, or with none for
 * NOTICE_KIND_COUNT. */
static UpstreamNotice_t
make_notice(guint kind)
{
    struct evkeyvalq headers;
    TAILQ_INIT(&headers);
    if (kind < NOTICE_KIND_COUNT) {
        ck_assert_ptr_nonnull(values[kind]);
        evhttp_add_header(&headers, form.headers[kind], values[kind]);
    }
    UpstreamNotice_t notice =
        UpstreamNotice_read(&form, HTTP_SERVUNAVAIL, &headers);
    evhttp_clear_headers(&headers);
    return notice;
}

static void
receive_notice(guint kind, const NoticeOrigin_t *origin)
{
    UpstreamNotice_t notice = make_notice(kind);
    UpstreamNotices_apply(notices, origin, &notice);
}

static NoticeOrigin_t
origin_of_new_request(void)
{
    NoticeOrigin_t origin = NoticeOrigin_begin(upstream, REQUEST);
    origin.sent_ms = Clock_nowMs() + 1;
    return origin;
}

static gboolean
holds(guint kind)
{
    return UpstreamNotices_scope(kind)->holds(upstream, Clock_nowMs());
}

START_TEST(each_kind_has_a_scope_and_holds_once_received)
{
    begin();
    NoticeOrigin_t origin = origin_of_new_request();
    ck_assert_ptr_nonnull(UpstreamNotices_scope(_i)->name);
    ck_assert(!holds(_i));
    receive_notice(_i, &origin);
    ck_assert(holds(_i));
    for (gint other = 0; other < NOTICE_KIND_COUNT; other++) {
        ck_assert(other == _i || !holds(other));
    }
    end();
}
END_TEST

START_TEST(only_shared_kinds_are_broadcast)
{
    begin();
    NoticeOrigin_t origin = origin_of_new_request();
    receive_notice(_i, &origin);
    receive_notice(_i, &origin);
    FakeRouters_run(&routers, DELIVERY_MS);
    ck_assert_uint_eq(
        FakeRouters_count(&routers, 1, WT__PEER_MESSAGE__BODY_NOTICE_NEWS),
        UpstreamNotices_scope(_i)->is_shared ? 1 : 0);
    end();
}
END_TEST

START_TEST(new_incarnation_ends_each_kind)
{
    begin();
    NoticeOrigin_t origin = origin_of_new_request();
    receive_notice(_i, &origin);
    Upstream_noteIncarnation(upstream, 2, Clock_nowMs());
    ck_assert(!holds(_i));
    receive_notice(_i, &origin);
    ck_assert(!holds(_i));
    end();
}
END_TEST

START_TEST(answer_to_an_earlier_request_ends_no_kind)
{
    begin();
    NoticeOrigin_t earlier = origin_of_new_request();
    NoticeOrigin_t origin = origin_of_new_request();
    earlier.sent_ms -= 10;
    receive_notice(_i, &origin);
    receive_notice(NOTICE_KIND_COUNT, &earlier);
    ck_assert(holds(_i));
    end();
}
END_TEST

START_TEST(answer_to_a_later_request_ends_only_kinds_that_end_by_answer)
{
    begin();
    NoticeOrigin_t origin = origin_of_new_request();
    receive_notice(_i, &origin);
    NoticeOrigin_t later = origin_of_new_request();
    later.sent_ms += 10;
    receive_notice(NOTICE_KIND_COUNT, &later);
    ck_assert_int_eq(holds(_i), !UpstreamNotices_scope(_i)->ends_by_answer);
    end();
}
END_TEST

START_TEST(unreadable_notices_change_nothing)
{
    begin();
    struct evkeyvalq headers;
    TAILQ_INIT(&headers);
    NoticeOrigin_t origin = origin_of_new_request();
    evhttp_add_header(&headers, form.headers[_i], "perhaps");
    UpstreamNotice_t notice =
        UpstreamNotice_read(&form, HTTP_SERVUNAVAIL, &headers);
    UpstreamNotices_apply(notices, &origin, &notice);
    ck_assert(!holds(_i));
    receive_notice(_i, &origin);
    UpstreamNotices_apply(notices, &origin, &notice);
    ck_assert(holds(_i));
    evhttp_clear_headers(&headers);
    end();
}
END_TEST

static void
answer_router_call(guint kind, int status)
{
    struct evkeyvalq headers;
    TAILQ_INIT(&headers);
    NoticeOrigin_t origin = NoticeOrigin_begin(upstream, NULL);
    if (kind < NOTICE_KIND_COUNT) {
        evhttp_add_header(&headers, form.headers[kind], values[kind]);
    }
    HttpAnswer_t answer = {.status = status, .headers = &headers};
    UpstreamNotices_applyAnswer(notices, &origin, &answer);
    evhttp_clear_headers(&headers);
}

/* Router calls are probes, queries of states and orders. */
START_TEST(notices_in_answers_to_router_calls_are_applied)
{
    begin();
    answer_router_call(_i, MISDIRECTED);
    ck_assert(!holds(_i));
    answer_router_call(_i, 503);
    ck_assert(holds(_i));
    answer_router_call(NOTICE_KIND_COUNT, 200);
    ck_assert(holds(_i));
    end();
}
END_TEST

START_TEST(leaving_upstream_gets_no_work_even_if_it_is_the_last)
{
    begin();
    NoticeOrigin_t origin = origin_of_new_request();
    receive_notice(NOTICE_LEAVING, &origin);
    ck_assert(!Upstream_takesWork(upstream));
    ck_assert_int_gt(upstream->leaving_ms, 0);
    end();
}
END_TEST

START_TEST(replaced_upstream_is_broadcast_as_leaving)
{
    begin();
    NoticeOrigin_t origin = origin_of_new_request();
    UpstreamNotices_noteLeaving(notices, &origin, "replaced");
    FakeRouters_run(&routers, DELIVERY_MS);
    ck_assert(upstream->leaving);
    ck_assert_uint_eq(
        FakeRouters_count(&routers, 1, WT__PEER_MESSAGE__BODY_NOTICE_NEWS), 1);
    end();
}
END_TEST

int
main(void)
{
    const TTest *const tests_of_each_kind[] = {
        each_kind_has_a_scope_and_holds_once_received,
        only_shared_kinds_are_broadcast,
        new_incarnation_ends_each_kind,
        answer_to_an_earlier_request_ends_no_kind,
        answer_to_a_later_request_ends_only_kinds_that_end_by_answer,
        unreadable_notices_change_nothing,
        notices_in_answers_to_router_calls_are_applied,
    };
    if (sodium_init() < 0) {
        return EXIT_FAILURE;
    }
    Suite *suite = suite_create("UpstreamNotices");
    TCase *group = tcase_create("UpstreamNotices");
    for (gsize i = 0; i < G_N_ELEMENTS(tests_of_each_kind); i++) {
        tcase_add_loop_test(group, tests_of_each_kind[i], 0,
                            NOTICE_KIND_COUNT);
    }
    tcase_add_test(group,
                   leaving_upstream_gets_no_work_even_if_it_is_the_last);
    tcase_add_test(group, replaced_upstream_is_broadcast_as_leaving);
    suite_add_tcase(suite, group);
    SRunner *runner = srunner_create(suite);
    srunner_set_fork_status(runner, CK_NOFORK);
    srunner_run_all(runner, CK_NORMAL);
    int failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
