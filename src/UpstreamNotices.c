#include "UpstreamNotices.h"

#include "Clock.h"
#include "Log.h"

/* Minimum interval between log lines about unreadable headers. */
#define UNREADABLE_LOG_MS 10000

struct UpstreamNotices {
    UpstreamNoticesSpec_t spec;
    NoticeUpdates_t *updates;
    gint64 unreadable_ms; /* when an unreadable header was last logged, or 0 */
};

/* Both functions return whether the state has changed. @apply_fact is NULL for
 * kinds that are not shared. */
typedef struct {
    NoticeScope_t scope;
    gboolean (*apply)(UpstreamNotices_t *this, const NoticeOrigin_t *origin,
                      const UpstreamNotice_t *notice);
    gboolean (*apply_fact)(const UpstreamNotices_t *this, Upstream_t *upstream,
                           const NoticeFact_t *fact);
} NoticeHandler_t;

NoticeOrigin_t
NoticeOrigin_begin(Upstream_t *upstream, const char *request_id)
{
    return (NoticeOrigin_t){
        .upstream = upstream,
        .incarnation = upstream->incarnation,
        .sent_ms = Clock_nowMs(),
        .request_id = request_id,
    };
}

static void
count_notice(const UpstreamNotices_t *this, const char *kind,
             const char *source)
{
    g_autofree char *labels =
        g_strdup_printf("kind=\"%s\",by=\"%s\"", kind, source);
    Counters_add(this->spec.counters, "upstream_notices_total", labels, 1);
}

static void
log_origin(const NoticeOrigin_t *origin)
{
    Log_number("incarnation", (gint64)origin->incarnation);
    if (origin->request_id) {
        Log_text("request", origin->request_id);
    }
    Log_number("sent_age_ms", Clock_nowMs() - origin->sent_ms);
}

/* An answer to a call by the router itself that advertises no limit does not
 * prove that there is none, so that it does not lift the limit. */
static gboolean
apply_limit(UpstreamNotices_t *this, const NoticeOrigin_t *origin,
            const UpstreamNotice_t *notice)
{
    gboolean is_router_call = origin->request_id == NULL;
    if (is_router_call && notice->limit.kind == LIMIT_ABSENT) {
        return FALSE;
    }
    return UpstreamLimits_noteAnswer(this->spec.limits, origin->upstream,
                                     &notice->limit, origin->sent_ms,
                                     origin->request_id);
}

static gboolean
apply_limit_fact(const UpstreamNotices_t *this, Upstream_t *upstream,
                 const NoticeFact_t *fact)
{
    return UpstreamLimits_applyFact(this->spec.limits, upstream, &fact->limit);
}

static gboolean
has_limit(const Upstream_t *upstream, gint64 now_ms)
{
    (void)now_ms;
    return upstream->limit.is_named;
}

/* @origin is NULL for a fact from a peer. */
static gboolean
note_leaving(const UpstreamNotices_t *this, Upstream_t *upstream,
             const NoticeOrigin_t *origin, const char *source)
{
    if (!Upstream_noteLeaving(upstream, upstream->incarnation,
                              Clock_nowMs())) {
        return FALSE;
    }
    count_notice(this, "leaving", source);
    Log_begin(LOG_LEVEL_INFO, "upstream_leaving");
    Log_text("upstream", upstream->name->str);
    Log_text("reason", source);
    if (origin) {
        log_origin(origin);
    }
    Log_end();
    return TRUE;
}

static void
note_unreadable(UpstreamNotices_t *this, const NoticeOrigin_t *origin,
                const char *kind)
{
    gint64 now_ms = Clock_nowMs();
    count_notice(this, kind, "unreadable");
    if (this->unreadable_ms > 0 &&
        now_ms - this->unreadable_ms < UNREADABLE_LOG_MS) {
        return;
    }
    this->unreadable_ms = now_ms;
    Log_begin(LOG_LEVEL_WARNING, "upstream_notice_unreadable");
    Log_text("upstream", origin->upstream->name->str);
    Log_text("kind", kind);
    log_origin(origin);
    Log_end();
}

static gboolean
apply_leaving(UpstreamNotices_t *this, const NoticeOrigin_t *origin,
              const UpstreamNotice_t *notice)
{
    if (notice->leaving == FLAG_UNREADABLE) {
        note_unreadable(this, origin, "leaving");
    }
    return notice->leaving == FLAG_SET &&
           note_leaving(this, origin->upstream, origin, "answer");
}

static gboolean
apply_leaving_fact(const UpstreamNotices_t *this, Upstream_t *upstream,
                   const NoticeFact_t *fact)
{
    return fact->leaving && note_leaving(this, upstream, NULL, "peer");
}

static gboolean
is_leaving(const Upstream_t *upstream, gint64 now_ms)
{
    (void)now_ms;
    return upstream->leaving;
}

