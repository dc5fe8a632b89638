/**
 * DOC: wt-load
 *
 * Sends streamed requests to routers, or to an engine itself, and prints
 * what it measured as JSON. With --rate arrivals are open-loop: a request is
 * asked when it is due, whatever became of those before, and its times count
 * from then. With --streams so many are kept under way.
 */
#include <argp.h>
#include <jansson.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "Clock.h"
#include "LoadStream.h"

#define US_PER_S 1000000

enum {
    OPTION_TARGET = 't',
    OPTION_DIRECT = 'd',
    OPTION_PROFILE = 'p',
    OPTION_MODEL = 'm',
    OPTION_RATE = 'r',
    OPTION_STREAMS = 's',
    OPTION_SECONDS = 'n',
    OPTION_SEED = 'e',
    OPTION_TOKENS = 'k',
    OPTION_SHIFT = 'f',
    OPTION_SAMPLES = 'a',
    OPTION_COUNT = 'c',
};

typedef struct {
    struct event_base *base;
    GPtrArray *targets; /* "host:port" */
    LoadTarget_t *routers;
    Workload_t *workload;
    Profile_t profile;
    Results_t results;
    const char *model;
    gboolean direct;
    double rate;
    guint streams;
    double seconds;
    guint seed;
    double shift_at;
    gboolean shifted;
    gboolean samples;
    guint count;
    guint next_target;
    guint open;
    gboolean ending;
    gint64 began_us;
    gint64 due_us;
    struct event *arrival;
    GPtrArray *keys; /* authorization of each customer */
} Load_t;

static const struct argp_option options[] = {
    {"target", OPTION_TARGET, "IP:PORT", 0, "Whom to ask; may be repeated", 0},
    {"direct", OPTION_DIRECT, NULL, 0, "The targets are engines", 0},
    {"profile", OPTION_PROFILE, "NAME", 0, "small, kochi or rosario", 0},
    {"model", OPTION_MODEL, "NAME", 0, "Model to ask for", 0},
    {"rate", OPTION_RATE, "N", 0, "Arrivals a second, open-loop", 0},
    {"streams", OPTION_STREAMS, "N", 0, "Keep so many under way", 0},
    {"seconds", OPTION_SECONDS, "N", 0, "How long to ask", 0},
    {"count", OPTION_COUNT, "N", 0, "Ask so many and no more", 0},
    {"seed", OPTION_SEED, "N", 0, "Seed of the workload", 0},
    {"tokens", OPTION_TOKENS, "N", 0, "Mean length of an answer", 0},
    {"shift", OPTION_SHIFT, "SECOND", 0, "When the hot histories change", 0},
    {"samples", OPTION_SAMPLES, NULL, 0, "Print each first token's delay", 0},
    {0},
};

static error_t
parse_option(int key, char *value, struct argp_state *state)
{
    Load_t *this = state->input;
    const Profile_t *profile = NULL;
    switch (key) {
    case OPTION_TARGET:
        g_ptr_array_add(this->targets, value);
        break;
    case OPTION_DIRECT:
        this->direct = TRUE;
        break;
    case OPTION_PROFILE:
        profile = Workload_profile(value);
        if (!profile) {
            argp_error(state, "no profile %s", value);
            break;
        }
        this->profile = *profile;
        break;
    case OPTION_MODEL:
        this->model = value;
        break;
    case OPTION_RATE:
        this->rate = g_ascii_strtod(value, NULL);
        break;
    case OPTION_STREAMS:
        this->streams = (guint)g_ascii_strtoull(value, NULL, 10);
        break;
    case OPTION_SECONDS:
        this->seconds = g_ascii_strtod(value, NULL);
        break;
    case OPTION_COUNT:
        this->count = (guint)g_ascii_strtoull(value, NULL, 10);
        break;
    case OPTION_SEED:
        this->seed = (guint)g_ascii_strtoull(value, NULL, 10);
        break;
    case OPTION_TOKENS:
        this->profile.answer_tokens = (guint)g_ascii_strtoull(value, NULL, 10);
        break;
    case OPTION_SHIFT:
        this->shift_at = g_ascii_strtod(value, NULL);
        break;
    case OPTION_SAMPLES:
        this->samples = TRUE;
        break;
    default:
        return ARGP_ERR_UNKNOWN;
    }
    return 0;
}

