#include "ClaimShard.h"

#include <string.h>

#include "Clock.h"
#include "Errors.h"
#include "Log.h"
#include "Random.h"
#include "ReadPace.h"

/* Mean delay before a failed read is repeated. */
#define RETRY_MS 300
/* Entries of one record. */
#define BATCH_MAX 256
/* Minimum interval between two appends to one stream. All streams together
 * then stay within the several hundred appends a second that the log accepts.
 */
#define APPEND_INTERVAL_MS 50
/* Entries whose record is not read within this time end undecided. */
#define ENTRY_TIMEOUT_MS 2000
#define EXPIRE_INTERVAL_MS 10000

typedef struct {
    Wt__ClaimKind kind;
    ClaimId_t key;
    ClaimId_t attempt;
    ClaimShardDone_t done;
    void *data;
    gint64 deadline_ms;
    guint64 offset; /* of its record, valid if appended */
    gboolean appended;
} Entry_t;

struct ClaimShard {
    struct event_base *base;
    LogClient_t *log;
    const StoreEpoch_t *store_epoch;
    char stream[32];
    ClaimIndex_t *index;
    gint64 poll_ms;
    ReadPace_t pace;
    gint64 retain_ms;
    guint64 fold_offset;
    gint64 covered_from_ms; /* 0 for the stream's start */
    gboolean truncated;     /* the next record sets covered_from_ms */
    guint64 epoch;          /* of the log, as folded */
    gboolean epoch_known;
    gboolean unmarked;   /* no record of this epoch was folded */
    gboolean marker_due; /* append a record to mark the epoch's start */
    gboolean caught_up;
    gint64 expired_ms;          /* when old claims were last removed */
    GPtrArray *queued;          /* Entry_t that wait for the next append */
    GPtrArray *in_flight;       /* Entry_t of the append under way */
    GPtrArray *awaiting_fold;   /* Entry_t that were appended */
    gint64 append_sent_ms;      /* when the last append was sent */
    struct event *append_timer; /* of the next append */
    struct event *read_timer;   /* of the repeat of a failed read */
    struct event *entry_timer;  /* of entries' deadlines */
};

static void read_next(ClaimShard_t *this);
static void append_batch(ClaimShard_t *this);

static void
complete_entry(ClaimShard_t *this, Entry_t *entry, Wt__ClaimVerdict verdict)
{
    entry->done(verdict, this->covered_from_ms, entry->data);
    g_free(entry);
}

static Wt__ClaimVerdict
entry_verdict(const ClaimShard_t *this, const Entry_t *entry)
{
    return entry->kind == WT__CLAIM_KIND__CLAIM
               ? ClaimIndex_verdict(this->index, &entry->key, &entry->attempt)
               : WT__CLAIM_VERDICT__RECORDED;
}

static void
complete_folded(ClaimShard_t *this)
{
    guint i = 0;
    while (i < this->awaiting_fold->len) {
        Entry_t *entry = g_ptr_array_index(this->awaiting_fold, i);
        if (!entry->appended || entry->offset >= this->fold_offset) {
            i++;
            continue;
        }
        g_ptr_array_remove_index_fast(this->awaiting_fold, i);
        complete_entry(this, entry, entry_verdict(this, entry));
    }
}

static void
complete_overdue(ClaimShard_t *this, GPtrArray *list, gint64 now_ms)
{
    guint i = 0;
    while (i < list->len) {
        Entry_t *entry = g_ptr_array_index(list, i);
        if (now_ms < entry->deadline_ms) {
            i++;
            continue;
        }
        g_ptr_array_remove_index_fast(list, i);
        complete_entry(this, entry, WT__CLAIM_VERDICT__UNDECIDED);
    }
}

static void
on_entry_timer(evutil_socket_t fd, short what, void *data)
{
    (void)fd;
    (void)what;
    ClaimShard_t *this = data;
    gint64 now_ms = Clock_nowMs();
    complete_overdue(this, this->queued, now_ms);
    complete_overdue(this, this->awaiting_fold, now_ms);
    if (this->queued->len + this->awaiting_fold->len > 0) {
        Clock_arm(this->entry_timer, ENTRY_TIMEOUT_MS / 8);
    }
}

/* Reading */

/* Sets the time since which claims are covered. Claims that the log lost when
 * it came back older were made before the first record of the new epoch;
 * claims that it truncated, before the first record that it still has. */
