#include "Lease.h"

#include <string.h>

#include "Clock.h"
#include "LeaseTable.h"
#include "Log.h"
#include "Random.h"
#include "StoreCalls.h"

#define STREAM "leases"
#define TICK_MS 100
#define RETRY_MS 300
/* After failures in a row the pause is doubled so often: as many routers as
 * may step in for a silent holder would keep a store busy that comes back. */
#define RETRY_DOUBLINGS 3
/* Clocks may drift apart by one part in so many. */
#define DRIFT_PARTS 20
#define LEAST_MARGIN_MS 50
/* Silence of so many leases proves that nobody holds one. */
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
    gboolean released; /* for good: the router stops */
    guint64 epoch;     /* of the log in which the stream is folded */
    gint64 epoch_ms;   /* when it was first known, 0 where none is */
    guint failures;    /* of reads, in a row */
    gint64 patience_ms;
    guint64 seen_number; /* current lease, whoever has it */
    gint64 seen_ms;      /* when it was first read here */
    gint64
        heard_ms;   /* when the last record that counts was read, 0 for none */
    guint64 number; /* of ours */
    guint64 term;   /* number at which we took it */
    gint64 began_ms; /* before its append was sent */
    gint64 sent_ms;  /* of the append under way or undecided */
    guint64 sent_expects;
    gboolean append_open;
    struct event *tick;
    struct event *retry;
};

static void read_next(Lease_t *this);

static gint64
margin_of(gint64 duration_ms)
{
    return MAX(duration_ms / DRIFT_PARTS, LEAST_MARGIN_MS);
}

static gboolean
is_ours(const Lease_t *this, const LeaseEntry_t *entry)
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
left_ms(const Lease_t *this)
{
    gint64 duration_ms = this->spec.duration_ms;
    gint64 end_ms = this->began_ms + duration_ms - margin_of(duration_ms);
    return MAX(end_ms - Clock_nowMs(), 0);
}

static void
lose(Lease_t *this)
{
    log_lease(this, "lease_lost", this->number);
    this->number = 0;
    this->term = 0;
}

/* Our own record that landed late counts from when it was sent, which only
 * makes the lease shorter. */
static void
note_current(Lease_t *this)
{
    const LeaseEntry_t *entry = LeaseTable_find(this->table, this->scope->str);
    guint64 number = entry ? entry->number : 0;
    if (number == this->seen_number) {
        return;
    }
    this->seen_number = number;
    this->seen_ms = Clock_nowMs();
    if (is_ours(this, entry)) {
        if (this->number == 0) {
            log_lease(this, "lease_taken", number);
            this->term = number;
        }
        this->number = number;
        this->began_ms = this->sent_ms;
    }
    else if (this->number != 0) {
        lose(this);
    }
}

static void
note_heard(Lease_t *this, const Wt__LeaseRecord *record)
{
    if (record->epoch == this->epoch) {
        this->heard_ms = Clock_nowMs();
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
            note_heard(this, record);
            LeaseTable_fold(this->table, records->first + i, record);
            wt__lease_record__free_unpacked(record, NULL);
        }
    }
    this->fold_offset = records->first + records->records->len;
    note_current(this);
}

static void
log_epoch(const Lease_t *this)
{
    Log_begin(LOG_LEVEL_INFO, "lease_epoch_begun");
    Log_text("scope", this->scope->str);
    Log_number("epoch", (gint64)this->epoch);
    Log_number("number", (gint64)this->number);
    Log_number("left_ms", this->number != 0 ? left_ms(this) : 0);
    Log_end();
}

/* A lease whose record was lost is still ours: nobody takes one before all
 * that may have been granted is over. One that is over may have been followed
 * by another that was lost with it. */
static void
begin_epoch(Lease_t *this, guint64 epoch)
{
    gboolean is_return = this->epoch_ms > 0;
    this->epoch = epoch;
    this->epoch_ms = StoreEpoch_sinceMs(this->spec.epoch);
    this->fold_offset = 0;
    this->caught_up = FALSE;
    this->heard_ms = 0;
    this->seen_number = 0;
    this->sent_ms = 0;
    LeaseTable_beginEpoch(this->table, epoch);
    if (is_return) {
        log_epoch(this);
    }
    if (this->number != 0 && left_ms(this) == 0) {
        lose(this);
    }
}

/* What was known may have been followed by records that are gone. */
static void
begin_anew(Lease_t *this, guint64 start)
{
    Log_begin(LOG_LEVEL_INFO, "lease_records_gone");
    Log_text("scope", this->scope->str);
    Log_number("fold_offset", (gint64)this->fold_offset);
    Log_number("start", (gint64)start);
    Log_end();
    this->fold_offset = start;
    this->caught_up = FALSE;
    LeaseTable_setUnsure(this->table);
    note_current(this);
}

static void
note_failed(Lease_t *this)
{
    guint32 mean_ms = RETRY_MS << MIN(this->failures, RETRY_DOUBLINGS);
    this->caught_up = FALSE;
    this->failures++;
    Clock_arm(this->retry, mean_ms / 2 + Random_below(mean_ms));
}

