#include "testing.h"

#include <event2/http.h>
#include <string.h>

#include "Clock.h"
#include "FakeRouters.h"
#include "UpstreamProber.h"

#define TARGET "s"
#define STATE_PATH "/v1/report"
#define COUNTER "upstream_probes_total"
#define ALIVE_COUNTER "upstream_silent_but_alive_total"
#define MESH 16
/* Short, so that a test need not wait long for an unanswered probe. */
#define TIMEOUT_MS 200
/* Several checks for suspected upstreams. */
#define CHECKS_MS 400
/* Minimum time for which a peer's suspicion is left to the routers that probe.
 */
#define PROBERS_TIMEOUT_MS 2500
/* Enough routers that some leave a peer's suspicion to others. */
#define MANY 6
/* Routers of lower ranks probe an upstream that a peer suspects. */
#define PROBERS 3

static FakeRouters_t routers;
static RouteTable_t *routes;
static HintBroadcast_t *hints;
static UpstreamProber_t *prober;
static Upstream_t *upstream;
static struct evhttp *server;
static struct evhttp_request *pending; /* the last unanswered probe */
static gboolean delays_answers;        /* probes are left unanswered */
static int status;
static guint requests_received;

static void
on_request(struct evhttp_request *request, void *data)
{
    (void)data;
    ck_assert_str_eq(evhttp_request_get_uri(request), STATE_PATH);
    requests_received++;
    if (delays_answers) {
        pending = request;
        return;
    }
    evhttp_send_reply(request, status, NULL, NULL);
}

static gboolean
receive_hint(void *owner, const Hint_t *hint)
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

/* Creates @count routers, and the prober of the one at index @local. */
static void
begin(guint count, guint local)
{
    delays_answers = FALSE;
    pending = NULL;
    status = HTTP_OK;
    requests_received = 0;
    FakeRouters_init(&routers, count, MESH);
    Membership_t *membership = routers.list[local].membership;
    put_upstream();
    routes = RouteTable_create();
    hints = HintBroadcast_create(routers.base, membership, receive_hint, NULL);
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
    HintBroadcast_destroy(hints);
    RouteTable_destroy(routes);
    evhttp_free(server);
    FakeRouters_clear(&routers);
}

static guint
count_probes(void)
{
    return (guint)Counters_value(routers.counters, COUNTER, NULL);
}

static gboolean
is_reachable(const FakeRouters_t *this)
{
    (void)this;
    return !upstream->suspect;
}

static gboolean
is_requested(const FakeRouters_t *this)
{
    (void)this;
    return requests_received > 0;
}

static gboolean
is_answered(const FakeRouters_t *this)
{
    (void)this;
    return upstream->last_answer_ms > 0;
}

static gboolean
is_requested_twice(const FakeRouters_t *this)
{
    (void)this;
    return requests_received > 1;
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
    return count_probes() > 0;
}

static guint
count_sent_hints(guint router, HintKind_t kind)
{
    guint found = 0;
    const GPtrArray *sent = routers.list[router].received;
    for (guint i = 0; i < sent->len; i++) {
        const Wt__PeerMessage *message = g_ptr_array_index(sent, i);
        gboolean is_hints = message->body_case == WT__PEER_MESSAGE__BODY_HINTS;
        for (guint k = 0; is_hints && k < message->hints->n_hints; k++) {
            found += message->hints->hints[k]->kind == (guint)kind ? 1 : 0;
        }
    }
    return found;
}

START_TEST(an_upstream_that_is_not_suspected_is_not_probed)
{
    begin(1, 0);
    FakeRouters_run(&routers, CHECKS_MS);
    ck_assert_uint_eq(count_probes(), 0);
    end();
}
END_TEST

