#include "PartTable.h"

#include <string.h>

struct PartTable {
    GHashTable *entries;   /* &digest -> PartEntry_t */
    GHashTable *owners;    /* &owner_hash -> Owner_t */
    GHashTable *explained; /* set of crashes that quarantined parts explain */
};

typedef struct {
    guint64 owner_hash;
    guint entry_count;
} Owner_t;

static GHashTable *
create_crash_set(void)
{
    return g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
}

PartTable_t *
PartTable_create(void)
{
    PartTable_t *this = g_new0(PartTable_t, 1);
    this->entries = g_hash_table_new_full(RequestDigest_hash,
                                          RequestDigest_equal, NULL, g_free);
    this->owners =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    this->explained = create_crash_set();
    return this;
}

void
PartTable_destroy(PartTable_t *this)
{
    g_hash_table_destroy(this->entries);
    g_hash_table_destroy(this->owners);
    g_hash_table_destroy(this->explained);
    g_free(this);
}

guint
PartTable_size(const PartTable_t *this)
{
    return g_hash_table_size(this->entries);
}

PartEntry_t *
PartTable_find(const PartTable_t *this, const RequestDigest_t *digest)
{
    return g_hash_table_lookup(this->entries, digest);
}

guint
PartEntry_countValid(const PartEntry_t *this)
{
    guint count = 0;
    for (guint i = 0; i < this->mark_count; i++) {
        count += this->marks[i].voided ? 0 : 1;
    }
    return count;
}

static PartMark_t *
find_mark(PartEntry_t *entry, guint64 crash)
{
    for (guint i = 0; i < entry->mark_count; i++) {
        if (entry->marks[i].crash == crash) {
            return &entry->marks[i];
        }
    }
    return NULL;
}

gboolean
PartEntry_hasCrash(const PartEntry_t *this, guint64 crash)
{
    return find_mark((PartEntry_t *)this, crash) != NULL;
}

/* Whether the mark is the first valid one of its customer. */
static gboolean
is_first_of_customer(const PartEntry_t *entry, guint idx)
{
    for (guint i = 0; i < idx; i++) {
        if (!entry->marks[i].voided &&
            entry->marks[i].customer_hash == entry->marks[idx].customer_hash) {
            return FALSE;
        }
    }
    return !entry->marks[idx].voided;
}

guint
PartEntry_countCustomers(const PartEntry_t *this)
{
    guint count = 0;
    for (guint i = 0; i < this->mark_count; i++) {
        count += is_first_of_customer(this, i) ? 1 : 0;
    }
    return count;
}

gboolean
PartEntry_concerns(const PartEntry_t *this, guint64 customer_hash)
{
    for (guint i = 0; i < this->mark_count; i++) {
        if (!this->marks[i].voided &&
            this->marks[i].customer_hash == customer_hash) {
            return TRUE;
        }
    }
    return PartEntry_countCustomers(this) > 1;
}

gint64
PartEntry_quarantineMs(const PartEntry_t *this, gint64 now_ms)
{
    guint beyond = MAX(PartEntry_countValid(this), PART_CRASHES_UNKNOWN) -
                   PART_CRASHES_UNKNOWN;
    gint64 quarantine_ms = (gint64)QUARANTINE_MIN_MS << beyond;
    gint64 end_ms = this->last_ms + MIN(quarantine_ms, QUARANTINE_MAX_MS);
    return this->is_held ? MAX(end_ms - now_ms, 0) : 0;
}

static Owner_t *
find_or_add_owner(PartTable_t *this, guint64 owner_hash)
{
    Owner_t *found = g_hash_table_lookup(this->owners, &owner_hash);
    if (!found) {
        found = g_new0(Owner_t, 1);
        found->owner_hash = owner_hash;
        g_hash_table_insert(this->owners, &found->owner_hash, found);
    }
    return found;
}

static void
remove_entry(PartTable_t *this, const PartEntry_t *entry)
{
    Owner_t *owner = find_or_add_owner(this, entry->owner_hash);
    owner->entry_count--;
    if (owner->entry_count == 0) {
        g_hash_table_remove(this->owners, &owner->owner_hash);
    }
    g_hash_table_remove(this->entries, &entry->part.digest);
}

