#include "ConfigStore.h"

#include <string.h>
#include <xxhash.h>

#include "Problem.h"

struct ConfigStore {
    GHashTable *objects[OBJECT_KIND_COUNT]; /* name -> Object_t */
    GHashTable *customers;                  /* key hash -> Object_t */
    GHashTable *outcomes;                   /* command id -> ConfigOutcome_t */
    GQueue outcome_order;                   /* command ids, oldest first */
    guint64 fold_offset;
    guint64 snapshot_offset;
    gboolean bootstrapped; /* all objects come from a bootstrap file */
    guint64 kind_revisions[OBJECT_KIND_COUNT];
    ConfigChanged_t changed;
    void *data;
};

ConfigStore_t *
ConfigStore_create(ConfigChanged_t changed, void *data)
{
    ConfigStore_t *this = g_new0(ConfigStore_t, 1);
    for (int i = 0; i < OBJECT_KIND_COUNT; i++) {
        this->objects[i] = g_hash_table_new_full(
            g_str_hash, g_str_equal, g_free, (GDestroyNotify)Object_destroy);
    }
    this->customers = g_hash_table_new(g_bytes_hash, g_bytes_equal);
    this->outcomes = g_hash_table_new_full(
        g_bytes_hash, g_bytes_equal, (GDestroyNotify)g_bytes_unref, g_free);
    g_queue_init(&this->outcome_order);
    this->changed = changed;
    this->data = data;
    return this;
}

void
ConfigStore_destroy(ConfigStore_t *this)
{
    g_hash_table_destroy(this->customers);
    for (int i = 0; i < OBJECT_KIND_COUNT; i++) {
        g_hash_table_destroy(this->objects[i]);
    }
    g_queue_clear(&this->outcome_order);
    g_hash_table_destroy(this->outcomes);
    g_free(this);
}

static Object_t *
create_object(const Wt__Change *change, GPtrArray *problems)
{
    ObjectKind_t kind = OBJECT_PRIORITY;
    if (!Declarations_parseKind(change->kind, &kind)) {
        Problems_add(problems, PROBLEM_UNKNOWN_SECTION, "-", 0, change->kind,
                     NULL, "no such kind");
        return NULL;
    }
    GHashTable *fields =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    for (size_t i = 0; i < change->n_fields; i++) {
        g_hash_table_replace(fields, g_strdup(change->fields[i]->key),
                             g_strdup(change->fields[i]->value));
    }
    g_autofree char *section =
        g_strdup_printf("%s %s", change->kind, change->name);
    KeyPlace_t place = {NULL, section};
    return Object_create(kind, change->name, fields, place, problems);
}

gboolean
ConfigStore_checkChange(const Wt__Change *change, GPtrArray *problems)
{
    ObjectKind_t kind = OBJECT_PRIORITY;
    if (change->remove && Declarations_parseKind(change->kind, &kind)) {
        return TRUE;
    }
    Object_t *object = create_object(change, problems);
    if (!object) {
        return FALSE;
    }
    Object_destroy(object);
    return TRUE;
}

/* A base revision of 0 means that the object must not exist yet. */
static gboolean
base_is_current(const ConfigStore_t *this, const Wt__Change *change)
{
    ObjectKind_t kind = OBJECT_PRIORITY;
    if (!Declarations_parseKind(change->kind, &kind)) {
        return FALSE;
    }
    const Object_t *object = ConfigStore_find(this, kind, change->name);
    return (object ? object->revision : 0) == change->base_revision;
}

static gboolean
is_duplicate_change(const Wt__ConfigRecord *record, size_t at)
{
    for (size_t i = 0; i < at; i++) {
        if (strcmp(record->changes[i]->kind, record->changes[at]->kind) == 0 &&
            strcmp(record->changes[i]->name, record->changes[at]->name) == 0) {
            return TRUE;
        }
    }
    return FALSE;
}

static gboolean
can_apply(const ConfigStore_t *this, const Wt__ConfigRecord *record)
{
    g_autoptr(GPtrArray) problems = Problems_create();
    for (size_t i = 0; i < record->n_changes; i++) {
        const Wt__Change *change = record->changes[i];
        if (!base_is_current(this, change) || is_duplicate_change(record, i) ||
            !ConfigStore_checkChange(change, problems)) {
            return FALSE;
        }
    }
    return record->n_changes > 0;
}

