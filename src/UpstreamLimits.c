#include "UpstreamLimits.h"

#include "Clock.h"
#include "Log.h"

struct UpstreamLimits {
    Counters_t *counters;
};

UpstreamLimits_t *
UpstreamLimits_create(Counters_t *counters)
{
    UpstreamLimits_t *this = g_new0(UpstreamLimits_t, 1);
    this->counters = counters;
    return this;
}

void
UpstreamLimits_destroy(UpstreamLimits_t *this)
{
    g_free(this);
}

static void
log_limit(const char *key, const UpstreamLimit_t *limit)
{
    char text[G_ASCII_DTOSTR_BUF_SIZE];
    g_ascii_formatd(text, sizeof(text), "%.6g", limit->per_s);
    Log_text(key, limit->is_named ? text : "none");
}

static void
log_change(const Upstream_t *upstream, const UpstreamLimit_t *before,
           const char *request_id)
{
    const UpstreamLimit_t *limit = &upstream->limit;
    Log_begin(LOG_LEVEL_INFO, "upstream_limit");
    Log_text("upstream", upstream->name->str);
    log_limit("per_s", limit);
    log_limit("before", before);
    Log_number("version", (gint64)limit->version);
    Log_number("before_ms", before->learned_ms > 0
                                ? limit->learned_ms - before->learned_ms
                                : -1);
    Log_text("by", "answer");
    Log_text("request", request_id);
    Log_end();
}

static void
note_unreadable(const UpstreamLimits_t *this, Upstream_t *upstream,
                const char *request_id)
{
    Counters_add(this->counters, "upstream_limits_unreadable_total", NULL, 1);
    if (UpstreamLimit_isReported(&upstream->limit, Clock_nowMs())) {
        return;
    }
    Log_begin(LOG_LEVEL_WARNING, "upstream_limit_unreadable");
    Log_text("upstream", upstream->name->str);
    Log_text("request", request_id);
    log_limit("kept", &upstream->limit);
    Log_end();
}

void
UpstreamLimits_noteAnswer(UpstreamLimits_t *this, Upstream_t *upstream,
                          const NamedLimit_t *said, gint64 sent_ms,
                          const char *request_id)
{
    UpstreamLimit_t before = upstream->limit;
    if (said->kind == LIMIT_UNREADABLE) {
        note_unreadable(this, upstream, request_id);
        return;
    }
    if (UpstreamLimit_noteAnswer(&upstream->limit, said, sent_ms,
                                 Clock_nowMs())) {
        Counters_add(this->counters, "upstream_limits_learned_total",
                     "by=\"answer\"", 1);
        log_change(upstream, &before, request_id);
    }
}
