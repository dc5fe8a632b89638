#include "CrashTable.h"

struct CrashTable {
    GHashTable *entries; /* &digest -> CrashEntry_t */
    GHashTable *owners;  /* &owner -> Owner_t */
    GHashTable *voided;  /* set of crashes that were none */
    GQueue voided_order; /* guint64 *, the oldest at the head */
};

typedef struct {
    guint64 owner;
    guint entries;
} Owner_t;

CrashTable_t *
CrashTable_create(void)
{
    CrashTable_t *this = g_new0(CrashTable_t, 1);
    this->entries = g_hash_table_new_full(RequestDigest_hash,
                                          RequestDigest_equal, NULL, g_free);
    this->owners =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    this->voided = g_hash_table_new(g_int64_hash, g_int64_equal);
    g_queue_init(&this->voided_order);
    return this;
}

void
CrashTable_destroy(CrashTable_t *this)
{
    g_hash_table_destroy(this->entries);
    g_hash_table_destroy(this->owners);
    g_hash_table_destroy(this->voided);
    g_queue_clear_full(&this->voided_order, g_free);
    g_free(this);
}

guint
CrashTable_size(const CrashTable_t *this)
{
    return g_hash_table_size(this->entries);
}

CrashEntry_t *
CrashTable_find(const CrashTable_t *this, const RequestDigest_t *digest)
{
    return g_hash_table_lookup(this->entries, digest);
}

guint
CrashEntry_counted(const CrashEntry_t *this)
{
    guint counted = 0;
    for (guint i = 0; i < this->mark_count; i++) {
        counted += this->marks[i].voided ? 0 : 1;
    }
    return counted;
}

gint64
CrashEntry_heldMs(const CrashEntry_t *this, gint64 now_ms)
{
    guint counted = CrashEntry_counted(this);
    if (counted < CRASHES_HELD) {
        return 0;
    }
    gint64 hold_ms = (gint64)CRASH_HOLD_MS << (counted - CRASHES_HELD);
    gint64 until_ms = this->last_ms + MIN(hold_ms, CRASH_HOLD_MOST_MS);
    return MAX(until_ms - now_ms, 0);
}

static Owner_t *
owner_of(CrashTable_t *this, guint64 owner)
{
    Owner_t *found = g_hash_table_lookup(this->owners, &owner);
    if (!found) {
        found = g_new0(Owner_t, 1);
        found->owner = owner;
        g_hash_table_insert(this->owners, &found->owner, found);
    }
    return found;
}

static void
drop_entry(CrashTable_t *this, const CrashEntry_t *entry)
{
    Owner_t *owner = owner_of(this, entry->owner);
    owner->entries--;
    if (owner->entries == 0) {
        g_hash_table_remove(this->owners, &owner->owner);
    }
    g_hash_table_remove(this->entries, &entry->digest);
}

/* The one that would be missed the least: the fewest crashes, then the oldest
 * of them. */
static gboolean
gives_way_to(const CrashEntry_t *left, const CrashEntry_t *right)
{
    guint left_counted = CrashEntry_counted(left);
    guint right_counted = CrashEntry_counted(right);
    return left_counted != right_counted ? left_counted < right_counted
                                         : left->last_ms < right->last_ms;
}

static CrashEntry_t *
least_of(const CrashTable_t *this, guint64 owner)
{
    CrashEntry_t *least = NULL;
    GHashTableIter iter;
    gpointer value = NULL;
    g_hash_table_iter_init(&iter, this->entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        CrashEntry_t *entry = value;
        if (entry->owner == owner && (!least || gives_way_to(entry, least))) {
            least = entry;
        }
    }
    return least;
}

static guint64
largest_owner(const CrashTable_t *this)
{
    const Owner_t *largest = NULL;
    GHashTableIter iter;
    gpointer value = NULL;
    g_hash_table_iter_init(&iter, this->owners);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const Owner_t *owner = value;
        if (!largest || owner->entries > largest->entries) {
            largest = owner;
        }
    }
    return largest ? largest->owner : 0;
}

/* A customer that fills its own part, or most of the whole, gives way itself:
 * a flood of its requests must not push out what others' crashes put here. */
static void
make_room(CrashTable_t *this, guint64 owner)
{
    const Owner_t *own = g_hash_table_lookup(this->owners, &owner);
    if (own && own->entries >= CRASH_ENTRIES_OF_ONE) {
        drop_entry(this, least_of(this, owner));
    }
    else if (g_hash_table_size(this->entries) >= CRASH_ENTRIES) {
        drop_entry(this, least_of(this, largest_owner(this)));
    }
}

static CrashEntry_t *
entry_of(CrashTable_t *this, const CrashFact_t *fact)
{
    CrashEntry_t *entry = CrashTable_find(this, &fact->digest);
    if (!entry) {
        make_room(this, fact->owner);
        entry = g_new0(CrashEntry_t, 1);
        entry->digest = fact->digest;
        entry->owner = fact->owner;
        entry->last_ms = fact->at_ms;
        owner_of(this, fact->owner)->entries++;
        g_hash_table_insert(this->entries, &entry->digest, entry);
    }
    return entry;
}

