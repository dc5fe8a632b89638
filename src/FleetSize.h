#ifndef HEADER_FleetSize
#define HEADER_FleetSize
/**
 * DOC: FleetSize
 *
 * Estimates among how many routers a limit over all of them is divided. Only
 * counting the routers that are known now would let each part of a partitioned
 * network admit the whole limit: a router that has just started knows few
 * others, and one that is unreachable for long is removed from the membership.
 */
#include <glib.h>

/**
 * struct FleetSizeView_t - what a router sees of the others
 * @known: routers in the membership, this one included
 * @seeds: routers in the settings at whose addresses others can be found, this
 *     one included if it is one
 * @seeds_known: those of @seeds that are in the membership
 * @is_settled: the membership has had time to find the others
 */
typedef struct {
    guint known;
    guint seeds;
    guint seeds_known;
    gboolean is_settled;
} FleetSizeView_t;

/** struct FleetSize_t - opaque */
typedef struct FleetSize FleetSize_t;

/** FleetSize_create() - start as a router that has just started
 * @now_ms: monotonic time, as in all functions */
FleetSize_t *FleetSize_create(gint64 now_ms);

/** FleetSize_destroy() - free it */
void FleetSize_destroy(FleetSize_t *this);

/** FleetSize_isUsed() - whether an estimate was needed so far */
gboolean FleetSize_isUsed(const FleetSize_t *this);

/** FleetSize_noteTold() - another router or the store has this number; numbers
 * that are not plausible are ignored */
void FleetSize_noteTold(FleetSize_t *this, guint routers, gint64 now_ms);

/** FleetSize_remembered() - the largest number that was known here lately,
 * which other routers may be told
 * @known: routers known now */
guint FleetSize_remembered(FleetSize_t *this, guint known, gint64 now_ms);

/** FleetSize_estimate() - the number of routers; never less than are known */
guint FleetSize_estimate(FleetSize_t *this, const FleetSizeView_t *view,
                         gint64 now_ms);

#endif