static void
update_coverage(ClaimShard_t *this, const Wt__ClaimRecord *record)
{
    gboolean is_first_of_epoch =
        this->unmarked && record->epoch == this->epoch;
    if (is_first_of_epoch || (this->truncated && !this->unmarked)) {
        this->covered_from_ms = record->appended_ms;
    }
    if (is_first_of_epoch) {
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
    update_coverage(this, record);
    ClaimIndex_fold(this->index, record);
    wt__claim_record__free_unpacked(record, NULL);
}

static void
expire_claims(ClaimShard_t *this)
{
    gint64 now_ms = Clock_nowMs();
    if (now_ms - this->expired_ms >= EXPIRE_INTERVAL_MS) {
        this->expired_ms = now_ms;
        ClaimIndex_expire(this->index, Clock_wallMs() - this->retain_ms);
    }
}

/* The log removed records that were not read yet. Starts with an empty index
 * at the oldest record, as the known claims may be out of date. */
static void
restart_fold(ClaimShard_t *this, guint64 start)
{
    ClaimIndex_destroy(this->index);
    this->index = ClaimIndex_create();
    this->fold_offset = start;
    this->truncated = TRUE;
    this->covered_from_ms = G_MAXINT64;
}

static void
complete_undecided(ClaimShard_t *this, GPtrArray *list)
{
    while (list->len > 0) {
        Entry_t *entry = g_ptr_array_remove_index_fast(list, list->len - 1);
        complete_entry(this, entry, WT__CLAIM_VERDICT__UNDECIDED);
    }
}

/* Keeps the known claims: folding their records again changes nothing. Claims
 * that were lost and are unknown here cannot be granted a second time, as
 * their keys are older than the epoch and therefore not covered. Entries that
 * wait for their record end undecided; their requesters submit them again.
 */
static void
begin_epoch(ClaimShard_t *this, guint64 epoch)
{
    this->marker_due = this->epoch_known;
    this->epoch = epoch;
    this->epoch_known = TRUE;
    this->fold_offset = 0;
    this->caught_up = FALSE;
    this->truncated = FALSE;
    this->unmarked = epoch > 0;
    this->covered_from_ms = epoch > 0 ? G_MAXINT64 : 0;
    complete_undecided(this, this->awaiting_fold);
}

/* Returns whether the answer is usable. If the epoch has changed since the
 * read was sent, its offset is of the earlier epoch. */
static gboolean
accept_epoch(ClaimShard_t *this, guint64 epoch)
{
    gboolean is_first = !this->epoch_known;
    if (is_first || epoch != this->epoch) {
        begin_epoch(this, epoch);
        return is_first;
    }
    return TRUE;
}

static void
read_after_pause(ClaimShard_t *this, gboolean was_useful)
{
    gint64 pause_ms = ReadPace_pauseMs(&this->pace, was_useful, Clock_nowMs());
    if (pause_ms > 0) {
        Clock_arm(this->read_timer, pause_ms);
        return;
    }
    read_next(this);
}

static void
fold_records(ClaimShard_t *this, const LogRecords_t *records)
{
    for (guint i = 0; i < records->records->len; i++) {
        fold_record(this, g_ptr_array_index(records->records, i));
    }
    this->caught_up = this->fold_offset >= records->head;
    expire_claims(this);
    complete_folded(this);
    append_batch(this);
    gboolean is_end = this->caught_up && this->pace.wait_ms == 0;
    read_after_pause(this, records->records->len > 0 || is_end);
}

static void
on_read(const LogRecords_t *records, const GError *error, void *data)
{
    ClaimShard_t *this = data;
    if (records && !accept_epoch(this, records->epoch)) {
        read_after_pause(this, FALSE);
        return;
    }
    if (records && error) {
        restart_fold(this, records->start);
        read_after_pause(this, FALSE);
        return;
    }
    if (!records) {
        this->caught_up = FALSE;
        Clock_arm(this->read_timer, RETRY_MS / 2 + Random_below(RETRY_MS));
        return;
    }
    fold_records(this, records);
}

static void
read_next(ClaimShard_t *this)
{
    gint64 wait_ms = this->caught_up ? this->poll_ms : 0;
    ReadPace_noteSent(&this->pace, wait_ms, Clock_nowMs());
    LogClient_read(this->log, this->stream, this->fold_offset, wait_ms,
                   on_read, this);
}

static void
on_read_timer(evutil_socket_t fd, short what, void *data)
{
    (void)fd;
    (void)what;
    read_next(data);
}

/* Appending */

static GBytes *
pack_batch(const ClaimShard_t *this)
{
    guint count = this->in_flight->len;
    g_autofree Wt__ClaimEntry *messages = g_new0(Wt__ClaimEntry, count);
    g_autofree Wt__ClaimEntry **list = g_new0(Wt__ClaimEntry *, count);
    Wt__ClaimRecord record = WT__CLAIM_RECORD__INIT;
    for (guint i = 0; i < count; i++) {
        Entry_t *entry = g_ptr_array_index(this->in_flight, i);
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

/* Returns whether the offset of an append that was answered just now belongs
 * to the epoch that is folded. Offsets of two epochs cannot be compared. */
static gboolean
is_epoch_current(const ClaimShard_t *this)
{
    return StoreEpoch_newest(this->store_epoch) == this->epoch;
}

/* If the append failed, its entries end undecided. Their requesters submit
 * them again with the same attempt: a claim that was appended twice counts
 * once. */
static void
on_appended(guint64 offset, const GError *error, void *data)
{
    ClaimShard_t *this = data;
    gboolean is_known = !error && is_epoch_current(this);
    this->marker_due = !is_known && this->unmarked;
    for (guint i = 0; i < this->in_flight->len; i++) {
        Entry_t *entry = g_ptr_array_index(this->in_flight, i);
        if (!is_known) {
            complete_entry(this, entry, WT__CLAIM_VERDICT__UNDECIDED);
            continue;
        }
        entry->appended = TRUE;
        entry->offset = offset;
        g_ptr_array_add(this->awaiting_fold, entry);
    }
    g_ptr_array_set_size(this->in_flight, 0);
    complete_folded(this);
    append_batch(this);
}

/* A router that saw the log come back older appends a record, which may have
 * no entries. Its time tells all routers since when claims are covered, so
 * that keys are not refused for longer than necessary. */
static gboolean
must_mark_epoch(const ClaimShard_t *this)
{
    return this->unmarked && this->marker_due;
}

/* Waits until the stream has been read to its end, so that claims which are
 * known to be denied cost no append. */
static void
append_batch(ClaimShard_t *this)
{
    if (this->in_flight->len > 0 || !this->caught_up ||
        (this->queued->len == 0 && !must_mark_epoch(this))) {
        return;
    }
    gint64 wait_ms = this->append_sent_ms + APPEND_INTERVAL_MS - Clock_nowMs();
    if (wait_ms > 0) {
        Clock_arm(this->append_timer, wait_ms);
        return;
    }
    this->append_sent_ms = Clock_nowMs();
    guint count = MIN(this->queued->len, BATCH_MAX);
    for (guint i = 0; i < count; i++) {
        g_ptr_array_add(this->in_flight, g_ptr_array_index(this->queued, i));
    }
    g_ptr_array_remove_range(this->queued, 0, count);
    this->marker_due = FALSE;
    GBytes *record = pack_batch(this);
    LogClient_append(this->log, this->stream, record, on_appended, this);
    g_bytes_unref(record);
}

static void
on_append_timer(evutil_socket_t fd, short what, void *data)
{
    (void)fd;
    (void)what;
    append_batch(data);
}

static gboolean
copy_id(const ProtobufCBinaryData *data, ClaimId_t *id)
{
    if (data->len != CLAIM_ID_BYTES) {
        return FALSE;
    }
    memcpy(id->bytes, data->data, CLAIM_ID_BYTES);
    return TRUE;
}

/* Returns whether another claim of the key denies this one already. Such a
 * claim is not appended. */
static gboolean
is_denied(const ClaimShard_t *this, const Entry_t *entry)
{
    return entry->kind == WT__CLAIM_KIND__CLAIM && this->caught_up &&
           ClaimIndex_hasClaim(this->index, &entry->key) &&
           entry_verdict(this, entry) != WT__CLAIM_VERDICT__GRANTED;
}

void
ClaimShard_submit(ClaimShard_t *this, const Wt__ClaimEntry *message,
                  ClaimShardDone_t done, void *data)
{
    Entry_t *entry = g_new0(Entry_t, 1);
    entry->kind = message->kind;
    entry->done = done;
    entry->data = data;
    entry->deadline_ms = Clock_nowMs() + ENTRY_TIMEOUT_MS;
    if (!copy_id(&message->key, &entry->key) ||
        !copy_id(&message->attempt, &entry->attempt)) {
        complete_entry(this, entry, WT__CLAIM_VERDICT__UNDECIDED);
        return;
    }
    if (is_denied(this, entry)) {
        complete_entry(this, entry, entry_verdict(this, entry));
        return;
    }
    g_ptr_array_add(this->queued, entry);
    if (!evtimer_pending(this->entry_timer, NULL)) {
        Clock_arm(this->entry_timer, ENTRY_TIMEOUT_MS / 8);
    }
    append_batch(this);
}

ClaimShard_t *
ClaimShard_create(struct event_base *base, LogClient_t *log,
                  const StoreEpoch_t *epoch, guint number, gint64 poll_ms,
                  gint64 retain_ms)
{
    ClaimShard_t *this = g_new0(ClaimShard_t, 1);
    this->base = base;
    this->log = log;
    this->store_epoch = epoch;
    g_snprintf(this->stream, sizeof(this->stream), "claims-%u", number);
    this->index = ClaimIndex_create();
    this->poll_ms = poll_ms;
    this->retain_ms = retain_ms;
    this->queued = g_ptr_array_new();
    this->in_flight = g_ptr_array_new();
    this->awaiting_fold = g_ptr_array_new();
    this->append_timer = Clock_timer(base, on_append_timer, this);
    this->read_timer = Clock_timer(base, on_read_timer, this);
    this->entry_timer = Clock_timer(base, on_entry_timer, this);
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
    event_free(this->append_timer);
    event_free(this->read_timer);
    event_free(this->entry_timer);
    free_entries(this->queued);
    free_entries(this->in_flight);
    free_entries(this->awaiting_fold);
    ClaimIndex_destroy(this->index);
    g_free(this);
}
