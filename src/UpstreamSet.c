#include "UpstreamSet.h"

#include <string.h>

#include "Names.h"

struct UpstreamSet {
    struct event_base *base;
    guint idle_max;
    guint64 generation;
    guint64 revision;    /* of the applied declarations */
    GHashTable *by_name; /* name -> Upstream_t, holds a reference */
    GHashTable *by_hash; /* &hash -> Upstream_t */
    gboolean is_stale;   /* listed upstreams changed since the indexing */
    GPtrArray *all;
    GHashTable *serving; /* "role/target" -> GPtrArray of Upstream_t */
    GPtrArray *empty;
    UpstreamSetAdded_t added; /* or NULL */
    void *added_owner;
};

static void
unref_upstream(gpointer upstream)
{
    Upstream_unref(upstream);
}

static void
unref_array(gpointer array)
{
    g_ptr_array_unref(array);
}

UpstreamSet_t *
UpstreamSet_create(struct event_base *base, guint idle_max)
{
    UpstreamSet_t *this = g_new0(UpstreamSet_t, 1);
    this->base = base;
    this->idle_max = idle_max;
    this->by_name =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, unref_upstream);
    this->by_hash = g_hash_table_new(g_int64_hash, g_int64_equal);
    this->all = g_ptr_array_new();
    this->serving =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, unref_array);
    this->empty = g_ptr_array_new();
    return this;
}

void
UpstreamSet_setAddedCallback(UpstreamSet_t *this, UpstreamSetAdded_t added,
                             void *owner)
{
    this->added = added;
    this->added_owner = owner;
}

void
UpstreamSet_setIdleMax(UpstreamSet_t *this, guint idle_max)
{
    GHashTableIter iter;
    gpointer upstream = NULL;
    this->idle_max = idle_max;
    g_hash_table_iter_init(&iter, this->by_name);
    while (g_hash_table_iter_next(&iter, NULL, &upstream)) {
        ((Upstream_t *)upstream)->idle_max = idle_max;
    }
}

void
UpstreamSet_destroy(UpstreamSet_t *this)
{
    g_hash_table_destroy(this->serving);
    g_hash_table_destroy(this->by_hash);
    g_ptr_array_unref(this->all);
    g_ptr_array_unref(this->empty);
    g_hash_table_destroy(this->by_name);
    g_free(this);
}

static gboolean
has_same_address_and_role(const Upstream_t *upstream,
                          const UpstreamSpec_t *spec)
{
    return strcmp(upstream->address.host, spec->address.host) == 0 &&
           upstream->address.port == spec->address.port &&
           upstream->role == (UpstreamRole_t)spec->role;
}

static void
update_upstream(Upstream_t *upstream, const UpstreamSpec_t *spec)
{
    g_string_assign(upstream->hall, spec->hall->str);
    g_string_assign(upstream->region, spec->region->str);
    upstream->slots = (guint)spec->slots;
    g_ptr_array_unref(upstream->serves);
    upstream->serves = g_ptr_array_ref(spec->serves);
}

/* An upstream with another address or role is a new one: the state of the old
 * one does not apply to it. */
static Upstream_t *
put_upstream(UpstreamSet_t *this, const char *name, const UpstreamSpec_t *spec)
{
    Upstream_t *old = g_hash_table_lookup(this->by_name, name);
    if (old && has_same_address_and_role(old, spec)) {
        update_upstream(old, spec);
        return old;
    }
    if (old) {
        old->removed = TRUE;
    }
    Upstream_t *upstream =
        Upstream_create(this->base, name, spec, this->idle_max);
    g_hash_table_replace(this->by_name, g_strdup(name), upstream);
    if (this->added) {
        this->added(this->added_owner, upstream);
    }
    return upstream;
}

static gboolean
remove_undeclared(gpointer name, gpointer upstream, gpointer config)
{
    if (ConfigStore_find(config, OBJECT_UPSTREAM, name)) {
        return FALSE;
    }
    ((Upstream_t *)upstream)->removed = TRUE;
    return TRUE;
}

static char *
serving_key(UpstreamRole_t role, const char *target)
{
    return g_strdup_printf("%d/%s", (int)role, target);
}

static void
add_serving(UpstreamSet_t *this, Upstream_t *upstream, const char *target)
{
    g_autofree char *key = serving_key(upstream->role, target);
    GPtrArray *list = g_hash_table_lookup(this->serving, key);
    if (!list) {
        list = g_ptr_array_new();
        g_hash_table_insert(this->serving, g_strdup(key), list);
    }
    g_ptr_array_add(list, upstream);
}

