#include "testing.h"

#include <event2/keyvalq_struct.h>
#include <string.h>
#include <sys/queue.h>

#include "Clock.h"
#include "FakeRouters.h"
#include "FakeUpstreams.h"
#include "UpstreamNotices.h"

#define MESH 16
/* More turns than news take. */
#define TURNS_MS 120
#define MISDIRECTED 421
#define REQUEST "r1"

static const UpstreamNoticeForm_t form = {
    .headers = {[NOTICE_LIMIT] = "Limit",
                [NOTICE_LEAVING] = "Leaving",
                [NOTICE_REST] = "Rest"},
    .misdirected_status = MISDIRECTED,
};

/* What says each kind; one without an entry fails the tests. */
static const char *const values[NOTICE_KIND_COUNT] = {
    [NOTICE_LIMIT] = "2",
    [NOTICE_LEAVING] = "1",
    [NOTICE_REST] = "3",
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

/* An answer that says one kind, or nothing. */
static UpstreamNotice_t
say(guint kind)
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
hear(guint kind, const NoticeOrigin_t *origin)
{
    UpstreamNotice_t notice = say(kind);
    UpstreamNotices_take(notices, origin, &notice);
}

static NoticeOrigin_t
asked_now(void)
{
    NoticeOrigin_t origin = NoticeOrigin_begin(upstream, REQUEST);
    origin.sent_ms = Clock_nowMs() + 1;
    return origin;
}

static gboolean
holds(guint kind)
{
    return UpstreamNotices_terms(kind)->holds(upstream, Clock_nowMs());
}

START_TEST(each_kind_has_its_terms_and_holds_once_it_was_said)
{
    begin();
    NoticeOrigin_t origin = asked_now();
    ck_assert_ptr_nonnull(UpstreamNotices_terms(_i)->name);
    ck_assert(!holds(_i));
    hear(_i, &origin);
    ck_assert(holds(_i));
    for (gint other = 0; other < NOTICE_KIND_COUNT; other++) {
        ck_assert(other == _i || !holds(other));
    }
    end();
}
END_TEST

START_TEST(only_what_holds_for_all_routers_is_told)
{
    begin();
    NoticeOrigin_t origin = asked_now();
    hear(_i, &origin);
    hear(_i, &origin);
    FakeRouters_run(&routers, TURNS_MS);
    ck_assert_uint_eq(
        FakeRouters_count(&routers, 1, WT__PEER_MESSAGE__BODY_NOTICE_NEWS),
        UpstreamNotices_terms(_i)->is_shared ? 1 : 0);
    end();
}
END_TEST

START_TEST(a_new_start_ends_each_kind)
{
    begin();
    NoticeOrigin_t origin = asked_now();
    hear(_i, &origin);
    Upstream_noteIncarnation(upstream, 2, Clock_nowMs());
    ck_assert(!holds(_i));
    hear(_i, &origin);
    ck_assert(!holds(_i));
    end();
}
END_TEST

START_TEST(an_answer_to_an_earlier_request_ends_no_kind)
{
    begin();
    NoticeOrigin_t earlier = asked_now();
    NoticeOrigin_t origin = asked_now();
    earlier.sent_ms -= 10;
    hear(_i, &origin);
    hear(NOTICE_KIND_COUNT, &earlier);
    ck_assert(holds(_i));
    end();
}
END_TEST

START_TEST(an_answer_to_a_later_request_ends_what_it_may)
{
    begin();
    NoticeOrigin_t origin = asked_now();
    hear(_i, &origin);
    NoticeOrigin_t later = asked_now();
    later.sent_ms += 10;
    hear(NOTICE_KIND_COUNT, &later);
    ck_assert_int_eq(holds(_i), !UpstreamNotices_terms(_i)->ends_by_answer);
    end();
}
END_TEST

START_TEST(what_is_unreadable_changes_nothing)
{
    begin();
    struct evkeyvalq headers;
    TAILQ_INIT(&headers);
    NoticeOrigin_t origin = asked_now();
    evhttp_add_header(&headers, form.headers[_i], "perhaps");
    UpstreamNotice_t notice =
        UpstreamNotice_read(&form, HTTP_SERVUNAVAIL, &headers);
    UpstreamNotices_take(notices, &origin, &notice);
    ck_assert(!holds(_i));
    hear(_i, &origin);
    UpstreamNotices_take(notices, &origin, &notice);
    ck_assert(holds(_i));
    evhttp_clear_headers(&headers);
    end();
}
END_TEST

static void
answer_own_call(guint kind, int status)
{
    struct evkeyvalq headers;
    TAILQ_INIT(&headers);
    NoticeOrigin_t origin = NoticeOrigin_begin(upstream, NULL);
    if (kind < NOTICE_KIND_COUNT) {
        evhttp_add_header(&headers, form.headers[kind], values[kind]);
    }
    HttpAnswer_t answer = {.status = status, .headers = &headers};
    UpstreamNotices_takeAnswer(notices, &origin, &answer);
    evhttp_clear_headers(&headers);
}

/* Probes, states and orders. */
START_TEST(answers_to_calls_of_the_router_are_heard_as_well)
{
    begin();
    answer_own_call(_i, MISDIRECTED);
    ck_assert(!holds(_i));
    answer_own_call(_i, 503);
    ck_assert(holds(_i));
    answer_own_call(NOTICE_KIND_COUNT, 200);
    ck_assert(holds(_i));
    end();
}
END_TEST

START_TEST(an_upstream_that_leaves_gets_no_work_not_even_as_the_last)
{
    begin();
    NoticeOrigin_t origin = asked_now();
    hear(NOTICE_LEAVING, &origin);
    ck_assert(!Upstream_takesWork(upstream));
    ck_assert_int_gt(upstream->leaving_ms, 0);
    end();
}
END_TEST

START_TEST(one_that_was_replaced_is_told_as_well)
{
    begin();
    NoticeOrigin_t origin = asked_now();
    UpstreamNotices_noteLeaving(notices, &origin, "replaced");
    FakeRouters_run(&routers, TURNS_MS);
    ck_assert(upstream->leaving);
    ck_assert_uint_eq(
        FakeRouters_count(&routers, 1, WT__PEER_MESSAGE__BODY_NOTICE_NEWS), 1);
    end();
}
END_TEST

int
main(void)
{
    const TTest *const of_each_kind[] = {
        each_kind_has_its_terms_and_holds_once_it_was_said,
        only_what_holds_for_all_routers_is_told,
        a_new_start_ends_each_kind,
        an_answer_to_an_earlier_request_ends_no_kind,
        an_answer_to_a_later_request_ends_what_it_may,
        what_is_unreadable_changes_nothing,
        answers_to_calls_of_the_router_are_heard_as_well,
    };
    if (sodium_init() < 0) {
        return EXIT_FAILURE;
    }
    Suite *suite = suite_create("UpstreamNotices");
    TCase *group = tcase_create("UpstreamNotices");
    for (gsize i = 0; i < G_N_ELEMENTS(of_each_kind); i++) {
        tcase_add_loop_test(group, of_each_kind[i], 0, NOTICE_KIND_COUNT);
    }
    tcase_add_test(group,
                   an_upstream_that_leaves_gets_no_work_not_even_as_the_last);
    tcase_add_test(group, one_that_was_replaced_is_told_as_well);
    suite_add_tcase(suite, group);
    SRunner *runner = srunner_create(suite);
    srunner_set_fork_status(runner, CK_NOFORK);
    srunner_run_all(runner, CK_NORMAL);
    int failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
