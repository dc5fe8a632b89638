#ifndef HEADER_ForwardPeers
#define HEADER_ForwardPeers
/**
 * DOC: ForwardPeers
 *
 * The routers to which this router forwards callers' requests while it reaches
 * no upstream itself. Chooses among the linked routers the one with the fewest
 * forwarded requests, and leaves out for a moment those that could not serve
 * one.
 */
#include <event2/event.h>

#include "Membership.h"
#include "Upstream.h"

/**
 * struct ForwardPeer_t - a router that requests are forwarded to
 * @upstream: the router as the target of attempts; pools its connections
 * @open: forwarded requests under way there
 * @avoid_until_ms: it gets none before this time, monotonic
 */
typedef struct {
    Upstream_t *upstream;
    guint open;
    gint64 avoid_until_ms;
} ForwardPeer_t;

/** struct ForwardPeers_t - opaque */
typedef struct ForwardPeers ForwardPeers_t;

/** ForwardPeers_create() - start without routers
 * @idle_max: maximum number of idle connections to each router */
ForwardPeers_t *ForwardPeers_create(struct event_base *base,
                                    const Membership_t *membership,
                                    guint idle_max);

/** ForwardPeers_destroy() - free it; no forwarded request may be under way */
void ForwardPeers_destroy(ForwardPeers_t *this);

/** ForwardPeers_choose() - choose a router for one request; NULL if there is
 * none. Valid as long as this object.
 * @tried: ForwardPeer_t * that the request is not sent to again; or NULL */
ForwardPeer_t *ForwardPeers_choose(ForwardPeers_t *this,
                                   const GPtrArray *tried, gint64 now_ms);

/** ForwardPeers_noteUnserved() - record that other routers reach no upstream
 * of a service either */
void ForwardPeers_noteUnserved(ForwardPeers_t *this, const char *service,
                               gint64 now_ms);

/** ForwardPeers_isUnserved() - whether that was so a moment ago */
gboolean ForwardPeers_isUnserved(const ForwardPeers_t *this,
                                 const char *service, gint64 now_ms);

/** ForwardPeers_noteRefusal() - record that a router could not serve a request
 * and said so */
void ForwardPeers_noteRefusal(ForwardPeer_t *peer, gint64 now_ms);

/** ForwardPeers_noteUnreachable() - record that a router was not reached, or
 * did not answer */
void ForwardPeers_noteUnreachable(ForwardPeer_t *peer, gint64 now_ms);

#endif
