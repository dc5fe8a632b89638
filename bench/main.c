/**
 * DOC: wt-load
 *
 * Sends streamed requests to routers, or directly to an engine, and prints the
 * measurements as JSON. With --rate the load is open-loop: each request is
 * sent when it is due, even if earlier ones have not ended, and its times
 * count from the due time. With --streams the load is closed-loop: a fixed
 * number of requests is in flight.
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
    GPtrArray *addresses; /* "host:port" */
    LoadTarget_t *load_targets;
    Workload_t *workload;
    LoadProfile_t profile;
    LoadResults_t results;
    const char *model;
    gboolean direct;
    double rate;
    guint streams;
    double seconds;
    guint seed;
    double shift_at_s;
    gboolean is_shifted;
    gboolean print_samples;
    guint count;
    guint next_target;
    guint in_flight;
    gboolean is_ending;
    gint64 start_us;
    gint64 due_us;
    struct event *arrival;
    GPtrArray *authorizations; /* Authorization header of each customer */
} Load_t;

static const struct argp_option options[] = {
    {"target", OPTION_TARGET, "IP:PORT", 0,
     "Address to send requests to; may be repeated", 0},
    {"direct", OPTION_DIRECT, NULL, 0, "The targets are engines, not routers",
     0},
    {"profile", OPTION_PROFILE, "NAME", 0,
     "Workload profile: small, kochi or rosario", 0},
    {"model", OPTION_MODEL, "NAME", 0, "Model named in the requests", 0},
    {"rate", OPTION_RATE, "N", 0, "Requests per second, open-loop", 0},
    {"streams", OPTION_STREAMS, "N", 0, "Keep N requests in flight", 0},
    {"seconds", OPTION_SECONDS, "N", 0, "Duration of the run", 0},
    {"count", OPTION_COUNT, "N", 0, "Stop after N requests", 0},
    {"seed", OPTION_SEED, "N", 0, "Seed of the workload", 0},
    {"tokens", OPTION_TOKENS, "N", 0, "Mean length of an answer", 0},
    {"shift", OPTION_SHIFT, "SECOND", 0,
     "Second at which the popular histories change", 0},
    {"samples", OPTION_SAMPLES, NULL, 0, "Print the delay of each first token",
     0},
    {0},
};

