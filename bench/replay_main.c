/**
 * DOC: replay
 *
 * Replays load files against the router's decisions (Replay.h) and prints the
 * outcomes of the requests, with all decisions enabled and, for --off, with
 * one decision disabled. A load with kinds of different ranks gets a second
 * table.
 */
#include <argp.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "Problem.h"
#include "Replay.h"

#define SEEDS_MAX 100
#define FILES_MAX 32
#define OFF_MAX 16

typedef struct {
    const char *files[FILES_MAX];
    guint file_count;
    const char *off[OFF_MAX];
    guint off_count;
    guint seeds;
    gboolean json;
} Options_t;

typedef struct {
    const char *name;
    guint decision;
} DecisionName_t;

static const DecisionName_t decision_names[] = {
    {"slots", REPLAY_SLOTS},         {"shed", REPLAY_SHED},
    {"memory", REPLAY_MEMORY},       {"prefix", REPLAY_PREFIX},
    {"partition", REPLAY_PARTITION}, {NULL, 0},
};

static const struct argp_option options[] = {
    {"seeds", 's', "N", 0, "Replay each load with N seeds (default 3)", 0},
    {"off", 'o', "DECISION", 0,
     "Also replay without DECISION: slots, shed, memory, prefix or partition",
     0},
    {"json", 'j', NULL, 0, "Print a line of JSON for each replay", 0},
    {0},
};

static guint
find_decision(const char *name)
{
    for (const DecisionName_t *entry = decision_names; entry->name; entry++) {
        if (strcmp(entry->name, name) == 0) {
            return entry->decision;
        }
    }
    return 0;
}

