#include "RecordFollower.h"

#include <string.h>

#include "Clock.h"
#include "Errors.h"
#include "Log.h"
#include "Random.h"
#include "ReadPace.h"

/* Mean pause after the first failure, doubled with each further failure up to
 * a maximum: routers that all start at once must not exceed the rate of the
 * store. */
#define FIRST_RETRY_MS 100
#define RETRY_MAX_MS 800
/* A follower with a longer maximum begins with longer pauses: this part of the
 * maximum, but no less than FIRST_RETRY_MS. */
#define RETRY_MIN_DIVISOR 8
/* Reaches any maximum without overflow of the shifted pause. */
#define RETRY_DOUBLINGS_MAX 20
/* Consecutive refusals of the first page of a list after which routers retry
 * in turn instead of independently. */
#define UNSCHEDULED_RETRIES 3
/* If a page of a list takes longer, the store is overloaded, and peers are
 * queried in parallel. */
#define PAGE_LATE_MS 300
/* The ages of one end of a topic differ between the peers that send it, as the
 * paths to them differ. An unchanged end is reported again only if it is newer
 * by at least this. */
#define END_ADVANCE_MIN_MS 200
/* A topic that can't be read is told again after this time, and each time
 * after as long again, up to a maximum. */
#define TOLD_AGAIN_MS 1000
#define TOLD_AGAIN_MAX_MS 60000
/* Keys of a topic that are logged as invalid. */
#define INVALID_KEYS_MAX 64

/* The answer to a call is used only while the call is the current one or the
 * open check, or is late and the follower has not begun another list since: a
 * call that was sent before the store was restored from an older copy says
 * nothing about the present records. */
typedef struct {
    RecordFollower_t *owner;
    gint64 sent_ms;
    guint list_step; /* of the follower when the call was sent */
    gboolean is_late;
} FollowerCall_t;

struct RecordFollower {
    RecordFollowerSpec_t spec;
    GString *topic;
    const RecordFollowerEvents_t *events;
    void *owner;
    struct event *timer;
    GHashTable *positions; /* key -> StorePosition_t * of its newest record */
    GHashTable *listed;    /* set of keys in the current list */
    GString *after;        /* last key of the previous page */
    GHashTable *invalid_keys; /* set of GBytes, those that were logged */
    StorePosition_t next;     /* position to read from */
    gboolean listing;
    guint list_step; /* changes with each list and with each page of it */
    gboolean first_page;
    gboolean from_peers; /* the list up to @after came from peers */
    gint64 retry_max_ms;
    GHashTable *calls;                  /* set of open FollowerCall_t */
    const FollowerCall_t *current_call; /* its answer is used */
    const FollowerCall_t *check_call;   /* check of the end */
    guint failed_checks;                /* consecutive failed checks */
    gint64 current_ms;  /* when the end was last known; 0 for never */
    guint failures;     /* consecutive failed calls */
    ReadPace_t pace;    /* of reads, and of lists begun anew */
    gint64 failed_ms;   /* time of the last failure */
    gint64 lost_ms;     /* time of the first of these failures */
    gint64 told_ms;     /* when the log last told of them */
    gboolean timed_out; /* one of these failures was a timeout */
    gboolean is_outage; /* one of these calls can't be answered any more */
};

static void call_store(RecordFollower_t *this);

static void
begin_list(RecordFollower_t *this)
{
    this->listing = TRUE;
    this->list_step++;
    this->first_page = TRUE;
    this->from_peers = FALSE;
    g_string_truncate(this->after, 0);
    g_hash_table_remove_all(this->listed);
}

static gboolean
is_newer(const RecordFollower_t *this, const KeyedRecord_t *record)
{
    const StorePosition_t *known =
        g_hash_table_lookup(this->positions, record->key->str);
    return !known || StorePosition_compare(record->position, *known) > 0;
}

