/* What the silence of an upstream, or a lost connection to it, does to its
 * use. */
#include "RelayFeedback.h"

#include "Clock.h"
#include "Context.h"
#include "testing.h"

static struct event_base *base;
static Settings_t settings;
static Context_t context;
static Upstream_t *upstream;
static UpstreamSet_t *upstreams;
static RelayFeedback_t feedback;

static void
begin(gboolean probe_silent)
{
    UpstreamSpec_t spec = {.hall = g_string_new("h"),
                           .region = g_string_new("r"),
                           .serves = g_ptr_array_new(),
                           .slots = 4};
    base = event_base_new();
    upstream = Upstream_create(base, "e1", &spec, 0);
    g_string_free(spec.hall, TRUE);
    g_string_free(spec.region, TRUE);
    g_ptr_array_unref(spec.serves);
    settings = (Settings_t){.relay = {.probe_silent = probe_silent}};
    upstreams = UpstreamSet_create(base, 0);
    context = (Context_t){.settings = &settings,
                          .path = UpstreamPath_create(upstreams)};
    feedback = (RelayFeedback_t){.context = &context,
                                 .upstream = upstream,
                                 .origin = NoticeOrigin_begin(upstream, "q")};
}

static void
end(void)
{
    Upstream_unref(upstream);
    UpstreamPath_destroy(context.path);
    UpstreamSet_destroy(upstreams);
    event_base_free(base);
}

static gboolean
is_usable(void)
{
    return Upstream_isUsable(upstream, Clock_nowMs());
}

/* Routers took busy engines out of use in the whole fleet. */
START_TEST(a_silent_upstream_stays_in_use_while_it_is_probed)
{
    begin(TRUE);
    ck_assert(!RelayFeedback_noteSilence(&feedback));
    ck_assert(is_usable());
    ck_assert(upstream->probe_wanted);
    end();
}
END_TEST

START_TEST(a_silent_upstream_is_not_used_without_the_setting)
{
    begin(FALSE);
    ck_assert(!RelayFeedback_noteSilence(&feedback));
    ck_assert(!is_usable());
    ck_assert(!upstream->probe_wanted);
    end();
}
END_TEST

START_TEST(an_upstream_that_answered_a_moment_ago_is_not_probed)
{
    begin(TRUE);
    Upstream_noteReachable(upstream, Clock_nowMs());
    ck_assert(!RelayFeedback_noteSilence(&feedback));
    ck_assert(is_usable());
    ck_assert(!upstream->probe_wanted);
    end();
}
END_TEST

START_TEST(an_attempt_may_be_given_up_after_an_unanswered_probe)
{
    begin(TRUE);
    Upstream_noteUnreachable(upstream);
    upstream->unanswered = 1;
    ck_assert(RelayFeedback_noteSilence(&feedback));
    end();
}
END_TEST

START_TEST(an_attempt_that_ends_silent_does_not_end_the_use)
{
    begin(TRUE);
    RelayFeedback_noteReachability(&feedback, ATTEMPT_SILENT);
    ck_assert(is_usable());
    ck_assert(upstream->probe_wanted);
    end();
}
END_TEST

START_TEST(a_lost_connection_ends_the_use_at_once)
{
    const AttemptEnd_t ends[] = {ATTEMPT_NOT_SENT, ATTEMPT_CUT};
    for (guint i = 0; i < G_N_ELEMENTS(ends); i++) {
        begin(TRUE);
        RelayFeedback_noteReachability(&feedback, ends[i]);
        ck_assert(!is_usable());
        end();
    }
}
END_TEST

/* The only upstream was not used for the end of an idle connection. */
START_TEST(the_end_of_a_used_connection_only_asks_for_a_probe)
{
    begin(FALSE);
    RelayFeedback_noteReachability(&feedback, ATTEMPT_STALE);
    ck_assert(is_usable());
    ck_assert(upstream->probe_wanted);
    ck_assert(!UpstreamPath_isInDoubt(context.path));
    end();
}
END_TEST

/* Requests were refused between a failure and the first probe. */
START_TEST(a_lost_connection_puts_the_path_in_doubt_at_once)
{
    begin(TRUE);
    ck_assert(!UpstreamPath_isInDoubt(context.path));
    RelayFeedback_noteReachability(&feedback, ATTEMPT_NOT_SENT);
    ck_assert(UpstreamPath_isInDoubt(context.path));
    end();
}
END_TEST

TESTING_MAIN("RelayFeedback",
             the_end_of_a_used_connection_only_asks_for_a_probe,
             a_lost_connection_puts_the_path_in_doubt_at_once,
             a_silent_upstream_stays_in_use_while_it_is_probed,
             a_silent_upstream_is_not_used_without_the_setting,
             an_upstream_that_answered_a_moment_ago_is_not_probed,
             an_attempt_may_be_given_up_after_an_unanswered_probe,
             an_attempt_that_ends_silent_does_not_end_the_use,
             a_lost_connection_ends_the_use_at_once)
