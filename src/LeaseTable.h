#ifndef HEADER_LeaseTable
#define HEADER_LeaseTable
/**
 * DOC: LeaseTable
 *
 * The fold of the log stream "leases". It uses no clock: a record that expects
 * the number of the current lease replaces that lease. The router that appends
 * such a record first waits until the lease has expired (Lease.h). If the log
 * was restored from an older copy, only records appended since then count.
 */
#include <glib.h>

#include "leases.pb-c.h"

/**
 * struct LeaseEntry_t - the current lease of a scope
 * @number: fencing number; only grows, also across epochs
 * @holder: name of the router
 * @incarnation: of the router's process
 * @duration_ms: how long the lease lasts from its append
 */
typedef struct {
    guint64 number;
    GString *holder;
    guint64 incarnation;
    guint duration_ms;
} LeaseEntry_t;

/** struct LeaseTable_t - opaque */
typedef struct LeaseTable LeaseTable_t;

/** LeaseTable_create() - start without leases */
LeaseTable_t *LeaseTable_create(void);

/** LeaseTable_destroy() - free it */
void LeaseTable_destroy(LeaseTable_t *this);

/** LeaseTable_beginEpoch() - clear the table after the log was restored from
 * an older copy; the caller folds all records again */
void LeaseTable_beginEpoch(LeaseTable_t *this, guint64 epoch);

/**
 * LeaseTable_fold() - apply the next record
 *
 * Return: whether the record is now the scope's current lease
 */
gboolean LeaseTable_fold(LeaseTable_t *this, guint64 offset,
                         const Wt__LeaseRecord *record);

/**
 * LeaseTable_setUnconfirmed() - clear the table after older records expired
 *
 * Whether the first record of an unknown scope took effect can't be told from
 * the record alone. A record that expects its number confirms it, as the
 * appender knew the older records. Until then the scope has no lease here.
 */
void LeaseTable_setUnconfirmed(LeaseTable_t *this);

/**
 * LeaseTable_setConfirmed() - accept the unconfirmed records, after nobody
 * has renewed a lease for long enough
 * @offset: all leases before this offset have ended
 *
 * The last record of each unknown scope becomes its lease.
 */
void LeaseTable_setConfirmed(LeaseTable_t *this, guint64 offset);

/** LeaseTable_maxEndedNumber() - leases up to this number have ended, as known
 * since the last call of LeaseTable_setConfirmed(); 0 for none */
guint64 LeaseTable_maxEndedNumber(const LeaseTable_t *this);

/** LeaseTable_isUnconfirmed() - whether a scope may have a lease that is not
 * known here */
gboolean LeaseTable_isUnconfirmed(const LeaseTable_t *this, const char *scope);

/** LeaseTable_find() - the current lease of a scope, or NULL */
const LeaseEntry_t *LeaseTable_find(const LeaseTable_t *this,
                                    const char *scope);

#endif