/* Does not log a record that was received again, as this is normal. */
static void
log_older_record(const RecordFollower_t *this, const KeyedRecord_t *record)
{
    const StorePosition_t *known =
        g_hash_table_lookup(this->positions, record->key->str);
    if (StorePosition_compare(record->position, *known) == 0) {
        return;
    }
    Log_begin(LOG_LEVEL_WARNING, "record_passed_over");
    Log_text("topic", this->topic->str);
    Log_text("key", record->key->str);
    Log_number("epoch", (gint64)record->position.epoch);
    Log_number("offset", (gint64)record->position.offset);
    Log_number("known_epoch", (gint64)known->epoch);
    Log_number("known", (gint64)known->offset);
    Log_end();
}

/* Names each such key once, up to a maximum, as its writer may repeat it. */
static void
log_invalid_key(RecordFollower_t *this, const KeyedRecord_t *record)
{
    if (g_hash_table_size(this->invalid_keys) >= INVALID_KEYS_MAX ||
        !g_hash_table_add(this->invalid_keys,
                          g_bytes_new(record->key->str, record->key->len))) {
        return;
    }
    Log_begin(LOG_LEVEL_WARNING, "record_key_invalid");
    Log_text("topic", this->topic->str);
    Log_text("key", record->key->str);
    Log_number("length", (gint64)record->key->len);
    Log_end();
}

static void
apply_record(RecordFollower_t *this, const KeyedRecord_t *record)
{
    if (!KeyedRecord_hasValidKey(record)) {
        log_invalid_key(this, record);
        return;
    }
    if (!is_newer(this, record)) {
        log_older_record(this, record);
        return;
    }
    const char *key = record->key->str;
    if (record->value) {
        g_hash_table_replace(
            this->positions, g_strdup(key),
            g_memdup2(&record->position, sizeof(record->position)));
    }
    else {
        g_hash_table_remove(this->positions, key);
    }
    this->events->record(this->owner, record);
}

/* The record that removed such a key expired before it was read. The removal
 * is reported at the position of the next record, so that peers consider it
 * newer than the record that they know. */
static void
report_removed_keys(RecordFollower_t *this)
{
    GHashTableIter iter;
    gpointer key = NULL;
    g_hash_table_iter_init(&iter, this->positions);
    while (g_hash_table_iter_next(&iter, &key, NULL)) {
        if (!g_hash_table_contains(this->listed, key)) {
            GString name = {.str = key, .len = strlen(key)};
            KeyedRecord_t removed = {.key = &name, .position = this->next};
            this->events->record(this->owner, &removed);
            g_hash_table_iter_remove(&iter);
        }
    }
}

static void
apply_list_page(RecordFollower_t *this, const KeyedPage_t *page)
{
    this->list_step++;
    if (this->first_page) {
        this->next = page->end;
        this->first_page = FALSE;
    }
    for (guint i = 0; i < page->records->len; i++) {
        const KeyedRecord_t *record = g_ptr_array_index(page->records, i);
        g_hash_table_add(this->listed, g_strdup(record->key->str));
        g_string_truncate(this->after, 0);
        g_string_append_len(this->after, record->key->str,
                            (gssize)record->key->len);
        apply_record(this, record);
    }
    if (!page->more) {
        this->listing = FALSE;
        report_removed_keys(this);
    }
}

/* An answer may arrive after a peer has sent a later time. */
static void
note_current(RecordFollower_t *this, gint64 at_ms)
{
    if (at_ms >= this->current_ms) {
        this->current_ms = at_ms;
        this->events->current(this->owner, this->next, at_ms);
    }
}

static gint64
pause_left_ms(const RecordFollower_t *this)
{
    return MAX(this->current_ms + this->spec.pause_ms - Clock_nowMs(), 0);
}

/* Skips records before the next position, which another answer or a peer has
 * delivered meanwhile. Offsets of a topic have no gaps, so the next position
 * follows from the last record. */
static void
apply_tail(RecordFollower_t *this, const KeyedPage_t *page)
{
    for (guint i = 0; i < page->records->len; i++) {
        const KeyedRecord_t *record = g_ptr_array_index(page->records, i);
        if (StorePosition_compare(record->position, this->next) >= 0) {
            this->next = StorePosition_plus(record->position, 1);
            apply_record(this, record);
        }
    }
}

