#ifndef HEADER_NoticeUpdates
#define HEADER_NoticeUpdates
/**
 * DOC: NoticeUpdates
 *
 * Spreads the notices of upstreams that concern all routers: request rate
 * limits and announcements that an upstream is leaving. A router that seldom
 * sends requests to an upstream would otherwise not learn that it has a limit
 * or that the limit was lifted. Changed upstreams are queued and their current
 * state is read when the message is built. Each router forwards the facts that
 * are new to it, and a new peer link receives the current state.
 */
#include "Membership.h"

/**
 * struct NoticeFact_t - state of an upstream as another router knows it
 * @limit: the upstream's request rate limit
 * @leaving: the upstream is about to end
 */
typedef struct {
    UpstreamLimitFact_t limit;
    gboolean leaving;
} NoticeFact_t;

/**
 * NoticeUpdatesHandler_t - applies a fact from a peer
 *
 * Return: whether the fact was new to this router and is to be forwarded
 */
typedef gboolean (*NoticeUpdatesHandler_t)(void *owner, Upstream_t *upstream,
                                           const NoticeFact_t *fact);

/**
 * struct NoticeUpdatesSpec_t - dependencies, which must outlive the
 * NoticeUpdates_t
 * @membership: links to the peers
 * @upstreams: upstreams that facts refer to
 * @handler: called for each fact, except for those about a former incarnation
 * @owner: first argument of @handler
 */
typedef struct {
    Membership_t *membership;
    UpstreamSet_t *upstreams;
    NoticeUpdatesHandler_t handler;
    void *owner;
} NoticeUpdatesSpec_t;

/** struct NoticeUpdates_t - opaque */
typedef struct NoticeUpdates NoticeUpdates_t;

/** NoticeUpdates_create() - start without pending updates */
NoticeUpdates_t *NoticeUpdates_create(struct event_base *base,
                                      const NoticeUpdatesSpec_t *spec);

/** NoticeUpdates_destroy() - free it */
void NoticeUpdates_destroy(NoticeUpdates_t *this);

/** NoticeUpdates_broadcast() - queue an upstream's state for the next message
 * to all peers */
void NoticeUpdates_broadcast(NoticeUpdates_t *this,
                             const Upstream_t *upstream);

/** NoticeUpdates_syncPeer() - send a newly linked peer the state of all
 * upstreams that are leaving or have ever advertised a limit, including limits
 * that were lifted since */
void NoticeUpdates_syncPeer(const NoticeUpdates_t *this, Member_t *member);

/** NoticeUpdates_receive() - apply a peer's message; keeps facts about
 * upstreams that are not listed yet for a while */
void NoticeUpdates_receive(NoticeUpdates_t *this,
                           const Wt__NoticeNews *message);

#endif
