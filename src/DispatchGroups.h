#ifndef HEADER_DispatchGroups
#define HEADER_DispatchGroups
/**
 * DOC: DispatchGroups
 *
 * Admission to the groups of engines that this router dispatches for: keeps
 * what each group's customers were served and which returns were promised, and
 * asks GroupAdmission. State is kept apart for the urgent requests of a group
 * and for the others, as they use different engines.
 */
#include "GroupAdmission.h"
#include "Policy.h"
#include "PromptTime.h"

/** struct DispatchGroups_t - opaque */
typedef struct DispatchGroups DispatchGroups_t;

/**
 * struct GroupRequest_t - a request for which an engine was chosen
 * @placement: the request
 * @choice: the engine, in a partitioned group
 * @customer: hash of its customer
 * @key: hash that is the same when its caller sends it again
 * @left_ms: time until its caller's deadline
 * @has_next: another group will be asked if this one refuses it, so that no
 *     return is promised
 */
typedef struct {
    const Placement_t *placement;
    const Choice_t *choice;
    guint64 customer;
    guint64 key;
    gint64 left_ms;
    gboolean has_next;
} GroupRequest_t;

/**
 * struct GroupDecision_t - what became of it, and by which inputs
 * @verdict: the decision
 * @retry_after_ms: when a refused caller is to return; 0 for an admitted one
 * @promised_us: time that requests take which were told to return about now
 * @is_return: it returned when it was told to
 * @is_over_share: its customer was served more than its fair share
 */
typedef struct {
    GroupVerdict_t verdict;
    guint retry_after_ms;
    gint64 promised_us;
    gboolean is_return;
    gboolean is_over_share;
} GroupDecision_t;

/** DispatchGroups_create() - create it without groups */
DispatchGroups_t *DispatchGroups_create(void);

/** DispatchGroups_destroy() - free it */
void DispatchGroups_destroy(DispatchGroups_t *this);

/** DispatchGroups_decide() - decide on a request and record the decision */
GroupDecision_t DispatchGroups_decide(DispatchGroups_t *this,
                                      const GroupRequest_t *request);

/**
 * DispatchGroups_measure() - measure a request for which an engine was chosen,
 * as the partition of its group follows from what arrives and from how long
 * prompts take; does nothing if its service has no urgent routes
 * @time: time to compute prompts on the engines
 */
void DispatchGroups_measure(const Placement_t *placement,
                            const Choice_t *choice, const PromptTime_t *time);

#endif
