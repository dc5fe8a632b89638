#include "ReplaySpec.h"

#include <stddef.h>
#include <string.h>

#include "IniFile.h"
#include "KeyTable.h"
#include "Problem.h"

#define DURATION_MAX_MS 600000
#define KIND_PREFIX "kind-"
/* 1,000 times the usual rate. */
#define PERCENT_MAX 100000

#define FLEET_FIELD(member) offsetof(ReplayFleet_t, member)
static const KeySpec_t fleet_keys[] = {
    {"seed", KEY_INTEGER, FALSE, "1", 1, G_MAXINT32, NULL, FLEET_FIELD(seed),
     "Seed of the random numbers."},
    {"duration", KEY_DURATION, FALSE, "20s", 1000, DURATION_MAX_MS, NULL,
     FLEET_FIELD(duration_ms), "Time in which requests arrive."},
    {"engines", KEY_INTEGER, TRUE, NULL, 1, 10000, NULL, FLEET_FIELD(engines),
     "Number of engines."},
    {"groups", KEY_INTEGER, FALSE, "1", 1, 1024, NULL, FLEET_FIELD(groups),
     "Number of engine groups, each with its own dispatcher."},
    {"slots", KEY_INTEGER, TRUE, NULL, 1, 4096, NULL, FLEET_FIELD(slots),
     "Requests that an engine runs at once."},
    {"cache_tokens", KEY_INTEGER, TRUE, NULL, 1, G_MAXINT32, NULL,
     FLEET_FIELD(cache_tokens), "Tokens that an engine's memory holds."},
    {"prompt_tokens_ms", KEY_INTEGER, TRUE, NULL, 1, 100000, NULL,
     FLEET_FIELD(prompt_tokens_ms),
     "Prompt tokens that an engine reads per millisecond."},
    {"piece_tokens", KEY_INTEGER, FALSE, "4096", 1, G_MAXINT32, NULL,
     FLEET_FIELD(piece_tokens),
     "Prompt tokens that an engine reads in one step at most."},
    {"piece_mode", KEY_CHOICE, FALSE, "shared", 0, 0, "shared,each",
     FLEET_FIELD(piece_mode),
     "Whether the prompts on an engine share a piece of piece_tokens in one "
     "step, or each has its own."},
    {"step_us", KEY_INTEGER, TRUE, NULL, 1, 10000000, NULL,
     FLEET_FIELD(step_us), "Duration of a step in microseconds."},
    {"step_run_us", KEY_INTEGER, FALSE, "0", 0, 1000000, NULL,
     FLEET_FIELD(step_run_us),
     "Microseconds that each running request adds to a step."},
    {"move_us", KEY_INTEGER, FALSE, "8000", 0, 100000000, NULL,
     FLEET_FIELD(move_us),
     "Microseconds to fetch a prefix from another engine."},
    {"store_us", KEY_INTEGER, FALSE, "0", 0, 100000000, NULL,
     FLEET_FIELD(store_us),
     "Microseconds to fetch a prefix from the store; 0 for no store."},
    {"stores", KEY_INTEGER, FALSE, "1", 1, 1024, NULL, FLEET_FIELD(stores),
     "Copies of the store."},
    {"news", KEY_DURATION, FALSE, "3ms", 0, 10000, NULL,
     FLEET_FIELD(update_delay_ms),
     "Delay until a dispatcher learns of progress of a request."},
    {"silent_percent", KEY_INTEGER, FALSE, "0", 0, 99, NULL,
     FLEET_FIELD(silent_percent), "Share of the engines that fall silent."},
    {"silent_from", KEY_DURATION, FALSE, "0s", 0, DURATION_MAX_MS, NULL,
     FLEET_FIELD(silent_from_ms), "Start of the silence."},
    {"silent_until", KEY_DURATION, FALSE, "0s", 0, DURATION_MAX_MS, NULL,
     FLEET_FIELD(silent_until_ms), "End of the silence."},
    {"noticed_after", KEY_DURATION, FALSE, "500ms", 0, DURATION_MAX_MS, NULL,
     FLEET_FIELD(silence_detect_ms),
     "Delay until a dispatcher suspects a silent engine."},
    {NULL},
};
#undef FLEET_FIELD

