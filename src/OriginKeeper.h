#ifndef HEADER_OriginKeeper
#define HEADER_OriginKeeper
/**
 * DOC: OriginKeeper
 *
 * Finds out which software version began a stream that a caller continues at
 * any router. While a service has several versions, the router at which a
 * stream begins tells a few owners, which are drawn by a hash of the customer
 * and the request's id, before the caller gets the first event. The router
 * that a caller comes back to asks them. Nothing is sent while a service has
 * had a single version for as long as streams may be continued. The transport
 * is a table of functions, and messages may be lost.
 *
 * Routers forget what they know when all of them restart, so that each of them
 * also keeps the streams that began there on the platform's store
 * (OriginRecords.h).
 *
 * Where nobody knows the version, the answer says so, unless it follows that
 * the stream began before other versions joined (VersionGate.h): it is never
 * guessed.
 */
#include "OriginQueries.h"

/**
 * struct OriginKeeperSpec_t - dependencies; all must outlive the keeper
 * @links: transport
 * @owner: first argument of the functions of @links
 * @versions: versions of the services; the keeper adds a callback
 * @gate: what this and other routers state; NULL for none, as in module tests
 * @counters: counters of messages and answers
 * @window_ms: how long after its last event a stream may be continued
 */
typedef struct {
    const OriginLinksClass_t *links;
    void *owner;
    SoftwareVersions_t *versions;
    VersionGate_t *gate;
    Counters_t *counters;
    gint64 window_ms;
} OriginKeeperSpec_t;

/** struct OriginKeeper_t - opaque */
typedef struct OriginKeeper OriginKeeper_t;

/** OriginKeeper_create() - create a keeper without streams */
OriginKeeper_t *OriginKeeper_create(const OriginKeeperSpec_t *spec);

/** OriginKeeper_destroy() - free it before the versions change again; no query
 * may be open */
void OriginKeeper_destroy(OriginKeeper_t *this);

/** OriginKeeper_setWindow() - change window_ms of the spec */
void OriginKeeper_setWindow(OriginKeeper_t *this, gint64 window_ms);

/** OriginKeeper_findOnly() - the single version of a service, if this router
 * is sure of it; see SoftwareVersions_findOnly() */
const char *OriginKeeper_findOnly(const OriginKeeper_t *this,
                                  const char *service);

/** OriginKeeper_findHeld() - the version to which new streams keep until this
 * router has stated that it uses several; NULL for any; see
 * VersionGate_findHeld() */
const char *OriginKeeper_findHeld(const OriginKeeper_t *this,
                                  const char *service, gboolean has_unknown);

/** OriginKeeper_noteUnstated() - see VersionGate_noteUnstated() */
void OriginKeeper_noteUnstated(const OriginKeeper_t *this,
                               const char *service);

/**
 * OriginKeeper_begin() - a stream has begun, or goes on, at this router
 * @software: version of its upstream; empty if that is not known
 * @may_change: the stream's route has several services, so that owners are
 *     told even while each of them has a single version
 */
void OriginKeeper_begin(OriginKeeper_t *this, const RequestDigest_t *digest,
                        const char *service, const char *software,
                        gboolean may_change);

/** OriginKeeper_end() - the stream no longer runs at this router
 * @is_whole: the caller was sent all of it */
void OriginKeeper_end(OriginKeeper_t *this, const RequestDigest_t *digest,
                      gboolean is_whole);

/**
 * OriginKeeper_ask() - find the version that began a stream
 * @digest: identifies the stream
 * @service: service that the stream would continue at
 * @may_change: the stream's route has several services
 * @out: the answer, if it is known at once
 *
 * Return: NULL if @out is filled in and @done will not be called
 */
OriginQuery_t *OriginKeeper_ask(OriginKeeper_t *this,
                                const RequestDigest_t *digest,
                                const char *service, gboolean may_change,
                                OriginAnswer_t *out, OriginAsked_t done,
                                void *owner);

/** OriginKeeper_cancel() - the answer is no longer wanted */
void OriginKeeper_cancel(OriginKeeper_t *this, OriginQuery_t *query);

/**
 * OriginKeeper_restore() - a stream was found on the platform's store
 * @is_own: in the record of an earlier process of this router
 *
 * Return: FALSE if too many are known already
 */
gboolean OriginKeeper_restore(OriginKeeper_t *this,
                              const RequestDigest_t *digest,
                              const char *service, const char *software,
                              gboolean is_own);

/** OriginKeeper_finishRestore() - all streams on the store were restored */
void OriginKeeper_finishRestore(OriginKeeper_t *this);

/** OriginKeeper_forEachRecorded() - call a function for each stream that
 * belongs into the record of this router; it must not change the keeper */
void OriginKeeper_forEachRecorded(const OriginKeeper_t *this,
                                  void (*call)(void *owner,
                                               StreamOrigin_t *entry),
                                  void *owner);

/** OriginKeeper_receive() - handle a message of another router; ignores
 * messages of other modules */
void OriginKeeper_receive(OriginKeeper_t *this, const Wt__PeerMessage *message,
                          guint64 from);

/** OriginKeeper_tick() - repeat and expire queries, and tell owners again of
 * streams that still run */
void OriginKeeper_tick(OriginKeeper_t *this);

/** OriginKeeper_count() - number of streams that are remembered */
guint OriginKeeper_count(const OriginKeeper_t *this);

#endif
