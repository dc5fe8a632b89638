#ifndef HEADER_LeaseTable
#define HEADER_LeaseTable
/**
 * DOC: LeaseTable
 *
 * The fold of the log stream "leases". It knows no clock: a lease is followed
 * by another one as soon as a record that expects its number comes. Who
 * appends such a record waits the lease out first (Lease.h). Where the log has
 * come back older, only what was appended since counts.
 */
#include <glib.h>

#include "leases.pb-c.h"

/**
 * struct LeaseEntry_t - the current lease of a scope
 * @number: fencing number, only grows, over epochs as well
 * @holder: name of the router
 * @incarnation: of its process
 * @duration_ms: how long it lasts from its append
 */
typedef struct {
    guint64 number;
    GString *holder;
    guint64 incarnation;
    guint duration_ms;
} LeaseEntry_t;

/** struct LeaseTable_t - opaque */
typedef struct LeaseTable LeaseTable_t;

/** LeaseTable_create() - no leases */
LeaseTable_t *LeaseTable_create(void);

/** LeaseTable_destroy() - free it */
void LeaseTable_destroy(LeaseTable_t *this);

/** LeaseTable_beginEpoch() - the log has come back older: no leases, and all
 * records are to be folded again */
void LeaseTable_beginEpoch(LeaseTable_t *this, guint64 epoch);

/**
 * LeaseTable_fold() - take the next record
 *
 * Return: whether it is the scope's current lease now
 */
gboolean LeaseTable_fold(LeaseTable_t *this, guint64 offset,
                         const Wt__LeaseRecord *record);

/**
 * LeaseTable_setUnsure() - older records have expired
 *
 * Of the first record of an unknown scope nobody can say whether it was
 * taken. One that expects it proves that it was, as its appender knew. Until
 * then the scope has no lease here.
 */
void LeaseTable_setUnsure(LeaseTable_t *this);

/**
 * LeaseTable_setSure() - nobody has renewed for long
 * @offset: all leases before it are over
 *
 * The last record of each unknown scope counts as its lease.
 */
void LeaseTable_setSure(LeaseTable_t *this, guint64 offset);

/** LeaseTable_over() - leases up to this number are over, as is known since
 * the last call of LeaseTable_setSure(); 0 for none */
guint64 LeaseTable_over(const LeaseTable_t *this);

/** LeaseTable_isUnsure() - whether a scope's lease may be unknown */
gboolean LeaseTable_isUnsure(const LeaseTable_t *this, const char *scope);

/** LeaseTable_find() - the current lease of a scope, or NULL */
const LeaseEntry_t *LeaseTable_find(const LeaseTable_t *this,
                                    const char *scope);

#endif