static void
end_failures(RecordFollower_t *this, const char *by)
{
    this->failures = 0;
    this->timed_out = FALSE;
    this->is_outage = FALSE;
    Log_begin(LOG_LEVEL_WARNING, "topic_regained");
    Log_text("topic", this->topic->str);
    Log_text("by", by);
    Log_end();
}

static void
note_success(RecordFollower_t *this)
{
    if (this->failures > 0) {
        end_failures(this, "answer");
        if (this->events->restored) {
            this->events->restored(this->owner);
        }
    }
}

/* If a peer has read the topic after this router failed to, the outage is over
 * as far as records are concerned, and removals that the peer sends are not
 * attributed to the outage. The peer reports its own outages itself. */
static void
note_peer_records(RecordFollower_t *this, gint64 at_ms)
{
    if (this->failures > 0 && at_ms > this->failed_ms) {
        end_failures(this, "peer");
    }
}

static void
log_failure(RecordFollower_t *this, const char *event, const GError *error)
{
    this->told_ms = this->failed_ms;
    Log_begin(LOG_LEVEL_WARNING, event);
    Log_text("topic", this->topic->str);
    Log_text("call", this->listing ? "list" : "read");
    Log_text("reason", error->message);
    Log_number("lost_ms", this->failed_ms - this->lost_ms);
    Log_number("failures", this->failures);
    Log_end();
}

static gboolean
is_to_be_told_again(const RecordFollower_t *this)
{
    gint64 pause_ms =
        CLAMP(this->told_ms - this->lost_ms, TOLD_AGAIN_MS, TOLD_AGAIN_MAX_MS);
    return this->failed_ms - this->told_ms >= pause_ms;
}

static void
note_failed(RecordFollower_t *this, const GError *error)
{
    gboolean is_late = g_error_matches(error, WT_ERROR, WT_ERROR_LATE);
    this->failures++;
    this->timed_out = this->timed_out || is_late ||
                      g_error_matches(error, WT_ERROR, WT_ERROR_TIMEOUT);
    this->is_outage = this->is_outage || !is_late;
    this->failed_ms = Clock_nowMs();
    if (this->failures == 1) {
        this->lost_ms = this->failed_ms;
        log_failure(this, "topic_lost", error);
        if (this->events->lost) {
            this->events->lost(this->owner, error);
        }
    }
    else if (is_to_be_told_again(this)) {
        log_failure(this, "topic_unread", error);
    }
    guint doublings = MIN(this->failures - 1, RETRY_DOUBLINGS_MAX);
    gint64 min_ms = this->retry_max_ms / RETRY_MIN_DIVISOR;
    gint64 mean_ms =
        CLAMP(FIRST_RETRY_MS << doublings, min_ms, this->retry_max_ms);
    gint64 pause_ms = mean_ms / 2 + Random_below((guint32)mean_ms);
    /* Records from peers postpone the next call like an answer does. */
    Clock_arm(this->timer, MAX(pause_ms, pause_left_ms(this)));
}

/* A refusal costs the store next to nothing, and the next call may succeed. A
 * call that timed out costs the store as much as one that was answered, and
 * shows that calls are queued. */
static gboolean
may_retry_unscheduled(const RecordFollower_t *this)
{
    return !this->timed_out && this->failures <= UNSCHEDULED_RETRIES;
}

/* All routers read the first page of a list from the store at once, as a list
 * of one page takes a single call. */
static gint64
store_delay_ms(const RecordFollower_t *this)
{
    gboolean list_begun = !this->first_page || this->from_peers;
    gboolean reads_first_page =
        this->listing && !list_begun && may_retry_unscheduled(this);
    if (reads_first_page || !this->events->wait_ms) {
        return 0;
    }
    return this->events->wait_ms(this->owner, this->listing && list_begun);
}

static void
schedule_next_call(RecordFollower_t *this, gboolean at_end, gint64 pace_ms)
{
    gint64 pause_ms = at_end ? pause_left_ms(this) : 0;
    Clock_arm(this->timer, MAX(pause_ms, pace_ms));
}