static CrashMark_t *
find_mark(CrashEntry_t *entry, guint64 crash)
{
    for (guint i = 0; i < entry->mark_count; i++) {
        if (entry->marks[i].crash == crash) {
            return &entry->marks[i];
        }
    }
    return NULL;
}

/* A voided one gives way; NULL where all of them count, which is as much as
 * there is to be known. */
static CrashMark_t *
free_mark(CrashEntry_t *entry)
{
    if (entry->mark_count < CRASHES_OF_ONE) {
        return &entry->marks[entry->mark_count++];
    }
    for (guint i = 0; i < CRASHES_OF_ONE; i++) {
        if (entry->marks[i].voided) {
            return &entry->marks[i];
        }
    }
    return NULL;
}

gboolean
CrashEntry_has(const CrashEntry_t *this, guint64 crash)
{
    return find_mark((CrashEntry_t *)this, crash) != NULL;
}

CrashChange_t
CrashTable_add(CrashTable_t *this, const CrashFact_t *fact, gint64 now_ms)
{
    if (g_hash_table_contains(this->voided, &fact->crash)) {
        return CRASH_KNOWN;
    }
    CrashEntry_t *entry = entry_of(this, fact);
    if (find_mark(entry, fact->crash)) {
        return CRASH_KNOWN;
    }
    gboolean was_held = CrashEntry_heldMs(entry, now_ms) > 0;
    CrashMark_t *mark = free_mark(entry);
    entry->last_ms = MAX(entry->last_ms, fact->at_ms);
    if (!mark) {
        return CRASH_KNOWN;
    }
    *mark = (CrashMark_t){.crash = fact->crash};
    gboolean is_held = CrashEntry_heldMs(entry, now_ms) > 0;
    return is_held && !was_held ? CRASH_HOLDS : CRASH_NEWS;
}

CrashChange_t
CrashTable_void(CrashTable_t *this, const CrashFact_t *fact)
{
    CrashEntry_t *entry = entry_of(this, fact);
    CrashMark_t *mark = find_mark(entry, fact->crash);
    if (mark && mark->voided) {
        return CRASH_KNOWN;
    }
    if (!mark) {
        mark = free_mark(entry);
    }
    if (!mark) {
        return CRASH_KNOWN;
    }
    *mark = (CrashMark_t){.crash = fact->crash, .voided = TRUE};
    return CRASH_NEWS;
}

gboolean
CrashTable_clear(CrashTable_t *this, const RequestDigest_t *digest)
{
    CrashEntry_t *entry = CrashTable_find(this, digest);
    if (!entry || CrashEntry_counted(entry) == 0) {
        return FALSE;
    }
    for (guint i = 0; i < entry->mark_count; i++) {
        entry->marks[i].voided = TRUE;
    }
    return TRUE;
}

static void
remember_voided(CrashTable_t *this, guint64 crash)
{
    guint64 *kept = g_new(guint64, 1);
    *kept = crash;
    g_hash_table_add(this->voided, kept);
    g_queue_push_tail(&this->voided_order, kept);
    if (g_queue_get_length(&this->voided_order) > CRASHES_VOIDED) {
        guint64 *oldest = g_queue_pop_head(&this->voided_order);
        g_hash_table_remove(this->voided, oldest);
        g_free(oldest);
    }
}

gboolean
CrashTable_retract(CrashTable_t *this, guint64 crash)
{
    if (g_hash_table_contains(this->voided, &crash)) {
        return FALSE;
    }
    remember_voided(this, crash);
    GHashTableIter iter;
    gpointer value = NULL;
    g_hash_table_iter_init(&iter, this->entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        CrashMark_t *mark = find_mark(value, crash);
        if (mark) {
            mark->voided = TRUE;
        }
    }
    return TRUE;
}

static gboolean
is_outdated(const CrashEntry_t *entry, gint64 now_ms)
{
    gint64 kept_ms = CrashEntry_counted(entry) >= CRASHES_HELD
                         ? CRASH_MEMORY_MS
                         : CRASH_SUSPECT_MS;
    return now_ms - entry->last_ms > kept_ms;
}

GArray *
CrashTable_forget(CrashTable_t *this, gint64 now_ms)
{
    GArray *recorded = g_array_new(FALSE, FALSE, sizeof(RequestDigest_t));
    g_autoptr(GPtrArray) outdated = g_ptr_array_new();
    GHashTableIter iter;
    gpointer value = NULL;
    g_hash_table_iter_init(&iter, this->entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        if (is_outdated(value, now_ms)) {
            g_ptr_array_add(outdated, value);
        }
    }
    for (guint i = 0; i < outdated->len; i++) {
        const CrashEntry_t *entry = g_ptr_array_index(outdated, i);
        if (entry->is_recorded) {
            g_array_append_val(recorded, entry->digest);
        }
        drop_entry(this, entry);
    }
    return recorded;
}

void
CrashTable_forEach(const CrashTable_t *this, CrashVisit_t visit, void *data)
{
    GHashTableIter iter;
    gpointer value = NULL;
    g_hash_table_iter_init(&iter, this->entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        visit(value, data);
    }
}
