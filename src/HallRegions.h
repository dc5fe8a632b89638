#ifndef HEADER_HallRegions
#define HEADER_HallRegions
/**
 * DOC: HallRegions
 *
 * In which region each hall lies. The list of upstreams names halls only,
 * while the lease on orders is one a region.
 */
#include <glib.h>

/** struct HallRegions_t - opaque */
typedef struct HallRegions HallRegions_t;

/**
 * HallRegions_create() - take the halls of the settings
 * @halls: GString *, or NULL
 * @regions: GString *, that of the hall at the same place; or NULL
 * @own: region of every hall where none is named
 */
HallRegions_t *HallRegions_create(const GPtrArray *halls,
                                  const GPtrArray *regions, const char *own);

/** HallRegions_destroy() - free it */
void HallRegions_destroy(HallRegions_t *this);

/**
 * HallRegions_find() - the region of a hall
 *
 * Return: empty for a hall that is not named while others are
 */
const char *HallRegions_find(const HallRegions_t *this, const char *hall);

#endif
