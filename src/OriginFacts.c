#include "OriginFacts.h"

#include "Clock.h"

struct OriginFacts {
    OriginFactsSpec_t spec;
    gboolean is_restored;
};

const char *
OriginSource_name(OriginSource_t source)
{
    static const char *const names[] = {
        [ORIGIN_FROM_NOBODY] = "nobody", [ORIGIN_FROM_HERE] = "here",
        [ORIGIN_FROM_STORE] = "store",   [ORIGIN_FROM_OWNER] = "owner",
        [ORIGIN_FROM_LIST] = "list",     [ORIGIN_FROM_BASE] = "base",
    };
    return names[source];
}

OriginFacts_t *
OriginFacts_create(const OriginFactsSpec_t *spec)
{
    OriginFacts_t *this = g_new0(OriginFacts_t, 1);
    this->spec = *spec;
    return this;
}

void
OriginFacts_destroy(OriginFacts_t *this)
{
    g_free(this);
}

void
OriginFacts_setWindow(OriginFacts_t *this, gint64 window_ms)
{
    this->spec.window_ms = window_ms;
}

void
OriginFacts_finishRestore(OriginFacts_t *this)
{
    this->is_restored = TRUE;
}

gboolean
OriginFacts_isLearned(const OriginFacts_t *this)
{
    return this->is_restored &&
           SoftwareVersions_isLearned(this->spec.versions);
}

void
OriginFacts_learn(const OriginFacts_t *this, gboolean is_urgent)
{
    const OriginLinks_t *links = this->spec.links;
    if (!OriginFacts_isLearned(this)) {
        links->class->learn(links->owner, is_urgent);
    }
}

gboolean
OriginFacts_findStream(const OriginFacts_t *this,
                       const RequestDigest_t *digest, OriginAnswer_t *out)
{
    gint64 now_ms = Clock_nowMs();
    const StreamOrigin_t *entry =
        StreamOrigins_find(this->spec.origins, digest, now_ms);
    if (!entry) {
        return FALSE;
    }
    out->source = entry->is_restored ? ORIGIN_FROM_STORE : ORIGIN_FROM_HERE;
    out->service = entry->service;
    out->software = entry->software;
    out->age_ms = now_ms - entry->renewed_ms;
    return TRUE;
}

const char *
OriginFacts_findSole(const OriginFacts_t *this, const char *service)
{
    return SoftwareVersions_findSole(this->spec.versions, service,
                                     this->spec.window_ms, Clock_nowMs());
}

const char *
OriginFacts_findListedOnly(const OriginFacts_t *this, const char *service)
{
    return SoftwareVersions_findOnly(this->spec.versions, service,
                                     this->spec.window_ms, Clock_nowMs());
}

/* With an old list another version may serve already. */
const char *
OriginFacts_findOnly(const OriginFacts_t *this, const char *service)
{
    const OriginLinks_t *links = this->spec.links;
    return links->class->is_list_current(links->owner)
               ? OriginFacts_findListedOnly(this, service)
               : NULL;
}

const char *
OriginFacts_findOnlyForPeer(const OriginFacts_t *this, const char *service)
{
    return OriginFacts_isStoreLost(this)
               ? OriginFacts_findListedOnly(this, service)
               : OriginFacts_findOnly(this, service);
}

gboolean
OriginFacts_hasSeveral(const OriginFacts_t *this, const char *service)
{
    g_autoptr(GPtrArray) serving = SoftwareVersions_listServing(
        this->spec.versions, service, this->spec.window_ms, Clock_nowMs());
    return serving->len > 1;
}

gboolean
OriginFacts_isListLater(const OriginFacts_t *this, gint64 came_ms)
{
    const OriginLinks_t *links = this->spec.links;
    return links->class->list_ms(links->owner) >= came_ms;
}

gboolean
OriginFacts_isStoreLost(const OriginFacts_t *this)
{
    const OriginLinks_t *links = this->spec.links;
    return links->class->is_store_lost(links->owner);
}

guint64
OriginFacts_process(const OriginFacts_t *this)
{
    return this->spec.gate ? VersionGate_process(this->spec.gate) : 0;
}

gboolean
OriginFacts_wouldKnow(const OriginFacts_t *this, const char *service)
{
    gint64 now_ms = Clock_nowMs();
    return this->spec.gate &&
           StreamOrigins_isComplete(this->spec.origins, now_ms) &&
           VersionGate_isFresh(this->spec.gate, service, now_ms);
}

gboolean
OriginFacts_mayBeBase(const OriginFacts_t *this, const char *service)
{
    return this->spec.gate &&
           SoftwareVersions_findBase(this->spec.versions, service) &&
           !OriginFacts_findSole(this, service);
}

gboolean
OriginFacts_isBaseLost(const OriginFacts_t *this, const char *service)
{
    return !OriginFacts_wouldKnow(this, service) ||
           VersionGate_isUsedBefore(this->spec.gate, service, Clock_nowMs());
}

gboolean
OriginFacts_areRecordsLater(const OriginFacts_t *this, gint64 came_ms)
{
    return this->spec.gate && VersionGate_readMs(this->spec.gate) >= came_ms;
}

const char *
OriginFacts_findBase(const OriginFacts_t *this, const char *service,
                     const GArray *processes, gint64 came_ms)
{
    gboolean is_read = OriginFacts_isLearned(this) &&
                       OriginFacts_isListLater(this, came_ms) &&
                       OriginFacts_areRecordsLater(this, came_ms);
    return is_read && OriginFacts_wouldKnow(this, service)
               ? VersionGate_findBase(this->spec.gate, service, processes)
               : NULL;
}
