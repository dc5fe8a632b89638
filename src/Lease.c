#include "Lease.h"

#include <string.h>

#include "Clock.h"
#include "LeaseTable.h"
#include "Log.h"
#include "Random.h"
#include "ReadPace.h"
#include "StoreCalls.h"

#define STREAM "leases"
#define TICK_MS 100
/* Mean time before a failed read is retried. */
#define RETRY_MS 300
/* How often the retry time is doubled after consecutive failures. Without
 * backoff, the routers that may take over from a silent holder would overload
 * a store that comes back. */
#define RETRY_DOUBLINGS_MAX 3
/* Clocks may drift apart by 1/20 of a duration. */
#define DRIFT_DIVISOR 20
#define MARGIN_MIN_MS 50
/* Silence for this many lease durations proves that nobody holds a lease. */
#define SILENT_LEASES 3

struct Lease {
    struct event_base *base;
    LeaseSpec_t spec;
    GString *scope;
    GString *holder;
    LeaseTable_t *table;
    guint64 fold_offset;
    gboolean caught_up;
    gboolean reading;
    gboolean wanted;
    gboolean followed;
    gboolean released; /* permanently, as the router stops */
    gboolean yielded;  /* a release of the current lease was appended */
    guint64 epoch;     /* of the log that the folded records are from */
    gint64 epoch_ms;   /* when that epoch became known, 0 before the first */
    guint failures;    /* consecutive failed reads */
    ReadPace_t pace;
    gint64 delay_ms;        /* extra wait before taking an expired lease */
    guint64 current_number; /* of the current lease, of any holder */
    gint64 current_seen_ms; /* when the current lease was first read */
    gint64 last_record_ms;  /* when this epoch's last record was read, or 0 */
    guint64 number;         /* of this router's lease, 0 for none */
    guint64 term;           /* number at which this router took its lease */
    gint64 began_ms; /* start of its lease: before the append was sent */
    gint64 sent_ms;  /* when the append with @sent_expects was first sent */
    guint64 sent_expects;
    gboolean append_open;
    struct event *tick;
    struct event *retry;
};

static void read_next(Lease_t *this);

static gint64
drift_margin_ms(gint64 duration_ms)
{
    return MAX(duration_ms / DRIFT_DIVISOR, MARGIN_MIN_MS);
}

static gboolean
is_local(const Lease_t *this, const LeaseEntry_t *entry)
{
    return entry && entry->incarnation == this->spec.incarnation &&
           strcmp(entry->holder->str, this->holder->str) == 0;
}

static void
log_lease(const Lease_t *this, const char *event, guint64 number)
{
    Log_begin(LOG_LEVEL_INFO, event);
    Log_text("scope", this->scope->str);
    Log_number("number", (gint64)number);
    Log_end();
}

static gint64
remaining_ms(const Lease_t *this)
{
    gint64 duration_ms = this->spec.duration_ms;
    gint64 end_ms =
        this->began_ms + duration_ms - drift_margin_ms(duration_ms);
    return MAX(end_ms - Clock_nowMs(), 0);
}

static void
lose_lease(Lease_t *this)
{
    log_lease(this, "lease_lost", this->number);
    this->number = 0;
    this->term = 0;
}

/* Updates the state of this router's lease from the table. A lease counts from
 * when its record was sent, so a record that is appended late only makes the
 * lease shorter. */
static void
update_current(Lease_t *this)
{
    const LeaseEntry_t *entry = LeaseTable_find(this->table, this->scope->str);
    guint64 number = entry ? entry->number : 0;
    if (number == this->current_number) {
        return;
    }
    this->current_number = number;
    this->current_seen_ms = Clock_nowMs();
    this->yielded = FALSE;
    if (is_local(this, entry) && entry->duration_ms > 0) {
        if (this->number == 0) {
            log_lease(this, "lease_taken", number);
            this->term = number;
        }
        this->number = number;
        this->began_ms = this->sent_ms;
    }
    else if (this->number != 0) {
        lose_lease(this);
    }
}