/* What was asked for in an epoch says nothing of another one, but for the
 * first read of all, which began at the start.
 *
 * Return: whether the records are still of use
 */
static gboolean
take_epoch(Lease_t *this, guint64 epoch)
{
    gboolean is_first = this->epoch_ms == 0;
    if (is_first || epoch != this->epoch) {
        begin_epoch(this, epoch);
        return is_first;
    }
    return TRUE;
}

static void
on_read(const LogRecords_t *records, const GError *error, void *data)
{
    Lease_t *this = data;
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
        note_failed(this);
        return;
    }
    this->failures = 0;
    fold_records(this, records);
    this->caught_up = this->fold_offset >= records->head;
    read_next(this);
}

static StoreCause_t
read_cause(const Lease_t *this)
{
    if (this->failures > 0) {
        return STORE_RETRY;
    }
    return this->caught_up ? STORE_FOLLOW : STORE_START;
}

/* Who neither wants nor follows the lease need not read the stream. */
static void
read_next(Lease_t *this)
{
    this->reading = this->wanted || this->followed || this->number != 0;
    if (!this->reading) {
        this->caught_up = FALSE;
        return;
    }
    StoreCalls_note(this->spec.counters, STREAM, read_cause(this));
    LogClient_read(this->spec.log, STREAM, this->fold_offset,
                   this->caught_up ? this->spec.poll_ms : 0, on_read, this);
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
    return this->number != 0 ? STORE_RENEW : STORE_TAKE;
}

static void
append(Lease_t *this, guint64 expects, gint64 duration_ms)
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
    record.over = LeaseTable_over(this->table);
    gsize size = wt__lease_record__get_packed_size(&record);
    guint8 *bytes = g_malloc(size);
    wt__lease_record__pack(&record, bytes);
    GBytes *packed = g_bytes_new_take(bytes, size);
    /* A second try for the same number keeps the first one's time, as either
     * of the two records may be the one that lands. */
    if (this->sent_expects != expects || this->sent_ms == 0) {
        this->sent_ms = Clock_nowMs();
        this->sent_expects = expects;
    }
    this->append_open = TRUE;
    LogClient_append(this->spec.log, STREAM, packed, on_appended, this);
    g_bytes_unref(packed);
}

/* Where there is no lease, one may have been lost with the end of the epoch
 * before. */
static gboolean
is_waited_out(const Lease_t *this, const LeaseEntry_t *entry)
{
    gint64 from_ms = entry ? this->seen_ms : this->epoch_ms;
    gint64 lasts_ms = entry ? entry->duration_ms : this->spec.duration_ms;
    return Clock_nowMs() - from_ms >=
           lasts_ms + margin_of(lasts_ms) + this->patience_ms;
}

/* A holder renews several times in its lease; a stream that has been silent
 * for a few leases has none. */
static gboolean
is_sure(Lease_t *this)
{
    if (!LeaseTable_isUnsure(this->table, this->scope->str)) {
        return TRUE;
    }
    if (this->heard_ms > 0 && Clock_nowMs() - this->heard_ms <
                                  SILENT_LEASES * this->spec.duration_ms) {
        return FALSE;
    }
    LeaseTable_setSure(this->table, this->fold_offset);
    note_current(this);
    return TRUE;
}

/* What the log has lost of it is written again at once. */
static gboolean
is_to_renew(const Lease_t *this)
{
    gint64 age_ms = Clock_nowMs() - this->began_ms;
    return this->seen_number == 0 || age_ms >= this->spec.duration_ms / 3;
}

static gboolean
is_to_take(const Lease_t *this)
{
    return is_waited_out(this, LeaseTable_find(this->table, this->scope->str));
}

static void
renew_or_take(Lease_t *this)
{
    if (this->number != 0 && this->seen_number == 0 && left_ms(this) == 0) {
        lose(this);
    }
    if (!this->wanted || !this->caught_up || this->append_open ||
        !is_sure(this)) {
        return;
    }
    if (this->number != 0 ? is_to_renew(this) : is_to_take(this)) {
        append(this, this->seen_number, this->spec.duration_ms);
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
    this->seen_ms = Clock_nowMs();
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
Lease_want(Lease_t *this, gboolean wanted, gint64 patience_ms)
{
    this->wanted = wanted;
    this->patience_ms = patience_ms;
    if (wanted && !this->reading) {
        read_next(this);
    }
}

/* A record of no duration follows ours; nobody has to wait it out. */
void
Lease_release(Lease_t *this)
{
    this->wanted = FALSE;
    this->released = TRUE;
    if (this->number != 0 && !this->append_open) {
        log_lease(this, "lease_released", this->number);
        append(this, this->seen_number, 0);
    }
}

void
Lease_follow(Lease_t *this, gboolean followed)
{
    this->followed = followed;
    if (followed && !this->reading) {
        read_next(this);
    }
}

gint64
Lease_remainingMs(const Lease_t *this)
{
    if (this->number == 0 || this->released) {
        return 0;
    }
    return left_ms(this);
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
