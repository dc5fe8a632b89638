#include "ClaimShard.h"

#include <string.h>

#include "Clock.h"
#include "Errors.h"
#include "Log.h"
#include "Random.h"

#define RETRY_MS 300
#define BATCH_MAX 256
/* A stream gets at most one append in so long, so that all of them together
 * stay within the several hundred a second that the log takes. */
#define APPEND_INTERVAL_MS 50
/* Entries whose record is not seen for so long are given back undecided. */
#define ENTRY_TIMEOUT_MS 2000
#define SWEEP_MS 10000

typedef struct {
    Wt__ClaimKind kind;
    ClaimId_t key;
    ClaimId_t attempt;
    ClaimShardDone_t done;
    void *data;
    gint64 due_ms;
    guint64 offset; /* of its record, known once it was appended */
    gboolean appended;
} Entry_t;

struct ClaimShard {
    struct event_base *base;
    LogClient_t *log;
    const StoreEpoch_t *store_epoch;
    char stream[32];
    ClaimIndex_t *index;
    gint64 poll_ms;
    gint64 keep_ms;
    guint64 fold_offset;
    gint64 covered_from_ms; /* 0 for the stream's start */
    gboolean truncated;     /* the first record to come says from when */
    guint64 epoch;          /* of the log in which the stream is folded */
    gboolean epoch_known;
    gboolean unmarked; /* no record of this epoch was folded */
    gboolean returned; /* this router saw the log come back older */
    gboolean caught_up;
    gint64 swept_ms;
    GPtrArray *batch;    /* Entry_t that wait for the next append */
    GPtrArray *flying;   /* Entry_t of the append under way */
    GPtrArray *landed;   /* Entry_t that wait for the fold */
    gint64 appended_ms;  /* when the last append was sent */
    struct event *pace;  /* of the next append */
    struct event *retry; /* of a read */
    struct event *timer; /* of entries */
};

static void read_next(ClaimShard_t *this);
static void append_batch(ClaimShard_t *this);

static void
end_entry(ClaimShard_t *this, Entry_t *entry, Wt__ClaimVerdict verdict)
{
    entry->done(verdict, this->covered_from_ms, entry->data);
    g_free(entry);
}

static Wt__ClaimVerdict
verdict_of(const ClaimShard_t *this, const Entry_t *entry)
{
    return entry->kind == WT__CLAIM_KIND__CLAIM
               ? ClaimIndex_verdict(this->index, &entry->key, &entry->attempt)
               : WT__CLAIM_VERDICT__RECORDED;
}

static void
end_folded(ClaimShard_t *this)
{
    guint i = 0;
    while (i < this->landed->len) {
        Entry_t *entry = g_ptr_array_index(this->landed, i);
        if (!entry->appended || entry->offset >= this->fold_offset) {
            i++;
            continue;
        }
        g_ptr_array_remove_index_fast(this->landed, i);
        end_entry(this, entry, verdict_of(this, entry));
    }
}

static void
end_late(ClaimShard_t *this, GPtrArray *list, gint64 now_ms)
{
    guint i = 0;
    while (i < list->len) {
        Entry_t *entry = g_ptr_array_index(list, i);
        if (now_ms < entry->due_ms) {
            i++;
            continue;
        }
        g_ptr_array_remove_index_fast(list, i);
        end_entry(this, entry, WT__CLAIM_VERDICT__UNDECIDED);
    }
}

static void
on_timer(evutil_socket_t fd, short what, void *data)
{
    (void)fd;
    (void)what;
    ClaimShard_t *this = data;
    gint64 now_ms = Clock_nowMs();
    end_late(this, this->batch, now_ms);
    end_late(this, this->landed, now_ms);
    if (this->batch->len + this->landed->len > 0) {
        Clock_arm(this->timer, ENTRY_TIMEOUT_MS / 8);
    }
}

/* Reading: */

/* What a log has lost as it came back older was claimed before the first
 * record of its epoch. */
static void
note_cover(ClaimShard_t *this, const Wt__ClaimRecord *record)
{
    gboolean marks = this->unmarked && record->epoch == this->epoch;
    if (marks || (this->truncated && !this->unmarked)) {
        this->covered_from_ms = record->appended_ms;
    }
    if (marks) {
        this->unmarked = FALSE;
    }
    this->truncated = FALSE;
}

static void
fold_record(ClaimShard_t *this, GBytes *bytes)
{
    gsize size = 0;
    const guint8 *data = g_bytes_get_data(bytes, &size);
    Wt__ClaimRecord *record = wt__claim_record__unpack(NULL, size, data);
    this->fold_offset++;
    if (!record) {
        return;
    }
    note_cover(this, record);
    ClaimIndex_fold(this->index, record);
    wt__claim_record__free_unpacked(record, NULL);
}