static void ask(Load_t *this, gint64 due_us);

static void
on_stream_done(void *data)
{
    Load_t *this = data;
    this->open--;
    if (this->streams > 0 && !this->ending) {
        ask(this, Clock_nowUs());
    }
    if (this->ending && this->open == 0) {
        event_base_loopbreak(this->base);
    }
}

static void
ask(Load_t *this, gint64 due_us)
{
    if (this->count > 0 && this->results.asked >= this->count) {
        this->ending = TRUE;
        return;
    }
    Asked_t *asked = Workload_next(this->workload);
    LoadTarget_t *target =
        &this->routers[this->next_target++ % this->targets->len];
    target->authorization = g_ptr_array_index(this->keys, asked->customer);
    target->deadline_ms = this->profile.deadline_ms;
    target->priority = asked->urgent ? "high" : "low";
    this->open++;
    LoadStream_start(target, asked, due_us, &this->results, on_stream_done,
                     this);
}

static void
maybe_shift(Load_t *this)
{
    gint64 passed = this->due_us - this->began_us;
    if (this->shift_at > 0 && !this->shifted &&
        (double)passed >= this->shift_at * US_PER_S) {
        this->shifted = TRUE;
        Workload_shift(this->workload);
    }
}

/* Asks for all that are due; a loop that was late catches up. */
static void
on_arrival(evutil_socket_t fd, short what, void *data)
{
    (void)fd;
    (void)what;
    Load_t *this = data;
    gint64 now_us = Clock_nowUs();
    while (this->due_us <= now_us && !this->ending) {
        maybe_shift(this);
        ask(this, this->due_us);
        this->due_us += Workload_gapUs(this->workload, this->rate);
    }
    if (!this->ending) {
        gint64 wait = this->due_us - now_us;
        struct timeval time = {wait / US_PER_S, wait % US_PER_S};
        evtimer_add(this->arrival, &time);
    }
}

static void
on_end(evutil_socket_t fd, short what, void *data)
{
    (void)fd;
    (void)what;
    Load_t *this = data;
    this->ending = TRUE;
    if (this->open == 0) {
        event_base_loopbreak(this->base);
    }
}

static json_t *
quantiles(const Histogram_t *histogram)
{
    return json_pack(
        "{s:f, s:f, s:f, s:f, s:I}", "p50",
        (double)Histogram_quantile(histogram, 0.5) / 1000.0, "p95",
        (double)Histogram_quantile(histogram, 0.95) / 1000.0, "p99",
        (double)Histogram_quantile(histogram, 0.99) / 1000.0, "p99.9",
        (double)Histogram_quantile(histogram, 0.999) / 1000.0, "count",
        (json_int_t)histogram->count);
}

static json_t *
reasons_of(const Results_t *results)
{
    json_t *reasons = json_object();
    GHashTableIter iter;
    gpointer code = NULL;
    gpointer count = NULL;
    g_hash_table_iter_init(&iter, results->reasons);
    while (g_hash_table_iter_next(&iter, &code, &count)) {
        json_object_set_new(reasons, code,
                            json_integer(GPOINTER_TO_UINT(count)));
    }
    return reasons;
}

static json_t *
samples_of(const Load_t *this)
{
    json_t *list = json_array();
    const GArray *samples = this->results.samples;
    for (guint i = 0; this->samples && i + 1 < samples->len; i += 2) {
        double due = (double)g_array_index(samples, guint64, i) -
                     (double)this->began_us;
        double first = (double)g_array_index(samples, guint64, i + 1);
        json_array_append_new(
            list, json_pack("[f, f]", due / US_PER_S, first / 1000.0));
    }
    return list;
}

