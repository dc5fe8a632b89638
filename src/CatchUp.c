#include "CatchUp.h"

#include "Clock.h"
#include "Log.h"

struct CatchUp {
    Counters_t *counters;
    StorePosition_t peer_end; /* furthest end received from peers */
    gint64 since_ms;          /* since when peers know more; 0 if not */
    guint queries;            /* of these, since since_ms */
    guint store_reads;
    gsize unused_bytes;
};

CatchUp_t *
CatchUp_create(Counters_t *counters)
{
    CatchUp_t *this = g_new0(CatchUp_t, 1);
    this->counters = counters;
    return this;
}

void
CatchUp_destroy(CatchUp_t *this)
{
    g_free(this);
}

void
CatchUp_reset(CatchUp_t *this)
{
    this->peer_end = (StorePosition_t){0};
    this->since_ms = 0;
}

static void
begin(CatchUp_t *this, StorePosition_t known, StorePosition_t end,
      const char *peer)
{
    this->since_ms = Clock_nowMs();
    this->queries = 0;
    this->store_reads = 0;
    this->unused_bytes = 0;
    Log_begin(LOG_LEVEL_INFO, "config_behind");
    Log_number("known", (gint64)known.offset);
    Log_number("end", (gint64)end.offset);
    Log_text("told_by", peer ? peer : "none");
    Log_end();
}

void
CatchUp_noteBehind(CatchUp_t *this, StorePosition_t known, StorePosition_t end,
                   const char *peer)
{
    if (StorePosition_compare(end, this->peer_end) > 0) {
        this->peer_end = end;
    }
    if (this->since_ms == 0) {
        begin(this, known, end, peer);
    }
}

void
CatchUp_notePosition(CatchUp_t *this, StorePosition_t known)
{
    if (this->since_ms == 0 ||
        StorePosition_compare(known, this->peer_end) < 0) {
        return;
    }
    Log_begin(LOG_LEVEL_INFO, "config_caught_up");
    Log_number("end", (gint64)known.offset);
    Log_number("after_ms", CatchUp_behindMs(this));
    Log_number("queries", this->queries);
    Log_number("store_reads", this->store_reads);
    Log_number("unused_bytes", (gint64)this->unused_bytes);
    Log_end();
    this->since_ms = 0;
}

void
CatchUp_noteQuery(CatchUp_t *this)
{
    this->queries++;
}

void
CatchUp_noteStoreRead(CatchUp_t *this)
{
    this->store_reads++;
}

void
CatchUp_noteUnused(CatchUp_t *this, gsize bytes)
{
    this->unused_bytes += bytes;
    if (this->counters && bytes > 0) {
        Counters_add(this->counters, "config_unused_bytes_total", NULL,
                     (gint64)bytes);
    }
}

gint64
CatchUp_behindMs(const CatchUp_t *this)
{
    return this->since_ms > 0 ? Clock_nowMs() - this->since_ms : 0;
}
