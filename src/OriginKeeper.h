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
#include "AskedRouters.h"
#include "Counters.h"
#include "RequestDigest.h"
#include "SoftwareVersions.h"
#include "StreamOrigins.h"
#include "VersionGate.h"
#include "peer.pb-c.h"

/** Owners of each stream. Of 8 routers with 3 killed at once, all owners of 1
 * in 56 streams are among them. */
#define ORIGIN_OWNERS 3

/** Routers, without this one, that are all asked for a stream that may have
 * begun before other versions joined; with more such streams are unknown */
#define ORIGIN_ROUTERS_MAX ASKED_ROUTERS_MAX

/** Identity of this router among the owners */
#define ORIGIN_SELF 0

/** How long all routers are asked, in ms, while they read what the others
 * state; those that join meanwhile are asked as well */
#define ORIGIN_ASK_ALL_TIMEOUT_MS 800

/** How long owners are asked before the version counts as unknown, in ms: ten
 * round trips between halls at routers with a busy event loop. It takes longer
 * only if the list may still name a single version */
#define ORIGIN_ASK_TIMEOUT_MS 250

/**
 * struct OriginLinksClass_t - functions of the transport
 * @find_owners: finds the owners of a stream, and the routers ranked next up
 *     to @max, the same on all routers that know the same routers; returns
 *     their number
 * @send: sends a message, which may be lost
 * @schedule_tick: schedules a call of OriginKeeper_tick() after at most @in_ms
 * @is_list_current: returns whether the list of upstreams is up to date, but
 *     for the versions of the last seconds
 * @list_ms: returns when the end of the list was last known, monotonic
 * @check_list: has the end of the list read soon; called until it is known
 * @is_store_lost: returns whether this router failed to read the list
 * @learn: reads which services had several versions before this router
 * started, see SoftwareVersions_learn(), and the streams that routers began
 * before; @is_urgent: a caller waits
 * @record: the streams that OriginKeeper_forEachRecorded() finds have changed
 * @find_all: finds all other routers whose addresses are known, at most @max;
 *     returns their number, or more than @max
 * @read_records: has the records of all routers read again soon; called until
 *     they are
 */
typedef struct {
    guint (*find_owners)(void *owner, const RequestDigest_t *digest,
                         guint64 *out, guint max);
    void (*send)(void *owner, guint64 router, const Wt__PeerMessage *message);
    void (*schedule_tick)(void *owner, gint64 in_ms);
    gboolean (*is_list_current)(void *owner);
    gint64 (*list_ms)(void *owner);
    void (*check_list)(void *owner);
    gboolean (*is_store_lost)(void *owner);
    void (*learn)(void *owner, gboolean is_urgent);
    void (*record)(void *owner);
    guint (*find_all)(void *owner, AskedRouter_t *out, guint max);
    void (*read_records)(void *owner);
} OriginLinksClass_t;

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

/** OriginAsked_t - called when a query is answered or has timed out */
typedef void (*OriginAsked_t)(void *owner, const OriginAnswer_t *answer);

/** struct OriginQuery_t - opaque; an open query */
typedef struct OriginQuery OriginQuery_t;

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

/** OriginSource_name() - stable name for logs and counters */
const char *OriginSource_name(OriginSource_t source);

#endif
