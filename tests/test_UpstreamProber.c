#include "testing.h"

#include <event2/http.h>
#include <string.h>

#include "Clock.h"
#include "FakeRouters.h"
#include "UpstreamProber.h"

#define TARGET "s"
#define STATE_PATH "/v1/report"
#define COUNTER "upstream_probes_total"
#define MESH 16
/* So short that a test need not wait long for a probe that is not answered. */
#define TIMEOUT_MS 200
/* Several looks at the suspects. */
#define LOOKS_MS 400
/* The least that a peer's doubt is left to the peers that probe. */
#define PATIENCE_MS 2500
/* With so many routers some leave a peer's doubt to others. */
#define MANY 6

static FakeRouters_t routers;
static RouteTable_t *routes;
static HintFlood_t *hints;
static UpstreamProber_t *prober;
static Upstream_t *upstream;
static struct evhttp *server;
static struct evhttp_request *held; /* a probe that was not answered yet */
static gboolean holds;              /* whether probes are answered later */
static int status;
static guint asked;

static void
on_request(struct evhttp_request *request, void *data)
{
    (void)data;
    ck_assert_str_eq(evhttp_request_get_uri(request), STATE_PATH);
    asked++;
    if (holds) {
        held = request;
        return;
    }
    evhttp_send_reply(request, status, NULL, NULL);
}

static gboolean
take_hint(void *owner, const Hint_t *hint)
{
    (void)owner;
    (void)hint;
    return FALSE;
}

static void
put_upstream(void)
{
    UpstreamSpec_t spec = {.address = FakeRouters_freeAddress(),
                           .hall = g_string_new("h"),
                           .region = g_string_new("r"),
                           .serves = g_ptr_array_new(),
                           .slots = 64,
                           .role = ROLE_SERVICE};
    server = evhttp_new(routers.base);
    evhttp_set_gencb(server, on_request, NULL);
    ck_assert_int_eq(
        evhttp_bind_socket(server, spec.address.host, spec.address.port), 0);
    upstream = UpstreamSet_put(routers.upstreams, "u", &spec);
    g_string_free(spec.hall, TRUE);
    g_string_free(spec.region, TRUE);
    g_ptr_array_unref(spec.serves);
}

/* The prober of one of the routers. */
static void
begin(guint count, guint which)
{
    holds = FALSE;
    held = NULL;
    status = HTTP_OK;
    asked = 0;
    FakeRouters_init(&routers, count, MESH);
    Membership_t *membership = routers.list[which].membership;
    put_upstream();
    routes = RouteTable_create();
    hints = HintFlood_create(routers.base, membership, take_hint, NULL);
    UpstreamProberSpec_t spec = {.upstreams = routers.upstreams,
                                 .routes = routes,
                                 .hints = hints,
                                 .membership = membership,
                                 .counters = routers.counters,
                                 .state_path = STATE_PATH,
                                 .timeout_ms = TIMEOUT_MS};
    prober = UpstreamProber_create(routers.base, &spec);
}

static void
end(void)
{
    if (prober) {
        UpstreamProber_destroy(prober);
    }
    HintFlood_destroy(hints);
    RouteTable_destroy(routes);
    evhttp_free(server);
    FakeRouters_clear(&routers);
}

static guint
probes(void)
{
    return (guint)Counters_value(routers.counters, COUNTER, NULL);
}

static gboolean
is_reached(const FakeRouters_t *this)
{
    (void)this;
    return !upstream->suspect;
}

static gboolean
is_asked(const FakeRouters_t *this)
{
    (void)this;
    return asked > 0;
}

static gboolean
is_asked_twice(const FakeRouters_t *this)
{
    (void)this;
    return asked > 1;
}

static gboolean
is_unanswered(const FakeRouters_t *this)
{
    (void)this;
    return upstream->unanswered > 0;
}

static gboolean
is_probed(const FakeRouters_t *this)
{
    (void)this;
    return probes() > 0;
}

