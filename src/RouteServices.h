#ifndef HEADER_RouteServices
#define HEADER_RouteServices
/**
 * DOC: RouteServices
 *
 * Notes which services each route with resumable streams has, in the same way
 * as the software versions of a service: a stream can go on only at the
 * service that began it, and which one that was need not be known of each
 * stream while its route had a single service. In SoftwareVersions a route is
 * a service under a name of its own, and its targets are the versions.
 */
#include "RouteConfig.h"
#include "SoftwareVersions.h"

/** struct RouteServices_t - opaque */
typedef struct RouteServices RouteServices_t;

/** RouteServices_create() - create without routes; @versions must outlive it
 */
RouteServices_t *RouteServices_create(SoftwareVersions_t *versions);

/** RouteServices_destroy() - free it; what was noted remains */
void RouteServices_destroy(RouteServices_t *this);

/** RouteServices_update() - a configuration is in force */
void RouteServices_update(RouteServices_t *this, const RouteConfig_t *config,
                          gint64 now_ms);

/**
 * RouteServices_hasOnly() - whether a route had no other service for as long
 * as its streams may be continued
 * @window_ms: how long that is
 */
gboolean RouteServices_hasOnly(const SoftwareVersions_t *versions,
                               const Route_t *route, const char *service,
                               gint64 window_ms, gint64 now_ms);

#endif
