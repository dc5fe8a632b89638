#ifndef HEADER_UpstreamNotices
#define HEADER_UpstreamNotices
/**
 * DOC: UpstreamNotices
 *
 * Applies the notices in upstreams' answers, whichever part of the router
 * receives the answer, and sends those that concern all routers to the peers
 * (NoticeUpdates.h).
 */
#include "HttpCall.h"
#include "NoticeUpdates.h"
#include "UpstreamLimits.h"
#include "UpstreamNotice.h"

/** struct UpstreamNotices_t - opaque */
typedef struct UpstreamNotices UpstreamNotices_t;

/**
 * struct UpstreamNoticesSpec_t - dependencies, which must outlive the
 * UpstreamNotices_t
 * @membership: the other routers
 * @upstreams: upstreams that notices are about
 * @limits: learns the limits of upstreams
 * @counters: counts notices
 * @form: wire format of answers to calls by the router itself
 */
typedef struct {
    Membership_t *membership;
    UpstreamSet_t *upstreams;
    UpstreamLimits_t *limits;
    Counters_t *counters;
    const UpstreamNoticeForm_t *form;
} UpstreamNoticesSpec_t;

/**
 * struct NoticeScope_t - which routers a kind of notice applies to, and for
 * how long
 *
 * A new incarnation of the upstream ends notices of all kinds.
 * @name: name in logs and counters
 * @is_shared: applies to all routers, else to the one that received it
 * @ends_by_answer: ends with an answer to a later request that lacks it
 * @holds: whether a notice of this kind is in effect
 */
typedef struct {
    const char *name;
    gboolean is_shared;
    gboolean ends_by_answer;
    gboolean (*holds)(const Upstream_t *upstream, gint64 now_ms);
} NoticeScope_t;

/** UpstreamNotices_scope() - scope of a kind, which must be below
 * NOTICE_KIND_COUNT */
const NoticeScope_t *UpstreamNotices_scope(NoticeKind_t kind);

/**
 * struct NoticeOrigin_t - the request or call whose answer carries a notice
 * @upstream: upstream to which it was sent
 * @incarnation: incarnation of the upstream known then, 0 for none
 * @sent_ms: when it was sent, monotonic
 * @request_id: id of the request, or NULL for a call by the router itself
 */
typedef struct {
    Upstream_t *upstream;
    guint64 incarnation;
    gint64 sent_ms;
    const char *request_id;
} NoticeOrigin_t;

/** NoticeOrigin_begin() - origin of a request that is sent now */
NoticeOrigin_t NoticeOrigin_begin(Upstream_t *upstream,
                                  const char *request_id);

/** UpstreamNotices_create() - start without notices */
UpstreamNotices_t *UpstreamNotices_create(struct event_base *base,
                                          const UpstreamNoticesSpec_t *spec);

/** UpstreamNotices_destroy() - free it */
void UpstreamNotices_destroy(UpstreamNotices_t *this);

/** UpstreamNotices_apply() - apply the notices of an answer; ignored if the
 * request was sent to a former incarnation */
void UpstreamNotices_apply(UpstreamNotices_t *this,
                           const NoticeOrigin_t *origin,
                           const UpstreamNotice_t *notice);

/** UpstreamNotices_applyAnswer() - parse and apply the notices of an answer to
 * a call by the router itself; does nothing if @this is NULL */
void UpstreamNotices_applyAnswer(UpstreamNotices_t *this,
                                 const NoticeOrigin_t *origin,
                                 const HttpAnswer_t *answer);

/**
 * UpstreamNotices_noteLeaving() - record that an upstream is leaving or has
 * departed, as an answer shows by other means than its headers
 * @source: the means, for logs and counters
 */
void UpstreamNotices_noteLeaving(UpstreamNotices_t *this,
                                 const NoticeOrigin_t *origin,
                                 const char *source);

/** UpstreamNotices_syncPeer() - send the shared notices to a newly linked
 * peer */
void UpstreamNotices_syncPeer(const UpstreamNotices_t *this, Member_t *member);

/** UpstreamNotices_receive() - apply a peer's message */
void UpstreamNotices_receive(UpstreamNotices_t *this,
                             const Wt__NoticeNews *message);

#endif