static void
restart_list(RecordFollower_t *this)
{
    Log_begin(LOG_LEVEL_WARNING, "topic_listed_anew");
    Log_text("topic", this->topic->str);
    Log_number("epoch", (gint64)this->next.epoch);
    Log_number("next", (gint64)this->next.offset);
    Log_end();
    if (this->events->expired) {
        this->events->expired(this->owner);
    }
    begin_list(this);
    gint64 pace_ms = ReadPace_pauseMs(&this->pace, FALSE, Clock_nowMs());
    if (pace_ms > 0) {
        Clock_arm(this->timer, pace_ms);
        return;
    }
    call_store(this);
}

static gboolean
is_at_end(const RecordFollower_t *this, const KeyedPage_t *page)
{
    return !this->listing && StorePosition_compare(this->next, page->end) >= 0;
}

/* Returns whether all records of the topic are known now. */
static gboolean
apply_read_page(RecordFollower_t *this, const KeyedPage_t *page,
                gint64 sent_ms)
{
    apply_tail(this, page);
    gboolean at_end = is_at_end(this, page);
    if (at_end) {
        note_current(this, sent_ms);
    }
    return at_end;
}

/* Whether the next page of the list would be this one again. */
static gboolean
repeats_page(const RecordFollower_t *this, const KeyedPage_t *page)
{
    const KeyedRecord_t *last =
        page->records->len > 0
            ? g_ptr_array_index(page->records, page->records->len - 1)
            : NULL;
    return this->listing && page->more &&
           (!last ||
            (!this->first_page && g_string_equal(last->key, this->after)));
}

static void
fail_repeated_page(RecordFollower_t *this)
{
    g_autoptr(GError) error = g_error_new_literal(
        WT_ERROR, WT_ERROR_BAD_ANSWER, "a page of the list repeats the last");
    begin_list(this);
    note_failed(this, error);
}

static void
apply_followed_page(RecordFollower_t *this, const KeyedPage_t *page,
                    gint64 sent_ms)
{
    gboolean at_end = apply_read_page(this, page, sent_ms);
    gboolean is_end = at_end && this->pace.wait_ms == 0;
    gint64 pace_ms = ReadPace_pauseMs(
        &this->pace, page->records->len > 0 || is_end, Clock_nowMs());
    schedule_next_call(this, at_end, pace_ms);
}

static void
apply_page(RecordFollower_t *this, const KeyedPage_t *page, gint64 sent_ms)
{
    if (!this->listing) {
        apply_followed_page(this, page, sent_ms);
        return;
    }
    apply_list_page(this, page);
    gboolean at_end = is_at_end(this, page);
    if (at_end) {
        note_current(this, sent_ms);
    }
    schedule_next_call(this, at_end, 0);
}

static FollowerCall_t *
open_call(RecordFollower_t *this)
{
    FollowerCall_t *call = g_new0(FollowerCall_t, 1);
    call->owner = this;
    call->sent_ms = Clock_nowMs();
    call->list_step = this->list_step;
    g_hash_table_add(this->calls, call);
    return call;
}

/* A late answer shows that the store is slow and not down, so that removals
 * that it brings are not attributed to an outage. */
static void
note_late_answer(RecordFollower_t *this)
{
    if (this->is_outage) {
        note_success(this);
    }
    else if (this->failures > 0) {
        end_failures(this, "late_answer");
    }
}

/* The call that was made since, if any, remains open, unless it asks for the
 * same page of a list. */
static void
apply_late_page(RecordFollower_t *this, const FollowerCall_t *call,
                const KeyedPage_t *page)
{
    if (!page || call->list_step != this->list_step ||
        repeats_page(this, page)) {
        return;
    }
    note_late_answer(this);
    if (this->listing) {
        this->current_call = NULL;
    }
    if (this->current_call) {
        apply_read_page(this, page, call->sent_ms);
    }
    else {
        apply_page(this, page, call->sent_ms);
    }
}

/* Returns whether the call is reported as late now, and remains open. */
static gboolean
note_late(FollowerCall_t *call, const GError *error)
{
    call->is_late =
        call->is_late || g_error_matches(error, WT_ERROR, WT_ERROR_LATE);
    return g_error_matches(error, WT_ERROR, WT_ERROR_LATE);
}