static gboolean
is_less_important(const PartEntry_t *left, const PartEntry_t *right)
{
    guint left_count = PartEntry_countValid(left);
    guint right_count = PartEntry_countValid(right);
    return left_count != right_count ? left_count < right_count
                                     : left->last_ms < right->last_ms;
}

static const PartEntry_t *
find_least_important(const PartTable_t *this, guint64 owner_hash)
{
    const PartEntry_t *found = NULL;
    GHashTableIter iter;
    gpointer value = NULL;
    g_hash_table_iter_init(&iter, this->entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const PartEntry_t *entry = value;
        if (entry->owner_hash == owner_hash &&
            (!found || is_less_important(entry, found))) {
            found = entry;
        }
    }
    return found;
}

static guint64
find_largest_owner(const PartTable_t *this)
{
    const Owner_t *largest = NULL;
    GHashTableIter iter;
    gpointer value = NULL;
    g_hash_table_iter_init(&iter, this->owners);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const Owner_t *owner = value;
        if (!largest || owner->entry_count > largest->entry_count) {
            largest = owner;
        }
    }
    return largest ? largest->owner_hash : 0;
}

/* A flood of one customer's parts must not evict those of others. */
static void
evict_if_full(PartTable_t *this, guint64 owner_hash)
{
    const Owner_t *owner = g_hash_table_lookup(this->owners, &owner_hash);
    if (owner && owner->entry_count >= PART_ENTRIES_PER_CUSTOMER_MAX) {
        remove_entry(this, find_least_important(this, owner_hash));
    }
    else if (g_hash_table_size(this->entries) >= PART_ENTRIES_MAX) {
        remove_entry(this,
                     find_least_important(this, find_largest_owner(this)));
    }
}

static PartEntry_t *
find_or_add_entry(PartTable_t *this, const PartFact_t *fact)
{
    PartEntry_t *entry = PartTable_find(this, &fact->part.digest);
    if (!entry) {
        evict_if_full(this, fact->mark.customer_hash);
        entry = g_new0(PartEntry_t, 1);
        entry->part = fact->part;
        entry->owner_hash = fact->mark.customer_hash;
        entry->last_ms = fact->mark.at_ms;
        find_or_add_owner(this, entry->owner_hash)->entry_count++;
        g_hash_table_insert(this->entries, &entry->part.digest, entry);
    }
    return entry;
}

static PartMark_t *
allocate_mark(PartEntry_t *entry)
{
    if (entry->mark_count < PART_MARKS_MAX) {
        return &entry->marks[entry->mark_count++];
    }
    for (guint i = 0; i < PART_MARKS_MAX; i++) {
        if (entry->marks[i].voided) {
            return &entry->marks[i];
        }
    }
    return NULL;
}

static gboolean
merge_part(PartEntry_t *entry, const PartFact_t *fact)
{
    gboolean changes = fact->is_known && !entry->is_known;
    entry->is_known = entry->is_known || fact->is_known;
    entry->part.depth = MAX(entry->part.depth, fact->part.depth);
    entry->part.id = entry->part.id ? entry->part.id : fact->part.id;
    return changes;
}

static gboolean
has_other_mark_of(const PartEntry_t *entry, const PartMark_t *mark,
                  guint32 request)
{
    for (guint i = 0; i < entry->mark_count; i++) {
        if (&entry->marks[i] != mark && !entry->marks[i].voided &&
            entry->marks[i].request == request) {
            return TRUE;
        }
    }
    return FALSE;
}

/* Of several requests that were lost in one crash, one that was lost in others
 * too is kept. */
static gboolean
merge_mark(const PartEntry_t *entry, PartMark_t *mark, const PartMark_t *other)
{
    gboolean changes = other->voided && !mark->voided;
    mark->voided = mark->voided || other->voided;
    if (mark->request != other->request &&
        has_other_mark_of(entry, mark, other->request) &&
        !has_other_mark_of(entry, mark, mark->request)) {
        mark->request = other->request;
        changes = TRUE;
    }
    return changes;
}

