#ifndef HEADER_RouteTable
#define HEADER_RouteTable
/**
 * DOC: RouteTable
 *
 * The version of the routes in force here, and how fresh the knowledge is
 * that no newer one exists. It never goes back to an older version. A
 * request with a key is let in only while that knowledge is fresh, since a
 * key may have been revoked in the meantime.
 */
#include "RouteConfig.h"

/** struct RouteTable_t - opaque */
typedef struct RouteTable RouteTable_t;

/** RouteTable_create() - no version yet */
RouteTable_t *RouteTable_create(void);

/** RouteTable_destroy() - drop its version */
void RouteTable_destroy(RouteTable_t *this);

/**
 * RouteTable_take() - a version was read
 * @config: its reference is taken over
 *
 * Return: whether it is in force now; an older or equal one is dropped
 */
gboolean RouteTable_take(RouteTable_t *this, RouteConfig_t *config);

/**
 * RouteTable_noteCurrent() - no newer version existed at a time
 * @at_ms: monotonic
 */
void RouteTable_noteCurrent(RouteTable_t *this, gint64 at_ms);

/** RouteTable_config() - the version in force, or NULL */
RouteConfig_t *RouteTable_config(const RouteTable_t *this);

/** RouteTable_ageMs() - how long ago the version was known to be the newest;
 * G_MAXINT64 where it never was */
gint64 RouteTable_ageMs(const RouteTable_t *this, gint64 now_ms);

/** RouteTable_describe() - for logs and refusals: which version is in force
 * and how long ago it was known to be the newest; the caller frees it */
char *RouteTable_describe(const RouteTable_t *this);

/** RouteTable_isFresh() - whether it is no longer ago than that */
gboolean RouteTable_isFresh(const RouteTable_t *this, gint64 max_age_ms);

#endif
