#ifndef HEADER_SoftwareVersions
#define HEADER_SoftwareVersions
/**
 * DOC: SoftwareVersions
 *
 * The software versions that serve each service, and those that served it
 * until recently, as the list of upstreams and the records of earlier routers
 * (SoftwareRecords.h) show them. A stream can go on only
 * at an upstream of the version that began it; which one that was need not be
 * known of each stream while the service had a single version.
 */
#include <glib.h>

/** How long versions without upstreams are remembered, in ms: the longest time
 * for which anyone may ask */
#define SOFTWARE_VERSIONS_KEEP_MS G_GINT64_CONSTANT(3600000)

/** struct SoftwareVersions_t - opaque */
typedef struct SoftwareVersions SoftwareVersions_t;

/** SoftwareVersionsMixed_t - a service that had one version has got another
 * one, or may have had one unseen, or it is known by now which one it had
 * before the others joined */
typedef void (*SoftwareVersionsMixed_t)(void *owner, const char *service);

/** SoftwareVersions_create() - create without any upstream; what served before
 * the first one is added is unknown */
SoftwareVersions_t *SoftwareVersions_create(void);

/** SoftwareVersions_destroy() - free it */
void SoftwareVersions_destroy(SoftwareVersions_t *this);

/** SoftwareVersions_setWindow() - how long streams may be continued, for
 * SoftwareVersions_findBase(); 0 at first */
void SoftwareVersions_setWindow(SoftwareVersions_t *this, gint64 window_ms);

/** SoftwareVersions_addMixedCallback() - add a callback for services that get
 * another version; @owner must outlive the last change */
void SoftwareVersions_addMixedCallback(SoftwareVersions_t *this,
                                       SoftwareVersionsMixed_t mixed,
                                       void *owner);

/** SoftwareVersions_noteMixedBefore() - a service may have had several
 * versions before this router started */
void SoftwareVersions_noteMixedBefore(SoftwareVersions_t *this,
                                      const char *service);

/** SoftwareVersions_noteBefore() - a version served a service until shortly
 * before this router started; to be called for each version of the service */
void SoftwareVersions_noteBefore(SoftwareVersions_t *this, const char *service,
                                 const char *software, gint64 now_ms);

/** SoftwareVersions_noteUsedBefore() - a router has used a version until
 * shortly before this one started; there may have been others */
void SoftwareVersions_noteUsedBefore(SoftwareVersions_t *this,
                                     const char *service, const char *software,
                                     gint64 now_ms);

/** SoftwareVersions_noteBaseBefore() - a version was the only one of a service
 * until others joined or this router started; empty if that is not known. It
 * counts as served since then, unless starts of upstreams are noted */
void SoftwareVersions_noteBaseBefore(SoftwareVersions_t *this,
                                     const char *service,
                                     const char *software);

/** SoftwareVersions_noteBaseStarts() - starts of upstreams that served the
 * base, see SoftwareVersions_listStarts(): unless the list shows one of them,
 * it may have been without an upstream */
void SoftwareVersions_noteBaseStarts(SoftwareVersions_t *this,
                                     const char *service,
                                     const guint64 *starts, gsize count);

/** SoftwareVersions_clearBases() - what was recorded of versions may be lost:
 * no base is known until a service has had a single version again */
void SoftwareVersions_clearBases(SoftwareVersions_t *this);

/**
 * SoftwareVersions_findBase() - the only version that served a service before
 * the others joined
 *
 * Return: the version, valid until the next change; NULL if it is not known
 */
const char *SoftwareVersions_findBase(const SoftwareVersions_t *this,
                                      const char *service);

/** SoftwareVersions_isBaseServed() - whether the base has had a listed
 * upstream since it was the only version, as far as this router knows of the
 * list */
gboolean SoftwareVersions_isBaseServed(const SoftwareVersions_t *this,
                                       const char *service);

/** SoftwareVersions_isBaseListed() - whether the list shows an upstream of the
 * base that does not leave */
gboolean SoftwareVersions_isBaseListed(const SoftwareVersions_t *this,
                                       const char *service);

/** SoftwareVersions_noteFirstStart() - no router ran before: a service of
 * which nothing was noted has served nobody */
void SoftwareVersions_noteFirstStart(SoftwareVersions_t *this);

/** SoftwareVersions_learn() - all that is known of the versions that served
 * shortly before this router started has been noted; those of other services
 * are unknown */
void SoftwareVersions_learn(SoftwareVersions_t *this);

/** SoftwareVersions_isLearned() - whether SoftwareVersions_learn() was called
 */
gboolean SoftwareVersions_isLearned(const SoftwareVersions_t *this);

/** SoftwareVersions_noteGap() - upstreams may have come and gone unseen: what
 * served before is unknown, as at the start */
void SoftwareVersions_noteGap(SoftwareVersions_t *this, gint64 now_ms);

/** SoftwareVersions_put() - an upstream is listed with this service and
 * version; replaces what was known of it */
void SoftwareVersions_put(SoftwareVersions_t *this, const char *upstream,
                          const char *service, const char *software,
                          gint64 now_ms);

/** SoftwareVersions_putTarget() - the same for something else than an entry of
 * the list of upstreams, which tells nothing of when the list was read */
void SoftwareVersions_putTarget(SoftwareVersions_t *this, const char *upstream,
                                const char *service, const char *software,
                                gint64 now_ms);

/** SoftwareVersions_remove() - an upstream is no longer listed */
void SoftwareVersions_remove(SoftwareVersions_t *this, const char *upstream,
                             gint64 now_ms);

/** SoftwareVersions_noteStart() - which start of a listed upstream its entry
 * states, the same number at all routers; 0 if it leaves */
void SoftwareVersions_noteStart(SoftwareVersions_t *this, const char *upstream,
                                guint64 start);

/** SoftwareVersions_isKnown() - whether all versions are known that served a
 * service within the last @window_ms */
gboolean SoftwareVersions_isKnown(const SoftwareVersions_t *this,
                                  const char *service, gint64 window_ms,
                                  gint64 now_ms);

/**
 * SoftwareVersions_findOnly() - the single version that has served a service
 * within the last @window_ms
 *
 * Return: the version, valid until the next change; NULL if there were several
 * or none, or if this router does not know the whole window
 */
const char *SoftwareVersions_findOnly(const SoftwareVersions_t *this,
                                      const char *service, gint64 window_ms,
                                      gint64 now_ms);

/** SoftwareVersions_findSole() - the same from what this router knows of the
 * window, which may be a part of it */
const char *SoftwareVersions_findSole(const SoftwareVersions_t *this,
                                      const char *service, gint64 window_ms,
                                      gint64 now_ms);

/** SoftwareVersions_forEachService() - call a function for each service that
 * has, or had, upstreams */
void SoftwareVersions_forEachService(const SoftwareVersions_t *this,
                                     void (*call)(void *owner,
                                                  const char *service),
                                     void *owner);

/**
 * SoftwareVersions_listServing() - the versions that have served a service
 * within the last @window_ms, in alphabetical order
 *
 * Return: const char *, valid until the next change; to be freed by the caller
 */
GPtrArray *SoftwareVersions_listServing(const SoftwareVersions_t *this,
                                        const char *service, gint64 window_ms,
                                        gint64 now_ms);

/**
 * SoftwareVersions_listStarts() - the listed upstreams that show, while one of
 * them stays listed, that the base of a service, or its only version, is
 * served without a pause
 *
 * Return: guint64; empty if this router does not know
 */
GArray *SoftwareVersions_listStarts(const SoftwareVersions_t *this,
                                    const char *service, gint64 now_ms);

#endif