static void
sweep(ClaimShard_t *this)
{
    gint64 now_ms = Clock_nowMs();
    if (now_ms - this->swept_ms >= SWEEP_MS) {
        this->swept_ms = now_ms;
        ClaimIndex_expire(this->index, Clock_wallMs() - this->keep_ms);
    }
}

/* What was known may have missed records that are gone: start anew. */
static void
begin_anew(ClaimShard_t *this, guint64 start)
{
    ClaimIndex_destroy(this->index);
    this->index = ClaimIndex_create();
    this->fold_offset = start;
    this->truncated = TRUE;
    this->covered_from_ms = G_MAXINT64;
}

static void
end_undecided(ClaimShard_t *this, GPtrArray *list)
{
    while (list->len > 0) {
        Entry_t *entry = g_ptr_array_remove_index_fast(list, list->len - 1);
        end_entry(this, entry, WT__CLAIM_VERDICT__UNDECIDED);
    }
}

/* Claims that are known still stand: to fold their records again changes
 * nothing. Of those that nobody here knows none is granted, as its key is
 * older than the epoch; what waits for its record is asked again. */
static void
begin_epoch(ClaimShard_t *this, guint64 epoch)
{
    this->returned = this->epoch_known;
    this->epoch = epoch;
    this->epoch_known = TRUE;
    this->fold_offset = 0;
    this->caught_up = FALSE;
    this->truncated = FALSE;
    this->unmarked = epoch > 0;
    this->covered_from_ms = epoch > 0 ? G_MAXINT64 : 0;
    end_undecided(this, this->landed);
}

/* Return: whether an answer is of use that was asked for before */
static gboolean
take_epoch(ClaimShard_t *this, guint64 epoch)
{
    gboolean is_first = !this->epoch_known;
    if (is_first || epoch != this->epoch) {
        begin_epoch(this, epoch);
        return is_first;
    }
    return TRUE;
}

static void
take_records(ClaimShard_t *this, const LogRecords_t *records)
{
    for (guint i = 0; i < records->records->len; i++) {
        fold_record(this, g_ptr_array_index(records->records, i));
    }
    this->caught_up = this->fold_offset >= records->head;
    sweep(this);
    end_folded(this);
    append_batch(this);
    read_next(this);
}

static void
on_read(const LogRecords_t *records, const GError *error, void *data)
{
    ClaimShard_t *this = data;
    if (records && !take_epoch(this, records->epoch)) {
        read_next(this);
        return;
    }
    if (records && error) {
        begin_anew(this, records->start);
        read_next(this);
        return;
    }
    if (!records) {
        this->caught_up = FALSE;
        Clock_arm(this->retry, RETRY_MS / 2 + Random_below(RETRY_MS));
        return;
    }
    take_records(this, records);
}

static void
read_next(ClaimShard_t *this)
{
    LogClient_read(this->log, this->stream, this->fold_offset,
                   this->caught_up ? this->poll_ms : 0, on_read, this);
}

static void
on_retry(evutil_socket_t fd, short what, void *data)
{
    (void)fd;
    (void)what;
    read_next(data);
}

/* Appending: */

static GBytes *
pack_batch(const ClaimShard_t *this)
{
    guint count = this->flying->len;
    g_autofree Wt__ClaimEntry *messages = g_new0(Wt__ClaimEntry, count);
    g_autofree Wt__ClaimEntry **list = g_new0(Wt__ClaimEntry *, count);
    Wt__ClaimRecord record = WT__CLAIM_RECORD__INIT;
    for (guint i = 0; i < count; i++) {
        Entry_t *entry = g_ptr_array_index(this->flying, i);
        wt__claim_entry__init(&messages[i]);
        messages[i].kind = entry->kind;
        messages[i].key.data = entry->key.bytes;
        messages[i].key.len = CLAIM_ID_BYTES;
        messages[i].attempt.data = entry->attempt.bytes;
        messages[i].attempt.len = CLAIM_ID_BYTES;
        list[i] = &messages[i];
    }
    record.n_entries = count;
    record.entries = list;
    record.appended_ms = Clock_wallMs();
    record.epoch = this->epoch;
    gsize size = wt__claim_record__get_packed_size(&record);
    guint8 *bytes = g_malloc(size + 1);
    wt__claim_record__pack(&record, bytes);
    return g_bytes_new_take(bytes, size);
}

/* Whether an offset that was answered just now can be compared with the
 * fold's. */
static gboolean
is_of_epoch(const ClaimShard_t *this)
{
    return StoreEpoch_newest(this->store_epoch) == this->epoch;
}

/* One whose answer was lost is left to its asker, who asks again with the
 * same attempt: a claim that was appended twice is one claim. */
