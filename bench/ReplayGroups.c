#include "ReplayGroups.h"

#include "Clock.h"
#include "PromptTime.h"
#include "RunTimes.h"

struct ReplayGroups {
    const ReplaySpec_t *spec;
    const GPtrArray *serving; /* Upstream_t */
    gint64 urgent_rank;
    gint64 urgent_objective_us; /* 0 if nothing is to be partitioned */
    GroupPartitions_t *partitions;
    DispatchGroups_t *admissions;
    RunTimes_t *run_times;
    GPtrArray *prompt_times; /* PromptTime_t by group */
    guint *reserved;         /* engines by group, as of the last choice */
};

static void
free_prompt_time(gpointer data)
{
    PromptTime_destroy(data);
}

static void
add_prompt_times(ReplayGroups_t *this)
{
    const Upstream_t *upstream = g_ptr_array_index(this->serving, 0);
    this->prompt_times = g_ptr_array_new_with_free_func(free_prompt_time);
    for (guint i = 0; i < this->spec->fleet.groups; i++) {
        g_ptr_array_add(this->prompt_times,
                        PromptTime_create(upstream->prefill_us_per_token));
    }
}

/* The rank of the most urgent kinds, and the shortest of their objectives. */
static void
find_urgency(ReplayGroups_t *this)
{
    this->urgent_rank = G_MAXINT64;
    for (guint i = 0; i < REPLAY_KINDS_MAX; i++) {
        const ReplayKind_t *kind = &this->spec->kinds[i];
        gint64 objective_us = kind->objective_ms * CLOCK_US_PER_MS;
        if (kind->rate == 0 || kind->rank > this->urgent_rank) {
            continue;
        }
        this->urgent_objective_us =
            kind->rank < this->urgent_rank
                ? objective_us
                : MIN(this->urgent_objective_us, objective_us);
        this->urgent_rank = kind->rank;
    }
}

ReplayGroups_t *
ReplayGroups_create(const ReplaySpec_t *spec, const GPtrArray *serving,
                    gboolean is_enabled)
{
    ReplayGroups_t *this = g_new0(ReplayGroups_t, 1);
    this->spec = spec;
    this->serving = serving;
    this->partitions = GroupPartitions_create();
    this->admissions = DispatchGroups_create();
    this->run_times = RunTimes_create();
    this->reserved = g_new0(guint, (gsize)spec->fleet.groups);
    add_prompt_times(this);
    if (is_enabled && ReplaySpec_hasRanks(spec)) {
        find_urgency(this);
    }
    return this;
}

void
ReplayGroups_destroy(ReplayGroups_t *this)
{
    GroupPartitions_destroy(this->partitions);
    DispatchGroups_destroy(this->admissions);
    RunTimes_destroy(this->run_times);
    g_ptr_array_unref(this->prompt_times);
    g_free(this->reserved);
    g_free(this);
}

static guint
group_of(const ReplayGroups_t *this, const Upstream_t *upstream)
{
    return (guint)(upstream->hash % (guint64)this->spec->fleet.groups);
}

const char *
ReplayGroups_nameKind(guint kind)
{
    static const char *const names[REPLAY_KINDS_MAX] = {"kind-1", "kind-2",
                                                        "kind-3", "kind-4"};
    return names[kind];
}

gboolean
ReplayGroups_isPartitioned(const ReplayGroups_t *this, const char *target)
{
    return this->urgent_objective_us > 0 &&
           GroupPartitions_isPartitioned(this->partitions, target,
                                         Clock_nowMs());
}

void
ReplayGroups_fillPlacement(const ReplayGroups_t *this, guint kind,
                           Placement_t *placement)
{
    if (this->urgent_objective_us == 0) {
        return;
    }
    placement->urgent = this->spec->kinds[kind].rank == this->urgent_rank;
    placement->urgent_objective_us = this->urgent_objective_us;
    placement->partitions = this->partitions;
    placement->run_us =
        RunTimes_expectedUs(this->run_times, ReplayGroups_nameKind(kind));
}

void
ReplayGroups_measure(ReplayGroups_t *this, const Placement_t *placement,
                     const Choice_t *choice)
{
    if (placement->urgent_objective_us == 0) {
        return;
    }
    this->reserved[choice->group] = choice->reserved;
    DispatchGroups_measure(
        placement, choice,
        g_ptr_array_index(this->prompt_times, choice->group));
}

GroupDecision_t
ReplayGroups_decide(ReplayGroups_t *this, const GroupRequest_t *request)
{
    return DispatchGroups_decide(this->admissions, request);
}

/* A dispatcher knows the speed of its own engines alone. */
static void
set_speed(ReplayGroups_t *this, guint group, double us_per_token)
{
    for (guint i = 0; i < this->serving->len; i++) {
        Upstream_t *upstream = g_ptr_array_index(this->serving, i);
        if (group_of(this, upstream) == group) {
            upstream->prefill_us_per_token = us_per_token;
        }
    }
}

void
ReplayGroups_learnFirstToken(ReplayGroups_t *this, const char *target,
                             const TicketFirstToken_t *first, gint64 waited_us)
{
    if (this->urgent_objective_us == 0 || !first->found_idle) {
        return;
    }
    guint group = group_of(this, first->upstream);
    PromptTime_t *time = g_ptr_array_index(this->prompt_times, group);
    PromptTime_note(time, first->tokens, waited_us);
    if (ReplayGroups_isPartitioned(this, target)) {
        set_speed(this, group, PromptTime_usPerToken(time));
    }
}

void
ReplayGroups_learnRun(ReplayGroups_t *this, const ReplayRequest_t *request)
{
    RunTimes_note(this->run_times, ReplayGroups_nameKind(request->kind),
                  request->token_us - request->first_us);
}

/* The first usable engines of a group by their hashes are reserved. */
gboolean
ReplayGroups_isReserved(const ReplayGroups_t *this, const Upstream_t *upstream)
{
    guint group = group_of(this, upstream);
    guint before = 0;
    if (this->reserved[group] == 0) {
        return FALSE;
    }
    for (guint i = 0; i < this->serving->len; i++) {
        const Upstream_t *other = g_ptr_array_index(this->serving, i);
        before += group_of(this, other) == group && !other->suspect &&
                          other->hash < upstream->hash
                      ? 1
                      : 0;
    }
    return before < this->reserved[group];
}
