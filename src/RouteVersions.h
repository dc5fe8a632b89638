#ifndef HEADER_RouteVersions
#define HEADER_RouteVersions
/**
 * DOC: RouteVersions
 *
 * Keeps the newest of the operators' records and puts them in force.
 * Configurations and weights have version numbers that only increase, so the
 * offset and the order in which records are read do not matter.
 *
 * A store that was restored from an older copy returns a configuration that
 * had been replaced, until the operators write the newer one again; only
 * routers know the newer one. A router that starts in that time must not serve
 * with the older one, as a key may have been revoked. Its first configuration
 * is therefore put in force only after a peer has sent its version, or if no
 * peer sends one in time. While peers are known to have a newer configuration,
 * the one in force does not count as fresh.
 *
 * A long configuration takes long to decode, half a second on a small machine.
 * It is put in force by the next iteration of the event loop, after it has
 * been sent to the peers that wait for it.
 */
#include <event2/event.h>

#include "KeyedRecord.h"
#include "ModelVersions.h"
#include "PlatformForm.h"
#include "RouteTable.h"

/**
 * struct RouteVersionsSpec_t - dependencies; all must outlive it
 * @form: form of the platform
 * @routes: receives each newer configuration
 * @weights: receives each newer version of weights
 * @unknown_age_ms: age assumed for versions of weights that were set before
 *     the start
 * @is_alone: there are no peers to wait for
 */
typedef struct {
    const PlatformForm_t *form;
    RouteTable_t *routes;
    ModelVersions_t *weights;
    gint64 unknown_age_ms;
    gboolean is_alone;
} RouteVersionsSpec_t;

/** struct RouteVersions_t - opaque */
typedef struct RouteVersions RouteVersions_t;

/** RouteVersions_create() - create without any records */
RouteVersions_t *RouteVersions_create(struct event_base *base,
                                      const RouteVersionsSpec_t *spec);

/** RouteVersions_destroy() - free it */
void RouteVersions_destroy(RouteVersions_t *this);

/** RouteVersions_apply() - apply a record read from the store or received from
 * a peer; a long one, and those that follow it, in the next iterations of the
 * event loop */
void RouteVersions_apply(RouteVersions_t *this, const KeyedRecord_t *record);

/** RouteVersions_notePeerVersion() - note the version of the configuration
 * that a peer has in force; 0 for none */
void RouteVersions_notePeerVersion(RouteVersions_t *this, guint64 version);

/**
 * RouteVersions_noteCurrent() - note that RouteVersions_apply() was called for
 * all records existing at @at_ms
 * @at_ms: monotonic time
 */
void RouteVersions_noteCurrent(RouteVersions_t *this, gint64 at_ms);

/** RouteVersions_isBehind() - whether peers have a newer configuration than
 * any known here; FALSE while records wait to be applied */
gboolean RouteVersions_isBehind(const RouteVersions_t *this);

/** RouteVersions_newest() - version of the newest configuration applied, in
 * force or not; 0 for none */
guint64 RouteVersions_newest(const RouteVersions_t *this);

/** RouteVersions_inForce() - version of the configuration in force, or 0 */
guint64 RouteVersions_inForce(const RouteVersions_t *this);

/**
 * RouteVersions_listLost() - list the newest records that a read of the store
 * from position @from on does not return, as the store has lost them
 *
 * Return: KeyedRecord_t *, which are not freed with the array
 */
GPtrArray *RouteVersions_listLost(const RouteVersions_t *this,
                                  StorePosition_t from);

#endif