/* The status does not matter: the answer shows that it is reachable. */
START_TEST(any_answer_ends_a_suspicion)
{
    begin(2, 0);
    status = HTTP_SERVUNAVAIL;
    Upstream_noteUnreachable(upstream);
    FakeRouters_await(&routers, is_reachable);
    FakeRouters_run(&routers, CHECKS_MS);
    ck_assert_uint_eq(requests_received, 1);
    ck_assert_uint_eq(count_sent_hints(1, HINT_UNREACHABLE), 1);
    ck_assert_uint_eq(count_sent_hints(1, HINT_REACHABLE), 1);
    end();
}
END_TEST

START_TEST(a_repeated_suspicion_starts_no_second_probe)
{
    begin(2, 0);
    delays_answers = TRUE;
    Upstream_noteUnreachable(upstream);
    FakeRouters_await(&routers, is_requested);
    Upstream_noteUnreachable(upstream);
    Upstream_notePeerSuspicion(upstream);
    FakeRouters_run(&routers, TIMEOUT_MS / 4);
    ck_assert_uint_eq(count_probes(), 1);
    evhttp_send_reply(pending, HTTP_OK, NULL, NULL);
    FakeRouters_await(&routers, is_reachable);
    FakeRouters_run(&routers, CHECKS_MS);
    ck_assert_uint_eq(count_sent_hints(1, HINT_UNREACHABLE), 1);
    end();
}
END_TEST

START_TEST(an_unanswered_probe_is_repeated)
{
    begin(1, 0);
    delays_answers = TRUE;
    Upstream_noteUnreachable(upstream);
    FakeRouters_await(&routers, is_unanswered);
    ck_assert(upstream->suspect);
    delays_answers = FALSE;
    FakeRouters_await(&routers, is_reachable);
    ck_assert_uint_eq(upstream->unanswered, 0);
    ck_assert_uint_eq(requests_received, 2);
    end();
}
END_TEST

START_TEST(a_late_answer_ends_no_suspicion_and_disturbs_no_probe)
{
    begin(1, 0);
    delays_answers = TRUE;
    Upstream_noteUnreachable(upstream);
    FakeRouters_await(&routers, is_unanswered);
    evhttp_send_reply(pending, HTTP_OK, NULL, NULL);
    FakeRouters_await(&routers, is_requested_twice);
    ck_assert(upstream->suspect);
    evhttp_send_reply(pending, HTTP_OK, NULL, NULL);
    FakeRouters_await(&routers, is_reachable);
    end();
}
END_TEST

START_TEST(a_lost_probe_is_ignored_if_the_upstream_answered_meanwhile)
{
    begin(1, 0);
    delays_answers = TRUE;
    Upstream_noteUnreachable(upstream);
    FakeRouters_await(&routers, is_requested);
    Upstream_noteReachable(upstream, Clock_nowMs());
    FakeRouters_run(&routers, TIMEOUT_MS + CHECKS_MS);
    ck_assert_uint_eq(upstream->unanswered, 0);
    ck_assert(!upstream->suspect);
    ck_assert_uint_eq(count_probes(), 1);
    end();
}
END_TEST

START_TEST(a_removed_upstream_is_not_probed_again)
{
    begin(1, 0);
    delays_answers = TRUE;
    Upstream_noteUnreachable(upstream);
    FakeRouters_await(&routers, is_requested);
    UpstreamSet_remove(routers.upstreams, "u");
    FakeRouters_run(&routers, TIMEOUT_MS + CHECKS_MS);
    ck_assert_uint_eq(count_probes(), 1);
    end();
}
END_TEST

START_TEST(the_prober_may_be_destroyed_while_a_probe_is_open)
{
    begin(1, 0);
    delays_answers = TRUE;
    Upstream_noteUnreachable(upstream);
    FakeRouters_await(&routers, is_requested);
    UpstreamProber_destroy(prober);
    prober = NULL;
    end();
}
END_TEST

/* Finds a router that does, or does not, probe when a peer suspects the
 * upstream. */
static guint
find_router(gboolean is_prober)
{
    for (guint i = 0; i < MANY; i++) {
        guint rank =
            Membership_localRank(routers.list[i].membership, "u", NULL);
        if ((rank < PROBERS) == is_prober) {
            return i;
        }
    }
    return 0;
}

