#ifndef HEADER_Plan
#define HEADER_Plan
/**
 * DOC: Plan
 *
 * The difference between a directory of declarations and what is in force.
 */
#include <glib.h>

#include "Declarations.h"
#include "operator.pb-c.h"

/**
 * enum PlanAction_t - what is to be done with an object
 */
typedef enum { PLAN_ADD, PLAN_CHANGE, PLAN_REMOVE } PlanAction_t;

/**
 * struct PlanStep_t - one object that differs
 * @action: what is to be done
 * @kind: word of the object's kind
 * @name: its name
 * @base_revision: what is in force now, 0 for none
 * @object: the new declaration, owned by the files' list; NULL to remove
 */
typedef struct {
    PlanAction_t action;
    GString *kind;
    GString *name;
    guint64 base_revision;
    const Object_t *object;
} PlanStep_t;

/**
 * Plan_create() - compare
 * @declared: Object_t of the files
 * @in_force: answer of a router
 * @prune: remove what the files do not declare
 *
 * Return: PlanStep_t in the order in which they may be applied: what others
 * refer to is added first and removed last
 */
GPtrArray *Plan_create(const GPtrArray *declared,
                       const Wt__GetResponse *in_force, gboolean prune);

/** Plan_actionName() - "add", "change" or "remove" */
const char *Plan_actionName(PlanAction_t action);

/**
 * Plan_request() - the command for a part of a plan
 * @first: first step
 * @count: how many
 *
 * Return: freed by wt__apply_request__free_unpacked()
 */
Wt__ApplyRequest *Plan_request(const GPtrArray *steps, guint first,
                               guint count);

#endif