gboolean
PartTable_add(PartTable_t *this, const PartFact_t *fact)
{
    PartEntry_t *entry = find_or_add_entry(this, fact);
    gboolean changed = merge_part(entry, fact);
    PartMark_t *mark = find_mark(entry, fact->mark.crash);
    if (mark) {
        return merge_mark(entry, mark, &fact->mark) || changed;
    }
    mark = allocate_mark(entry);
    if (!mark) {
        return changed;
    }
    *mark = fact->mark;
    entry->last_ms = MAX(entry->last_ms, fact->mark.at_ms);
    return TRUE;
}

gboolean
PartTable_noteAnswer(PartTable_t *this, const RequestDigest_t *digest,
                     gint64 began_ms)
{
    PartEntry_t *entry = PartTable_find(this, digest);
    if (!entry) {
        return FALSE;
    }
    gboolean changed = !entry->is_known;
    entry->is_known = TRUE;
    for (guint i = 0; i < entry->mark_count; i++) {
        PartMark_t *mark = &entry->marks[i];
        if (!mark->voided && mark->at_ms < began_ms) {
            mark->voided = TRUE;
            changed = TRUE;
        }
    }
    return changed;
}

gboolean
PartTable_voidAll(PartTable_t *this, const RequestDigest_t *digest)
{
    PartEntry_t *entry = PartTable_find(this, digest);
    if (!entry || PartEntry_countValid(entry) == 0) {
        return FALSE;
    }
    for (guint i = 0; i < entry->mark_count; i++) {
        entry->marks[i].voided = TRUE;
    }
    return TRUE;
}

void
PartTable_retract(PartTable_t *this, guint64 crash)
{
    GHashTableIter iter;
    gpointer value = NULL;
    g_hash_table_iter_init(&iter, this->entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        PartMark_t *mark = find_mark(value, crash);
        if (mark) {
            mark->voided = TRUE;
        }
    }
}

static gint
compare_marks(gconstpointer left, gconstpointer right)
{
    const PartMark_t *a = left;
    const PartMark_t *b = right;
    return (a->at_ms > b->at_ms) - (a->at_ms < b->at_ms);
}

/* Valid crashes that no other quarantined part explains, by time. */
static GArray *
list_own_marks(const PartEntry_t *entry, GHashTable *explained)
{
    GArray *marks = g_array_new(FALSE, FALSE, sizeof(PartMark_t));
    for (guint i = 0; i < entry->mark_count; i++) {
        const PartMark_t *mark = &entry->marks[i];
        if (!mark->voided && !g_hash_table_contains(explained, &mark->crash)) {
            g_array_append_val(marks, *mark);
        }
    }
    g_array_sort(marks, compare_marks);
    return marks;
}

static gboolean
has_several_places(const GArray *marks)
{
    const PartMark_t *first = &g_array_index(marks, PartMark_t, 0);
    for (guint i = 1; i < marks->len; i++) {
        if (g_array_index(marks, PartMark_t, i).place != first->place) {
            return TRUE;
        }
    }
    return FALSE;
}

static gboolean
has_several_requests(const GArray *marks)
{
    const PartMark_t *first = &g_array_index(marks, PartMark_t, 0);
    for (guint i = 1; i < marks->len; i++) {
        if (g_array_index(marks, PartMark_t, i).request != first->request) {
            return TRUE;
        }
    }
    return FALSE;
}

static guint
count_in_turn(const GArray *marks)
{
    gint64 last_ms = G_MININT64;
    guint count = 0;
    for (guint i = 0; i < marks->len; i++) {
        const PartMark_t *mark = &g_array_index(marks, PartMark_t, i);
        if (mark->at_ms - mark->ran_ms >= last_ms) {
            last_ms = mark->at_ms + PART_CRASH_GAP_MS;
            count++;
        }
    }
    return count;
}

static gboolean
is_cause(const PartEntry_t *entry, const GArray *marks)
{
    if (marks->len < PART_CRASHES_UNKNOWN || !has_several_requests(marks)) {
        return FALSE;
    }
    if (entry->is_known) {
        return marks->len >= PART_CRASHES_KNOWN &&
               count_in_turn(marks) >= PART_CRASHES_IN_TURN;
    }
    return has_several_places(marks) || marks->len >= PART_CRASHES_KNOWN;
}