static error_t
parse_option(int key, char *value, struct argp_state *state)
{
    Load_t *this = state->input;
    const LoadProfile_t *profile = NULL;
    switch (key) {
    case OPTION_TARGET:
        g_ptr_array_add(this->addresses, value);
        break;
    case OPTION_DIRECT:
        this->direct = TRUE;
        break;
    case OPTION_PROFILE:
        profile = Workload_findProfile(value);
        if (!profile) {
            argp_error(state, "unknown profile: %s", value);
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
        this->shift_at_s = g_ascii_strtod(value, NULL);
        break;
    case OPTION_SAMPLES:
        this->print_samples = TRUE;
        break;
    default:
        return ARGP_ERR_UNKNOWN;
    }
    return 0;
}

static void send_next(Load_t *this, gint64 due_us);

static void
on_stream_done(void *data)
{
    Load_t *this = data;
    this->in_flight--;
    if (this->streams > 0 && !this->is_ending) {
        send_next(this, Clock_nowUs());
    }
    if (this->is_ending && this->in_flight == 0) {
        event_base_loopbreak(this->base);
    }
}

static void
send_next(Load_t *this, gint64 due_us)
{
    if (this->count > 0 && this->results.asked >= this->count) {
        this->is_ending = TRUE;
        return;
    }
    LoadRequest_t *request = Workload_createRequest(this->workload);
    LoadTarget_t *target =
        &this->load_targets[this->next_target++ % this->addresses->len];
    target->authorization =
        g_ptr_array_index(this->authorizations, request->customer);
    target->deadline_ms = this->profile.deadline_ms;
    target->priority = request->urgent ? "high" : "low";
    this->in_flight++;
    LoadStream_start(target, request, due_us, &this->results, on_stream_done,
                     this);
}

static void
shift_if_due(Load_t *this)
{
    gint64 elapsed_us = this->due_us - this->start_us;
    if (this->shift_at_s > 0 && !this->is_shifted &&
        (double)elapsed_us >= this->shift_at_s * US_PER_S) {
        this->is_shifted = TRUE;
        Workload_shiftHistories(this->workload);
    }
}

/* Sends every request that is due, including those that became due while the
 * event loop was late. */
static void
on_arrival(evutil_socket_t fd, short what, void *data)
{
    (void)fd;
    (void)what;
    Load_t *this = data;
    gint64 now_us = Clock_nowUs();
    while (this->due_us <= now_us && !this->is_ending) {
        shift_if_due(this);
        send_next(this, this->due_us);
        this->due_us += Workload_drawGapUs(this->workload, this->rate);
    }
    if (!this->is_ending) {
        gint64 wait_us = this->due_us - now_us;
        struct timeval time = {wait_us / US_PER_S, wait_us % US_PER_S};
        evtimer_add(this->arrival, &time);
    }
}

static void
on_end(evutil_socket_t fd, short what, void *data)
{
    (void)fd;
    (void)what;
    Load_t *this = data;
    this->is_ending = TRUE;
    if (this->in_flight == 0) {
        event_base_loopbreak(this->base);
    }
}

static json_t *
create_quantiles(const Histogram_t *histogram)
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
create_reasons(const LoadResults_t *results)
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
create_samples(const Load_t *this)
{
    json_t *list = json_array();
    const GArray *samples = this->results.samples;
    for (guint i = 0; this->print_samples && i + 1 < samples->len; i += 2) {
        double due_us = (double)g_array_index(samples, guint64, i) -
                        (double)this->start_us;
        double first_token_us = (double)g_array_index(samples, guint64, i + 1);
        json_array_append_new(list, json_pack("[f, f]", due_us / US_PER_S,
                                              first_token_us / 1000.0));
    }
    return list;
}

static void
print_results(const Load_t *this)
{
    const LoadResults_t *results = &this->results;
    double elapsed_s = (double)(Clock_nowUs() - this->start_us) / US_PER_S;
    json_t *root = json_pack(
        "{s:f, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:f, s:I, s:I, s:o, s:o, "
        "s:o, s:o}",
        "seconds", elapsed_s, "asked", (json_int_t)results->asked, "whole",
        (json_int_t)results->complete, "broken", (json_int_t)results->broken,
        "wrong", (json_int_t)results->wrong, "refused",
        (json_int_t)results->refused, "late", (json_int_t)results->late,
        "tokens", (json_int_t)results->tokens, "tokens_per_second",
        (double)results->tokens / elapsed_s, "urgent_asked",
        (json_int_t)results->urgent_asked, "urgent_in_time",
        (json_int_t)results->urgent_in_time, "reasons",
        create_reasons(results), "first_token_ms",
        create_quantiles(&results->first_token), "gap_ms",
        create_quantiles(&results->gaps), "samples", create_samples(this));
    char *text = json_dumps(root, JSON_INDENT(1) | JSON_REAL_PRECISION(6));
    puts(text);
    free(text);
    json_decref(root);
}

static void
create_targets(Load_t *this)
{
    this->load_targets = g_new0(LoadTarget_t, this->addresses->len);
    for (guint i = 0; i < this->addresses->len; i++) {
        char *text = g_ptr_array_index(this->addresses, i);
        char *colon = strrchr(text, ':');
        if (!colon) {
            fprintf(stderr, "wt-load: target %s has no port\n", text);
            exit(2);
        }
        *colon = '\0';
        this->load_targets[i].base = this->base;
        this->load_targets[i].host = text;
        this->load_targets[i].port = (guint16)strtoul(colon + 1, NULL, 10);
        this->load_targets[i].direct = this->direct;
    }
    this->authorizations = g_ptr_array_new_with_free_func(g_free);
    for (guint i = 0; i < this->profile.customers; i++) {
        g_ptr_array_add(this->authorizations,
                        g_strdup_printf("Bearer c%u-key", i));
    }
}

static void
run(Load_t *this)
{
    struct event *end = Clock_timer(this->base, on_end, this);
    this->arrival = Clock_timer(this->base, on_arrival, this);
    Clock_arm(end, (gint64)(this->seconds * 1000));
    this->start_us = Clock_nowUs();
    this->due_us = this->start_us;
    if (this->rate > 0) {
        Clock_arm(this->arrival, 0);
    }
    for (guint i = 0; i < this->streams; i++) {
        send_next(this, Clock_nowUs());
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
    Load_t this = {.addresses = g_ptr_array_new(),
                   .model = "m",
                   .seconds = 5.0,
                   .seed = 1,
                   .profile = *Workload_findProfile("small")};
    signal(SIGPIPE, SIG_IGN);
    argp_parse(&parser, argc, argv, 0, NULL, &this);
    if (this.addresses->len == 0 || (this.rate <= 0 && this.streams == 0)) {
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
