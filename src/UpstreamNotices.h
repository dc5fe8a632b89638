#ifndef HEADER_UpstreamNotices
#define HEADER_UpstreamNotices
/**
 * DOC: UpstreamNotices
 *
 * Takes in what upstreams say of themselves in their answers, whichever part
 * of the router got the answer.
 */
#include "UpstreamLimits.h"
#include "UpstreamNotice.h"

/** struct UpstreamNotices_t - opaque */
typedef struct UpstreamNotices UpstreamNotices_t;

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

/** UpstreamNotices_create() - both must outlive it */
UpstreamNotices_t *UpstreamNotices_create(UpstreamLimits_t *limits,
                                          Counters_t *counters);

/** UpstreamNotices_destroy() - free it */
void UpstreamNotices_destroy(UpstreamNotices_t *this);

/** UpstreamNotices_take() - an upstream has answered */
void UpstreamNotices_take(UpstreamNotices_t *this,
                          const NoticeOrigin_t *origin,
                          const UpstreamNotice_t *notice);

#endif
