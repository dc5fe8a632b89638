#include "DispatchGroups.h"

#include "Clock.h"
#include "FairShare.h"
#include "ReturnSchedule.h"

/* Customers and promises that are tracked for one side of a group: 87 KB and
 * 307 KB at the most. */
#define CUSTOMERS_MAX 1024
#define PROMISES_MAX 4096
/* Groups that are tracked: a router dispatches for a few, and full tables of
 * these take 25 MB. */
#define GROUPS_MAX 32
/* Callers wait at most their remaining time divided by this before they
 * return. */
#define RETURN_DIVISOR 3
#define SIDES 2

/* One side of a group's partition. */
typedef struct {
    FairShare_t *shares;
    ReturnSchedule_t *returns;
} GroupSide_t;

typedef struct {
    GroupSide_t sides[SIDES]; /* by Choice_t.is_reserved_side */
} Group_t;

struct DispatchGroups {
    GHashTable *groups; /* "target/group" -> Group_t */
};

static void
free_group(gpointer data)
{
    Group_t *group = data;
    for (guint i = 0; i < SIDES; i++) {
        FairShare_destroy(group->sides[i].shares);
        ReturnSchedule_destroy(group->sides[i].returns);
    }
    g_free(group);
}

DispatchGroups_t *
DispatchGroups_create(void)
{
    DispatchGroups_t *this = g_new0(DispatchGroups_t, 1);
    this->groups =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_group);
    return this;
}

void
DispatchGroups_destroy(DispatchGroups_t *this)
{
    g_hash_table_destroy(this->groups);
    g_free(this);
}

static Group_t *
create_group(void)
{
    Group_t *group = g_new0(Group_t, 1);
    for (guint i = 0; i < SIDES; i++) {
        group->sides[i].shares = FairShare_create(CUSTOMERS_MAX);
        group->sides[i].returns = ReturnSchedule_create(PROMISES_MAX);
    }
    return group;
}

/* Too many groups are dropped together: they start anew, as after a restart of
 * the router. */
static GroupSide_t *
find_side(DispatchGroups_t *this, const GroupRequest_t *request)
{
    const Placement_t *placement = request->placement;
    g_autofree char *name =
        g_strdup_printf("%s/%u", placement->target, request->choice->group);
    Group_t *group = g_hash_table_lookup(this->groups, name);
    if (!group) {
        if (g_hash_table_size(this->groups) >= GROUPS_MAX) {
            g_hash_table_remove_all(this->groups);
        }
        group = create_group();
        g_hash_table_insert(this->groups, g_steal_pointer(&name), group);
    }
    return &group->sides[request->choice->is_reserved_side ? 1 : 0];
}

/* Engine time of one request: its share of the slots for the time that it
 * runs, or the time to compute its prompt if that is longer. */
static gint64
work_us(const GroupRequest_t *request)
{
    const Upstream_t *upstream = request->choice->upstream;
    gint64 run_us = request->placement->run_us;
    gint64 slot_us = upstream->slots > 0 ? run_us / upstream->slots : 0;
    return MAX(MAX(request->choice->own_us, slot_us), 1);
}

static double
room_us_per_s(const GroupRequest_t *request)
{
    return (double)request->choice->side * G_USEC_PER_SEC;
}

/* Mean compute time of the prompts on the request's side. */
static gint64
usual_us(const GroupRequest_t *request)
{
    const Placement_t *placement = request->placement;
    if (request->choice->is_reserved_side) {
        return request->choice->own_us;
    }
    return GroupPartition_meanPromptUs(GroupPartitions_get(
        placement->partitions, placement->target, request->choice->group));
}

static GroupAdmissionInput_t
make_input(const GroupSide_t *side, const GroupRequest_t *request,
           gboolean is_return)
{
    const Placement_t *placement = request->placement;
    const Choice_t *choice = request->choice;
    gint64 now_ms = placement->now_ms;
    gint64 within_ms = placement->latest_us / CLOCK_US_PER_MS;
    guint due = ReturnSchedule_countDue(side->returns, within_ms, now_ms);
    return (GroupAdmissionInput_t){
        .expected_us = choice->cost_us,
        .own_us = choice->own_us,
        .usual_us = usual_us(request),
        .latest_us = placement->latest_us,
        .turnover_us = choice->is_reserved_side ? 0 : work_us(request),
        .left_us = request->left_ms * CLOCK_US_PER_MS,
        .promised_us = due * work_us(request) / MAX(choice->side, 1),
        .is_return = is_return,
        .is_over_share = FairShare_isOver(side->shares, request->customer,
                                          room_us_per_s(request), now_ms),
    };
}

/* A customer over its share is promised nothing: its returns would take the
 * room of the others. */
static guint
promise_return(GroupSide_t *side, const GroupRequest_t *request,
               const GroupAdmissionInput_t *input, GroupVerdict_t verdict)
{
    double per_s = room_us_per_s(request) / (double)work_us(request);
    ReturnRequest_t refused = {
        .key = request->key,
        .fits_ms = GroupAdmission_fitsUs(input) / CLOCK_US_PER_MS,
        .room_per_s = verdict == GROUP_OVER_SHARE ? 0 : per_s,
        .longest_ms = request->left_ms / RETURN_DIVISOR,
    };
    return ReturnSchedule_promise(side->returns, &refused,
                                  request->placement->now_ms);
}

GroupDecision_t
DispatchGroups_decide(DispatchGroups_t *this, const GroupRequest_t *request)
{
    GroupSide_t *side = find_side(this, request);
    gint64 now_ms = request->placement->now_ms;
    gint64 work = work_us(request);
    gboolean is_return =
        ReturnSchedule_claim(side->returns, request->key, now_ms);
    if (!is_return) {
        FairShare_noteDemand(side->shares, request->customer, work, now_ms);
    }
    GroupAdmissionInput_t input = make_input(side, request, is_return);
    GroupDecision_t decision = {
        .verdict = GroupAdmission_decide(&input),
        .promised_us = input.promised_us,
        .is_return = input.is_return,
        .is_over_share = input.is_over_share,
    };
    if (decision.verdict == GROUP_ADMITTED) {
        FairShare_noteServed(side->shares, request->customer, work, now_ms);
    }
    else if (!request->has_next) {
        decision.retry_after_ms =
            promise_return(side, request, &input, decision.verdict);
    }
    return decision;
}

/* A request that comes from another group was counted there. */
void
DispatchGroups_measure(const Placement_t *placement, const Choice_t *choice,
                       const PromptTime_t *time)
{
    if (placement->urgent_objective_us <= 0 || !placement->partitions) {
        return;
    }
    gboolean is_urgent = Choice_isUrgent(choice, placement);
    GroupPartition_t *group = GroupPartitions_get(
        placement->partitions, placement->target, choice->group);
    if (placement->group == 0) {
        GroupPartition_noteArrival(group, is_urgent, placement->now_ms);
    }
    if (!is_urgent) {
        guint cached = MIN(choice->expected_cached, placement->prompt_tokens);
        gint64 compute_us =
            PromptTime_computeUs(time, placement->prompt_tokens - cached);
        GroupPartition_notePrompt(
            group, MIN(compute_us, ENGINE_BACKLOG_PROMPT_MAX_US));
    }
}
