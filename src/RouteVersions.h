#ifndef HEADER_RouteVersions
#define HEADER_RouteVersions
/**
 * DOC: RouteVersions
 *
 * The newest of the operators' records by what they say: configurations and
 * names of weights have versions that only grow, so that it does not matter
 * where or in which order a record was read. It puts them in force.
 *
 * A store that has come back older shows a configuration that was replaced,
 * until the operators have written the newer one again, and only routers know
 * better. A router that starts then must not serve by it, as a key may have
 * been revoked: its first configuration is in force only once a peer has told
 * which one it has, or none was there to be asked. Who knows that peers have a
 * newer one counts its own as not fresh.
 */
#include <event2/event.h>

#include "KeyedRecord.h"
#include "ModelVersions.h"
#include "PlatformForm.h"
#include "RouteTable.h"

/**
 * struct RouteVersionsSpec_t - what it needs; all must outlive it
 * @form: of the platform
 * @routes: gets each newer configuration
 * @weights: gets each newer version
 * @unknown_age_ms: age that is assumed of versions named before the start
 * @is_alone: there are no peers to be asked
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

/** RouteVersions_create() - none is known */
RouteVersions_t *RouteVersions_create(struct event_base *base,
                                      const RouteVersionsSpec_t *spec);

/** RouteVersions_destroy() - free it */
void RouteVersions_destroy(RouteVersions_t *this);

/** RouteVersions_take() - a record was read or told */
void RouteVersions_take(RouteVersions_t *this, const KeyedRecord_t *record);

/** RouteVersions_tell() - a peer has this configuration in force */
void RouteVersions_tell(RouteVersions_t *this, guint64 version);

/**
 * RouteVersions_noteCurrent() - the operators' records ended at a time
 * @at_ms: monotonic; all that was there then was taken
 */
void RouteVersions_noteCurrent(RouteVersions_t *this, gint64 at_ms);

/** RouteVersions_isBehind() - whether peers have a newer configuration */
gboolean RouteVersions_isBehind(const RouteVersions_t *this);

/** RouteVersions_newest() - version of the newest configuration that was read
 * or told, in force or not; 0 for none */
guint64 RouteVersions_newest(const RouteVersions_t *this);

/** RouteVersions_inForce() - version of the configuration in force, or 0 */
guint64 RouteVersions_inForce(const RouteVersions_t *this);

/**
 * RouteVersions_apart() - what no read from a place on leads to
 *
 * Return: KeyedRecord_t *, which are not freed with the array
 */
GPtrArray *RouteVersions_apart(const RouteVersions_t *this,
                               StorePosition_t from);

#endif
