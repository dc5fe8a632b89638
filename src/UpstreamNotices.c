#include "UpstreamNotices.h"

#include "Clock.h"
#include "Log.h"

struct UpstreamNotices {
    UpstreamLimits_t *limits;
    Counters_t *counters;
};

/* Takes one kind of notice in. */
typedef struct {
    const char *name;
    void (*take)(UpstreamNotices_t *this, const NoticeOrigin_t *origin,
                 const UpstreamNotice_t *notice);
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
begin_line(const char *event, const NoticeOrigin_t *origin)
{
    Log_begin(LOG_LEVEL_INFO, event);
    Log_text("upstream", origin->upstream->name->str);
    Log_number("incarnation", (gint64)origin->incarnation);
    if (origin->request_id) {
        Log_text("request", origin->request_id);
    }
    Log_number("sent_age_ms", Clock_nowMs() - origin->sent_ms);
}

static void
take_limit(UpstreamNotices_t *this, const NoticeOrigin_t *origin,
           const UpstreamNotice_t *notice)
{
    UpstreamLimits_noteAnswer(this->limits, origin->upstream, &notice->limit,
                              origin->sent_ms, origin->request_id);
}

static void
take_leaving(UpstreamNotices_t *this, const NoticeOrigin_t *origin,
             const UpstreamNotice_t *notice)
{
    Upstream_t *upstream = origin->upstream;
    if (notice->leaving != FLAG_SET || upstream->leaving_told_ms != 0) {
        return;
    }
    upstream->leaving_told_ms = Clock_nowMs();
    Counters_add(this->counters, "upstream_notices_total",
                 "kind=\"leaving\",by=\"answer\"", 1);
    begin_line("upstream_says_leaving", origin);
    Log_number("known", upstream->leaving);
    Log_end();
}

static const NoticeRow_t rows[NOTICE_KIND_COUNT] = {
    [NOTICE_LIMIT] = {"limit", take_limit},
    [NOTICE_LEAVING] = {"leaving", take_leaving},
};

UpstreamNotices_t *
UpstreamNotices_create(UpstreamLimits_t *limits, Counters_t *counters)
{
    UpstreamNotices_t *this = g_new0(UpstreamNotices_t, 1);
    this->limits = limits;
    this->counters = counters;
    return this;
}

void
UpstreamNotices_destroy(UpstreamNotices_t *this)
{
    g_free(this);
}

/* What was asked of a former start says nothing of the one that is there. */
void
UpstreamNotices_take(UpstreamNotices_t *this, const NoticeOrigin_t *origin,
                     const UpstreamNotice_t *notice)
{
    if (origin->incarnation != origin->upstream->incarnation) {
        begin_line("notice_of_former_start", origin);
        Log_end();
        return;
    }
    for (guint kind = 0; kind < NOTICE_KIND_COUNT; kind++) {
        rows[kind].take(this, origin, notice);
    }
}
