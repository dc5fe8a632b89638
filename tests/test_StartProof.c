/* A stream goes on at an engine only if that names its start, and a question
 * that is lost costs no stream its engine. */
#include "StartProof.h"

#include <event2/buffer.h>

#include "Clock.h"
#include "testing.h"

#define START 77
#define TIMEOUT_MS 600
#define BEFORE_LIMIT_MS 450
#define AFTER_LIMIT_MS 700
#define PATH "/state"

/* What the engine does with a question. */
typedef enum {
    SAYS_START,
    SAYS_NOTHING,
    CLOSES,
    SAYS_UNREADABLE,
} Reaction_t;

static struct event_base *base;
static struct evhttp *server;
static Upstream_t *upstream;
static Reaction_t reactions[8];
static guint questions;
static guint proofs;
static gboolean was_silent;
static guint64 proved;
static gint64 proved_ms;

static gboolean
read_state(const HttpAnswer_t *answer, EngineState_t *out)
{
    out->incarnation = 0;
    for (gsize i = 0; i < answer->length; i++) {
        if (!g_ascii_isdigit(answer->body[i])) {
            return FALSE;
        }
        out->incarnation =
            10 * out->incarnation + (guint64)(answer->body[i] - '0');
    }
    return TRUE;
}

static const OrderForm_t form = {
    .state_path = PATH,
    .instance_header = "X-Instance",
    .read_state = read_state,
};

static void
react(struct evhttp_request *request, void *data)
{
    (void)data;
    struct evbuffer *body = evbuffer_new();
    Reaction_t reaction = reactions[questions++];
    if (reaction == CLOSES) {
        evhttp_connection_free(evhttp_request_get_connection(request));
    }
    else if (reaction != SAYS_NOTHING) {
        evbuffer_add_printf(body, "%s", reaction == SAYS_START ? "77" : "x");
        evhttp_send_reply(request, 200, "OK", body);
    }
    evbuffer_free(body);
}

/* Other timers go by a clock that is behind by up to a tick of the kernel, and
 * end that much early. */
static struct event_base *
create_precise_base(void)
{
    struct event_config *config = event_config_new();
    event_config_set_flag(config, EVENT_BASE_FLAG_PRECISE_TIMER);
    struct event_base *created = event_base_new_with_config(config);
    event_config_free(config);
    return created;
}

static void
create(Reaction_t first, Reaction_t second)
{
    struct sockaddr_in bound;
    socklen_t size = sizeof(bound);
    base = create_precise_base();
    server = evhttp_new(base);
    struct evhttp_bound_socket *socket =
        evhttp_bind_socket_with_handle(server, OwnHost_get(), 0);
    ck_assert_ptr_nonnull(socket);
    getsockname(evhttp_bound_socket_get_fd(socket), (struct sockaddr *)&bound,
                &size);
    evhttp_set_gencb(server, react, NULL);
    UpstreamSpec_t spec = {.address = {.port = ntohs(bound.sin_port)},
                           .hall = g_string_new("h"),
                           .region = g_string_new("r"),
                           .serves = g_ptr_array_new(),
                           .slots = 4};
    g_strlcpy(spec.address.host, OwnHost_get(), sizeof(spec.address.host));
    upstream = Upstream_create(base, "e1", &spec, 2);
    g_string_free(spec.hall, TRUE);
    g_string_free(spec.region, TRUE);
    g_ptr_array_unref(spec.serves);
    Upstream_noteIncarnation(upstream, START, Clock_nowMs());
    questions = 0;
    proofs = 0;
    proved = 0;
    reactions[0] = first;
    reactions[1] = second;
}

static void
destroy(void)
{
    Upstream_unref(upstream);
    evhttp_free(server);
    event_base_free(base);
}

static void
on_proved(void *owner, guint64 incarnation, gboolean is_silent)
{
    gint64 *asked_ms = owner;
    proofs++;
    was_silent = is_silent;
    proved = incarnation;
    proved_ms = Clock_nowMs() - *asked_ms;
}

static void
pass_time(gint64 ms)
{
    struct timeval delay = {.tv_sec = ms / 1000, .tv_usec = ms % 1000 * 1000};
    event_base_loopexit(base, &delay);
    event_base_dispatch(base);
}

static StartProof_t *
ask(gint64 *asked_ms)
{
    StartProofSpec_t spec = {
        .upstream = upstream,
        .form = &form,
        .timeout_ms = TIMEOUT_MS,
    };
    *asked_ms = Clock_nowMs();
    return StartProof_ask(base, &spec, on_proved, asked_ms);
}

static void
check(guint64 expected, gint64 expected_ms, guint expected_questions)
{
    gint64 asked_ms = 0;
    ask(&asked_ms);
    pass_time(AFTER_LIMIT_MS);
    ck_assert_uint_eq(proofs, 1);
    ck_assert_uint_eq(proved, expected);
    ck_assert_int_lt(proved_ms, expected_ms);
    ck_assert_uint_eq(questions, expected_questions);
}

START_TEST(an_engine_that_answers_is_asked_once)
{
    create(SAYS_START, SAYS_START);
    check(START, BEFORE_LIMIT_MS, 1);
    destroy();
}
END_TEST

/* A stream that was continued left a sound engine. */
START_TEST(a_question_that_is_not_answered_is_repeated)
{
    create(SAYS_NOTHING, SAYS_START);
    check(START, BEFORE_LIMIT_MS, 2);
    destroy();
}
END_TEST

START_TEST(a_question_whose_connection_broke_is_repeated_at_once)
{
    create(CLOSES, SAYS_START);
    check(START, TIMEOUT_MS / 2, 2);
    destroy();
}
END_TEST

START_TEST(questions_that_are_both_lost_end_at_the_limit)
{
    create(SAYS_NOTHING, SAYS_NOTHING);
    check(0, AFTER_LIMIT_MS, 2);
    ck_assert_int_ge(proved_ms, TIMEOUT_MS);
    ck_assert(was_silent);
    destroy();
}
END_TEST

START_TEST(questions_whose_connections_both_broke_end_at_once)
{
    create(CLOSES, CLOSES);
    check(0, TIMEOUT_MS / 2, 2);
    destroy();
}
END_TEST

START_TEST(an_answer_without_a_start_is_not_asked_for_again)
{
    create(SAYS_UNREADABLE, SAYS_START);
    check(0, TIMEOUT_MS / 2, 1);
    ck_assert(!was_silent);
    destroy();
}
END_TEST

START_TEST(a_proof_that_was_cancelled_is_not_told)
{
    create(SAYS_NOTHING, SAYS_NOTHING);
    gint64 asked_ms = 0;
    StartProof_t *proof = ask(&asked_ms);
    pass_time(BEFORE_LIMIT_MS);
    StartProof_cancel(proof);
    pass_time(AFTER_LIMIT_MS);
    ck_assert_uint_eq(proofs, 0);
    destroy();
}
END_TEST

TESTING_MAIN("StartProof", an_engine_that_answers_is_asked_once,
             a_question_that_is_not_answered_is_repeated,
             a_question_whose_connection_broke_is_repeated_at_once,
             questions_that_are_both_lost_end_at_the_limit,
             questions_whose_connections_both_broke_end_at_once,
             an_answer_without_a_start_is_not_asked_for_again,
             a_proof_that_was_cancelled_is_not_told)