static void
note_record_time(Lease_t *this, const Wt__LeaseRecord *record)
{
    if (record->epoch == this->epoch) {
        this->last_record_ms = Clock_nowMs();
    }
}

static void
fold_records(Lease_t *this, const LogRecords_t *records)
{
    for (guint i = 0; i < records->records->len; i++) {
        gsize size = 0;
        const guint8 *bytes =
            g_bytes_get_data(g_ptr_array_index(records->records, i), &size);
        Wt__LeaseRecord *record = wt__lease_record__unpack(NULL, size, bytes);
        if (record) {
            note_record_time(this, record);
            LeaseTable_fold(this->table, records->first + i, record);
            wt__lease_record__free_unpacked(record, NULL);
        }
    }
    this->fold_offset = records->first + records->records->len;
    update_current(this);
}

static void
log_epoch(const Lease_t *this)
{
    Log_begin(LOG_LEVEL_INFO, "lease_epoch_begun");
    Log_text("scope", this->scope->str);
    Log_number("epoch", (gint64)this->epoch);
    Log_number("number", (gint64)this->number);
    Log_number("left_ms", this->number != 0 ? remaining_ms(this) : 0);
    Log_end();
}

/* Restarts the fold in a new epoch of the log. A lease of this router whose
 * record was lost stays valid, as no router takes a lease before all that may
 * have been granted have expired. An expired one is given up, as the log may
 * have lost a later lease of another router too. */
static void
begin_epoch(Lease_t *this, guint64 epoch)
{
    gboolean is_restored = this->epoch_ms > 0;
    this->epoch = epoch;
    this->epoch_ms = StoreEpoch_sinceMs(this->spec.epoch);
    this->fold_offset = 0;
    this->caught_up = FALSE;
    this->last_record_ms = 0;
    this->current_number = 0;
    this->sent_ms = 0;
    LeaseTable_beginEpoch(this->table, epoch);
    if (is_restored) {
        log_epoch(this);
    }
    if (this->number != 0 && remaining_ms(this) == 0) {
        lose_lease(this);
    }
}

/* Restarts the fold at @start. The records between the fold offset and @start
 * have expired, and may have replaced the known lease. */
static void
restart_fold(Lease_t *this, guint64 start)
{
    Log_begin(LOG_LEVEL_INFO, "lease_records_gone");
    Log_text("scope", this->scope->str);
    Log_number("fold_offset", (gint64)this->fold_offset);
    Log_number("start", (gint64)start);
    Log_end();
    this->fold_offset = start;
    this->caught_up = FALSE;
    LeaseTable_setUnconfirmed(this->table);
    update_current(this);
}

static void
schedule_retry(Lease_t *this)
{
    guint32 mean_ms = RETRY_MS << MIN(this->failures, RETRY_DOUBLINGS_MAX);
    this->caught_up = FALSE;
    this->failures++;
    Clock_arm(this->retry, mean_ms / 2 + Random_below(mean_ms));
}

/* Begins a new epoch if @epoch differs from the current one. Records that were
 * read by an offset of an earlier epoch are useless, except for those of the
 * very first read, which starts at offset 0.
 *
 * Return: whether the records can be folded
 */
static gboolean
check_epoch(Lease_t *this, guint64 epoch)
{
    gboolean is_first = this->epoch_ms == 0;
    if (is_first || epoch != this->epoch) {
        begin_epoch(this, epoch);
        return is_first;
    }
    return TRUE;
}

static void
read_after_pause(Lease_t *this, gboolean was_useful)
{
    gint64 pause_ms = ReadPace_pauseMs(&this->pace, was_useful, Clock_nowMs());
    if (pause_ms > 0) {
        Clock_arm(this->retry, pause_ms);
        return;
    }
    read_next(this);
}