/* Ranks depend on names alone, so they are those of the routers that begin()
 * creates later. */
static guint
predict_router(gboolean is_prober)
{
    FakeRouters_init(&routers, MANY, MESH);
    guint found = find_router(is_prober);
    FakeRouters_clear(&routers);
    return found;
}

START_TEST(a_router_of_a_low_rank_probes_when_a_peer_suspects)
{
    begin(MANY, predict_router(TRUE));
    Upstream_notePeerSuspicion(upstream);
    FakeRouters_await(&routers, is_reachable);
    ck_assert_uint_eq(count_probes(), 1);
    end();
}
END_TEST

START_TEST(other_routers_probe_only_after_a_timeout)
{
    begin(MANY, predict_router(FALSE));
    gint64 began_ms = Clock_nowMs();
    Upstream_notePeerSuspicion(upstream);
    FakeRouters_await(&routers, is_probed);
    ck_assert_int_ge(Clock_nowMs() - began_ms, PROBERS_TIMEOUT_MS);
    FakeRouters_await(&routers, is_reachable);
    end();
}
END_TEST

START_TEST(a_peers_answer_ends_a_peers_suspicion_without_a_probe)
{
    begin(MANY, predict_router(FALSE));
    Upstream_noteSuspicionReport(upstream, Clock_nowMs());
    Upstream_notePeerSuspicion(upstream);
    FakeRouters_run(&routers, CHECKS_MS);
    ck_assert(Upstream_resolveSuspicion(upstream));
    FakeRouters_run(&routers, CHECKS_MS);
    ck_assert(!upstream->suspect);
    ck_assert_uint_eq(count_probes(), 0);
    end();
}
END_TEST

START_TEST(a_suspicion_of_the_router_itself_is_probed_at_once)
{
    begin(MANY, predict_router(FALSE));
    Upstream_notePeerSuspicion(upstream);
    FakeRouters_run(&routers, CHECKS_MS);
    ck_assert_uint_eq(count_probes(), 0);
    Upstream_noteUnreachable(upstream);
    ck_assert(!Upstream_resolveSuspicion(upstream) || upstream->suspect);
    FakeRouters_await(&routers, is_reachable);
    ck_assert_uint_eq(count_probes(), 1);
    end();
}
END_TEST

static guint
count_alive(void)
{
    return (guint)Counters_value(routers.counters, ALIVE_COUNTER, NULL);
}

/* Routers took busy engines out of use in the whole fleet. */
START_TEST(a_silent_upstream_that_answers_the_probe_stays_in_use)
{
    begin(2, 0);
    delays_answers = TRUE;
    Upstream_noteSilent(upstream);
    FakeRouters_await(&routers, is_requested);
    FakeRouters_run(&routers, TIMEOUT_MS / 4);
    ck_assert(Upstream_isUsable(upstream, Clock_nowMs()));
    evhttp_send_reply(pending, HTTP_OK, NULL, NULL);
    FakeRouters_await(&routers, is_answered);
    FakeRouters_run(&routers, CHECKS_MS);
    ck_assert(Upstream_isUsable(upstream, Clock_nowMs()));
    ck_assert_uint_eq(count_probes(), 1);
    ck_assert_uint_eq(count_alive(), 1);
    ck_assert_uint_eq(count_sent_hints(1, HINT_UNREACHABLE), 0);
    ck_assert_uint_eq(count_sent_hints(1, HINT_REACHABLE), 0);
    end();
}
END_TEST