static void
index_upstream(UpstreamSet_t *this, Upstream_t *upstream)
{
    g_ptr_array_add(this->all, upstream);
    g_hash_table_insert(this->by_hash, &upstream->hash, upstream);
    for (guint i = 0; i < upstream->serves->len; i++) {
        const GString *target = g_ptr_array_index(upstream->serves, i);
        add_serving(this, upstream, target->str);
    }
}

void
UpstreamSet_applyDeclarations(UpstreamSet_t *this, const ConfigStore_t *config)
{
    guint64 revision = ConfigStore_kindRevision(config, OBJECT_UPSTREAM);
    if (revision == this->revision) {
        return;
    }
    this->revision = revision;
    this->generation++;
    g_ptr_array_set_size(this->all, 0);
    g_hash_table_remove_all(this->by_hash);
    g_hash_table_remove_all(this->serving);
    g_hash_table_foreach_remove(this->by_name, remove_undeclared,
                                (gpointer)config);
    g_autoptr(GPtrArray) objects = ConfigStore_list(config, OBJECT_UPSTREAM);
    for (guint i = 0; i < objects->len; i++) {
        const Object_t *object = g_ptr_array_index(objects, i);
        index_upstream(this,
                       put_upstream(this, object->name->str, object->spec));
    }
}

static gint
compare_names(gconstpointer a, gconstpointer b)
{
    const Upstream_t *const *left = a;
    const Upstream_t *const *right = b;
    return strcmp((*left)->name->str, (*right)->name->str);
}

static void
rebuild_indexes(UpstreamSet_t *this)
{
    GHashTableIter iter;
    gpointer upstream = NULL;
    g_autoptr(GPtrArray) ordered = g_ptr_array_new();
    g_hash_table_iter_init(&iter, this->by_name);
    while (g_hash_table_iter_next(&iter, NULL, &upstream)) {
        g_ptr_array_add(ordered, upstream);
    }
    g_ptr_array_sort(ordered, compare_names);
    this->generation++;
    g_ptr_array_set_size(this->all, 0);
    g_hash_table_remove_all(this->by_hash);
    g_hash_table_remove_all(this->serving);
    for (guint i = 0; i < ordered->len; i++) {
        index_upstream(this, g_ptr_array_index(ordered, i));
    }
}

/* A list of thousands of upstreams arrives entry by entry, so the indexes are
 * rebuilt only when they are next read; until then they may refer to freed
 * upstreams. Rebuilding does not change what callers see, hence the const. */
static void
refresh_indexes(const UpstreamSet_t *set)
{
    UpstreamSet_t *this = (UpstreamSet_t *)set;
    if (this->is_stale) {
        this->is_stale = FALSE;
        rebuild_indexes(this);
    }
}

Upstream_t *
UpstreamSet_put(UpstreamSet_t *this, const char *name,
                const UpstreamSpec_t *spec)
{
    const Upstream_t *old = UpstreamSet_find(this, name);
    gboolean is_indexed = old && has_same_address_and_role(old, spec) &&
                          Names_equal(old->serves, spec->serves);
    this->is_stale = this->is_stale || !is_indexed;
    return put_upstream(this, name, spec);
}

void
UpstreamSet_remove(UpstreamSet_t *this, const char *name)
{
    Upstream_t *upstream = UpstreamSet_find(this, name);
    if (!upstream) {
        return;
    }
    upstream->removed = TRUE;
    g_hash_table_remove(this->by_name, name);
    this->is_stale = TRUE;
}

Upstream_t *
UpstreamSet_find(const UpstreamSet_t *this, const char *name)
{
    return g_hash_table_lookup(this->by_name, name);
}

Upstream_t *
UpstreamSet_findByHash(const UpstreamSet_t *this, guint64 hash)
{
    refresh_indexes(this);
    return g_hash_table_lookup(this->by_hash, &hash);
}

const GPtrArray *
UpstreamSet_findServing(const UpstreamSet_t *this, UpstreamRole_t role,
                        const char *target)
{
    refresh_indexes(this);
    g_autofree char *key = serving_key(role, target);
    const GPtrArray *list = g_hash_table_lookup(this->serving, key);
    return list ? list : this->empty;
}

const GPtrArray *
UpstreamSet_all(const UpstreamSet_t *this)
{
    refresh_indexes(this);
    return this->all;
}

guint64
UpstreamSet_generation(const UpstreamSet_t *this)
{
    refresh_indexes(this);
    return this->generation;
}