static void
remove_customer(ConfigStore_t *this, const Object_t *object)
{
    const Customer_t *spec = object->spec;
    if (g_hash_table_lookup(this->customers, spec->key_hash) == object) {
        g_hash_table_remove(this->customers, spec->key_hash);
    }
}

static void
apply_change(ConfigStore_t *this, const Wt__Change *change, guint64 revision)
{
    ObjectKind_t kind = OBJECT_PRIORITY;
    Declarations_parseKind(change->kind, &kind);
    this->kind_revisions[kind] = revision;
    Object_t *old = g_hash_table_lookup(this->objects[kind], change->name);
    if (old && kind == OBJECT_CUSTOMER) {
        remove_customer(this, old);
    }
    if (change->remove) {
        g_hash_table_remove(this->objects[kind], change->name);
        return;
    }
    g_autoptr(GPtrArray) problems = Problems_create();
    Object_t *object = create_object(change, problems);
    g_assert(object);
    object->revision = revision;
    g_hash_table_replace(this->objects[kind], g_strdup(change->name), object);
    if (kind == OBJECT_CUSTOMER) {
        Customer_t *spec = object->spec;
        g_hash_table_replace(this->customers, spec->key_hash, object);
    }
}

static void
store_outcome(ConfigStore_t *this, const Wt__ConfigRecord *record,
              ConfigOutcome_t outcome)
{
    GBytes *id = g_bytes_new(record->command_id.data, record->command_id.len);
    if (g_hash_table_contains(this->outcomes, id)) {
        g_bytes_unref(id);
        return;
    }
    g_hash_table_insert(this->outcomes, id,
                        g_memdup2(&outcome, sizeof(outcome)));
    g_queue_push_tail(&this->outcome_order, id);
    if (g_queue_get_length(&this->outcome_order) > CONFIG_OUTCOMES_MAX) {
        g_hash_table_remove(this->outcomes,
                            g_queue_pop_head(&this->outcome_order));
    }
}

static void
clear_state(ConfigStore_t *this, guint64 revision)
{
    this->bootstrapped = FALSE;
    g_hash_table_remove_all(this->customers);
    for (int i = 0; i < OBJECT_KIND_COUNT; i++) {
        g_hash_table_remove_all(this->objects[i]);
        this->kind_revisions[i] = revision;
    }
    g_queue_clear(&this->outcome_order);
    g_hash_table_remove_all(this->outcomes);
}

static void
load_object(ConfigStore_t *this, const Wt__DeclaredObject *object)
{
    Wt__Change change = WT__CHANGE__INIT;
    g_autoptr(GPtrArray) problems = Problems_create();
    change.kind = object->kind;
    change.name = object->name;
    change.n_fields = object->n_fields;
    change.fields = object->fields;
    /* Skips kinds that this version of the program does not know. */
    if (ConfigStore_checkChange(&change, problems)) {
        apply_change(this, &change, object->revision);
    }
}

gboolean
ConfigStore_load(ConfigStore_t *this, const Wt__Snapshot *snapshot)
{
    if (snapshot->fold_offset <= this->fold_offset) {
        return FALSE;
    }
    clear_state(this, snapshot->fold_offset);
    for (size_t i = 0; i < snapshot->n_objects; i++) {
        load_object(this, snapshot->objects[i]);
    }
    for (int i = 0; i < OBJECT_KIND_COUNT; i++) {
        this->kind_revisions[i] = snapshot->fold_offset;
    }
    for (size_t i = 0; i < snapshot->n_outcomes; i++) {
        const Wt__CommandOutcome *outcome = snapshot->outcomes[i];
        Wt__ConfigRecord record = WT__CONFIG_RECORD__INIT;
        record.command_id = outcome->command_id;
        store_outcome(this, &record,
                      (ConfigOutcome_t){outcome->taken, outcome->revision});
    }
    this->fold_offset = snapshot->fold_offset;
    if (this->changed) {
        this->changed(this->data);
    }
    return TRUE;
}

