#ifndef HEADER_Lease
#define HEADER_Lease
/**
 * DOC: Lease
 *
 * One scope's lease as a router sees it: it follows the stream "leases",
 * takes the lease when nobody has it, and renews it. No two routers' clocks
 * are ever compared: a holder counts from before its append, the others from
 * after they read it, and both leave a margin for drift. The clock counts
 * suspension.
 *
 * A log that comes back from an older copy has lost leases that may still run.
 * Whoever held one holds it to its end and may take it again at once; all
 * others wait for as long as any lease lasts.
 */
#include <event2/event.h>

#include "Counters.h"
#include "LogClient.h"
#include "StoreEpoch.h"

/**
 * struct LeaseSpec_t - what it needs
 * @log: must outlive it
 * @epoch: of the store that keeps the log
 * @scope: what the lease is about
 * @holder: name of this router
 * @incarnation: of this process
 * @duration_ms: of each lease
 * @poll_ms: how long the log may hold a read
 * @counters: for calls to the log; NULL for none
 */
typedef struct {
    LogClient_t *log;
    StoreEpoch_t *epoch;
    const char *scope;
    const char *holder;
    guint64 incarnation;
    gint64 duration_ms;
    gint64 poll_ms;
    Counters_t *counters;
} LeaseSpec_t;

/** struct Lease_t - opaque */
typedef struct Lease Lease_t;

/** Lease_create() - it does not want the lease yet and follows nothing */
Lease_t *Lease_create(struct event_base *base, const LeaseSpec_t *spec);

/** Lease_destroy() - free it; the log client must be freed first */
void Lease_destroy(Lease_t *this);

/**
 * Lease_want() - whether to take and keep the lease
 * @patience_ms: wait so much longer than needed before taking it
 */
void Lease_want(Lease_t *this, gboolean wanted, gint64 patience_ms);

/**
 * Lease_follow() - read the stream although the lease is not wanted now
 *
 * Who knows how long ago the last lease began can take one at once.
 */
void Lease_follow(Lease_t *this, gboolean followed);

/**
 * Lease_release() - let others take a lease that is ours at once
 *
 * It is wanted no more, and counts as lost from now on.
 */
void Lease_release(Lease_t *this);

/** Lease_remainingMs() - how long it is surely ours, 0 where it is not */
gint64 Lease_remainingMs(const Lease_t *this);

/**
 * Lease_term() - number at which this router took the lease
 *
 * It stays the same over renewals, and 0 stands for no lease.
 */
guint64 Lease_term(const Lease_t *this);

/** Lease_number() - fencing number of the lease that is ours */
guint64 Lease_number(const Lease_t *this);

#endif