static void
on_page(const KeyedPage_t *page, const GError *error, void *data)
{
    FollowerCall_t *call = data;
    RecordFollower_t *this = call->owner;
    FollowerCall_t ended = *call;
    gboolean is_expected = call == this->current_call;
    gint64 sent_ms = call->sent_ms;
    if (!note_late(call, error)) {
        g_hash_table_remove(this->calls, call);
    }
    if (ended.is_late) {
        apply_late_page(this, &ended, page);
        return;
    }
    if (!is_expected) {
        return;
    }
    this->current_call = NULL;
    if (g_error_matches(error, WT_ERROR, WT_ERROR_TRUNCATED)) {
        restart_list(this);
        return;
    }
    if (!page) {
        note_failed(this, error);
        return;
    }
    if (repeats_page(this, page)) {
        fail_repeated_page(this);
        return;
    }
    note_success(this);
    apply_page(this, page, sent_ms);
}

static StoreCause_t
call_cause(const RecordFollower_t *this)
{
    if (this->failures > 0) {
        return STORE_RETRY;
    }
    if (this->listing) {
        return this->first_page ? STORE_START : STORE_MORE;
    }
    return STORE_FOLLOW;
}

static void
call_store(RecordFollower_t *this)
{
    if (this->listing && this->from_peers) {
        begin_list(this); /* the order of keys may differ in the store */
    }
    StoreCalls_note(this->spec.counters, this->topic->str, call_cause(this));
    FollowerCall_t *call = open_call(this);
    this->current_call = call;
    if (this->listing) {
        const GString *after = this->after->len > 0 ? this->after : NULL;
        ReadPace_noteSent(&this->pace, 0, call->sent_ms);
        RecordSource_list(this->spec.source, this->topic->str, after, on_page,
                          call);
        return;
    }
    /* After a failure the store must answer at once, to show that it is back;
     * also if the end has not been known for long, as peers wait for it. */
    gint64 age_ms = call->sent_ms - this->current_ms;
    gboolean at_once = this->failures > 0 || age_ms > 2 * this->spec.wait_ms;
    gint64 wait_ms = at_once ? 0 : this->spec.wait_ms;
    ReadPace_noteSent(&this->pace, wait_ms, call->sent_ms);
    RecordSource_read(this->spec.source, this->topic->str, this->next.offset,
                      wait_ms, on_page, call);
}

static void
on_timer(evutil_socket_t fd, short what, void *data)
{
    (void)fd;
    (void)what;
    RecordFollower_t *this = data;
    gint64 left_ms = store_delay_ms(this);
    if (left_ms > 0) {
        Clock_arm(this->timer, left_ms);
        return;
    }
    call_store(this);
}

RecordFollower_t *
RecordFollower_create(struct event_base *base,
                      const RecordFollowerSpec_t *spec,
                      const RecordFollowerEvents_t *events, void *owner)
{
    RecordFollower_t *this = g_new0(RecordFollower_t, 1);
    this->spec = *spec;
    this->topic = g_string_new(spec->topic);
    this->events = events;
    this->owner = owner;
    this->timer = Clock_timer(base, on_timer, this);
    this->calls =
        g_hash_table_new_full(g_direct_hash, g_direct_equal, g_free, NULL);
    this->positions =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    this->listed =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    this->after = g_string_new(NULL);
    this->invalid_keys = g_hash_table_new_full(
        g_bytes_hash, g_bytes_equal, (GDestroyNotify)g_bytes_unref, NULL);
    this->retry_max_ms = RETRY_MAX_MS;
    begin_list(this);
    Clock_arm(this->timer, 0);
    return this;
}

void
RecordFollower_destroy(RecordFollower_t *this)
{
    event_free(this->timer);
    g_hash_table_destroy(this->calls);
    g_hash_table_destroy(this->positions);
    g_hash_table_destroy(this->listed);
    g_hash_table_destroy(this->invalid_keys);
    g_string_free(this->after, TRUE);
    g_string_free(this->topic, TRUE);
    g_free(this);
}

