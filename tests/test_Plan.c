#include "testing.h"

#include <string.h>

#include "Plan.h"
#include "Problem.h"

static GPtrArray *
create_declarations(const char *name, const char *weights)
{
    GPtrArray *list =
        g_ptr_array_new_with_free_func((GDestroyNotify)Object_destroy);
    g_autoptr(GPtrArray) problems = Problems_create();
    GHashTable *fields =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    g_hash_table_insert(fields, g_strdup("weights"), g_strdup(weights));
    KeyPlace_t place = {NULL, "model"};
    g_ptr_array_add(
        list, Object_create(OBJECT_MODEL, name, fields, place, problems));
    ck_assert_uint_eq(problems->len, 0);
    return list;
}

static Wt__Field field = WT__FIELD__INIT;
static Wt__Field *fields[] = {&field};
static Wt__DeclaredObject object = WT__DECLARED_OBJECT__INIT;
static Wt__DeclaredObject *objects[] = {&object};

static Wt__GetResponse
create_response(const char *name, const char *weights, guint64 revision)
{
    Wt__GetResponse response = WT__GET_RESPONSE__INIT;
    field.key = (char *)"weights";
    field.value = (char *)weights;
    object.kind = (char *)"model";
    object.name = (char *)name;
    object.revision = revision;
    object.n_fields = 1;
    object.fields = fields;
    response.n_objects = 1;
    response.objects = objects;
    return response;
}

static void
assert_step(const GPtrArray *steps, guint i, PlanAction_t action,
            const char *name, guint64 base)
{
    const PlanStep_t *step = g_ptr_array_index(steps, i);
    ck_assert_str_eq(Plan_actionName(step->action), Plan_actionName(action));
    ck_assert_str_eq(step->name->str, name);
    ck_assert_uint_eq(step->base_revision, base);
}

START_TEST(unchanged_object_yields_no_step)
{
    g_autoptr(GPtrArray) declared = create_declarations("m", "v1");
    Wt__GetResponse response = create_response("m", "v1", 7);
    g_autoptr(GPtrArray) steps = Plan_create(declared, &response, TRUE);
    ck_assert_uint_eq(steps->len, 0);
}
END_TEST

START_TEST(change_step_has_revision_in_force)
{
    g_autoptr(GPtrArray) declared = create_declarations("m", "v2");
    Wt__GetResponse response = create_response("m", "v1", 7);
    g_autoptr(GPtrArray) steps = Plan_create(declared, &response, TRUE);
    ck_assert_uint_eq(steps->len, 1);
    assert_step(steps, 0, PLAN_CHANGE, "m", 7);
}
END_TEST

START_TEST(objects_are_removed_only_with_prune)
{
    g_autoptr(GPtrArray) declared = create_declarations("n", "v1");
    Wt__GetResponse response = create_response("m", "v1", 7);
    g_autoptr(GPtrArray) unpruned = Plan_create(declared, &response, FALSE);
    ck_assert_uint_eq(unpruned->len, 1);
    assert_step(unpruned, 0, PLAN_ADD, "n", 0);
    g_autoptr(GPtrArray) pruned = Plan_create(declared, &response, TRUE);
    ck_assert_uint_eq(pruned->len, 2);
    assert_step(pruned, 1, PLAN_REMOVE, "m", 7);
    Wt__ApplyRequest *request = Plan_createRequest(pruned, 0, pruned->len);
    ck_assert_uint_eq(request->n_changes, 2);
    ck_assert(request->changes[1]->remove);
    ck_assert_uint_eq(request->command_id.len, 16);
    wt__apply_request__free_unpacked(request, NULL);
}
END_TEST

TESTING_MAIN("Plan", unchanged_object_yields_no_step,
             change_step_has_revision_in_force,
             objects_are_removed_only_with_prune)