/* Parts that are in no answer that went well come first: they explain crashes
 * before the parts that all requests share. Of these, most valid crashes
 * first, then the deepest. */
static gint
compare_candidates(gconstpointer left, gconstpointer right)
{
    const PartEntry_t *a = *(const PartEntry_t *const *)left;
    const PartEntry_t *b = *(const PartEntry_t *const *)right;
    guint a_count = PartEntry_countValid(a);
    guint b_count = PartEntry_countValid(b);
    if (a->is_known != b->is_known) {
        return a->is_known ? 1 : -1;
    }
    if (a_count != b_count) {
        return a_count > b_count ? -1 : 1;
    }
    if (a->part.depth != b->part.depth) {
        return a->part.depth > b->part.depth ? -1 : 1;
    }
    return memcmp(a->part.digest.bytes, b->part.digest.bytes,
                  sizeof(a->part.digest.bytes));
}

static GPtrArray *
list_candidates(const PartTable_t *this)
{
    GPtrArray *candidates = g_ptr_array_new();
    GHashTableIter iter;
    gpointer value = NULL;
    g_hash_table_iter_init(&iter, this->entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const PartEntry_t *entry = value;
        if (entry->is_held ||
            PartEntry_countValid(entry) >= PART_CRASHES_UNKNOWN) {
            g_ptr_array_add(candidates, value);
        }
    }
    g_ptr_array_sort(candidates, compare_candidates);
    return candidates;
}

static void
explain_crashes(const PartEntry_t *entry, GHashTable *explained)
{
    for (guint i = 0; i < entry->mark_count; i++) {
        const PartMark_t *mark = &entry->marks[i];
        if (!mark->voided) {
            g_hash_table_add(explained,
                             g_memdup2(&mark->crash, sizeof(mark->crash)));
        }
    }
}

void
PartTable_evaluate(PartTable_t *this, gint64 now_ms, PartVisit_t changed,
                   void *data)
{
    g_autoptr(GPtrArray) candidates = list_candidates(this);
    GHashTable *explained = create_crash_set();
    g_autoptr(GPtrArray) news = g_ptr_array_new();
    for (guint i = 0; i < candidates->len; i++) {
        PartEntry_t *entry = g_ptr_array_index(candidates, i);
        g_autoptr(GArray) marks = list_own_marks(entry, explained);
        gboolean was_held = entry->is_held;
        entry->is_held = is_cause(entry, marks);
        entry->is_held = PartEntry_quarantineMs(entry, now_ms) > 0;
        if (entry->is_held) {
            entry->was_held = TRUE;
            explain_crashes(entry, explained);
        }
        if (entry->is_held != was_held) {
            g_ptr_array_add(news, entry);
        }
    }
    g_hash_table_destroy(this->explained);
    this->explained = explained;
    for (guint i = 0; i < news->len; i++) {
        changed(g_ptr_array_index(news, i), data);
    }
}

gboolean
PartTable_isExplained(const PartTable_t *this, guint64 crash)
{
    return g_hash_table_contains(this->explained, &crash);
}

static gboolean
is_expired(const PartEntry_t *entry, gint64 now_ms)
{
    gint64 retain_ms = PartEntry_countValid(entry) >= PART_CRASHES_UNKNOWN
                           ? CRASH_QUARANTINED_RETAIN_MS
                           : CRASH_SUSPECT_RETAIN_MS;
    return now_ms - entry->last_ms > retain_ms;
}

void
PartTable_expire(PartTable_t *this, gint64 now_ms, PartVisit_t removed,
                 void *data)
{
    g_autoptr(GList) entries = g_hash_table_get_values(this->entries);
    for (const GList *link = entries; link; link = link->next) {
        if (is_expired(link->data, now_ms)) {
            removed(link->data, data);
            remove_entry(this, link->data);
        }
    }
}

void
PartTable_forEach(const PartTable_t *this, PartVisit_t visit, void *data)
{
    GHashTableIter iter;
    gpointer value = NULL;
    g_hash_table_iter_init(&iter, this->entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        visit(value, data);
    }
}
