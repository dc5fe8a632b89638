#include "LeaseTable.h"

/* Bits of a number that tell the place of its record in its epoch, so that a
 * number of a later epoch is larger than any before. JSON numbers are exact up
 * to 53 bits, which leaves two million epochs. */
#define PLACE_BITS 32

struct LeaseTable {
    GHashTable *entries;  /* scope -> LeaseEntry_t */
    GHashTable *unproved; /* scope -> LeaseEntry_t of its last record */
    gboolean unsure;
    guint64 epoch;
    guint64 over; /* leases up to this number are */
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
    this->unproved =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_entry);
    return this;
}

void
LeaseTable_destroy(LeaseTable_t *this)
{
    g_hash_table_destroy(this->entries);
    g_hash_table_destroy(this->unproved);
    g_free(this);
}

void
LeaseTable_beginEpoch(LeaseTable_t *this, guint64 epoch)
{
    this->epoch = epoch;
    this->unsure = FALSE;
    this->over = 0;
    g_hash_table_remove_all(this->entries);
    g_hash_table_remove_all(this->unproved);
}

/* Of the record before an offset. */
static guint64
number_before(const LeaseTable_t *this, guint64 offset)
{
    return (this->epoch << PLACE_BITS) | offset;
}

/* Routers that know different parts of the stream must agree on who is taken.
 * One that started after older records had expired can not name the last lease
 * that the others know, but that it is over, and the other way round. */
static gboolean
follows(const LeaseTable_t *this, const Wt__LeaseRecord *record,
        const LeaseEntry_t *current)
{
    guint64 number = current ? current->number : 0;
    if (record->expects == number) {
        return TRUE;
    }
    if (record->over > 0 && number <= record->over) {
        return TRUE;
    }
    return number <= this->over && record->expects <= this->over;
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
LeaseTable_isUnsure(const LeaseTable_t *this, const char *scope)
{
    return this->unsure && !LeaseTable_find(this, scope);
}

gboolean
LeaseTable_fold(LeaseTable_t *this, guint64 offset,
                const Wt__LeaseRecord *record)
{
    if (record->epoch != this->epoch) {
        return FALSE;
    }
    gboolean unsure = LeaseTable_isUnsure(this, record->scope);
    const LeaseEntry_t *current =
        unsure ? g_hash_table_lookup(this->unproved, record->scope)
               : LeaseTable_find(this, record->scope);
    gboolean taken = follows(this, record, current);
    if (unsure && !(taken && current)) {
        g_hash_table_replace(this->unproved, g_strdup(record->scope),
                             create_entry(this, offset, record));
        return FALSE;
    }
    if (taken) {
        g_hash_table_replace(this->entries, g_strdup(record->scope),
                             create_entry(this, offset, record));
    }
    return taken;
}

void
LeaseTable_setUnsure(LeaseTable_t *this)
{
    this->unsure = TRUE;
    this->over = 0;
    g_hash_table_remove_all(this->entries);
    g_hash_table_remove_all(this->unproved);
}

void
LeaseTable_setSure(LeaseTable_t *this, guint64 offset)
{
    GHashTableIter iter;
    gpointer scope = NULL;
    gpointer entry = NULL;
    this->unsure = FALSE;
    this->over = number_before(this, offset);
    g_hash_table_iter_init(&iter, this->unproved);
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
LeaseTable_over(const LeaseTable_t *this)
{
    return this->over;
}

const LeaseEntry_t *
LeaseTable_find(const LeaseTable_t *this, const char *scope)
{
    return g_hash_table_lookup(this->entries, scope);
}
