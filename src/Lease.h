#ifndef HEADER_Lease
#define HEADER_Lease
/**
 * DOC: Lease
 *
 * The lease of one scope as a router sees it: reads the stream "leases", takes
 * the lease when nobody holds it, and renews it. Clocks of different routers
 * are never compared: a holder counts from before its append, the others from
 * after they have read the record, and both leave a margin for drift. The
 * clock counts time spent suspended.
 *
 * A log that is restored from an older copy may have lost leases that still
 * run. A holder keeps its lease until it expires, and may take it again at
 * once; all other routers wait for the duration of a whole lease.
 */
#include <event2/event.h>

#include "Counters.h"
#include "LogClient.h"
#include "StoreEpoch.h"

/**
 * struct LeaseSpec_t - parameters of a lease
 * @log: client of the log; must outlive the lease
 * @epoch: epoch of the store that holds the log
 * @scope: name of what the lease protects
 * @holder: name of this router
 * @incarnation: of this process
 * @duration_ms: duration of each lease
 * @poll_ms: how long the log may hold a read open
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

/** Lease_create() - start neither wanting the lease nor reading the stream */
Lease_t *Lease_create(struct event_base *base, const LeaseSpec_t *spec);

/** Lease_destroy() - free it; the log client must be freed first */
void Lease_destroy(Lease_t *this);

/**
 * Lease_setWanted() - set whether to take and renew the lease
 * @delay_ms: extra time to wait before taking a lease that has expired
 */
void Lease_setWanted(Lease_t *this, gboolean wanted, gint64 delay_ms);

/**
 * Lease_setFollowed() - set whether to read the stream even while the lease
 * is not wanted
 *
 * A router that knows when the last lease began can take an expired one
 * without waiting.
 */
void Lease_setFollowed(Lease_t *this, gboolean followed);

/**
 * Lease_release() - end a lease of this router, so that others can take it
 * at once
 *
 * The lease is no longer wanted, and counts as lost from this call on.
 */
void Lease_release(Lease_t *this);

/**
 * Lease_yield() - end a lease of this router like Lease_release(), but allow
 * the router to take the lease again later
 *
 * Has no effect while another append is open; the caller then tries again.
 */
void Lease_yield(Lease_t *this);

/** Lease_remainingMs() - how long this router is certain to hold the lease; 0
 * if it does not */
gint64 Lease_remainingMs(const Lease_t *this);

/**
 * Lease_term() - number at which this router took the lease
 *
 * Renewals do not change it. 0 means that this router holds no lease.
 */
guint64 Lease_term(const Lease_t *this);

/** Lease_number() - fencing number of this router's lease; 0 for no lease */
guint64 Lease_number(const Lease_t *this);

#endif