static void
on_read(const LogRecords_t *records, const GError *error, void *data)
{
    Lease_t *this = data;
    if (records && !check_epoch(this, records->epoch)) {
        read_after_pause(this, FALSE);
        return;
    }
    if (records && error) {
        restart_fold(this, records->start);
        read_after_pause(this, FALSE);
        return;
    }
    if (!records) {
        schedule_retry(this);
        return;
    }
    this->failures = 0;
    fold_records(this, records);
    this->caught_up = this->fold_offset >= records->head;
    gboolean is_end = this->caught_up && this->pace.wait_ms == 0;
    read_after_pause(this, records->records->len > 0 || is_end);
}

static StoreCause_t
read_cause(const Lease_t *this)
{
    if (this->failures > 0) {
        return STORE_RETRY;
    }
    return this->caught_up ? STORE_FOLLOW : STORE_START;
}

/* Reads the stream only while the lease is wanted, followed or held, to save
 * calls to the store. */
static void
read_next(Lease_t *this)
{
    this->reading = this->wanted || this->followed || this->number != 0;
    if (!this->reading) {
        this->caught_up = FALSE;
        return;
    }
    StoreCalls_note(this->spec.counters, STREAM, read_cause(this));
    gint64 wait_ms = this->caught_up ? this->spec.poll_ms : 0;
    ReadPace_noteSent(&this->pace, wait_ms, Clock_nowMs());
    LogClient_read(this->spec.log, STREAM, this->fold_offset, wait_ms, on_read,
                   this);
}

static void
on_retry(evutil_socket_t fd, short what, void *data)
{
    (void)fd;
    (void)what;
    read_next(data);
}

static void
on_appended(guint64 offset, const GError *error, void *data)
{
    (void)offset;
    (void)error;
    Lease_t *this = data;
    this->append_open = FALSE;
}

static StoreCause_t
append_cause(const Lease_t *this, gint64 duration_ms)
{
    if (duration_ms == 0) {
        return STORE_RELEASE;
    }
    return this->number != 0 ? STORE_RENEW : STORE_ACQUIRE;
}

static void
append_record(Lease_t *this, guint64 expects, gint64 duration_ms)
{
    StoreCalls_note(this->spec.counters, STREAM,
                    append_cause(this, duration_ms));
    Wt__LeaseRecord record = WT__LEASE_RECORD__INIT;
    record.scope = this->scope->str;
    record.holder = this->holder->str;
    record.incarnation = this->spec.incarnation;
    record.expects = expects;
    record.duration_ms = (guint32)duration_ms;
    record.epoch = this->epoch;
    record.over = LeaseTable_maxEndedNumber(this->table);
    gsize size = wt__lease_record__get_packed_size(&record);
    guint8 *bytes = g_malloc(size);
    wt__lease_record__pack(&record, bytes);
    GBytes *packed = g_bytes_new_take(bytes, size);
    /* A retry for the same number keeps the time of the first attempt, as
     * either of the two records may be the one that takes effect. */
    if (this->sent_expects != expects || this->sent_ms == 0) {
        this->sent_ms = Clock_nowMs();
        this->sent_expects = expects;
    }
    this->append_open = TRUE;
    LogClient_append(this->spec.log, STREAM, packed, on_appended, this);
    g_bytes_unref(packed);
}

/* Whether the current lease has expired, plus the extra delay. If there is no
 * lease, a lease of the previous epoch may have been lost with its record, so
 * a full duration from the start of the epoch is waited for. */
static gboolean
has_expired(const Lease_t *this, const LeaseEntry_t *entry)
{
    gint64 start_ms = entry ? this->current_seen_ms : this->epoch_ms;
    gint64 duration_ms = entry ? entry->duration_ms : this->spec.duration_ms;
    return Clock_nowMs() - start_ms >=
           duration_ms + drift_margin_ms(duration_ms) + this->delay_ms;
}

