#include "Plan.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#define COMMAND_ID_BYTES 16

static void
PlanStep_destroy(gpointer data)
{
    PlanStep_t *this = data;
    g_string_free(this->kind, TRUE);
    g_string_free(this->name, TRUE);
    g_free(this);
}

static void
add_step(GPtrArray *steps, PlanAction_t action, const char *kind,
         const char *name, guint64 base_revision, const Object_t *object)
{
    PlanStep_t *step = g_new0(PlanStep_t, 1);
    step->action = action;
    step->kind = g_string_new(kind);
    step->name = g_string_new(name);
    step->base_revision = base_revision;
    step->object = object;
    g_ptr_array_add(steps, step);
}

static const Wt__DeclaredObject *
find_in_force(const Wt__GetResponse *in_force, const char *kind,
              const char *name)
{
    for (size_t i = 0; i < in_force->n_objects; i++) {
        const Wt__DeclaredObject *object = in_force->objects[i];
        if (strcmp(object->kind, kind) == 0 &&
            strcmp(object->name, name) == 0) {
            return object;
        }
    }
    return NULL;
}

static gboolean
fields_equal(const Object_t *object, const Wt__DeclaredObject *other)
{
    if (g_hash_table_size(object->fields) != other->n_fields) {
        return FALSE;
    }
    for (size_t i = 0; i < other->n_fields; i++) {
        const char *value =
            g_hash_table_lookup(object->fields, other->fields[i]->key);
        if (g_strcmp0(value, other->fields[i]->value) != 0) {
            return FALSE;
        }
    }
    return TRUE;
}

static gboolean
is_declared(const GPtrArray *declared, const Wt__DeclaredObject *object)
{
    for (guint i = 0; i < declared->len; i++) {
        const Object_t *other = g_ptr_array_index(declared, i);
        if (strcmp(Declarations_kindName(other->kind), object->kind) == 0 &&
            strcmp(other->name->str, object->name) == 0) {
            return TRUE;
        }
    }
    return FALSE;
}

static void
add_declared(GPtrArray *steps, const GPtrArray *declared,
             const Wt__GetResponse *in_force)
{
    for (guint i = 0; i < declared->len; i++) {
        const Object_t *object = g_ptr_array_index(declared, i);
        const char *kind = Declarations_kindName(object->kind);
        const Wt__DeclaredObject *other =
            find_in_force(in_force, kind, object->name->str);
        if (!other) {
            add_step(steps, PLAN_ADD, kind, object->name->str, 0, object);
        }
        else if (!fields_equal(object, other)) {
            add_step(steps, PLAN_CHANGE, kind, object->name->str,
                     other->revision, object);
        }
    }
}

GPtrArray *
Plan_create(const GPtrArray *declared, const Wt__GetResponse *in_force,
            gboolean prune)
{
    GPtrArray *steps = g_ptr_array_new_with_free_func(PlanStep_destroy);
    add_declared(steps, declared, in_force);
    for (size_t i = in_force->n_objects; prune && i > 0; i--) {
        const Wt__DeclaredObject *object = in_force->objects[i - 1];
        if (!is_declared(declared, object)) {
            add_step(steps, PLAN_REMOVE, object->kind, object->name,
                     object->revision, NULL);
        }
    }
    return steps;
}

const char *
Plan_actionName(PlanAction_t action)
{
    static const char *const names[] = {"add", "change", "remove"};
    return names[action];
}

/* protobuf-c frees messages with free(), so GLib must not allocate them. */
static gpointer
allocate(gsize size)
{
    gpointer block = calloc(1, size);
    g_assert(block);
    return block;
}

static Wt__Change *
create_change(const PlanStep_t *step)
{
    Wt__Change *change = allocate(sizeof(*change));
    wt__change__init(change);
    change->kind = strdup(step->kind->str);
    change->name = strdup(step->name->str);
    change->base_revision = step->base_revision;
    change->remove = step->action == PLAN_REMOVE;
    if (!step->object) {
        return change;
    }
    GHashTableIter iter;
    gpointer key = NULL;
    gpointer value = NULL;
    guint count = g_hash_table_size(step->object->fields);
    change->fields = allocate((count + 1) * sizeof(*change->fields));
    g_hash_table_iter_init(&iter, step->object->fields);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        Wt__Field *field = allocate(sizeof(*field));
        wt__field__init(field);
        field->key = strdup(key);
        field->value = strdup(value);
        change->fields[change->n_fields++] = field;
    }
    return change;
}

Wt__ApplyRequest *
Plan_createRequest(const GPtrArray *steps, guint first, guint count)
{
    Wt__ApplyRequest *request = allocate(sizeof(*request));
    wt__apply_request__init(request);
    request->command_id.data = allocate(COMMAND_ID_BYTES);
    request->command_id.len = COMMAND_ID_BYTES;
    randombytes_buf(request->command_id.data, COMMAND_ID_BYTES);
    request->changes = allocate((count + 1) * sizeof(*request->changes));
    for (guint i = 0; i < count; i++) {
        request->changes[request->n_changes++] =
            create_change(g_ptr_array_index(steps, first + i));
    }
    return request;
}
