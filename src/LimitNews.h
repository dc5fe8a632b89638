#ifndef HEADER_LimitNews
#define HEADER_LimitNews
/**
 * DOC: LimitNews
 *
 * Brings the request rate limits of upstreams to all routers. A router that
 * seldom sends to an upstream would learn neither that there is a limit nor
 * that it has ended. An upstream is named as having news and read when it is
 * told; each router passes on what is news to it, and a new link is told of
 * all limits.
 */
#include "Membership.h"

/**
 * LimitNewsTake_t - a peer's fact
 *
 * Return: whether it is news here, and so is passed on
 */
typedef gboolean (*LimitNewsTake_t)(void *owner, Upstream_t *upstream,
                                    const UpstreamLimitFact_t *fact);

/**
 * struct LimitNewsSpec_t - what it needs; all must outlive it
 * @membership: whose links are used
 * @upstreams: that have limits
 * @take: called for each fact about an incarnation that is not an old one
 * @owner: of @take
 */
typedef struct {
    Membership_t *membership;
    UpstreamSet_t *upstreams;
    LimitNewsTake_t take;
    void *owner;
} LimitNewsSpec_t;

/** struct LimitNews_t - opaque */
typedef struct LimitNews LimitNews_t;

/** LimitNews_create() - nothing to tell */
LimitNews_t *LimitNews_create(struct event_base *base,
                              const LimitNewsSpec_t *spec);

/** LimitNews_destroy() - free it */
void LimitNews_destroy(LimitNews_t *this);

/** LimitNews_tell() - there is news of an upstream's limit */
void LimitNews_tell(LimitNews_t *this, const Upstream_t *upstream);

/** LimitNews_introduce() - tell a router that was linked just now all limits,
 * those that have ended as well */
void LimitNews_introduce(const LimitNews_t *this, Member_t *member);

/** LimitNews_take() - a peer's message */
void LimitNews_take(LimitNews_t *this, const Wt__LimitNews *message);

#endif
