#ifndef HEADER_RouteTable
#define HEADER_RouteTable
/**
 * DOC: RouteTable
 *
 * The version of the routes that this router has in force, and the age of the
 * knowledge that no newer version exists. The table never returns to an older
 * version. A request with a key is admitted only while that knowledge is
 * fresh, as the key may have been revoked since. A version that is known, or
 * likely, to be outdated is no reason to refuse a route or key as unknown.
 */
#include "RouteConfig.h"

/** struct RouteTable_t - opaque */
typedef struct RouteTable RouteTable_t;

/** RouteTable_create() - create a table without a version */
RouteTable_t *RouteTable_create(void);

/** RouteTableUpdated_t - called with each version that is put in force */
typedef void (*RouteTableUpdated_t)(void *owner, const RouteConfig_t *config);

/** RouteTable_setCallback() - set the only callback; @owner must outlive the
 * last update */
void RouteTable_setCallback(RouteTable_t *this, RouteTableUpdated_t updated,
                            void *owner);

/** RouteTable_destroy() - free the table and drop its reference */
void RouteTable_destroy(RouteTable_t *this);

/**
 * RouteTable_update() - put a version in force if it is newer
 * @config: the table takes ownership of the reference
 *
 * Return: TRUE if @config is in force now; an older or equal version is
 * dropped
 */
gboolean RouteTable_update(RouteTable_t *this, RouteConfig_t *config);

/**
 * RouteTable_noteCurrent() - note that no newer version existed at @at_ms
 * @at_ms: monotonic time
 */
void RouteTable_noteCurrent(RouteTable_t *this, gint64 at_ms);

/**
 * RouteTable_noteNewer() - note that a newer version exists elsewhere
 * @at_ms: monotonic time at which this became known; 0 if none exists any more
 */
void RouteTable_noteNewer(RouteTable_t *this, gint64 at_ms);

/**
 * RouteTable_isNewest() - whether no newer version is known to exist, and none
 * has existed for longer than @limit_ms
 */
gboolean RouteTable_isNewest(const RouteTable_t *this, gint64 limit_ms);

/** RouteTable_isOverdue() - whether a newer version is known to exist, and may
 * have existed for longer than @limit_ms */
gboolean RouteTable_isOverdue(const RouteTable_t *this, gint64 limit_ms);

/** RouteTable_config() - the version in force, or NULL */
RouteConfig_t *RouteTable_config(const RouteTable_t *this);

/** RouteTable_ageMs() - time since the version was known to be the newest;
 * G_MAXINT64 if it never was */
gint64 RouteTable_ageMs(const RouteTable_t *this, gint64 now_ms);

/** RouteTable_describe() - the version in force and its age, as a sentence for
 * logs and refusals; freed by the caller */
char *RouteTable_describe(const RouteTable_t *this);

/** RouteTable_isFresh() - whether RouteTable_ageMs() is at most @max_age_ms */
gboolean RouteTable_isFresh(const RouteTable_t *this, gint64 max_age_ms);

#endif