/* The next read of this router may be a long pause away, and no peer can send
 * records that have expired. Without a new list every router used old state,
 * and then none, until its own pause was over. A call that is open will report
 * the expiry itself. */
static void
relist_expired(RecordFollower_t *this)
{
    if (this->listing || this->current_call) {
        return;
    }
    evtimer_del(this->timer);
    restart_list(this);
}

static void
on_check_answer(const KeyedPage_t *page, const GError *error, void *data)
{
    FollowerCall_t *call = data;
    RecordFollower_t *this = call->owner;
    FollowerCall_t ended = *call;
    gboolean is_expected = call == this->check_call;
    if (!note_late(call, error)) {
        g_hash_table_remove(this->calls, call);
    }
    if (ended.is_late) {
        this->failed_checks = page ? 0 : this->failed_checks;
        apply_late_page(this, &ended, page);
        return;
    }
    if (!is_expected) {
        return;
    }
    this->check_call = NULL;
    if (g_error_matches(error, WT_ERROR, WT_ERROR_TRUNCATED)) {
        relist_expired(this);
        return;
    }
    this->failed_checks = page ? 0 : this->failed_checks + 1;
    if (!page || this->listing) {
        return;
    }
    apply_read_page(this, page, ended.sent_ms);
}

/* Reads from the store at once if records are missing before those of a peer
 * and the owner does not fetch them. The pause of this router may be as long
 * as the time after which an upstream that leaves must get no new requests. */
static void
fill_gap(RecordFollower_t *this, guint64 from)
{
    if (from <= this->next.offset ||
        (this->events->gap && this->events->gap(this->owner))) {
        return;
    }
    if (!this->current_call && this->failures == 0) {
        Clock_arm(this->timer, 0);
    }
}

gboolean
RecordFollower_applyPeerRecords(RecordFollower_t *this, guint64 from,
                                const KeyedPage_t *page, gint64 at_ms)
{
    gint end_order = StorePosition_compare(page->end, this->next);
    if (this->listing || page->end.epoch != this->next.epoch ||
        end_order < 0 ||
        (end_order == 0 && at_ms < this->current_ms + END_ADVANCE_MIN_MS)) {
        return FALSE;
    }
    if (from > this->next.offset) {
        fill_gap(this, from);
        return FALSE;
    }
    note_peer_records(this, at_ms);
    apply_tail(this, page);
    this->next = page->end;
    /* Ages grow in transit, so new records may seem older than an end that was
     * known before them. */
    note_current(this, MAX(at_ms, this->current_ms));
    if (!this->current_call) {
        gint64 left_ms = pause_left_ms(this);
        gboolean peer_has_more = at_ms == 0 && this->events->gap;
        Clock_arm(this->timer, peer_has_more ? this->spec.pause_ms : left_ms);
    }
    return TRUE;
}

static gboolean
is_call_late(const RecordFollower_t *this)
{
    return this->current_call &&
           Clock_nowMs() - this->current_call->sent_ms >= PAGE_LATE_MS;
}

gboolean
RecordFollower_wantsListPage(const RecordFollower_t *this, ListCursor_t *out)
{
    gboolean awaits_peers =
        !this->current_call && (!this->first_page || this->from_peers);
    gboolean peers_may_help =
        awaits_peers || this->failures > 0 || is_call_late(this);
    if (!this->listing || !peers_may_help) {
        return FALSE;
    }
    *out = (ListCursor_t){.after = ""};
    if (this->from_peers) {
        out->after = this->after->str;
        out->from = this->next;
    }
    return TRUE;
}

void
RecordFollower_restartPeerList(RecordFollower_t *this)
{
    if (this->listing && this->from_peers) {
        begin_list(this);
        this->from_peers = TRUE;
    }
}

/* A peer that was cut off has an outdated list, which would restore keys that
 * were removed since and are no longer known here. */
static gboolean
is_next_list_page(const RecordFollower_t *this, const ListCursor_t *cursor,
                  const ListPage_t *list_page)
{
    if (!this->listing ||
        StorePosition_compare(list_page->page.end, this->next) < 0 ||
        (list_page->page.more &&
         strcmp(list_page->reached, cursor->after) <= 0)) {
        return FALSE;
    }
    if (*cursor->after == '\0') {
        return !this->from_peers || this->after->len == 0;
    }
    return this->from_peers && strcmp(cursor->after, this->after->str) == 0 &&
           StorePosition_compare(cursor->from, this->next) == 0;
}