void
ConfigStore_bootstrap(ConfigStore_t *this, GPtrArray *objects)
{
    g_assert(this->fold_offset == 0);
    this->bootstrapped = TRUE;
    g_ptr_array_set_free_func(objects, NULL);
    for (guint i = 0; i < objects->len; i++) {
        Object_t *object = g_ptr_array_index(objects, i);
        g_hash_table_replace(this->objects[object->kind],
                             g_strdup(object->name->str), object);
        /* Differs from the initial 0, so that code that compares kind
         * revisions sees a change. */
        this->kind_revisions[object->kind] = G_MAXUINT64;
        if (object->kind == OBJECT_CUSTOMER) {
            const Customer_t *spec = object->spec;
            g_hash_table_replace(this->customers, spec->key_hash, object);
        }
    }
    g_ptr_array_unref(objects);
    if (this->changed) {
        this->changed(this->data);
    }
}

gboolean
ConfigStore_isUsable(const ConfigStore_t *this)
{
    return this->fold_offset > 0 || this->bootstrapped;
}

/* A command whose append was retried after a lost answer can be in the log
 * twice; only its first record is applied. */
static gboolean
is_repeat(const ConfigStore_t *this, const Wt__ConfigRecord *record)
{
    GBytes *id = g_bytes_new(record->command_id.data, record->command_id.len);
    gboolean repeat = g_hash_table_contains(this->outcomes, id);
    g_bytes_unref(id);
    return repeat;
}

static gboolean
fold_record(ConfigStore_t *this, const Wt__ConfigRecord *record,
            guint64 revision)
{
    if (is_repeat(this, record)) {
        return FALSE;
    }
    ConfigOutcome_t outcome = {can_apply(this, record), revision};
    for (size_t i = 0; outcome.taken && i < record->n_changes; i++) {
        apply_change(this, record->changes[i], revision);
    }
    store_outcome(this, record, outcome);
    return outcome.taken;
}

void
ConfigStore_fold(ConfigStore_t *this, guint64 offset, GBytes *record)
{
    if (offset < this->fold_offset) {
        return;
    }
    if (this->bootstrapped) {
        clear_state(this, offset + 1);
    }
    this->fold_offset = offset + 1;
    gsize size = 0;
    const guint8 *data = g_bytes_get_data(record, &size);
    Wt__ConfigRecord *message = wt__config_record__unpack(NULL, size, data);
    if (!message) {
        return;
    }
    if (message->snapshot) {
        this->snapshot_offset = offset + 1;
    }
    gboolean taken = fold_record(this, message, offset + 1);
    wt__config_record__free_unpacked(message, NULL);
    if (taken && this->changed) {
        this->changed(this->data);
    }
}

static void
pack_fields(const Object_t *object, Wt__DeclaredObject *message,
            GPtrArray *arena)
{
    GHashTableIter iter;
    gpointer key = NULL;
    gpointer value = NULL;
    message->fields = g_new0(Wt__Field *, g_hash_table_size(object->fields));
    g_ptr_array_add(arena, message->fields);
    g_hash_table_iter_init(&iter, object->fields);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        Wt__Field *field = g_new0(Wt__Field, 1);
        g_ptr_array_add(arena, field);
        wt__field__init(field);
        field->key = key;
        field->value = value;
        message->fields[message->n_fields++] = field;
    }
}

static void
pack_objects(const ConfigStore_t *this, GPtrArray *messages, GPtrArray *arena)
{
    for (int kind = 0; kind < OBJECT_KIND_COUNT; kind++) {
        g_autoptr(GPtrArray) list = ConfigStore_list(this, (ObjectKind_t)kind);
        for (guint i = 0; i < list->len; i++) {
            const Object_t *object = g_ptr_array_index(list, i);
            Wt__DeclaredObject *message = g_new0(Wt__DeclaredObject, 1);
            g_ptr_array_add(arena, message);
            wt__declared_object__init(message);
            message->kind = (char *)Declarations_kindName(object->kind);
            message->name = object->name->str;
            message->revision = object->revision;
            pack_fields(object, message, arena);
            g_ptr_array_add(messages, message);
        }
    }
}

static void
pack_outcomes(const ConfigStore_t *this, GPtrArray *messages, GPtrArray *arena)
{
    for (GList *at = this->outcome_order.head; at; at = at->next) {
        const ConfigOutcome_t *outcome =
            g_hash_table_lookup(this->outcomes, at->data);
        Wt__CommandOutcome *message = g_new0(Wt__CommandOutcome, 1);
        g_ptr_array_add(arena, message);
        wt__command_outcome__init(message);
        message->command_id.data =
            (guint8 *)g_bytes_get_data(at->data, &message->command_id.len);
        message->taken = outcome->taken;
        message->revision = outcome->revision;
        g_ptr_array_add(messages, message);
    }
}

