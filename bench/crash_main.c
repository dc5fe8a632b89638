/**
 * DOC: crash_main
 *
 * Replays loads with poison requests and failing engines (CrashReplay.h) and
 * prints a Markdown table that compares variants of the quarantine: which
 * routers learn of a crash, and which crashes count.
 */
#include <stdio.h>

#include "CrashReplay.h"

#define SEED_COUNT 20

typedef struct {
    const char *name;
    guint poison_count;
    guint outage_percent;
} Load_t;

static const Load_t loads[] = {
    {"a third fail, three times", 0, 34}, {"1 poison request", 1, 0},
    {"5 poison requests", 5, 0},          {"20 poison requests", 20, 0},
    {"5 poison, a third fail", 5, 34},
};

typedef struct {
    const char *name;
    CrashMemory_t memory;
    guint quarantine_at;
    gboolean keep_after_success;
    guint explained_below;
    gint64 success_memory_ms;
    gint64 trial_delay_ms;
} Variant_t;

/* The last variant is the one that the router implements. */
static const Variant_t variants[] = {
    {"none", CRASH_MEMORY_NONE, 3, FALSE, 0, 0, 0},
    {"own", CRASH_MEMORY_LOCAL, 3, FALSE, 0, 0, 0},
    {"store", CRASH_MEMORY_STORE, 3, FALSE, 0, 0, 0},
    {"keeper", CRASH_MEMORY_KEEPER, 3, FALSE, 0, 0, 0},
    {"all", CRASH_MEMORY_ALL, 3, FALSE, 0, 0, 0},
    {"all, at 2", CRASH_MEMORY_ALL, 2, FALSE, 0, 0, 0},
    {"all, at 4", CRASH_MEMORY_ALL, 4, FALSE, 0, 0, 0},
    {"all, never released", CRASH_MEMORY_ALL, 3, TRUE, 0, 0, 0},
    {"all, explained", CRASH_MEMORY_ALL, 3, FALSE, 5, 0, 0},
    {"all, one trial", CRASH_MEMORY_ALL, 3, FALSE, 0, 0, 5000},
    {"all, seen complete, one trial", CRASH_MEMORY_ALL, 3, FALSE, 0, 60000,
     5000},
    {"all, seen complete", CRASH_MEMORY_ALL, 3, FALSE, 0, 60000, 0},
};

static void
run_variant(const Load_t *load, const Variant_t *variant)
{
    CrashReplayResult_t sum = {0};
    for (guint32 seed = 1; seed <= SEED_COUNT; seed++) {
        CrashReplaySpec_t spec = CrashReplaySpec_default(seed);
        spec.poison_count = load->poison_count;
        spec.outage_percent = load->outage_percent;
        spec.outage_count = load->outage_percent > 0 ? 3 : 0;
        spec.outage_interval_ms = 5000;
        spec.memory = variant->memory;
        spec.quarantine_at = variant->quarantine_at;
        spec.keep_after_success = variant->keep_after_success;
        spec.explained_below = variant->explained_below;
        spec.success_memory_ms = variant->success_memory_ms;
        spec.trial_delay_ms = variant->trial_delay_ms;
        CrashReplayResult_t result = CrashReplay_run(&spec);
        sum.harmless_requests += result.harmless_requests;
        sum.served += result.served;
        sum.refused += result.refused;
        sum.refused_repeated += result.refused_repeated;
        sum.unserved += result.unserved;
        sum.crashes += result.crashes;
        sum.crashes_max = MAX(sum.crashes_max, result.crashes_max);
        sum.late_max = MAX(sum.late_max, result.late_max);
        sum.messages += result.messages;
        sum.first_quarantine_ms += result.first_quarantine_ms / SEED_COUNT;
    }
    printf("| %s | %s | %.1f | %u | %u | %.4f | %.2f (%u) | %.2f | %.0f | "
           "%.0f |\n",
           load->name, variant->name, (double)sum.crashes / SEED_COUNT,
           sum.crashes_max, sum.late_max,
           (double)sum.served / sum.harmless_requests,
           1000.0 * sum.refused / sum.harmless_requests, sum.refused_repeated,
           1000.0 * sum.unserved / sum.harmless_requests,
           (double)sum.messages / SEED_COUNT, sum.first_quarantine_ms);
}

int
main(void)
{
    puts("| load | who knows | engines ended | most under one | sent late, "
         "most | others served | tries of others held, of 1,000 | others "
         "unserved for it, of 1,000 | messages | first held elsewhere, ms |");
    puts("|---|---|---|---|---|---|---|---|---|---|");
    for (gsize i = 0; i < G_N_ELEMENTS(loads); i++) {
        for (gsize j = 0; j < G_N_ELEMENTS(variants); j++) {
            run_variant(&loads[i], &variants[j]);
        }
    }
    return 0;
}
