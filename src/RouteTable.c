#include "RouteTable.h"

#include "Clock.h"

struct RouteTable {
    RouteConfig_t *config;
    gint64 current_ms; /* when config was last known to be the newest, or 0 */
    RouteTableUpdated_t updated;
    void *owner;
    gint64 newer_ms; /* when a newer one became known to exist, or 0 */
};

RouteTable_t *
RouteTable_create(void)
{
    return g_new0(RouteTable_t, 1);
}

void
RouteTable_destroy(RouteTable_t *this)
{
    if (this->config) {
        RouteConfig_unref(this->config);
    }
    g_free(this);
}

gboolean
RouteTable_update(RouteTable_t *this, RouteConfig_t *config)
{
    if (this->config && config->version <= this->config->version) {
        RouteConfig_unref(config);
        return FALSE;
    }
    if (this->config) {
        RouteConfig_unref(this->config);
    }
    this->config = config;
    if (this->updated) {
        this->updated(this->owner, config);
    }
    return TRUE;
}

void
RouteTable_setCallback(RouteTable_t *this, RouteTableUpdated_t updated,
                       void *owner)
{
    this->updated = updated;
    this->owner = owner;
}

void
RouteTable_noteCurrent(RouteTable_t *this, gint64 at_ms)
{
    this->current_ms = MAX(this->current_ms, at_ms);
}

void
RouteTable_noteNewer(RouteTable_t *this, gint64 at_ms)
{
    this->newer_ms = at_ms;
}

/* A later proof that the version is the newest outweighs what peers said. */
static gboolean
is_newer_known(const RouteTable_t *this)
{
    return this->newer_ms > this->current_ms;
}

gboolean
RouteTable_isNewest(const RouteTable_t *this, gint64 limit_ms)
{
    return !is_newer_known(this) && RouteTable_isFresh(this, limit_ms);
}

gboolean
RouteTable_isOverdue(const RouteTable_t *this, gint64 limit_ms)
{
    return is_newer_known(this) && !RouteTable_isFresh(this, limit_ms);
}

RouteConfig_t *
RouteTable_config(const RouteTable_t *this)
{
    return this->config;
}

gint64
RouteTable_ageMs(const RouteTable_t *this, gint64 now_ms)
{
    return this->current_ms == 0 ? G_MAXINT64 : now_ms - this->current_ms;
}

char *
RouteTable_describe(const RouteTable_t *this)
{
    if (!this->config || this->current_ms == 0) {
        return g_strdup("No version is known to be the newest.");
    }
    return g_strdup_printf(
        "Version %" G_GUINT64_FORMAT
        " was known to be the newest %" G_GINT64_FORMAT " ms ago.",
        this->config->version, RouteTable_ageMs(this, Clock_nowMs()));
}

gboolean
RouteTable_isFresh(const RouteTable_t *this, gint64 max_age_ms)
{
    return RouteTable_ageMs(this, Clock_nowMs()) <= max_age_ms;
}
