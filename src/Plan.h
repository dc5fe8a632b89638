#ifndef HEADER_Plan
#define HEADER_Plan
/**
 * DOC: Plan
 *
 * The steps that bring the declarations in force into line with a directory of
 * declarations.
 */
#include <glib.h>

#include "Declarations.h"
#include "operator.pb-c.h"

/**
 * enum PlanAction_t - how a step changes an object
 */
typedef enum { PLAN_ADD, PLAN_CHANGE, PLAN_REMOVE } PlanAction_t;

/**
 * struct PlanStep_t - change to one object
 * @action: how the object changes
 * @kind: name of the object's kind
 * @name: name of the object
 * @base_revision: revision of the object in force, 0 if there is none
 * @object: the new declaration, owned by the list passed to Plan_create();
 * NULL for PLAN_REMOVE
 */
typedef struct {
    PlanAction_t action;
    GString *kind;
    GString *name;
    guint64 base_revision;
    const Object_t *object;
} PlanStep_t;

/**
 * Plan_create() - compare declarations with those in force
 * @declared: Object_t from files, sorted by kind; must outlive the plan
 * @in_force: a router's answer with the objects in force, sorted by kind
 * @prune: whether to remove objects that @declared lacks
 *
 * Return: list of PlanStep_t in an order in which they can be applied: an
 * object is added before, and removed after, the objects that refer to it
 */
GPtrArray *Plan_create(const GPtrArray *declared,
                       const Wt__GetResponse *in_force, gboolean prune);

/** Plan_actionName() - "add", "change" or "remove" */
const char *Plan_actionName(PlanAction_t action);

/**
 * Plan_createRequest() - create the command for consecutive steps of a plan
 * @first: index of the first step
 * @count: number of steps
 *
 * Return: freed with wt__apply_request__free_unpacked()
 */
Wt__ApplyRequest *Plan_createRequest(const GPtrArray *steps, guint first,
                                     guint count);

#endif
