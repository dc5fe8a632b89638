#ifndef HEADER_OriginFacts
#define HEADER_OriginFacts
/**
 * DOC: OriginFacts
 *
 * What this router itself knows of the version that began a stream: the
 * streams that it remembers, which versions its list names, and whether a
 * stream that nobody knows can have begun at the base alone (VersionGate.h).
 */
#include "OriginLinks.h"
#include "SoftwareVersions.h"
#include "StreamOrigins.h"
#include "VersionGate.h"

/**
 * enum OriginSource_t - how the version that began a stream is known
 * @ORIGIN_FROM_NOBODY: it is not known
 * @ORIGIN_FROM_HERE: the stream ran at this router, or this router is an owner
 * @ORIGIN_FROM_STORE: a router had kept it on the platform's store
 * @ORIGIN_FROM_OWNER: an owner has answered
 * @ORIGIN_FROM_LIST: the service had a single version
 * @ORIGIN_FROM_BASE: the stream began before other versions joined
 */
typedef enum {
    ORIGIN_FROM_NOBODY,
    ORIGIN_FROM_HERE,
    ORIGIN_FROM_STORE,
    ORIGIN_FROM_OWNER,
    ORIGIN_FROM_LIST,
    ORIGIN_FROM_BASE,
} OriginSource_t;

/**
 * struct OriginAnswer_t - answer to a query; valid during the callback
 * @source: how the version is known
 * @service: service that began the stream; NULL if it is not known
 * @software: version that began the stream; NULL if it is not known
 * @replies: owners that have replied
 * @age_ms: time since this router last heard of the stream, for
 *     ORIGIN_FROM_HERE and ORIGIN_FROM_STORE
 */
typedef struct {
    OriginSource_t source;
    const char *service;
    const char *software;
    guint replies;
    gint64 age_ms;
} OriginAnswer_t;

/** OriginSource_name() - stable name for logs and counters */
const char *OriginSource_name(OriginSource_t source);

/**
 * struct OriginFactsSpec_t - dependencies; all must outlive it
 * @links: functions of the rest of the router
 * @origins: the streams that are remembered
 * @versions: versions of the services
 * @gate: what this and other routers state; NULL for none, as in module tests
 * @window_ms: how long after its last event a stream may be continued
 */
typedef struct {
    const OriginLinks_t *links;
    StreamOrigins_t *origins;
    SoftwareVersions_t *versions;
    VersionGate_t *gate;
    gint64 window_ms;
} OriginFactsSpec_t;

/** struct OriginFacts_t - opaque */
typedef struct OriginFacts OriginFacts_t;

/** OriginFacts_create() - create it before the store was read */
OriginFacts_t *OriginFacts_create(const OriginFactsSpec_t *spec);

/** OriginFacts_destroy() - free it */
void OriginFacts_destroy(OriginFacts_t *this);

/** OriginFacts_setWindow() - change window_ms of the spec */
void OriginFacts_setWindow(OriginFacts_t *this, gint64 window_ms);

/** OriginFacts_finishRestore() - all streams on the store are remembered */
void OriginFacts_finishRestore(OriginFacts_t *this);

/** OriginFacts_isLearned() - whether all that the store has was read */
gboolean OriginFacts_isLearned(const OriginFacts_t *this);

/** OriginFacts_learn() - has the store read, unless it was;
 * @is_urgent: a caller waits */
void OriginFacts_learn(const OriginFacts_t *this, gboolean is_urgent);

/** OriginFacts_findStream() - the version of a stream that is remembered;
 * FALSE if it is not */
gboolean OriginFacts_findStream(const OriginFacts_t *this,
                                const RequestDigest_t *digest,
                                OriginAnswer_t *out);

/** OriginFacts_findSole() - the only version that the list of this router
 * shows, whether or not another one may have served before this router
 * started */
const char *OriginFacts_findSole(const OriginFacts_t *this,
                                 const char *service);

/** OriginFacts_findListedOnly() - the single version of a service by the list
 * of this router, however old; see SoftwareVersions_findOnly() */
const char *OriginFacts_findListedOnly(const OriginFacts_t *this,
                                       const char *service);

/** OriginFacts_findOnly() - the same if the list is current */
const char *OriginFacts_findOnly(const OriginFacts_t *this,
                                 const char *service);

/** OriginFacts_findOnlyForPeer() - the same as told to another router: an old
 * list counts while nobody reads a newer one */
const char *OriginFacts_findOnlyForPeer(const OriginFacts_t *this,
                                        const char *service);

/** OriginFacts_hasSeveral() - whether a service has, or had, several versions
 */
gboolean OriginFacts_hasSeveral(const OriginFacts_t *this,
                                const char *service);

/** OriginFacts_isListLater() - whether the list was read later than a caller
 * came: a stream begins at a version only after that was listed */
gboolean OriginFacts_isListLater(const OriginFacts_t *this, gint64 came_ms);

/** OriginFacts_isStoreLost() - whether this router failed to read the list */
gboolean OriginFacts_isStoreLost(const OriginFacts_t *this);

/** OriginFacts_process() - number of this process; 0 without a gate */
guint64 OriginFacts_process(const OriginFacts_t *this);

/** OriginFacts_wouldKnow() - whether this process would know a stream that it
 * had begun at another version than the base */
gboolean OriginFacts_wouldKnow(const OriginFacts_t *this, const char *service);

/** OriginFacts_mayBeBase() - whether streams of a service that nobody knows
 * may have begun at the base alone */
gboolean OriginFacts_mayBeBase(const OriginFacts_t *this, const char *service);

/** OriginFacts_isBaseLost() - whether no reply of another router can show that
 * a stream of a service began at the base */
gboolean OriginFacts_isBaseLost(const OriginFacts_t *this,
                                const char *service);

/** OriginFacts_areRecordsLater() - whether the records of all routers were
 * read later than a caller came */
gboolean OriginFacts_areRecordsLater(const OriginFacts_t *this,
                                     gint64 came_ms);

/**
 * OriginFacts_findBase() - the version that began a stream which neither this
 * nor some other processes know
 * @processes: guint64 of these, which run
 * @came_ms: when the caller came, monotonic
 *
 * Return: the base, valid until the next change; NULL if another process may
 * have begun the stream at another version
 */
const char *OriginFacts_findBase(const OriginFacts_t *this,
                                 const char *service, const GArray *processes,
                                 gint64 came_ms);

#endif
