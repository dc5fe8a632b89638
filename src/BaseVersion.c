#include "BaseVersion.h"

struct BaseVersion {
    char *software;
    GHashTable *recorded; /* &start, of the record of versions */
    gboolean is_served;
};

BaseVersion_t *
BaseVersion_create(const char *software, gboolean is_served)
{
    BaseVersion_t *this = g_new0(BaseVersion_t, 1);
    this->software = g_strdup(software);
    this->recorded =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
    this->is_served = is_served;
    return this;
}

void
BaseVersion_destroy(BaseVersion_t *this)
{
    g_hash_table_destroy(this->recorded);
    g_free(this->software);
    g_free(this);
}

const char *
BaseVersion_software(const BaseVersion_t *this)
{
    return this->software;
}

gboolean
BaseVersion_isServed(const BaseVersion_t *this)
{
    return this->is_served;
}

void
BaseVersion_setRecorded(BaseVersion_t *this, const guint64 *starts,
                        gsize count)
{
    this->is_served = FALSE;
    g_hash_table_remove_all(this->recorded);
    for (gsize i = 0; i < count; i++) {
        g_hash_table_add(this->recorded,
                         g_memdup2(&starts[i], sizeof(starts[i])));
    }
}

void
BaseVersion_noteListed(BaseVersion_t *this, guint64 start)
{
    if (g_hash_table_contains(this->recorded, &start)) {
        this->is_served = TRUE;
    }
}

/* An upstream that the record names and that is listed again does not show
 * that none was missing meanwhile. */
void
BaseVersion_noteEnded(BaseVersion_t *this)
{
    this->is_served = FALSE;
    g_hash_table_remove_all(this->recorded);
}