static void
print_results(const Load_t *this)
{
    const Results_t *results = &this->results;
    double seconds = (double)(Clock_nowUs() - this->began_us) / US_PER_S;
    json_t *root = json_pack(
        "{s:f, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:f, s:I, s:I, s:o, s:o, "
        "s:o, s:o}",
        "seconds", seconds, "asked", (json_int_t)results->asked, "whole",
        (json_int_t)results->whole, "broken", (json_int_t)results->broken,
        "wrong", (json_int_t)results->wrong, "refused",
        (json_int_t)results->refused, "late", (json_int_t)results->late,
        "tokens", (json_int_t)results->tokens, "tokens_per_second",
        (double)results->tokens / seconds, "urgent_asked",
        (json_int_t)results->urgent_asked, "urgent_in_time",
        (json_int_t)results->urgent_in_time, "reasons", reasons_of(results),
        "first_token_ms", quantiles(&results->first_token), "gap_ms",
        quantiles(&results->gaps), "samples", samples_of(this));
    char *text = json_dumps(root, JSON_INDENT(1) | JSON_REAL_PRECISION(6));
    puts(text);
    free(text);
    json_decref(root);
}

static void
create_targets(Load_t *this)
{
    this->routers = g_new0(LoadTarget_t, this->targets->len);
    for (guint i = 0; i < this->targets->len; i++) {
        char *text = g_ptr_array_index(this->targets, i);
        char *colon = strrchr(text, ':');
        if (!colon) {
            fprintf(stderr, "wt-load: bad target %s\n", text);
            exit(2);
        }
        *colon = '\0';
        this->routers[i].base = this->base;
        this->routers[i].host = text;
        this->routers[i].port = (guint16)strtoul(colon + 1, NULL, 10);
        this->routers[i].direct = this->direct;
    }
    this->keys = g_ptr_array_new_with_free_func(g_free);
    for (guint i = 0; i < this->profile.customers; i++) {
        g_ptr_array_add(this->keys, g_strdup_printf("Bearer c%u-key", i));
    }
}

static void
run(Load_t *this)
{
    struct event *end = Clock_timer(this->base, on_end, this);
    this->arrival = Clock_timer(this->base, on_arrival, this);
    Clock_arm(end, (gint64)(this->seconds * 1000));
    this->began_us = Clock_nowUs();
    this->due_us = this->began_us;
    if (this->rate > 0) {
        Clock_arm(this->arrival, 0);
    }
    for (guint i = 0; i < this->streams; i++) {
        ask(this, Clock_nowUs());
    }
    event_base_dispatch(this->base);
    event_free(end);
    event_free(this->arrival);
}

int
main(int argc, char **argv)
{
    static const struct argp parser = {
        .options = options,
        .parser = parse_option,
        .doc = "Load and experiment tool of wheattiller."};
    Load_t this = {.targets = g_ptr_array_new(),
                   .model = "m",
                   .seconds = 5.0,
                   .seed = 1,
                   .profile = *Workload_profile("small")};
    signal(SIGPIPE, SIG_IGN);
    argp_parse(&parser, argc, argv, 0, NULL, &this);
    if (this.targets->len == 0 || (this.rate <= 0 && this.streams == 0)) {
        fputs("wt-load: needs --target, and --rate or --streams\n", stderr);
        return 2;
    }
    struct event_config *config = event_config_new();
    event_config_set_flag(config, EVENT_BASE_FLAG_PRECISE_TIMER);
    this.base = event_base_new_with_config(config);
    event_config_free(config);
    this.workload = Workload_create(&this.profile, this.model, this.seed);
    this.results.reasons =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    this.results.samples = g_array_new(FALSE, FALSE, sizeof(guint64));
    create_targets(&this);
    run(&this);
    print_results(&this);
    return this.results.wrong == 0 ? 0 : 1;
}
