#ifndef HEADER_HallRegions
#define HEADER_HallRegions
/**
 * DOC: HallRegions
 *
 * Maps each hall to its region. Entries in the list of upstreams name only
 * their hall, while the lease for sending orders is held per region.
 */
#include <glib.h>

/** struct HallRegions_t - opaque */
typedef struct HallRegions HallRegions_t;

/**
 * HallRegions_create() - build the map from the settings
 * @halls: names of halls (GString *), or NULL
 * @regions: regions of the halls at the same indices (GString *), or NULL
 * @local: region of this router, used for every hall if no halls are set
 */
HallRegions_t *HallRegions_create(const GPtrArray *halls,
                                  const GPtrArray *regions, const char *local);

/** HallRegions_destroy() - free it */
void HallRegions_destroy(HallRegions_t *this);

/**
 * HallRegions_find() - look up the region of a hall
 *
 * Return: an empty string if halls are set and this one is not among them
 */
const char *HallRegions_find(const HallRegions_t *this, const char *hall);

#endif