#define KIND_FIELD(member) offsetof(ReplayKind_t, member)
static const KeySpec_t kind_keys[] = {
    {"rate", KEY_INTEGER, FALSE, "0", 0, 1000000, NULL, KIND_FIELD(rate),
     "Requests a second."},
    {"prefixes", KEY_INTEGER, FALSE, "1", 1, 10000000, NULL,
     KIND_FIELD(prefixes), "Number of shared prefixes."},
    {"shared_tokens", KEY_INTEGER, FALSE, "0", 0, 10000000, NULL,
     KIND_FIELD(shared_tokens), "Mean length of a shared prefix, in tokens."},
    {"own_tokens", KEY_INTEGER, FALSE, "100", 1, 10000000, NULL,
     KIND_FIELD(own_tokens),
     "Mean length of a prompt after the prefix, in tokens."},
    {"out_tokens", KEY_INTEGER, FALSE, "10", 1, 1000000, NULL,
     KIND_FIELD(out_tokens), "Mean length of an answer, in tokens."},
    {"objective", KEY_DURATION, FALSE, "500ms", 1, DURATION_MAX_MS, NULL,
     KIND_FIELD(objective_ms),
     "Longest wait for the first token of an answer in time."},
    {"pause", KEY_DURATION, FALSE, "500ms", 1, DURATION_MAX_MS, NULL,
     KIND_FIELD(pause_ms),
     "Longest pause between tokens of an answer in time."},
    {"deadline", KEY_DURATION, FALSE, "10s", 1, DURATION_MAX_MS, NULL,
     KIND_FIELD(deadline_ms), "Time after which the caller gives up."},
    {"rank", KEY_INTEGER, FALSE, "0", 0, 100, NULL, KIND_FIELD(rank),
     "Urgency of the requests, 0 for the most urgent."},
    {"customers", KEY_INTEGER, FALSE, "1", 1, REPLAY_CUSTOMERS_MAX, NULL,
     KIND_FIELD(customers), "Number of customers that send the requests."},
    {"burst_percent", KEY_INTEGER, FALSE, "100", 1, PERCENT_MAX, NULL,
     KIND_FIELD(burst_percent), "Rate during the burst, in percent of rate."},
    {"burst_from", KEY_DURATION, FALSE, "0s", 0, DURATION_MAX_MS, NULL,
     KIND_FIELD(burst_from_ms), "Start of the burst."},
    {"burst_until", KEY_DURATION, FALSE, "0s", 0, DURATION_MAX_MS, NULL,
     KIND_FIELD(burst_until_ms), "End of the burst."},
    {"loud_percent", KEY_INTEGER, FALSE, "100", 1, PERCENT_MAX, NULL,
     KIND_FIELD(loud_percent),
     "Rate of the first customer while it is loud, in percent of its usual "
     "rate."},
    {"loud_from", KEY_DURATION, FALSE, "0s", 0, DURATION_MAX_MS, NULL,
     KIND_FIELD(loud_from_ms), "Time from which the first customer is loud."},
    {"loud_until", KEY_DURATION, FALSE, "0s", 0, DURATION_MAX_MS, NULL,
     KIND_FIELD(loud_until_ms),
     "Time until which the first customer is loud."},
    {NULL},
};
#undef KIND_FIELD

static const SectionSpec_t fleet_section = {
    "fleet", fleet_keys, sizeof(ReplayFleet_t), "The engines."};
static const SectionSpec_t kind_section = {
    "kind", kind_keys, sizeof(ReplayKind_t), "A kind of requests."};

/* Returns N for a section [kind-N], 0 for any other section. */
static guint
parse_kind_number(const char *section)
{
    guint64 number = 0;
    gboolean is_kind =
        g_str_has_prefix(section, KIND_PREFIX) &&
        g_ascii_string_to_unsigned(section + strlen(KIND_PREFIX), 10, 1,
                                   REPLAY_KINDS_MAX, &number, NULL);
    return is_kind ? (guint)number : 0;
}

static void
fill_section(const IniFile_t *ini, const char *section,
             const SectionSpec_t *spec, void *out, GPtrArray *problems)
{
    GHashTable *fields = IniFile_fields(ini, section);
    KeyPlace_t place = {ini, section};
    KeyTable_fill(spec, fields, place, out, problems);
    g_hash_table_destroy(fields);
}

static void
read_section(ReplaySpec_t *out, const IniFile_t *ini, const char *section,
             GPtrArray *problems)
{
    guint number = parse_kind_number(section);
    if (number > 0) {
        fill_section(ini, section, &kind_section, &out->kinds[number - 1],
                     problems);
    }
    else if (strcmp(section, fleet_section.name) != 0) {
        Problems_add(problems, PROBLEM_UNKNOWN_SECTION, IniFile_path(ini),
                     IniFile_line(ini, section, NULL), section, NULL, NULL);
    }
}

/* Fills the fleet even if its section is missing, so that the problems name
 * the required keys. */
gboolean
ReplaySpec_read(ReplaySpec_t *out, const char *path, GPtrArray *problems)
{
    guint problem_count = problems->len;
    *out = (ReplaySpec_t){0};
    IniFile_t *ini = IniFile_create(path, problems);
    if (!ini) {
        return FALSE;
    }
    fill_section(ini, fleet_section.name, &fleet_section, &out->fleet,
                 problems);
    g_auto(GStrv) sections = IniFile_sections(ini);
    for (guint i = 0; sections[i]; i++) {
        read_section(out, ini, sections[i], problems);
    }
    IniFile_destroy(ini);
    return problems->len == problem_count;
}

gboolean
ReplaySpec_hasRanks(const ReplaySpec_t *this)
{
    gint64 rank = -1;
    for (guint i = 0; i < REPLAY_KINDS_MAX; i++) {
        const ReplayKind_t *kind = &this->kinds[i];
        if (kind->rate == 0) {
            continue;
        }
        if (rank >= 0 && kind->rank != rank) {
            return TRUE;
        }
        rank = kind->rank;
    }
    return FALSE;
}
