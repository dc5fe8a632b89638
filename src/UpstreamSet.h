#ifndef HEADER_UpstreamSet
#define HEADER_UpstreamSet
/**
 * DOC: UpstreamSet
 *
 * All declared or listed upstreams, indexed by name, by hash of the name and
 * by served target. The state of an upstream is retained when its declaration
 * or entry changes, unless its address or role changes.
 */
#include <event2/event.h>
#include <glib.h>

#include "ConfigStore.h"
#include "Upstream.h"

/** struct UpstreamSet_t - opaque */
typedef struct UpstreamSet UpstreamSet_t;

/**
 * UpstreamSet_create() - create an empty set
 * @idle_max: maximum number of idle connections to each upstream
 */
UpstreamSet_t *UpstreamSet_create(struct event_base *base, guint idle_max);

/** UpstreamSet_setIdleMax() - change the maximum number of idle connections;
 * surplus connections are closed as they are used */
void UpstreamSet_setIdleMax(UpstreamSet_t *this, guint idle_max);

/** UpstreamSetAdded_t - called when an upstream is created */
typedef void (*UpstreamSetAdded_t)(void *owner, Upstream_t *upstream);

/** UpstreamSet_setAddedCallback() - set the callback for new upstreams, which
 * runs before any other state of the upstream is set; there is at most one */
void UpstreamSet_setAddedCallback(UpstreamSet_t *this,
                                  UpstreamSetAdded_t added, void *owner);

/** UpstreamSet_destroy() - release the references to upstreams and free it */
void UpstreamSet_destroy(UpstreamSet_t *this);

/** UpstreamSet_applyDeclarations() - apply the current declarations if they
 * changed */
void UpstreamSet_applyDeclarations(UpstreamSet_t *this,
                                   const ConfigStore_t *config);

/**
 * UpstreamSet_put() - add or update a listed upstream
 *
 * A set follows either declarations or a listing, never both.
 */
Upstream_t *UpstreamSet_put(UpstreamSet_t *this, const char *name,
                            const UpstreamSpec_t *spec);

/** UpstreamSet_remove() - remove an upstream that is no longer listed */
void UpstreamSet_remove(UpstreamSet_t *this, const char *name);

/** UpstreamSet_find() - look up by name, or NULL */
Upstream_t *UpstreamSet_find(const UpstreamSet_t *this, const char *name);

/** UpstreamSet_findByHash() - look up by hash of the name, or NULL */
Upstream_t *UpstreamSet_findByHash(const UpstreamSet_t *this, guint64 hash);

/**
 * UpstreamSet_findServing() - list the upstreams that serve a model or service
 *
 * Return: Upstream_t * in order of names, owned by the set and valid until the
 * set changes; never NULL
 */
const GPtrArray *UpstreamSet_findServing(const UpstreamSet_t *this,
                                         UpstreamRole_t role,
                                         const char *target);

/** UpstreamSet_all() - all Upstream_t * in order of names, owned by the set */
const GPtrArray *UpstreamSet_all(const UpstreamSet_t *this);

/** UpstreamSet_generation() - increases each time the indexes are
 * rebuilt */
guint64 UpstreamSet_generation(const UpstreamSet_t *this);

#endif
