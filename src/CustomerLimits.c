#include "CustomerLimits.h"

struct CustomerLimits {
    GHashTable *open; /* name -> count, never 0 */
};

CustomerLimits_t *
CustomerLimits_create(void)
{
    CustomerLimits_t *this = g_new0(CustomerLimits_t, 1);
    this->open = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    return this;
}

void
CustomerLimits_destroy(CustomerLimits_t *this)
{
    g_hash_table_destroy(this->open);
    g_free(this);
}

static void
set_open(CustomerLimits_t *this, const char *name, guint count)
{
    if (count == 0) {
        g_hash_table_remove(this->open, name);
        return;
    }
    g_hash_table_insert(this->open, g_strdup(name), GUINT_TO_POINTER(count));
}

gboolean
CustomerLimits_acquire(CustomerLimits_t *this, const char *name,
                       guint max_open)
{
    guint open = CustomerLimits_openRequests(this, name);
    if (open >= max_open) {
        return FALSE;
    }
    set_open(this, name, open + 1);
    return TRUE;
}

void
CustomerLimits_release(CustomerLimits_t *this, const char *name)
{
    guint open = CustomerLimits_openRequests(this, name);
    if (open > 0) {
        set_open(this, name, open - 1);
    }
}

guint
CustomerLimits_openRequests(const CustomerLimits_t *this, const char *name)
{
    return GPOINTER_TO_UINT(g_hash_table_lookup(this->open, name));
}