/* Whether the scope's lease is known. A holder renews several times within a
 * lease, so an unconfirmed table is confirmed after SILENT_LEASES durations
 * without any record, or at once if none was read in this epoch. */
static gboolean
try_confirm_table(Lease_t *this)
{
    if (!LeaseTable_isUnconfirmed(this->table, this->scope->str)) {
        return TRUE;
    }
    if (this->last_record_ms > 0 &&
        Clock_nowMs() - this->last_record_ms <
            SILENT_LEASES * this->spec.duration_ms) {
        return FALSE;
    }
    LeaseTable_setConfirmed(this->table, this->fold_offset);
    update_current(this);
    return TRUE;
}

/* A lease whose record the log has lost is appended again at once. */
static gboolean
needs_renewal(const Lease_t *this)
{
    gint64 age_ms = Clock_nowMs() - this->began_ms;
    return this->current_number == 0 || age_ms >= this->spec.duration_ms / 3;
}

static gboolean
may_take(const Lease_t *this)
{
    return has_expired(this, LeaseTable_find(this->table, this->scope->str));
}

static void
renew_or_take(Lease_t *this)
{
    if (this->number != 0 && this->current_number == 0 &&
        remaining_ms(this) == 0) {
        lose_lease(this);
    }
    if (!this->wanted || !this->caught_up || this->append_open ||
        !try_confirm_table(this)) {
        return;
    }
    if (this->number != 0 ? needs_renewal(this) : may_take(this)) {
        append_record(this, this->current_number, this->spec.duration_ms);
    }
}

static void
on_tick(evutil_socket_t fd, short what, void *data)
{
    (void)fd;
    (void)what;
    Lease_t *this = data;
    renew_or_take(this);
    Clock_arm(this->tick, TICK_MS);
}

Lease_t *
Lease_create(struct event_base *base, const LeaseSpec_t *spec)
{
    Lease_t *this = g_new0(Lease_t, 1);
    this->base = base;
    this->spec = *spec;
    this->scope = g_string_new(spec->scope);
    this->holder = g_string_new(spec->holder);
    this->table = LeaseTable_create();
    this->current_seen_ms = Clock_nowMs();
    this->tick = Clock_timer(base, on_tick, this);
    this->retry = Clock_timer(base, on_retry, this);
    Clock_arm(this->tick, TICK_MS);
    return this;
}

void
Lease_destroy(Lease_t *this)
{
    event_free(this->tick);
    event_free(this->retry);
    LeaseTable_destroy(this->table);
    g_string_free(this->scope, TRUE);
    g_string_free(this->holder, TRUE);
    g_free(this);
}

void
Lease_setWanted(Lease_t *this, gboolean wanted, gint64 delay_ms)
{
    this->wanted = wanted;
    this->delay_ms = delay_ms;
    if (wanted && !this->reading) {
        read_next(this);
    }
}

/* Appends a record of zero duration, which others need not wait for. */
static void
append_release(Lease_t *this)
{
    if (this->number != 0 && !this->append_open) {
        log_lease(this, "lease_released", this->number);
        append_record(this, this->current_number, 0);
        this->yielded = TRUE;
    }
}

void
Lease_release(Lease_t *this)
{
    this->wanted = FALSE;
    this->released = TRUE;
    append_release(this);
}

void
Lease_yield(Lease_t *this)
{
    this->wanted = FALSE;
    if (!this->yielded) {
        append_release(this);
    }
}

void
Lease_setFollowed(Lease_t *this, gboolean followed)
{
    this->followed = followed;
    if (followed && !this->reading) {
        read_next(this);
    }
}

gint64
Lease_remainingMs(const Lease_t *this)
{
    if (this->number == 0 || this->released || this->yielded) {
        return 0;
    }
    return remaining_ms(this);
}

guint64
Lease_number(const Lease_t *this)
{
    return this->number;
}

guint64
Lease_term(const Lease_t *this)
{
    return this->term;
}
