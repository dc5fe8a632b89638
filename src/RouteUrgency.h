#ifndef HEADER_RouteUrgency
#define HEADER_RouteUrgency
/**
 * DOC: RouteUrgency
 *
 * Finds which routes of a service are more urgent than others, from the ranks
 * and objectives of the configuration.
 */
#include "RouteConfig.h"

/**
 * struct RouteUrgency_t - the urgent routes of a service
 * @rank: rank of the urgent routes
 * @objective_ms: shortest objective of these; 0 if the service has no routes
 *     of different ranks, or the urgent ones have no objective
 */
typedef struct {
    guint rank;
    gint64 objective_ms;
} RouteUrgency_t;

/** RouteUrgency_find() - the urgent routes of a service, among the routes that
 * are placed by the prefix of their prompt */
RouteUrgency_t RouteUrgency_find(const RouteConfig_t *config,
                                 const char *service);

/** RouteUrgency_covers() - whether a route is one of the urgent ones */
gboolean RouteUrgency_covers(const RouteUrgency_t *this, const Route_t *route);

#endif
