#include "LeaseTable.h"

/* Low bits of a fencing number, which hold the offset of its record. The epoch
 * is in the bits above, so numbers of a later epoch are larger. JSON numbers
 * are exact up to 53 bits, which leaves two million epochs. */
#define OFFSET_BITS 32

struct LeaseTable {
    GHashTable *entries;      /* scope -> LeaseEntry_t */
    GHashTable *unconfirmed;  /* scope -> LeaseEntry_t of its last record */
    gboolean has_unconfirmed; /* older records have expired */
    guint64 epoch;
    guint64 max_ended; /* leases up to this number have ended */
};

static void
free_entry(gpointer data)
{
    LeaseEntry_t *entry = data;
    g_string_free(entry->holder, TRUE);
    g_free(entry);
}

LeaseTable_t *
LeaseTable_create(void)
{
    LeaseTable_t *this = g_new0(LeaseTable_t, 1);
    this->entries =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_entry);
    this->unconfirmed =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_entry);
    return this;
}

void
LeaseTable_destroy(LeaseTable_t *this)
{
    g_hash_table_destroy(this->entries);
    g_hash_table_destroy(this->unconfirmed);
    g_free(this);
}

void
LeaseTable_beginEpoch(LeaseTable_t *this, guint64 epoch)
{
    this->epoch = epoch;
    this->has_unconfirmed = FALSE;
    this->max_ended = 0;
    g_hash_table_remove_all(this->entries);
    g_hash_table_remove_all(this->unconfirmed);
}

/* Fencing number of the record before an offset. */
static guint64
number_before(const LeaseTable_t *this, guint64 offset)
{
    return (this->epoch << OFFSET_BITS) | offset;
}

/* Whether a record replaces the current lease. Routers that have read
 * different parts of the stream must agree on this. A router that started
 * after older records had expired does not know the last lease that others
 * know, only that all leases up to some number have ended; so an ended lease
 * matches on either side. */
static gboolean
replaces_current(const LeaseTable_t *this, const Wt__LeaseRecord *record,
                 const LeaseEntry_t *current)
{
    guint64 number = current ? current->number : 0;
    if (record->expects == number) {
        return TRUE;
    }
    if (record->over > 0 && number <= record->over) {
        return TRUE;
    }
    return number <= this->max_ended && record->expects <= this->max_ended;
}

static LeaseEntry_t *
create_entry(const LeaseTable_t *this, guint64 offset,
             const Wt__LeaseRecord *record)
{
    LeaseEntry_t *entry = g_new0(LeaseEntry_t, 1);
    entry->number = number_before(this, offset + 1);
    entry->holder = g_string_new(record->holder);
    entry->incarnation = record->incarnation;
    entry->duration_ms = record->duration_ms;
    return entry;
}

gboolean
LeaseTable_isUnconfirmed(const LeaseTable_t *this, const char *scope)
{
    return this->has_unconfirmed && !LeaseTable_find(this, scope);
}

gboolean
LeaseTable_fold(LeaseTable_t *this, guint64 offset,
                const Wt__LeaseRecord *record)
{
    if (record->epoch != this->epoch) {
        return FALSE;
    }
    gboolean unconfirmed = LeaseTable_isUnconfirmed(this, record->scope);
    const LeaseEntry_t *current =
        unconfirmed ? g_hash_table_lookup(this->unconfirmed, record->scope)
                    : LeaseTable_find(this, record->scope);
    gboolean takes_effect = replaces_current(this, record, current);
    if (unconfirmed && !(takes_effect && current)) {
        g_hash_table_replace(this->unconfirmed, g_strdup(record->scope),
                             create_entry(this, offset, record));
        return FALSE;
    }
    if (takes_effect) {
        g_hash_table_replace(this->entries, g_strdup(record->scope),
                             create_entry(this, offset, record));
    }
    return takes_effect;
}

void
LeaseTable_setUnconfirmed(LeaseTable_t *this)
{
    this->has_unconfirmed = TRUE;
    this->max_ended = 0;
    g_hash_table_remove_all(this->entries);
    g_hash_table_remove_all(this->unconfirmed);
}

void
LeaseTable_setConfirmed(LeaseTable_t *this, guint64 offset)
{
    GHashTableIter iter;
    gpointer scope = NULL;
    gpointer entry = NULL;
    this->has_unconfirmed = FALSE;
    this->max_ended = number_before(this, offset);
    g_hash_table_iter_init(&iter, this->unconfirmed);
    while (g_hash_table_iter_next(&iter, &scope, &entry)) {
        g_hash_table_iter_steal(&iter);
        if (LeaseTable_find(this, scope)) {
            g_free(scope);
            free_entry(entry);
        }
        else {
            g_hash_table_replace(this->entries, scope, entry);
        }
    }
}

guint64
LeaseTable_maxEndedNumber(const LeaseTable_t *this)
{
    return this->max_ended;
}

const LeaseEntry_t *
LeaseTable_find(const LeaseTable_t *this, const char *scope)
{
    return g_hash_table_lookup(this->entries, scope);
}
