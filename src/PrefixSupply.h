#ifndef HEADER_PrefixSupply
#define HEADER_PrefixSupply
/**
 * DOC: PrefixSupply
 *
 * How an engine comes by the shared part of a prompt soonest: it holds it
 * already, takes it from another engine or from the store over their links,
 * or computes it. All are weighed in time, from the sizes and link speeds of
 * the configuration and from what is under way on the links.
 */
#include "Policy.h"
#include "Residency.h"

/** Shorter shared prefixes are computed faster than they are moved */
#define PREFIX_SUPPLY_TOKENS_MIN 1000

/** What is computed holds up the other requests of its engine as well, which a
 * move does not: the time of a computation counts so many times */
#define PREFIX_SUPPLY_COMPUTE_TIMES 2

/** PrefixSupply_computeUs() - what it costs to compute the shared part anew */
gint64 PrefixSupply_computeUs(const Placement_t *placement,
                              const Upstream_t *upstream);

/** PrefixSupply_isShort() - whether the shared part is not worth a move */
gboolean PrefixSupply_isShort(const Placement_t *placement);

/** PrefixSupply_key() - identity of the shared part; by chance for none */
guint64 PrefixSupply_key(const Placement_t *placement);

/**
 * struct PrefixHolders_t - engines that should hold the shared part
 * @list: of them
 * @count: how many
 */
typedef struct {
    Upstream_t *list[RESIDENCY_HOLDERS];
    guint count;
} PrefixHolders_t;

/**
 * PrefixSupply_findHolders() - those that were seen to read it and should have
 * it still
 * @by_hash: Upstream_t * by the hash of the name, of all that may be named
 */
void PrefixSupply_findHolders(const Residency_t *residency,
                              const Placement_t *placement,
                              GHashTable *by_hash, PrefixHolders_t *out);

/** PrefixSupply_find() - the soonest way for an engine */
Supply_t PrefixSupply_find(const PrefixHolders_t *holders,
                           const Placement_t *placement, Upstream_t *to);

/** PrefixSupply_begin() - the engine is told to come by it so: count the move
 * on the links, and the prompt in the engine's memory */
void PrefixSupply_begin(const Placement_t *placement, const Choice_t *choice);

#endif
