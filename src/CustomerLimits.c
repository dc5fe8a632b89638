#include "CustomerLimits.h"

/* A customer that was quiet for so long is forgotten. */
#define FORGET_MS 60000
#define SWEEP_EVERY 1024

typedef struct {
    double tokens;
    gint64 filled_ms;
    guint open;
} Usage_t;

struct CustomerLimits {
    GHashTable *usage; /* name -> Usage_t */
    guint entries_since_sweep;
};

CustomerLimits_t *
CustomerLimits_create(void)
{
    CustomerLimits_t *this = g_new0(CustomerLimits_t, 1);
    this->usage =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return this;
}

void
CustomerLimits_destroy(CustomerLimits_t *this)
{
    g_hash_table_destroy(this->usage);
    g_free(this);
}

static gboolean
is_forgotten(gpointer name, gpointer value, gpointer now)
{
    (void)name;
    const Usage_t *usage = value;
    return usage->open == 0 && usage->filled_ms + FORGET_MS < *(gint64 *)now;
}

static void
sweep_sometimes(CustomerLimits_t *this, gint64 now_ms)
{
    if (++this->entries_since_sweep >= SWEEP_EVERY) {
        this->entries_since_sweep = 0;
        g_hash_table_foreach_remove(this->usage, is_forgotten, &now_ms);
    }
}

static Usage_t *
usage_of(CustomerLimits_t *this, const char *name, const Customer_t *spec,
         gint64 now_ms)
{
    Usage_t *usage = g_hash_table_lookup(this->usage, name);
    if (!usage) {
        usage = g_new0(Usage_t, 1);
        usage->tokens = (double)spec->burst;
        usage->filled_ms = now_ms;
        g_hash_table_insert(this->usage, g_strdup(name), usage);
    }
    return usage;
}

static void
refill(Usage_t *usage, const Customer_t *spec, gint64 now_ms)
{
    double gained =
        (double)(now_ms - usage->filled_ms) * (double)spec->rate / 1000.0;
    usage->tokens = MIN(usage->tokens + gained, (double)spec->burst);
    usage->filled_ms = now_ms;
}

gboolean
CustomerLimits_enter(CustomerLimits_t *this, const char *name,
                     const Customer_t *spec, gint64 now_ms, Refusal_t *refusal)
{
    sweep_sometimes(this, now_ms);
    Usage_t *usage = usage_of(this, name, spec, now_ms);
    refill(usage, spec, now_ms);
    if (usage->tokens < 1.0) {
        *refusal = REFUSAL_RATE_LIMITED;
        return FALSE;
    }
    if (usage->open >= (guint64)spec->concurrency) {
        *refusal = REFUSAL_CONCURRENCY_LIMITED;
        return FALSE;
    }
    usage->tokens -= 1.0;
    usage->open++;
    return TRUE;
}

void
CustomerLimits_leave(CustomerLimits_t *this, const char *name)
{
    Usage_t *usage = g_hash_table_lookup(this->usage, name);
    if (usage && usage->open > 0) {
        usage->open--;
    }
}

guint
CustomerLimits_open(const CustomerLimits_t *this, const char *name)
{
    const Usage_t *usage = g_hash_table_lookup(this->usage, name);
    return usage ? usage->open : 0;
}
