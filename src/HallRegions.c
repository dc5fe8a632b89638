#include "HallRegions.h"

struct HallRegions {
    GHashTable *regions; /* hall -> region */
    GString *local;
};

HallRegions_t *
HallRegions_create(const GPtrArray *halls, const GPtrArray *regions,
                   const char *local)
{
    HallRegions_t *this = g_new0(HallRegions_t, 1);
    guint count = halls && regions ? MIN(halls->len, regions->len) : 0;
    this->local = g_string_new(local);
    this->regions =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    for (guint i = 0; i < count; i++) {
        const GString *hall = g_ptr_array_index(halls, i);
        const GString *region = g_ptr_array_index(regions, i);
        g_hash_table_replace(this->regions, g_strdup(hall->str),
                             g_strdup(region->str));
    }
    return this;
}

void
HallRegions_destroy(HallRegions_t *this)
{
    g_hash_table_destroy(this->regions);
    g_string_free(this->local, TRUE);
    g_free(this);
}

/* An unknown hall has no region, so that its engines get no orders: if it
 * counted as local, the lease holders of two regions could both send orders to
 * the same engine. */
const char *
HallRegions_find(const HallRegions_t *this, const char *hall)
{
    if (g_hash_table_size(this->regions) == 0) {
        return this->local->str;
    }
    const char *region = g_hash_table_lookup(this->regions, hall);
    return region ? region : "";
}
