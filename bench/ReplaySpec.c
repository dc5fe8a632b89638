#include "ReplaySpec.h"

#include <stddef.h>
#include <string.h>

#include "IniFile.h"
#include "KeyTable.h"
#include "Problem.h"

#define MINUTES_MS 600000
#define KIND_PREFIX "kind-"

#define F(member) offsetof(ReplayFleet_t, member)
static const KeySpec_t fleet_keys[] = {
    {"seed", KEY_INTEGER, FALSE, "1", 1, G_MAXINT32, NULL, F(seed),
     "Of all that is drawn."},
    {"duration", KEY_DURATION, FALSE, "20s", 1000, MINUTES_MS, NULL,
     F(duration_ms), "In which requests come."},
    {"engines", KEY_INTEGER, TRUE, NULL, 1, 10000, NULL, F(engines),
     "How many there are."},
    {"groups", KEY_INTEGER, FALSE, "1", 1, 1024, NULL, F(groups),
     "Groups of engines, each placed for by one router."},
    {"slots", KEY_INTEGER, TRUE, NULL, 1, 4096, NULL, F(slots),
     "Requests that an engine runs at once."},
    {"cache_tokens", KEY_INTEGER, TRUE, NULL, 1, G_MAXINT32, NULL,
     F(cache_tokens), "Tokens that its memory holds."},
    {"prompt_tokens_ms", KEY_INTEGER, TRUE, NULL, 1, 100000, NULL,
     F(prompt_tokens_ms), "Prompt tokens read in a millisecond."},
    {"piece_tokens", KEY_INTEGER, FALSE, "4096", 1, G_MAXINT32, NULL,
     F(piece_tokens), "Prompt tokens read between two steps."},
    {"step_us", KEY_INTEGER, TRUE, NULL, 1, 10000000, NULL, F(step_us),
     "Microseconds of a step."},
    {"step_run_us", KEY_INTEGER, FALSE, "0", 0, 1000000, NULL, F(step_run_us),
     "Microseconds that each running request adds to it."},
    {"move_us", KEY_INTEGER, FALSE, "8000", 0, 100000000, NULL, F(move_us),
     "Microseconds until a prefix is taken from another engine."},
    {"store_us", KEY_INTEGER, FALSE, "0", 0, 100000000, NULL, F(store_us),
     "The same from a store that keeps what was read once; 0 for no store."},
    {"stores", KEY_INTEGER, FALSE, "1", 1, 1024, NULL, F(stores),
     "Copies of that store."},
    {"news", KEY_DURATION, FALSE, "3ms", 0, 10000, NULL, F(news_ms),
     "Until a dispatcher hears what became of a request."},
    {"silent_percent", KEY_INTEGER, FALSE, "0", 0, 99, NULL, F(silent_percent),
     "So many of 100 engines say nothing for a while."},
    {"silent_from", KEY_DURATION, FALSE, "0s", 0, MINUTES_MS, NULL,
     F(silent_from_ms), "Since when."},
    {"silent_until", KEY_DURATION, FALSE, "0s", 0, MINUTES_MS, NULL,
     F(silent_until_ms), "Until when."},
    {"noticed_after", KEY_DURATION, FALSE, "500ms", 0, MINUTES_MS, NULL,
     F(noticed_ms), "After which that is known."},
    {NULL},
};
#undef F

#define K(member) offsetof(ReplayKind_t, member)
static const KeySpec_t kind_keys[] = {
    {"rate", KEY_INTEGER, FALSE, "0", 0, 1000000, NULL, K(rate),
     "Requests a second."},
    {"prefixes", KEY_INTEGER, FALSE, "1", 1, 10000000, NULL, K(prefixes),
     "Prefixes that they share."},
    {"shared_tokens", KEY_INTEGER, FALSE, "0", 0, 10000000, NULL,
     K(shared_tokens), "Tokens of a prefix, on the mean."},
    {"own_tokens", KEY_INTEGER, FALSE, "100", 1, 10000000, NULL, K(own_tokens),
     "Tokens of a prompt behind it, on the mean."},
    {"out_tokens", KEY_INTEGER, FALSE, "10", 1, 1000000, NULL, K(out_tokens),
     "Tokens of an answer, on the mean."},
    {"objective", KEY_DURATION, FALSE, "500ms", 1, MINUTES_MS, NULL,
     K(objective_ms), "By when the first token should come."},
    {"pause", KEY_DURATION, FALSE, "500ms", 1, MINUTES_MS, NULL, K(pause_ms),
     "Longest pause between tokens of an answer in time."},
    {"deadline", KEY_DURATION, FALSE, "10s", 1, MINUTES_MS, NULL,
     K(deadline_ms), "How long a caller waits."},
    {NULL},
};
#undef K

static const SectionSpec_t fleet_section = {
    "fleet", fleet_keys, sizeof(ReplayFleet_t), "The engines."};
static const SectionSpec_t kind_section = {
    "kind", kind_keys, sizeof(ReplayKind_t), "A kind of requests."};

/* Counted from 1; 0 where a section is none of a kind. */
static guint
kind_number(const char *section)
{
    guint64 number = 0;
    gboolean good =
        g_str_has_prefix(section, KIND_PREFIX) &&
        g_ascii_string_to_unsigned(section + strlen(KIND_PREFIX), 10, 1,
                                   REPLAY_KINDS, &number, NULL);
    return good ? (guint)number : 0;
}

static void
fill(const IniFile_t *ini, const char *section, const SectionSpec_t *spec,
     void *out, GPtrArray *problems)
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
    guint number = kind_number(section);
    if (number > 0) {
        fill(ini, section, &kind_section, &out->kinds[number - 1], problems);
    }
    else if (strcmp(section, fleet_section.name) != 0) {
        Problems_add(problems, PROBLEM_UNKNOWN_SECTION, IniFile_path(ini),
                     IniFile_line(ini, section, NULL), section, NULL, NULL);
    }
}

/* Nothing of a fleet may be left out, so that a file without it is told what
 * it lacks. */
gboolean
ReplaySpec_read(ReplaySpec_t *out, const char *path, GPtrArray *problems)
{
    guint before = problems->len;
    *out = (ReplaySpec_t){0};
    IniFile_t *ini = IniFile_create(path, problems);
    if (!ini) {
        return FALSE;
    }
    fill(ini, fleet_section.name, &fleet_section, &out->fleet, problems);
    g_auto(GStrv) sections = IniFile_sections(ini);
    for (guint i = 0; sections[i]; i++) {
        read_section(out, ini, sections[i], problems);
    }
    IniFile_destroy(ini);
    return problems->len == before;
}