GBytes *
ConfigStore_pack(const ConfigStore_t *this)
{
    g_autoptr(GPtrArray) arena = g_ptr_array_new_with_free_func(g_free);
    g_autoptr(GPtrArray) objects = g_ptr_array_new();
    g_autoptr(GPtrArray) outcomes = g_ptr_array_new();
    pack_objects(this, objects, arena);
    pack_outcomes(this, outcomes, arena);
    Wt__Snapshot snapshot = WT__SNAPSHOT__INIT;
    snapshot.fold_offset = this->fold_offset;
    snapshot.n_objects = objects->len;
    snapshot.objects = (Wt__DeclaredObject **)objects->pdata;
    snapshot.n_outcomes = outcomes->len;
    snapshot.outcomes = (Wt__CommandOutcome **)outcomes->pdata;
    gsize size = wt__snapshot__get_packed_size(&snapshot);
    guint8 *bytes = g_malloc(size + 1);
    wt__snapshot__pack(&snapshot, bytes);
    return g_bytes_new_take(bytes, size);
}

guint64
ConfigStore_snapshotOffset(const ConfigStore_t *this)
{
    return this->snapshot_offset;
}

guint64
ConfigStore_foldOffset(const ConfigStore_t *this)
{
    return this->fold_offset;
}

guint64
ConfigStore_kindRevision(const ConfigStore_t *this, ObjectKind_t kind)
{
    return this->kind_revisions[kind];
}

static gint
compare_names(gconstpointer a, gconstpointer b)
{
    const Object_t *left = *(Object_t *const *)a;
    const Object_t *right = *(Object_t *const *)b;
    return strcmp(left->name->str, right->name->str);
}

GPtrArray *
ConfigStore_list(const ConfigStore_t *this, ObjectKind_t kind)
{
    GPtrArray *list = g_ptr_array_new();
    GHashTableIter iter;
    gpointer object = NULL;
    g_hash_table_iter_init(&iter, this->objects[kind]);
    while (g_hash_table_iter_next(&iter, NULL, &object)) {
        g_ptr_array_add(list, object);
    }
    g_ptr_array_sort(list, compare_names);
    return list;
}

static void
digest_text(XXH3_state_t *state, const char *text)
{
    XXH3_128bits_update(state, text, strlen(text) + 1);
}

static void
digest_object(XXH3_state_t *state, const Object_t *object)
{
    digest_text(state, Declarations_kindName(object->kind));
    digest_text(state, object->name->str);
    guint64 revision = GUINT64_TO_BE(object->revision);
    XXH3_128bits_update(state, &revision, sizeof(revision));
    GList *names = g_list_sort(g_hash_table_get_keys(object->fields),
                               (GCompareFunc)strcmp);
    for (GList *at = names; at; at = at->next) {
        digest_text(state, at->data);
        digest_text(state, g_hash_table_lookup(object->fields, at->data));
    }
    g_list_free(names);
}

void
ConfigStore_digest(const ConfigStore_t *this, guint8 out[16])
{
    XXH3_state_t *state = XXH3_createState();
    XXH3_128bits_reset(state);
    for (int kind = 0; kind < OBJECT_KIND_COUNT; kind++) {
        g_autoptr(GPtrArray) list = ConfigStore_list(this, (ObjectKind_t)kind);
        for (guint i = 0; i < list->len; i++) {
            digest_object(state, g_ptr_array_index(list, i));
        }
    }
    XXH128_canonical_t canonical;
    XXH128_canonicalFromHash(&canonical, XXH3_128bits_digest(state));
    memcpy(out, canonical.digest, sizeof(canonical.digest));
    XXH3_freeState(state);
}

const ConfigOutcome_t *
ConfigStore_findOutcome(const ConfigStore_t *this, GBytes *command_id)
{
    return g_hash_table_lookup(this->outcomes, command_id);
}

const Object_t *
ConfigStore_find(const ConfigStore_t *this, ObjectKind_t kind,
                 const char *name)
{
    return g_hash_table_lookup(this->objects[kind], name);
}

const Object_t *
ConfigStore_findCustomerByHash(const ConfigStore_t *this, GBytes *key_hash)
{
    return g_hash_table_lookup(this->customers, key_hash);
}
