#include "CatchUp.h"

#include <string.h>

#include "Clock.h"
#include "Log.h"
#include "Random.h"

/* Time in which a peer begins to send its answer, unless it has none. */
#define ANSWER_WAIT_MS 500
/* Maximum duration of a transfer. */
#define TRANSFER_MAX_MS 5000

struct CatchUp {
    Counters_t *counters;
    GString *queried;  /* peer whose answer is awaited; empty for none */
    gint64 queried_ms; /* when it was queried */
    StorePosition_t peer_end; /* furthest end received from peers */
    GPtrArray *sources;       /* names of the peers that told of it last */
    gint64 since_ms;          /* since when peers know more; 0 if not */
    guint queries;            /* to peers since then */
    guint store_reads;        /* since then */
    gsize unused_bytes;       /* received since then */
};

CatchUp_t *
CatchUp_create(Counters_t *counters)
{
    CatchUp_t *this = g_new0(CatchUp_t, 1);
    this->counters = counters;
    this->queried = g_string_new(NULL);
    this->sources = g_ptr_array_new_with_free_func(g_free);
    return this;
}

void
CatchUp_destroy(CatchUp_t *this)
{
    g_string_free(this->queried, TRUE);
    g_ptr_array_unref(this->sources);
    g_free(this);
}

void
CatchUp_reset(CatchUp_t *this)
{
    this->peer_end = (StorePosition_t){0};
    this->since_ms = 0;
    g_string_truncate(this->queried, 0);
    g_ptr_array_set_size(this->sources, 0);
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

static gboolean
find_source(const CatchUp_t *this, const char *peer, guint *out)
{
    return g_ptr_array_find_with_equal_func(this->sources, peer, g_str_equal,
                                            out);
}

static void
add_source(CatchUp_t *this, const char *peer)
{
    if (!find_source(this, peer, NULL)) {
        g_ptr_array_add(this->sources, g_strdup(peer));
    }
}

gboolean
CatchUp_noteBehind(CatchUp_t *this, StorePosition_t known, StorePosition_t end,
                   const char *peer)
{
    gboolean is_further = StorePosition_compare(end, this->peer_end) > 0;
    if (is_further) {
        this->peer_end = end;
        g_ptr_array_set_size(this->sources, 0);
    }
    if (peer && StorePosition_compare(end, this->peer_end) == 0) {
        add_source(this, peer);
    }
    if (this->since_ms == 0) {
        begin(this, known, end, peer);
    }
    return is_further;
}

gboolean
CatchUp_notePosition(CatchUp_t *this, StorePosition_t known)
{
    if (this->since_ms == 0 ||
        StorePosition_compare(known, this->peer_end) < 0) {
        return FALSE;
    }
    Log_begin(LOG_LEVEL_INFO, "config_caught_up");
    Log_number("end", (gint64)known.offset);
    Log_number("after_ms", CatchUp_behindMs(this));
    Log_number("queries", this->queries);
    Log_number("store_reads", this->store_reads);
    Log_number("unused_bytes", (gint64)this->unused_bytes);
    Log_end();
    this->since_ms = 0;
    return TRUE;
}

void
CatchUp_noteQuery(CatchUp_t *this, const char *peer)
{
    this->queries++;
    g_string_assign(this->queried, peer);
    this->queried_ms = Clock_nowMs();
}

void
CatchUp_noteAnswer(CatchUp_t *this, const char *peer)
{
    if (strcmp(this->queried->str, peer) == 0) {
        g_string_truncate(this->queried, 0);
    }
}

const char *
CatchUp_queriedPeer(const CatchUp_t *this)
{
    return this->queried->len > 0 ? this->queried->str : NULL;
}

gboolean
CatchUp_isTransferring(const CatchUp_t *this, gboolean is_receiving)
{
    gint64 limit_ms = is_receiving ? TRANSFER_MAX_MS : ANSWER_WAIT_MS;
    return this->queried->len > 0 &&
           Clock_nowMs() - this->queried_ms < limit_ms;
}

void
CatchUp_noteRefusal(CatchUp_t *this, const char *peer)
{
    guint at = 0;
    CatchUp_noteAnswer(this, peer);
    if (find_source(this, peer, &at)) {
        g_ptr_array_remove_index(this->sources, at);
    }
}

const char *
CatchUp_nextSource(const CatchUp_t *this)
{
    guint count = this->since_ms > 0 ? this->sources->len : 0;
    return count > 0 ? g_ptr_array_index(this->sources, Random_below(count))
                     : NULL;
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