static error_t
parse_option(int key, char *text, struct argp_state *state)
{
    Options_t *this = state->input;
    switch (key) {
    case 's':
        this->seeds = (guint)CLAMP(strtol(text, NULL, 10), 1, SEEDS_MAX);
        return 0;
    case 'j':
        this->json = TRUE;
        return 0;
    case 'o':
        if (find_decision(text) == 0 || this->off_count == OFF_MAX) {
            argp_error(state, "unknown decision, or too many: %s", text);
        }
        this->off[this->off_count++] = text;
        return 0;
    case ARGP_KEY_ARG:
        if (this->file_count == FILES_MAX) {
            argp_error(state, "too many files");
        }
        this->files[this->file_count++] = text;
        return 0;
    case ARGP_KEY_NO_ARGS:
        argp_usage(state);
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

static const struct argp argp = {
    options,
    parse_option,
    "FILE...",
    "Replay loads against the decisions of the router, without a router.",
    NULL,
    NULL,
    NULL};

typedef struct {
    double values[SEEDS_MAX];
    ReplayResult_t last;
} Replays_t;

static gint
compare_doubles(gconstpointer a, gconstpointer b)
{
    double left = *(const double *)a;
    double right = *(const double *)b;
    return (left > right) - (left < right);
}

static void
print_ranks_json(const ReplaySpec_t *spec, const ReplayResult_t *result)
{
    printf(",\"busiest\":%.3f,\"served_work_us\":%.0f", result->busiest,
           result->served_work_us);
    for (guint kind = 0; kind < REPLAY_KINDS_MAX; kind++) {
        const ReplayCount_t *count = &result->kinds[kind];
        if (count->asked > 0) {
            printf(",\"ranked-%u\":{\"rank\":%" G_GINT64_FORMAT
                   ",\"refused_first\":%u,\"refused_again\":%u,"
                   "\"waited_beside_room\":%u,\"longest_asked\":%u,"
                   "\"longest_served\":%u}",
                   kind + 1, spec->kinds[kind].rank, count->refused_first,
                   count->refused_again, count->waited_beside_room,
                   count->longest.asked, count->longest.served);
        }
    }
}

static void
print_json(const char *file, const char *off, const ReplaySpec_t *spec,
           const ReplayResult_t *result)
{
    printf("{\"load\":\"%s\",\"off\":\"%s\",\"seed\":%" G_GINT64_FORMAT
           ",\"worth\":%.4f,\"read_tokens\":%" G_GUINT64_FORMAT
           ",\"again_tokens\":%" G_GUINT64_FORMAT ",\"decision_us\":%.2f",
           file, off, spec->fleet.seed, ReplayResult_computeValue(result),
           result->read_tokens, result->reread_tokens, result->decision_us);
    for (guint kind = 0; kind < REPLAY_KINDS_MAX; kind++) {
        const ReplayCount_t *count = &result->kinds[kind];
        if (count->asked > 0) {
            printf(",\"kind-%u\":{\"asked\":%u,\"in_time\":%u,\"late\":%u,"
                   "\"refused\":%u,\"failed\":%u,\"p50_us\":%" G_GINT64_FORMAT
                   ",\"p99_us\":%" G_GINT64_FORMAT "}",
                   kind + 1, count->asked, count->in_time, count->late,
                   count->refused, count->failed, count->p50_us,
                   count->p99_us);
        }
    }
    if (ReplaySpec_hasRanks(spec)) {
        print_ranks_json(spec, result);
    }
    printf("}\n");
}

static double
share(guint part, guint whole)
{
    return whole > 0 ? (double)part / whole : 0;
}

static double
served_share(const ReplayShare_t *this)
{
    return share(this->served, this->asked);
}

/* Prints the share of each customer's requests that were served. */
static void
print_customers(const ReplayKind_t *kind, const ReplayCount_t *count)
{
    for (guint i = 0; i < kind->customers; i++) {
        printf(" %.2f", served_share(&count->customers[i]));
    }
}

static void
print_ranks(const ReplaySpec_t *spec, const ReplayResult_t *result)
{
    printf("  %-6s %4s %7s %7s %7s %7s | served by customer; busiest engine "
           "%.2f times the mean\n",
           "kind", "rank", "refused", "again", "beside", "longest",
           result->busiest);
    for (guint i = 0; i < REPLAY_KINDS_MAX; i++) {
        const ReplayKind_t *kind = &spec->kinds[i];
        const ReplayCount_t *count = &result->kinds[i];
        if (count->asked > 0) {
            printf("  kind-%u %4" G_GINT64_FORMAT " %7u %7u %7.4f %7.3f |",
                   i + 1, kind->rank, count->refused_first,
                   count->refused_again,
                   share(count->waited_beside_room, count->asked),
                   served_share(&count->longest));
            print_customers(kind, count);
            printf("\n");
        }
    }
}

static void
print_row(const char *file, const char *off, const Replays_t *replays,
          guint seeds)
{
    const ReplayResult_t *last = &replays->last;
    printf("%-28s %-8s %6.3f %6.3f %7.1f %7.1f %6.1f", file, *off ? off : "-",
           replays->values[seeds / 2],
           replays->values[seeds - 1] - replays->values[0],
           (double)last->read_tokens / 1e6, (double)last->reread_tokens / 1e6,
           last->decision_us);
    for (guint kind = 0; kind < REPLAY_KINDS_MAX; kind++) {
        const ReplayCount_t *count = &last->kinds[kind];
        if (count->asked > 0) {
            printf(" | %6u %6u %5u %5u %5u %6.0f %6.0f", count->asked,
                   count->in_time, count->late, count->refused, count->failed,
                   (double)count->p50_us / 1e3, (double)count->p99_us / 1e3);
        }
    }
    printf("\n");
}

static void
replay_seeds(const Options_t *this, const char *file, const ReplaySpec_t *spec,
             const char *off)
{
    Replays_t replays;
    ReplaySpec_t seeded = *spec;
    for (guint seed = 0; seed < this->seeds; seed++) {
        seeded.fleet.seed = spec->fleet.seed + seed;
        Replay_run(&seeded, REPLAY_ALL & ~find_decision(off), &replays.last);
        replays.values[seed] = ReplayResult_computeValue(&replays.last);
        if (this->json) {
            print_json(file, off, &seeded, &replays.last);
        }
    }
    qsort(replays.values, this->seeds, sizeof(double), compare_doubles);
    if (!this->json) {
        print_row(file, off, &replays, this->seeds);
        if (ReplaySpec_hasRanks(spec)) {
            print_ranks(spec, &replays.last);
        }
    }
}

static int
replay_file(const Options_t *this, const char *path)
{
    ReplaySpec_t spec;
    g_autoptr(GPtrArray) problems = Problems_create();
    if (!ReplaySpec_read(&spec, path, problems)) {
        for (guint i = 0; i < problems->len; i++) {
            GString *text = Problem_format(g_ptr_array_index(problems, i));
            fprintf(stderr, "%s\n", text->str);
            g_string_free(text, TRUE);
        }
        return EXIT_FAILURE;
    }
    g_autofree char *name = g_path_get_basename(path);
    replay_seeds(this, name, &spec, "");
    for (guint i = 0; i < this->off_count; i++) {
        replay_seeds(this, name, &spec, this->off[i]);
    }
    return EXIT_SUCCESS;
}

int
main(int argc, char **argv)
{
    Options_t this = {.seeds = 3};
    if (sodium_init() < 0) {
        return EXIT_FAILURE;
    }
    argp_parse(&argp, argc, argv, 0, NULL, &this);
    if (!this.json) {
        printf("%-28s %-8s %6s %6s %7s %7s %6s | of each kind: asked, in time,"
               " late, refused, failed, first token p50 and p99 ms\n",
               "load", "without", "worth", "spread", "read M", "again M",
               "us");
    }
    int result = EXIT_SUCCESS;
    for (guint i = 0; i < this.file_count; i++) {
        if (replay_file(&this, this.files[i]) != EXIT_SUCCESS) {
            result = EXIT_FAILURE;
        }
    }
    return result;
}