static void
apply_list_records(RecordFollower_t *this, const KeyedPage_t *page)
{
    for (guint i = 0; i < page->records->len; i++) {
        const KeyedRecord_t *record = g_ptr_array_index(page->records, i);
        if (record->value) {
            g_hash_table_add(this->listed, g_strdup(record->key->str));
        }
        else {
            g_hash_table_remove(this->listed, record->key->str);
        }
        apply_record(this, record);
    }
}

static void
finish_peer_list(RecordFollower_t *this, gint64 at_ms)
{
    this->listing = FALSE;
    report_removed_keys(this);
    note_current(this, MAX(at_ms, this->current_ms));
    Clock_arm(this->timer, pause_left_ms(this));
}

/* The answer to a call to the store that is still open is ignored, as it
 * continues the store's list and not that of the peers. */
gboolean
RecordFollower_applyPeerListPage(RecordFollower_t *this,
                                 const ListCursor_t *cursor,
                                 const ListPage_t *list_page, gint64 at_ms)
{
    if (!is_next_list_page(this, cursor, list_page)) {
        return FALSE;
    }
    this->current_call = NULL;
    if (!this->from_peers) {
        begin_list(this);
        this->from_peers = TRUE;
    }
    note_peer_records(this, at_ms);
    apply_list_records(this, &list_page->page);
    this->next = list_page->page.end;
    this->first_page = FALSE;
    if (list_page->page.more) {
        g_string_assign(this->after, list_page->reached);
        Clock_arm(this->timer, 0);
    }
    else {
        finish_peer_list(this, at_ms);
    }
    return TRUE;
}

gboolean
RecordFollower_checkEnd(RecordFollower_t *this, StoreCause_t cause)
{
    if (this->check_call || this->listing) {
        return FALSE;
    }
    StoreCalls_note(this->spec.counters, this->topic->str, cause);
    FollowerCall_t *call = open_call(this);
    this->check_call = call;
    RecordSource_read(this->spec.source, this->topic->str, this->next.offset,
                      0, on_check_answer, call);
    return TRUE;
}

gboolean
RecordFollower_isReading(const RecordFollower_t *this)
{
    return this->check_call || (this->current_call && !this->listing);
}

guint
RecordFollower_failedChecks(const RecordFollower_t *this)
{
    return this->failed_checks;
}

/* Whether the follower waits for its next read without an open call.
 * The pause may have been chosen for the previous role of this router. */
static gboolean
is_idle(const RecordFollower_t *this)
{
    return !this->current_call && !this->listing && this->failures == 0;
}

void
RecordFollower_setReadTiming(RecordFollower_t *this, gint64 wait_ms,
                             gint64 pause_ms, gint64 retry_max_ms)
{
    gboolean is_shorter = pause_ms < this->spec.pause_ms;
    this->spec.wait_ms = wait_ms;
    this->spec.pause_ms = pause_ms;
    this->retry_max_ms = retry_max_ms > 0 ? retry_max_ms : RETRY_MAX_MS;
    if (is_shorter && is_idle(this)) {
        Clock_arm(this->timer, pause_left_ms(this));
    }
}

/* Open calls are dropped: their answers belong to the previous epoch, and the
 * store may hold a read for long. */
void
RecordFollower_beginEpoch(RecordFollower_t *this, gint64 after_ms)
{
    this->current_call = NULL;
    this->check_call = NULL;
    begin_list(this);
    Clock_arm(this->timer, after_ms);
}

StorePosition_t
RecordFollower_position(const RecordFollower_t *this)
{
    StorePosition_t none = {0};
    return this->listing ? none : this->next;
}

gboolean
RecordFollower_isListing(const RecordFollower_t *this)
{
    return this->listing;
}

gboolean
RecordFollower_isLost(const RecordFollower_t *this)
{
    return this->failures > 0;
}
