#ifndef HEADER_NoticeNews
#define HEADER_NoticeNews
/**
 * DOC: NoticeNews
 *
 * Brings what upstreams say of themselves for all routers to all of them:
 * their request rate limits, and that they leave. A router that seldom sends
 * to an upstream would learn neither that there is a limit nor that it has
 * ended. An upstream is named as having news and read when it is told; each
 * router passes on what is news to it, and a new link is told of all.
 */
#include "Membership.h"

/**
 * struct NoticeFact_t - what another router knows of an upstream
 * @limit: its limit
 * @leaving: it is about to end
 */
typedef struct {
    UpstreamLimitFact_t limit;
    gboolean leaving;
} NoticeFact_t;

/**
 * NoticeNewsTake_t - a peer's fact
 *
 * Return: whether it is news here, and so is passed on
 */
typedef gboolean (*NoticeNewsTake_t)(void *owner, Upstream_t *upstream,
                                     const NoticeFact_t *fact);

/**
 * struct NoticeNewsSpec_t - what it needs; all must outlive it
 * @membership: whose links are used
 * @upstreams: that the facts are about
 * @take: called for each fact about an incarnation that is not an old one
 * @owner: of @take
 */
typedef struct {
    Membership_t *membership;
    UpstreamSet_t *upstreams;
    NoticeNewsTake_t take;
    void *owner;
} NoticeNewsSpec_t;

/** struct NoticeNews_t - opaque */
typedef struct NoticeNews NoticeNews_t;

/** NoticeNews_create() - nothing to tell */
NoticeNews_t *NoticeNews_create(struct event_base *base,
                                const NoticeNewsSpec_t *spec);

/** NoticeNews_destroy() - free it */
void NoticeNews_destroy(NoticeNews_t *this);

/** NoticeNews_tell() - there is news of an upstream */
void NoticeNews_tell(NoticeNews_t *this, const Upstream_t *upstream);

/** NoticeNews_introduce() - tell a router that was linked just now of all
 * upstreams that have said something, limits that have ended as well */
void NoticeNews_introduce(const NoticeNews_t *this, Member_t *member);

/** NoticeNews_take() - a peer's message */
void NoticeNews_take(NoticeNews_t *this, const Wt__NoticeNews *message);

#endif
