#include "UpstreamNotices.h"

#include "Clock.h"
#include "Log.h"

/* Headers that can't be read are logged no more often. */
#define UNREADABLE_LOG_MS 10000

struct UpstreamNotices {
    UpstreamNoticesSpec_t spec;
    NoticeNews_t *news;
    gint64 unreadable_ms; /* when one was last logged, 0 for never */
};

/* Both functions return whether there is news. @take_fact is NULL for what
 * holds for one router alone. */
typedef struct {
    NoticeTerms_t terms;
    gboolean (*take)(UpstreamNotices_t *this, const NoticeOrigin_t *origin,
                     const UpstreamNotice_t *notice);
    gboolean (*take_fact)(const UpstreamNotices_t *this, Upstream_t *upstream,
                          const NoticeFact_t *fact);
} NoticeRow_t;

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
count(const UpstreamNotices_t *this, const char *kind, const char *by)
{
    g_autofree char *labels =
        g_strdup_printf("kind=\"%s\",by=\"%s\"", kind, by);
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

/* An answer to a call of the router's own that names no limit is no proof that
 * there is none. */
static gboolean
take_limit(UpstreamNotices_t *this, const NoticeOrigin_t *origin,
           const UpstreamNotice_t *notice)
{
    gboolean is_own_call = origin->request_id == NULL;
    if (is_own_call && notice->limit.kind == LIMIT_ABSENT) {
        return FALSE;
    }
    return UpstreamLimits_noteAnswer(this->spec.limits, origin->upstream,
                                     &notice->limit, origin->sent_ms,
                                     origin->request_id);
}

static gboolean
take_limit_fact(const UpstreamNotices_t *this, Upstream_t *upstream,
                const NoticeFact_t *fact)
{
    return UpstreamLimits_applyFact(this->spec.limits, upstream, &fact->limit);
}

static gboolean
is_limited(const Upstream_t *upstream, gint64 now_ms)
{
    (void)now_ms;
    return upstream->limit.is_named;
}

/* @origin is NULL for a peer's word. */
static gboolean
note_leaving(const UpstreamNotices_t *this, Upstream_t *upstream,
             const NoticeOrigin_t *origin, const char *by)
{
    if (!Upstream_noteLeaving(upstream, upstream->incarnation,
                              Clock_nowMs())) {
        return FALSE;
    }
    count(this, "leaving", by);
    Log_begin(LOG_LEVEL_INFO, "upstream_leaving");
    Log_text("upstream", upstream->name->str);
    Log_text("reason", by);
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
    count(this, kind, "unreadable");
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
take_leaving(UpstreamNotices_t *this, const NoticeOrigin_t *origin,
             const UpstreamNotice_t *notice)
{
    if (notice->leaving == FLAG_UNREADABLE) {
        note_unreadable(this, origin, "leaving");
    }
    return notice->leaving == FLAG_SET &&
           note_leaving(this, origin->upstream, origin, "answer");
}

static gboolean
take_leaving_fact(const UpstreamNotices_t *this, Upstream_t *upstream,
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
take_rest(UpstreamNotices_t *this, const NoticeOrigin_t *origin,
          const UpstreamNotice_t *notice)
{
    Upstream_t *upstream = origin->upstream;
    gint64 now_ms = Clock_nowMs();
    if (notice->rest.kind == REST_UNREADABLE) {
        note_unreadable(this, origin, "rest");
    }
    if (notice->rest.kind != REST_ASKED ||
        !UpstreamBackoff_note(&upstream->rest, notice->rest.for_ms, now_ms)) {
        return FALSE;
    }
    Upstream_withdrawWaiters(upstream);
    count(this, "rest", "answer");
    Log_begin(LOG_LEVEL_INFO, "upstream_rests");
    Log_text("upstream", upstream->name->str);
    Log_number("asked_ms", notice->rest.for_ms);
    Log_number("for_ms", UpstreamBackoff_leftMs(&upstream->rest, now_ms));
    log_origin(origin);
    Log_end();
    return TRUE;
}

static gboolean
is_resting(const Upstream_t *upstream, gint64 now_ms)
{
    return UpstreamBackoff_leftMs(&upstream->rest, now_ms) > 0;
}

static const NoticeRow_t rows[NOTICE_KIND_COUNT] = {
    [NOTICE_LIMIT] =
        {
            .terms = {.name = "limit",
                      .is_shared = TRUE,
                      .ends_by_answer = TRUE,
                      .holds = is_limited},
            .take = take_limit,
            .take_fact = take_limit_fact,
        },
    [NOTICE_LEAVING] =
        {
            .terms = {.name = "leaving",
                      .is_shared = TRUE,
                      .holds = is_leaving},
            .take = take_leaving,
            .take_fact = take_leaving_fact,
        },
    [NOTICE_REST] =
        {
            .terms = {.name = "rest", .holds = is_resting},
            .take = take_rest,
        },
};

const NoticeTerms_t *
UpstreamNotices_terms(NoticeKind_t kind)
{
    return &rows[kind].terms;
}

static gboolean
take_fact(void *owner, Upstream_t *upstream, const NoticeFact_t *fact)
{
    const UpstreamNotices_t *this = owner;
    gboolean is_news = FALSE;
    for (guint kind = 0; kind < NOTICE_KIND_COUNT; kind++) {
        if (rows[kind].terms.is_shared) {
            is_news = rows[kind].take_fact(this, upstream, fact) || is_news;
        }
    }
    return is_news;
}

UpstreamNotices_t *
UpstreamNotices_create(struct event_base *base,
                       const UpstreamNoticesSpec_t *spec)
{
    UpstreamNotices_t *this = g_new0(UpstreamNotices_t, 1);
    NoticeNewsSpec_t news = {
        .membership = spec->membership,
        .upstreams = spec->upstreams,
        .take = take_fact,
        .owner = this,
    };
    this->spec = *spec;
    this->news = NoticeNews_create(base, &news);
    return this;
}

void
UpstreamNotices_destroy(UpstreamNotices_t *this)
{
    NoticeNews_destroy(this->news);
    g_free(this);
}

/* What was asked of a former start says nothing of the one that is there. */
static gboolean
is_of_former_start(const NoticeOrigin_t *origin)
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
UpstreamNotices_take(UpstreamNotices_t *this, const NoticeOrigin_t *origin,
                     const UpstreamNotice_t *notice)
{
    gboolean is_news = FALSE;
    if (is_of_former_start(origin)) {
        return;
    }
    for (guint kind = 0; kind < NOTICE_KIND_COUNT; kind++) {
        const NoticeRow_t *row = &rows[kind];
        gboolean told = row->take(this, origin, notice);
        is_news = (told && row->terms.is_shared) || is_news;
    }
    if (is_news) {
        NoticeNews_tell(this->news, origin->upstream);
    }
}

void
UpstreamNotices_takeAnswer(UpstreamNotices_t *this,
                           const NoticeOrigin_t *origin,
                           const HttpAnswer_t *answer)
{
    if (!this || answer->status == this->spec.form->misdirected_status) {
        return;
    }
    UpstreamNotice_t notice =
        UpstreamNotice_read(this->spec.form, answer->status, answer->headers);
    UpstreamNotices_take(this, origin, &notice);
}

void
UpstreamNotices_noteLeaving(UpstreamNotices_t *this,
                            const NoticeOrigin_t *origin, const char *by)
{
    if (!is_of_former_start(origin) &&
        note_leaving(this, origin->upstream, origin, by)) {
        NoticeNews_tell(this->news, origin->upstream);
    }
}

void
UpstreamNotices_introduce(const UpstreamNotices_t *this, Member_t *member)
{
    NoticeNews_introduce(this->news, member);
}

void
UpstreamNotices_takeNews(UpstreamNotices_t *this,
                         const Wt__NoticeNews *message)
{
    NoticeNews_take(this->news, message);
}