static void
on_appended(guint64 offset, const GError *error, void *data)
{
    ClaimShard_t *this = data;
    gboolean is_known = !error && is_of_epoch(this);
    this->returned = !is_known && this->unmarked;
    for (guint i = 0; i < this->flying->len; i++) {
        Entry_t *entry = g_ptr_array_index(this->flying, i);
        if (!is_known) {
            end_entry(this, entry, WT__CLAIM_VERDICT__UNDECIDED);
            continue;
        }
        entry->appended = TRUE;
        entry->offset = offset;
        g_ptr_array_add(this->landed, entry);
    }
    g_ptr_array_set_size(this->flying, 0);
    end_folded(this);
    append_batch(this);
}

/* A router that saw the return says when it was, so that keys are refused for
 * it only as long as they must be. */
static gboolean
is_to_mark(const ClaimShard_t *this)
{
    return this->unmarked && this->returned;
}

/* Nothing is appended before all that was there has been read, so that what
 * is known to be denied costs no append. */
static void
append_batch(ClaimShard_t *this)
{
    if (this->flying->len > 0 || !this->caught_up ||
        (this->batch->len == 0 && !is_to_mark(this))) {
        return;
    }
    gint64 wait = this->appended_ms + APPEND_INTERVAL_MS - Clock_nowMs();
    if (wait > 0) {
        Clock_arm(this->pace, wait);
        return;
    }
    this->appended_ms = Clock_nowMs();
    guint count = MIN(this->batch->len, BATCH_MAX);
    for (guint i = 0; i < count; i++) {
        g_ptr_array_add(this->flying, g_ptr_array_index(this->batch, i));
    }
    g_ptr_array_remove_range(this->batch, 0, count);
    this->returned = FALSE;
    GBytes *record = pack_batch(this);
    LogClient_append(this->log, this->stream, record, on_appended, this);
    g_bytes_unref(record);
}

static void
on_pace(evutil_socket_t fd, short what, void *data)
{
    (void)fd;
    (void)what;
    append_batch(data);
}

static gboolean
read_id(const ProtobufCBinaryData *data, ClaimId_t *id)
{
    if (data->len != CLAIM_ID_BYTES) {
        return FALSE;
    }
    memcpy(id->bytes, data->data, CLAIM_ID_BYTES);
    return TRUE;
}

/* What another claim bars already needs no record of its own. */
static gboolean
is_denied(const ClaimShard_t *this, const Entry_t *entry)
{
    return entry->kind == WT__CLAIM_KIND__CLAIM && this->caught_up &&
           ClaimIndex_stands(this->index, &entry->key) &&
           verdict_of(this, entry) != WT__CLAIM_VERDICT__GRANTED;
}

void
ClaimShard_submit(ClaimShard_t *this, const Wt__ClaimEntry *message,
                  ClaimShardDone_t done, void *data)
{
    Entry_t *entry = g_new0(Entry_t, 1);
    entry->kind = message->kind;
    entry->done = done;
    entry->data = data;
    entry->due_ms = Clock_nowMs() + ENTRY_TIMEOUT_MS;
    if (!read_id(&message->key, &entry->key) ||
        !read_id(&message->attempt, &entry->attempt)) {
        end_entry(this, entry, WT__CLAIM_VERDICT__UNDECIDED);
        return;
    }
    if (is_denied(this, entry)) {
        end_entry(this, entry, verdict_of(this, entry));
        return;
    }
    g_ptr_array_add(this->batch, entry);
    if (!evtimer_pending(this->timer, NULL)) {
        Clock_arm(this->timer, ENTRY_TIMEOUT_MS / 8);
    }
    append_batch(this);
}

ClaimShard_t *
ClaimShard_create(struct event_base *base, LogClient_t *log,
                  const StoreEpoch_t *epoch, guint number, gint64 poll_ms,
                  gint64 keep_ms)
{
    ClaimShard_t *this = g_new0(ClaimShard_t, 1);
    this->base = base;
    this->log = log;
    this->store_epoch = epoch;
    g_snprintf(this->stream, sizeof(this->stream), "claims-%u", number);
    this->index = ClaimIndex_create();
    this->poll_ms = poll_ms;
    this->keep_ms = keep_ms;
    this->batch = g_ptr_array_new();
    this->flying = g_ptr_array_new();
    this->landed = g_ptr_array_new();
    this->pace = Clock_timer(base, on_pace, this);
    this->retry = Clock_timer(base, on_retry, this);
    this->timer = Clock_timer(base, on_timer, this);
    read_next(this);
    return this;
}

static void
free_entries(GPtrArray *list)
{
    g_ptr_array_set_free_func(list, g_free);
    g_ptr_array_unref(list);
}

void
ClaimShard_destroy(ClaimShard_t *this)
{
    event_free(this->pace);
    event_free(this->retry);
    event_free(this->timer);
    free_entries(this->batch);
    free_entries(this->flying);
    free_entries(this->landed);
    ClaimIndex_destroy(this->index);
    g_free(this);
}
