#include "CrashTable.h"

struct CrashTable {
    GHashTable *entries;    /* &digest -> CrashEntry_t */
    GHashTable *customers;  /* &customer_hash -> Customer_t */
    GHashTable *retracted;  /* set of retracted crashes */
    GQueue retracted_order; /* guint64 *, oldest first */
};

typedef struct {
    guint64 customer_hash;
    guint entry_count;
} Customer_t;

CrashTable_t *
CrashTable_create(void)
{
    CrashTable_t *this = g_new0(CrashTable_t, 1);
    this->entries = g_hash_table_new_full(RequestDigest_hash,
                                          RequestDigest_equal, NULL, g_free);
    this->customers =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    this->retracted = g_hash_table_new(g_int64_hash, g_int64_equal);
    g_queue_init(&this->retracted_order);
    return this;
}

void
CrashTable_destroy(CrashTable_t *this)
{
    g_hash_table_destroy(this->entries);
    g_hash_table_destroy(this->customers);
    g_hash_table_destroy(this->retracted);
    g_queue_clear_full(&this->retracted_order, g_free);
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
CrashEntry_countValid(const CrashEntry_t *this)
{
    guint counted = 0;
    for (guint i = 0; i < this->mark_count; i++) {
        counted += this->marks[i].voided ? 0 : 1;
    }
    return counted;
}

gint64
CrashEntry_quarantineMs(const CrashEntry_t *this, gint64 now_ms)
{
    guint counted = CrashEntry_countValid(this);
    if (counted < CRASHES_TO_QUARANTINE) {
        return 0;
    }
    gint64 quarantine_ms = (gint64)QUARANTINE_MIN_MS
                           << (counted - CRASHES_TO_QUARANTINE);
    gint64 end_ms = this->last_ms + MIN(quarantine_ms, QUARANTINE_MAX_MS);
    return MAX(end_ms - now_ms, 0);
}

static Customer_t *
find_or_add_customer(CrashTable_t *this, guint64 customer_hash)
{
    Customer_t *found = g_hash_table_lookup(this->customers, &customer_hash);
    if (!found) {
        found = g_new0(Customer_t, 1);
        found->customer_hash = customer_hash;
        g_hash_table_insert(this->customers, &found->customer_hash, found);
    }
    return found;
}

static void
remove_entry(CrashTable_t *this, const CrashEntry_t *entry)
{
    Customer_t *customer = find_or_add_customer(this, entry->customer_hash);
    customer->entry_count--;
    if (customer->entry_count == 0) {
        g_hash_table_remove(this->customers, &customer->customer_hash);
    }
    g_hash_table_remove(this->entries, &entry->digest);
}

/* Orders entries for eviction: the fewest valid crashes first, then the oldest
 * last crash. */
static gboolean
is_less_important(const CrashEntry_t *left, const CrashEntry_t *right)
{
    guint left_counted = CrashEntry_countValid(left);
    guint right_counted = CrashEntry_countValid(right);
    return left_counted != right_counted ? left_counted < right_counted
                                         : left->last_ms < right->last_ms;
}

static CrashEntry_t *
find_least_important(const CrashTable_t *this, guint64 customer_hash)
{
    CrashEntry_t *found = NULL;
    GHashTableIter iter;
    gpointer value = NULL;
    g_hash_table_iter_init(&iter, this->entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        CrashEntry_t *entry = value;
        if (entry->customer_hash == customer_hash &&
            (!found || is_less_important(entry, found))) {
            found = entry;
        }
    }
    return found;
}

static guint64
find_largest_customer(const CrashTable_t *this)
{
    const Customer_t *largest = NULL;
    GHashTableIter iter;
    gpointer value = NULL;
    g_hash_table_iter_init(&iter, this->customers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const Customer_t *customer = value;
        if (!largest || customer->entry_count > largest->entry_count) {
            largest = customer;
        }
    }
    return largest ? largest->customer_hash : 0;
}

/* Evicts an entry of the customer that has used up its share, or of the one
 * with the most entries if the table is full: a flood of one customer's
 * requests must not evict the entries of other customers. */
static void
evict_if_full(CrashTable_t *this, guint64 customer_hash)
{
    const Customer_t *customer =
        g_hash_table_lookup(this->customers, &customer_hash);
    if (customer && customer->entry_count >= CRASH_ENTRIES_PER_CUSTOMER_MAX) {
        remove_entry(this, find_least_important(this, customer_hash));
    }
    else if (g_hash_table_size(this->entries) >= CRASH_ENTRIES_MAX) {
        remove_entry(this,
                     find_least_important(this, find_largest_customer(this)));
    }
}

static CrashEntry_t *
find_or_add_entry(CrashTable_t *this, const CrashFact_t *fact)
{
    CrashEntry_t *entry = CrashTable_find(this, &fact->digest);
    if (!entry) {
        evict_if_full(this, fact->customer_hash);
        entry = g_new0(CrashEntry_t, 1);
        entry->digest = fact->digest;
        entry->customer_hash = fact->customer_hash;
        entry->last_ms = fact->at_ms;
        find_or_add_customer(this, fact->customer_hash)->entry_count++;
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

/* Returns an unused mark or reuses a voided one; NULL if all marks are valid,
 * where the request is already quarantined for the longest time. */
static CrashMark_t *
allocate_mark(CrashEntry_t *entry)
{
    if (entry->mark_count < CRASHES_PER_REQUEST_MAX) {
        return &entry->marks[entry->mark_count++];
    }
    for (guint i = 0; i < CRASHES_PER_REQUEST_MAX; i++) {
        if (entry->marks[i].voided) {
            return &entry->marks[i];
        }
    }
    return NULL;
}

gboolean
CrashEntry_hasCrash(const CrashEntry_t *this, guint64 crash)
{
    return find_mark((CrashEntry_t *)this, crash) != NULL;
}

CrashChange_t
CrashTable_add(CrashTable_t *this, const CrashFact_t *fact, gint64 now_ms)
{
    if (g_hash_table_contains(this->retracted, &fact->crash)) {
        return CRASH_UNCHANGED;
    }
    CrashEntry_t *entry = find_or_add_entry(this, fact);
    if (find_mark(entry, fact->crash)) {
        return CRASH_UNCHANGED;
    }
    gboolean was_quarantined = CrashEntry_quarantineMs(entry, now_ms) > 0;
    CrashMark_t *mark = allocate_mark(entry);
    entry->last_ms = MAX(entry->last_ms, fact->at_ms);
    if (!mark) {
        return CRASH_UNCHANGED;
    }
    *mark = (CrashMark_t){.crash = fact->crash};
    gboolean is_quarantined = CrashEntry_quarantineMs(entry, now_ms) > 0;
    return is_quarantined && !was_quarantined ? CRASH_QUARANTINED
                                              : CRASH_CHANGED;
}

CrashChange_t
CrashTable_void(CrashTable_t *this, const CrashFact_t *fact)
{
    CrashEntry_t *entry = find_or_add_entry(this, fact);
    CrashMark_t *mark = find_mark(entry, fact->crash);
    if (mark && mark->voided) {
        return CRASH_UNCHANGED;
    }
    if (!mark) {
        mark = allocate_mark(entry);
    }
    if (!mark) {
        return CRASH_UNCHANGED;
    }
    *mark = (CrashMark_t){.crash = fact->crash, .voided = TRUE};
    return CRASH_CHANGED;
}

gboolean
CrashTable_voidAll(CrashTable_t *this, const RequestDigest_t *digest)
{
    CrashEntry_t *entry = CrashTable_find(this, digest);
    if (!entry || CrashEntry_countValid(entry) == 0) {
        return FALSE;
    }
    for (guint i = 0; i < entry->mark_count; i++) {
        entry->marks[i].voided = TRUE;
    }
    return TRUE;
}

static void
remember_retracted(CrashTable_t *this, guint64 crash)
{
    guint64 *crash_id = g_new(guint64, 1);
    *crash_id = crash;
    g_hash_table_add(this->retracted, crash_id);
    g_queue_push_tail(&this->retracted_order, crash_id);
    if (g_queue_get_length(&this->retracted_order) > CRASHES_RETRACTED_MAX) {
        guint64 *oldest = g_queue_pop_head(&this->retracted_order);
        g_hash_table_remove(this->retracted, oldest);
        g_free(oldest);
    }
}

gboolean
CrashTable_retract(CrashTable_t *this, guint64 crash)
{
    if (g_hash_table_contains(this->retracted, &crash)) {
        return FALSE;
    }
    remember_retracted(this, crash);
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

gboolean
CrashTable_isRetracted(const CrashTable_t *this, guint64 crash)
{
    return g_hash_table_contains(this->retracted, &crash);
}

static gboolean
is_expired(const CrashEntry_t *entry, gint64 now_ms)
{
    gint64 retain_ms = CrashEntry_countValid(entry) >= CRASHES_TO_QUARANTINE
                           ? CRASH_QUARANTINED_RETAIN_MS
                           : CRASH_SUSPECT_RETAIN_MS;
    return now_ms - entry->last_ms > retain_ms;
}

GArray *
CrashTable_expire(CrashTable_t *this, gint64 now_ms)
{
    GArray *stored = g_array_new(FALSE, FALSE, sizeof(RequestDigest_t));
    g_autoptr(GPtrArray) expired = g_ptr_array_new();
    GHashTableIter iter;
    gpointer value = NULL;
    g_hash_table_iter_init(&iter, this->entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        if (is_expired(value, now_ms)) {
            g_ptr_array_add(expired, value);
        }
    }
    for (guint i = 0; i < expired->len; i++) {
        const CrashEntry_t *entry = g_ptr_array_index(expired, i);
        if (entry->is_stored) {
            g_array_append_val(stored, entry->digest);
        }
        remove_entry(this, entry);
    }
    return stored;
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
