#ifndef HEADER_UpstreamSet
#define HEADER_UpstreamSet
/**
 * DOC: UpstreamSet
 *
 * All declared or listed upstreams, by name and by what they serve. It
 * keeps what is known of an upstream over a change of its declaration.
 */
#include <event2/event.h>
#include <glib.h>

#include "ConfigStore.h"
#include "Upstream.h"

/** struct UpstreamSet_t - opaque */
typedef struct UpstreamSet UpstreamSet_t;

/**
 * UpstreamSet_create() - an empty set
 * @idle_max: idle connections kept for each upstream
 */
UpstreamSet_t *UpstreamSet_create(struct event_base *base, guint idle_max);

/** UpstreamSet_setIdleMax() - keep another number of idle connections; those
 * that are too many are closed as they are used */
void UpstreamSet_setIdleMax(UpstreamSet_t *this, guint idle_max);

/** UpstreamSetAdded_t - an upstream was met for the first time */
typedef void (*UpstreamSetAdded_t)(void *owner, Upstream_t *upstream);

/** UpstreamSet_onAdded() - whom to tell, before anything else is known of an
 * upstream; one listener at the most */
void UpstreamSet_onAdded(UpstreamSet_t *this, UpstreamSetAdded_t added,
                         void *owner);

/** UpstreamSet_destroy() - drop its references */
void UpstreamSet_destroy(UpstreamSet_t *this);

/** UpstreamSet_follow() - take the declarations in force, if they changed */
void UpstreamSet_follow(UpstreamSet_t *this, const ConfigStore_t *config);

/**
 * UpstreamSet_put() - an upstream that a listing tells of, new or changed
 *
 * A set follows either declarations or a listing, never both.
 */
Upstream_t *UpstreamSet_put(UpstreamSet_t *this, const char *name,
                            const UpstreamSpec_t *spec);

/** UpstreamSet_drop() - an upstream is no longer listed */
void UpstreamSet_drop(UpstreamSet_t *this, const char *name);

/** UpstreamSet_find() - by name, or NULL */
Upstream_t *UpstreamSet_find(const UpstreamSet_t *this, const char *name);

/** UpstreamSet_findHash() - by the hash of its name, or NULL */
Upstream_t *UpstreamSet_findHash(const UpstreamSet_t *this, guint64 hash);

/**
 * UpstreamSet_serving() - those that serve a model or service
 *
 * Return: Upstream_t * by name, owned by the set until the next
 * UpstreamSet_follow(); never NULL
 */
const GPtrArray *UpstreamSet_serving(const UpstreamSet_t *this,
                                     UpstreamRole_t role, const char *target);

/** UpstreamSet_all() - Upstream_t * by name, owned by the set */
const GPtrArray *UpstreamSet_all(const UpstreamSet_t *this);

/** UpstreamSet_generation() - grows with each change of the upstreams */
guint64 UpstreamSet_generation(const UpstreamSet_t *this);

#endif