static gboolean
apply_backoff(UpstreamNotices_t *this, const NoticeOrigin_t *origin,
              const UpstreamNotice_t *notice)
{
    Upstream_t *upstream = origin->upstream;
    gint64 now_ms = Clock_nowMs();
    if (notice->backoff.kind == BACKOFF_UNREADABLE) {
        note_unreadable(this, origin, "rest");
    }
    if (notice->backoff.kind != BACKOFF_REQUESTED ||
        !UpstreamBackoff_note(&upstream->backoff, notice->backoff.for_ms,
                              now_ms)) {
        return FALSE;
    }
    Upstream_withdrawWaiters(upstream);
    count_notice(this, "rest", "answer");
    Log_begin(LOG_LEVEL_INFO, "upstream_rests");
    Log_text("upstream", upstream->name->str);
    Log_number("asked_ms", notice->backoff.for_ms);
    Log_number("for_ms", UpstreamBackoff_leftMs(&upstream->backoff, now_ms));
    log_origin(origin);
    Log_end();
    return TRUE;
}

static gboolean
is_backing_off(const Upstream_t *upstream, gint64 now_ms)
{
    return UpstreamBackoff_leftMs(&upstream->backoff, now_ms) > 0;
}

static const NoticeHandler_t handlers[NOTICE_KIND_COUNT] = {
    [NOTICE_LIMIT] =
        {
            .scope = {.name = "limit",
                      .is_shared = TRUE,
                      .ends_by_answer = TRUE,
                      .holds = has_limit},
            .apply = apply_limit,
            .apply_fact = apply_limit_fact,
        },
    [NOTICE_LEAVING] =
        {
            .scope = {.name = "leaving",
                      .is_shared = TRUE,
                      .holds = is_leaving},
            .apply = apply_leaving,
            .apply_fact = apply_leaving_fact,
        },
    [NOTICE_BACKOFF] =
        {
            .scope = {.name = "rest", .holds = is_backing_off},
            .apply = apply_backoff,
        },
};

const NoticeScope_t *
UpstreamNotices_scope(NoticeKind_t kind)
{
    return &handlers[kind].scope;
}

static gboolean
apply_fact(void *owner, Upstream_t *upstream, const NoticeFact_t *fact)
{
    const UpstreamNotices_t *this = owner;
    gboolean is_new = FALSE;
    for (guint kind = 0; kind < NOTICE_KIND_COUNT; kind++) {
        if (handlers[kind].scope.is_shared) {
            is_new = handlers[kind].apply_fact(this, upstream, fact) || is_new;
        }
    }
    return is_new;
}

UpstreamNotices_t *
UpstreamNotices_create(struct event_base *base,
                       const UpstreamNoticesSpec_t *spec)
{
    UpstreamNotices_t *this = g_new0(UpstreamNotices_t, 1);
    NoticeUpdatesSpec_t updates = {
        .membership = spec->membership,
        .upstreams = spec->upstreams,
        .handler = apply_fact,
        .owner = this,
    };
    this->spec = *spec;
    this->updates = NoticeUpdates_create(base, &updates);
    return this;
}

void
UpstreamNotices_destroy(UpstreamNotices_t *this)
{
    NoticeUpdates_destroy(this->updates);
    g_free(this);
}

/* An answer to a request that was sent to a former incarnation says nothing
 * about the current one. */
static gboolean
is_of_former_incarnation(const NoticeOrigin_t *origin)
{
    if (origin->incarnation == 0 ||
        origin->incarnation == origin->upstream->incarnation) {
        return FALSE;
    }
    Log_begin(LOG_LEVEL_INFO, "notice_of_former_start");
    Log_text("upstream", origin->upstream->name->str);
    log_origin(origin);
    Log_end();
    return TRUE;
}

void
UpstreamNotices_apply(UpstreamNotices_t *this, const NoticeOrigin_t *origin,
                      const UpstreamNotice_t *notice)
{
    gboolean is_new = FALSE;
    if (is_of_former_incarnation(origin)) {
        return;
    }
    for (guint kind = 0; kind < NOTICE_KIND_COUNT; kind++) {
        const NoticeHandler_t *handler = &handlers[kind];
        gboolean has_changed = handler->apply(this, origin, notice);
        is_new = (has_changed && handler->scope.is_shared) || is_new;
    }
    if (is_new) {
        NoticeUpdates_broadcast(this->updates, origin->upstream);
    }
}

void
UpstreamNotices_applyAnswer(UpstreamNotices_t *this,
                            const NoticeOrigin_t *origin,
                            const HttpAnswer_t *answer)
{
    if (!this || answer->status == this->spec.form->misdirected_status) {
        return;
    }
    UpstreamNotice_t notice =
        UpstreamNotice_read(this->spec.form, answer->status, answer->headers);
    UpstreamNotices_apply(this, origin, &notice);
}

void
UpstreamNotices_noteLeaving(UpstreamNotices_t *this,
                            const NoticeOrigin_t *origin, const char *source)
{
    if (!is_of_former_incarnation(origin) &&
        note_leaving(this, origin->upstream, origin, source)) {
        NoticeUpdates_broadcast(this->updates, origin->upstream);
    }
}

void
UpstreamNotices_syncPeer(const UpstreamNotices_t *this, Member_t *member)
{
    NoticeUpdates_syncPeer(this->updates, member);
}

void
UpstreamNotices_receive(UpstreamNotices_t *this, const Wt__NoticeNews *message)
{
    NoticeUpdates_receive(this->updates, message);
}