static guint
hints_told(guint which, HintKind_t kind)
{
    guint found = 0;
    const GPtrArray *told = routers.list[which].told;
    for (guint i = 0; i < told->len; i++) {
        const Wt__PeerMessage *message = g_ptr_array_index(told, i);
        gboolean fits = message->body_case == WT__PEER_MESSAGE__BODY_HINTS;
        for (guint k = 0; fits && k < message->hints->n_hints; k++) {
            found += message->hints->hints[k]->kind == (guint)kind ? 1 : 0;
        }
    }
    return found;
}

START_TEST(who_is_not_in_doubt_is_not_asked)
{
    begin(1, 0);
    FakeRouters_run(&routers, LOOKS_MS);
    ck_assert_uint_eq(probes(), 0);
    end();
}
END_TEST

/* It can be reached, which is all that was in doubt. */
START_TEST(any_answer_ends_a_doubt)
{
    begin(2, 0);
    status = HTTP_SERVUNAVAIL;
    Upstream_noteUnreachable(upstream);
    FakeRouters_await(&routers, is_reached);
    FakeRouters_run(&routers, LOOKS_MS);
    ck_assert_uint_eq(asked, 1);
    ck_assert_uint_eq(hints_told(1, HINT_UNREACHABLE), 1);
    ck_assert_uint_eq(hints_told(1, HINT_REACHABLE), 1);
    end();
}
END_TEST

START_TEST(a_doubt_that_comes_again_starts_no_second_probe)
{
    begin(2, 0);
    holds = TRUE;
    Upstream_noteUnreachable(upstream);
    FakeRouters_await(&routers, is_asked);
    Upstream_noteUnreachable(upstream);
    Upstream_notePeerSuspicion(upstream);
    FakeRouters_run(&routers, TIMEOUT_MS / 4);
    ck_assert_uint_eq(probes(), 1);
    evhttp_send_reply(held, HTTP_OK, NULL, NULL);
    FakeRouters_await(&routers, is_reached);
    FakeRouters_run(&routers, LOOKS_MS);
    ck_assert_uint_eq(hints_told(1, HINT_UNREACHABLE), 1);
    end();
}
END_TEST

START_TEST(a_probe_that_is_not_answered_is_repeated)
{
    begin(1, 0);
    holds = TRUE;
    Upstream_noteUnreachable(upstream);
    FakeRouters_await(&routers, is_unanswered);
    ck_assert(upstream->suspect);
    holds = FALSE;
    FakeRouters_await(&routers, is_reached);
    ck_assert_uint_eq(upstream->unanswered, 0);
    ck_assert_uint_eq(asked, 2);
    end();
}
END_TEST

START_TEST(a_late_answer_ends_no_doubt_and_disturbs_no_probe)
{
    begin(1, 0);
    holds = TRUE;
    Upstream_noteUnreachable(upstream);
    FakeRouters_await(&routers, is_unanswered);
    evhttp_send_reply(held, HTTP_OK, NULL, NULL);
    FakeRouters_await(&routers, is_asked_twice);
    ck_assert(upstream->suspect);
    evhttp_send_reply(held, HTTP_OK, NULL, NULL);
    FakeRouters_await(&routers, is_reached);
    end();
}
END_TEST

START_TEST(a_lost_probe_says_nothing_of_who_has_answered_meanwhile)
{
    begin(1, 0);
    holds = TRUE;
    Upstream_noteUnreachable(upstream);
    FakeRouters_await(&routers, is_asked);
    Upstream_noteReachable(upstream, Clock_nowMs());
    FakeRouters_run(&routers, TIMEOUT_MS + LOOKS_MS);
    ck_assert_uint_eq(upstream->unanswered, 0);
    ck_assert(!upstream->suspect);
    ck_assert_uint_eq(probes(), 1);
    end();
}
END_TEST

