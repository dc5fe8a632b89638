#ifndef HEADER_UpstreamNotices
#define HEADER_UpstreamNotices
/**
 * DOC: UpstreamNotices
 *
 * Takes in what upstreams say of themselves in their answers, whichever part
 * of the router got the answer, and tells the other routers what holds for
 * them too (NoticeNews.h).
 */
#include "HttpCall.h"
#include "NoticeNews.h"
#include "UpstreamLimits.h"
#include "UpstreamNotice.h"

/** struct UpstreamNotices_t - opaque */
typedef struct UpstreamNotices UpstreamNotices_t;

/**
 * struct UpstreamNoticesSpec_t - what it needs; all must outlive it
 * @membership: the other routers
 * @upstreams: that speak
 * @limits: take their limits
 * @counters: of what is learned
 * @form: how answers to the router's own calls say it
 */
typedef struct {
    Membership_t *membership;
    UpstreamSet_t *upstreams;
    UpstreamLimits_t *limits;
    Counters_t *counters;
    const UpstreamNoticeForm_t *form;
} UpstreamNoticesSpec_t;

/**
 * struct NoticeTerms_t - for whom a kind of notice holds, and how long
 *
 * A new start of the upstream ends all of them.
 * @name: for logs and counters
 * @is_shared: all routers hold to it; else the one that was told
 * @ends_by_answer: an answer to a later request that does not say it ends it
 * @holds: whether one holds now
 */
typedef struct {
    const char *name;
    gboolean is_shared;
    gboolean ends_by_answer;
    gboolean (*holds)(const Upstream_t *upstream, gint64 now_ms);
} NoticeTerms_t;

/** UpstreamNotices_terms() - of a kind below NOTICE_KIND_COUNT */
const NoticeTerms_t *UpstreamNotices_terms(NoticeKind_t kind);

/**
 * struct NoticeOrigin_t - which answer says something
 * @upstream: that was asked
 * @incarnation: that it had, as far as was known, when it was asked
 * @sent_ms: when it was asked, monotonic
 * @request_id: of the request, or NULL for a call of the router's own
 */
typedef struct {
    Upstream_t *upstream;
    guint64 incarnation;
    gint64 sent_ms;
    const char *request_id;
} NoticeOrigin_t;

/** NoticeOrigin_begin() - an upstream is asked now */
NoticeOrigin_t NoticeOrigin_begin(Upstream_t *upstream,
                                  const char *request_id);

/** UpstreamNotices_create() - nothing is known */
UpstreamNotices_t *UpstreamNotices_create(struct event_base *base,
                                          const UpstreamNoticesSpec_t *spec);

/** UpstreamNotices_destroy() - free it */
void UpstreamNotices_destroy(UpstreamNotices_t *this);

/** UpstreamNotices_take() - an upstream has answered */
void UpstreamNotices_take(UpstreamNotices_t *this,
                          const NoticeOrigin_t *origin,
                          const UpstreamNotice_t *notice);

/** UpstreamNotices_takeAnswer() - it has answered a call of the router's own;
 * nothing where @this is NULL */
void UpstreamNotices_takeAnswer(UpstreamNotices_t *this,
                                const NoticeOrigin_t *origin,
                                const HttpAnswer_t *answer);

/**
 * UpstreamNotices_noteLeaving() - an answer shows that the upstream ends, or
 * is gone, by other means than its headers
 * @by: which, for logs
 */
void UpstreamNotices_noteLeaving(UpstreamNotices_t *this,
                                 const NoticeOrigin_t *origin, const char *by);

/** UpstreamNotices_introduce() - a router was linked just now */
void UpstreamNotices_introduce(const UpstreamNotices_t *this,
                               Member_t *member);

/** UpstreamNotices_takeNews() - a peer's message */
void UpstreamNotices_takeNews(UpstreamNotices_t *this,
                              const Wt__NoticeNews *message);

#endif
