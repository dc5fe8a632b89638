/**
 * DOC: crash_main
 *
 * Prints what becomes of requests that end engines, and of the others beside
 * them, by who knows of crashes and by what counts (CrashReplay.h).
 */
#include <stdio.h>

#include "CrashReplay.h"

#define SEEDS 20

typedef struct {
    const char *name;
    guint deadly;
    guint lost_percent;
} Load_t;

static const Load_t loads[] = {
    {"a third lost, three times", 0, 34}, {"1 deadly request", 1, 0},
    {"5 deadly requests", 5, 0},          {"20 deadly requests", 20, 0},
    {"5 deadly, a third lost", 5, 34},
};

typedef struct {
    const char *name;
    CrashMemory_t memory;
    guint held_at;
    gboolean no_clearing;
    guint explained_at;
    gint64 remember_ms;
    gint64 trial_ms;
} Way_t;

/* The last one is the product's. */
static const Way_t ways[] = {
    {"none", CRASH_MEMORY_NONE, 3, FALSE, 0, 0, 0},
    {"own", CRASH_MEMORY_OWN, 3, FALSE, 0, 0, 0},
    {"store", CRASH_MEMORY_STORE, 3, FALSE, 0, 0, 0},
    {"keeper", CRASH_MEMORY_KEEPER, 3, FALSE, 0, 0, 0},
    {"all", CRASH_MEMORY_ALL, 3, FALSE, 0, 0, 0},
    {"all, at 2", CRASH_MEMORY_ALL, 2, FALSE, 0, 0, 0},
    {"all, at 4", CRASH_MEMORY_ALL, 4, FALSE, 0, 0, 0},
    {"all, never let go", CRASH_MEMORY_ALL, 3, TRUE, 0, 0, 0},
    {"all, explained", CRASH_MEMORY_ALL, 3, FALSE, 5, 0, 0},
    {"all, one trial", CRASH_MEMORY_ALL, 3, FALSE, 0, 0, 5000},
    {"all, seen whole, one trial", CRASH_MEMORY_ALL, 3, FALSE, 0, 60000, 5000},
    {"all, seen whole", CRASH_MEMORY_ALL, 3, FALSE, 0, 60000, 0},
};

static void
play(const Load_t *load, const Way_t *way)
{
    CrashReplayResult_t sum = {0};
    for (guint32 seed = 1; seed <= SEEDS; seed++) {
        CrashReplaySpec_t spec = CrashReplaySpec_default(seed);
        spec.deadly = load->deadly;
        spec.lost_percent = load->lost_percent;
        spec.lost_times = load->lost_percent > 0 ? 3 : 0;
        spec.lost_every_ms = 5000;
        spec.memory = way->memory;
        spec.held_at = way->held_at;
        spec.no_clearing = way->no_clearing;
        spec.explained_at = way->explained_at;
        spec.remember_ms = way->remember_ms;
        spec.trial_ms = way->trial_ms;
        CrashReplayResult_t one = CrashReplay_run(&spec);
        sum.proper += one.proper;
        sum.served += one.served;
        sum.refused += one.refused;
        sum.refused_popular += one.refused_popular;
        sum.unserved += one.unserved;
        sum.ended += one.ended;
        sum.ended_most = MAX(sum.ended_most, one.ended_most);
        sum.late_most = MAX(sum.late_most, one.late_most);
        sum.messages += one.messages;
        sum.first_ms += one.first_ms / SEEDS;
    }
    printf("| %s | %s | %.1f | %u | %u | %.4f | %.2f (%u) | %.2f | %.0f | "
           "%.0f |\n",
           load->name, way->name, (double)sum.ended / SEEDS, sum.ended_most,
           sum.late_most, (double)sum.served / sum.proper,
           1000.0 * sum.refused / sum.proper, sum.refused_popular,
           1000.0 * sum.unserved / sum.proper, (double)sum.messages / SEEDS,
           sum.first_ms);
}

int
main(void)
{
    puts("| load | who knows | engines ended | most under one | sent late, "
         "most | others served | tries of others held, of 1,000 | others "
         "unserved for it, of 1,000 | messages | first held elsewhere, ms |");
    puts("|---|---|---|---|---|---|---|---|---|---|");
    for (gsize i = 0; i < G_N_ELEMENTS(loads); i++) {
        for (gsize j = 0; j < G_N_ELEMENTS(ways); j++) {
            play(&loads[i], &ways[j]);
        }
    }
    return 0;
}