START_TEST(who_is_removed_is_not_asked_again)
{
    begin(1, 0);
    holds = TRUE;
    Upstream_noteUnreachable(upstream);
    FakeRouters_await(&routers, is_asked);
    UpstreamSet_drop(routers.upstreams, "u");
    FakeRouters_run(&routers, TIMEOUT_MS + LOOKS_MS);
    ck_assert_uint_eq(probes(), 1);
    end();
}
END_TEST

START_TEST(it_may_end_while_a_probe_is_open)
{
    begin(1, 0);
    holds = TRUE;
    Upstream_noteUnreachable(upstream);
    FakeRouters_await(&routers, is_asked);
    UpstreamProber_destroy(prober);
    prober = NULL;
    end();
}
END_TEST

/* The place of each router in the order of those that ask. */
static guint
find_router(gboolean asks)
{
    for (guint i = 0; i < MANY; i++) {
        guint rank =
            Membership_localRank(routers.list[i].membership, "u", NULL);
        if ((rank < 3) == asks) {
            return i;
        }
    }
    return 0;
}

/* Ranks follow from names alone, so that a first set of routers tells. */
static guint
which_router(gboolean asks)
{
    FakeRouters_init(&routers, MANY, MESH);
    guint which = find_router(asks);
    FakeRouters_clear(&routers);
    return which;
}

START_TEST(a_peers_doubt_is_asked_about_by_a_few)
{
    begin(MANY, which_router(TRUE));
    Upstream_notePeerSuspicion(upstream);
    FakeRouters_await(&routers, is_reached);
    ck_assert_uint_eq(probes(), 1);
    end();
}
END_TEST

START_TEST(others_wait_for_the_word_of_those_and_ask_without_it)
{
    begin(MANY, which_router(FALSE));
    gint64 began_ms = Clock_nowMs();
    Upstream_notePeerSuspicion(upstream);
    FakeRouters_await(&routers, is_probed);
    ck_assert_int_ge(Clock_nowMs() - began_ms, PATIENCE_MS);
    FakeRouters_await(&routers, is_reached);
    end();
}
END_TEST

START_TEST(the_word_of_those_ends_a_peers_doubt_without_a_probe)
{
    begin(MANY, which_router(FALSE));
    Upstream_noteSuspicionReport(upstream, Clock_nowMs());
    Upstream_notePeerSuspicion(upstream);
    FakeRouters_run(&routers, LOOKS_MS);
    ck_assert(Upstream_resolveSuspicion(upstream));
    FakeRouters_run(&routers, LOOKS_MS);
    ck_assert(!upstream->suspect);
    ck_assert_uint_eq(probes(), 0);
    end();
}
END_TEST

START_TEST(what_it_finds_out_for_itself_is_asked_about_at_once)
{
    begin(MANY, which_router(FALSE));
    Upstream_notePeerSuspicion(upstream);
    FakeRouters_run(&routers, LOOKS_MS);
    ck_assert_uint_eq(probes(), 0);
    Upstream_noteUnreachable(upstream);
    ck_assert(!Upstream_resolveSuspicion(upstream) || upstream->suspect);
    FakeRouters_await(&routers, is_reached);
    ck_assert_uint_eq(probes(), 1);
    end();
}
END_TEST

TESTING_MAIN("UpstreamProber", who_is_not_in_doubt_is_not_asked,
             any_answer_ends_a_doubt,
             a_doubt_that_comes_again_starts_no_second_probe,
             a_probe_that_is_not_answered_is_repeated,
             a_late_answer_ends_no_doubt_and_disturbs_no_probe,
             a_lost_probe_says_nothing_of_who_has_answered_meanwhile,
             who_is_removed_is_not_asked_again,
             it_may_end_while_a_probe_is_open,
             a_peers_doubt_is_asked_about_by_a_few,
             others_wait_for_the_word_of_those_and_ask_without_it,
             the_word_of_those_ends_a_peers_doubt_without_a_probe,
             what_it_finds_out_for_itself_is_asked_about_at_once)