START_TEST(a_silent_upstream_that_answers_no_probe_is_suspected)
{
    begin(2, 0);
    delays_answers = TRUE;
    gint64 began_ms = Clock_nowMs();
    Upstream_noteSilent(upstream);
    FakeRouters_await(&routers, is_unanswered);
    ck_assert_int_lt(Clock_nowMs() - began_ms, TIMEOUT_MS + CHECKS_MS);
    ck_assert(!Upstream_isUsable(upstream, Clock_nowMs()));
    ck_assert_uint_eq(upstream->unanswered, 1);
    ck_assert_uint_eq(count_probes(), 1);
    delays_answers = FALSE;
    FakeRouters_await(&routers, is_reachable);
    FakeRouters_run(&routers, CHECKS_MS);
    ck_assert_uint_eq(count_alive(), 0);
    ck_assert_uint_eq(count_sent_hints(1, HINT_UNREACHABLE), 1);
    ck_assert_uint_eq(count_sent_hints(1, HINT_REACHABLE), 1);
    end();
}
END_TEST

START_TEST(a_failed_connection_while_silence_is_probed_is_reported_at_once)
{
    begin(2, 0);
    delays_answers = TRUE;
    Upstream_noteSilent(upstream);
    FakeRouters_await(&routers, is_requested);
    Upstream_noteUnreachable(upstream);
    FakeRouters_run(&routers, TIMEOUT_MS * 3 / 4);
    ck_assert_uint_eq(upstream->unanswered, 0);
    ck_assert_uint_eq(count_probes(), 1);
    FakeRouters_run(&routers, CHECKS_MS);
    ck_assert_uint_eq(count_sent_hints(1, HINT_UNREACHABLE), 1);
    end();
}
END_TEST

START_TEST(
    a_lost_probe_of_silence_is_ignored_if_the_upstream_answered_meanwhile)
{
    begin(2, 0);
    delays_answers = TRUE;
    Upstream_noteSilent(upstream);
    FakeRouters_await(&routers, is_requested);
    Upstream_noteReachable(upstream, Clock_nowMs());
    FakeRouters_run(&routers, TIMEOUT_MS + CHECKS_MS);
    ck_assert(Upstream_isUsable(upstream, Clock_nowMs()));
    ck_assert_uint_eq(upstream->unanswered, 0);
    ck_assert_uint_eq(count_probes(), 1);
    ck_assert_uint_eq(count_sent_hints(1, HINT_UNREACHABLE), 0);
    end();
}
END_TEST

/* A request that waits at the upstream needs this router's own probe. */
START_TEST(silence_is_probed_at_once_despite_a_peers_suspicion)
{
    begin(MANY, predict_router(FALSE));
    Upstream_notePeerSuspicion(upstream);
    FakeRouters_run(&routers, CHECKS_MS);
    ck_assert_uint_eq(count_probes(), 0);
    Upstream_noteSilent(upstream);
    FakeRouters_run(&routers, CHECKS_MS);
    ck_assert_uint_eq(count_probes(), 1);
    ck_assert(Upstream_isUsable(upstream, Clock_nowMs()));
    end();
}
END_TEST

TESTING_MAIN(
    "UpstreamProber", an_upstream_that_is_not_suspected_is_not_probed,
    any_answer_ends_a_suspicion, a_repeated_suspicion_starts_no_second_probe,
    an_unanswered_probe_is_repeated,
    a_late_answer_ends_no_suspicion_and_disturbs_no_probe,
    a_lost_probe_is_ignored_if_the_upstream_answered_meanwhile,
    a_removed_upstream_is_not_probed_again,
    the_prober_may_be_destroyed_while_a_probe_is_open,
    a_router_of_a_low_rank_probes_when_a_peer_suspects,
    other_routers_probe_only_after_a_timeout,
    a_peers_answer_ends_a_peers_suspicion_without_a_probe,
    a_suspicion_of_the_router_itself_is_probed_at_once,
    a_silent_upstream_that_answers_the_probe_stays_in_use,
    a_silent_upstream_that_answers_no_probe_is_suspected,
    a_failed_connection_while_silence_is_probed_is_reported_at_once,
    a_lost_probe_of_silence_is_ignored_if_the_upstream_answered_meanwhile,
    silence_is_probed_at_once_despite_a_peers_suspicion)
