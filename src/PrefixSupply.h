#ifndef HEADER_PrefixSupply
#define HEADER_PrefixSupply
/**
 * DOC: PrefixSupply
 *
 * Finds the fastest way for an engine to obtain the shared part of a prompt:
 * it already holds the shared part, fetches it from another engine or from the
 * store over their links, or computes it. The times are estimated from the
 * sizes and link speeds of the configuration and from the transfers under way
 * on the links.
 */
#include "Policy.h"
#include "Residency.h"

/** Tokens of the shortest shared prefix that is transferred: a shorter one is
 * computed faster */
#define PREFIX_SUPPLY_TOKENS_MIN 1000

/** Weight of the time to compute the shared part against the time to transfer
 * it: a computation also delays the other requests of its engine */
#define PREFIX_SUPPLY_COMPUTE_FACTOR 2

/** PrefixSupply_computeUs() - cost of computing the shared part, its weight
 * included */
gint64 PrefixSupply_computeUs(const Placement_t *placement,
                              const Upstream_t *upstream);

/** PrefixSupply_isShort() - whether the shared part is too short for a
 * transfer */
gboolean PrefixSupply_isShort(const Placement_t *placement);

/** PrefixSupply_key() - identity of the shared part; a random one where there
 * are no levels */
guint64 PrefixSupply_key(const Placement_t *placement);

/**
 * struct PrefixHolders_t - engines that should hold the shared part
 * @list: the engines
 * @count: number of engines
 */
typedef struct {
    Upstream_t *list[RESIDENCY_HOLDERS_MAX];
    guint count;
} PrefixHolders_t;

/**
 * PrefixSupply_findHolders() - engines that have read the shared part and
 * should still hold it
 * @by_hash: Upstream_t * by the hash of the name; only these are considered
 */
void PrefixSupply_findHolders(const Residency_t *residency,
                              const Placement_t *placement,
                              GHashTable *by_hash, PrefixHolders_t *out);

/** PrefixSupply_find() - the fastest way for engine @to */
Supply_t PrefixSupply_find(const PrefixHolders_t *holders,
                           const Placement_t *placement, Upstream_t *to);

/** PrefixSupply_commit() - a request is sent with its supply: count the
 * transfer on the links and the prompt in the engine's memory */
void PrefixSupply_commit(const Placement_t *placement, const Choice_t *choice);

#endif
