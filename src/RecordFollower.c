#include "RecordFollower.h"

#include <string.h>

#include "Clock.h"
#include "Errors.h"
#include "Log.h"
#include "Random.h"

/* First pause after a failure, doubled with each further one up to the most:
 * a herd of routers that starts at once must not outrun the store's rate. */
#define FIRST_RETRY_MS 100
#define RETRY_MOST_MS 800
/* Who may pause for longer begins with longer pauses: of the longest one, and
 * not below the first. */
#define RETRY_PARTS 8
/* Enough for any longest pause, and few enough to shift by. */
#define RETRY_DOUBLINGS_MOST 20
/* Refusals in a row of the first page of a list after which routers take
 * turns.
 */
#define FREE_RETRIES 3
/* A page of a list that takes longer comes from a store that has too much to
 * do: peers are asked beside it. */
#define LATE_MS 300
/* The same end of a topic, told by several peers, has ages that differ by the
 * ways that it came: only one that is newer by so much is passed on. */
#define NEWS_LEAST_MS 200

/* Its answer counts only while it is the one that is waited for: what was
 * asked before the store came back older says nothing of what is there now. */
typedef struct {
    RecordFollower_t *owner;
    gint64 sent_ms;
} FollowerCall_t;

struct RecordFollower {
    RecordFollowerSpec_t spec;
    GString *topic;
    const RecordFollowerEvents_t *events;
    void *owner;
    struct event *timer;
    GHashTable *positions; /* key -> StorePosition_t *, of its newest record */
    GHashTable *listed;    /* set of keys seen in the list under way */
    GString *after;        /* last key of the page before */
    StorePosition_t next;  /* to read from */
    gboolean listing;
    gboolean first_page;
    gboolean from_peers; /* what is listed up to @after came from peers */
    gint64 retry_most_ms;
    GHashTable *calls;             /* set of FollowerCall_t that are open */
    const FollowerCall_t *calling; /* the one that counts, or NULL */
    const FollowerCall_t *asking;  /* a question beside it, or NULL */
    guint unanswered;              /* questions in a row that failed */
    gint64 current_ms;  /* when the end was last known, 0 for never */
    guint failures;     /* in a row */
    gint64 failed_ms;   /* when the last of them was */
    gboolean timed_out; /* one of them was an answer that came too late */
};

static void call(RecordFollower_t *this);

static void
begin_list(RecordFollower_t *this)
{
    this->listing = TRUE;
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

/* The same record comes more than once as a matter of course. */
static void
log_passed_over(const RecordFollower_t *this, const KeyedRecord_t *record)
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

static void
take_record(RecordFollower_t *this, const KeyedRecord_t *record)
{
    if (!is_newer(this, record)) {
        log_passed_over(this, record);
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

/* A removal that fell into the gap was never read; it is told as if it were
 * the next record, so that peers take it for newer than what they know. */
static void
tell_removed(RecordFollower_t *this)
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
take_list(RecordFollower_t *this, const KeyedPage_t *page)
{
    if (this->first_page) {
        this->next = page->end;
        this->first_page = FALSE;
    }
    for (guint i = 0; i < page->records->len; i++) {
        const KeyedRecord_t *record = g_ptr_array_index(page->records, i);
        g_hash_table_add(this->listed, g_strdup(record->key->str));
        g_string_assign(this->after, record->key->str);
        take_record(this, record);
    }
    if (!page->more) {
        this->listing = FALSE;
        tell_removed(this);
    }
}

/* An answer may come after a peer has told of a later time. */
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

/* Records before the next one were told by another answer or by a peer
 * meanwhile. Offsets of a topic have no gaps, so the last one tells where to
 * go on. */
static void
take_tail(RecordFollower_t *this, const KeyedPage_t *page)
{
    for (guint i = 0; i < page->records->len; i++) {
        const KeyedRecord_t *record = g_ptr_array_index(page->records, i);
        if (StorePosition_compare(record->position, this->next) >= 0) {
            this->next = StorePosition_plus(record->position, 1);
            take_record(this, record);
        }
    }
}

static void
end_failures(RecordFollower_t *this, const char *by)
{
    this->failures = 0;
    this->timed_out = FALSE;
    Log_begin(LOG_LEVEL_WARNING, "topic_regained");
    Log_text("topic", this->topic->str);
    Log_text("by", by);
    Log_end();
}

static void
note_good(RecordFollower_t *this)
{
    if (this->failures > 0) {
        end_failures(this, "answer");
        if (this->events->regained) {
            this->events->regained(this->owner);
        }
    }
}

/* A peer has read the topic after this router failed to: for the records it
 * is not lost any more, and what is removed there is gone. The peer tells of
 * an outage of its own by itself. */
static void
note_fed(RecordFollower_t *this, gint64 at_ms)
{
    if (this->failures > 0 && at_ms > this->failed_ms) {
        end_failures(this, "peer");
    }
}

static void
note_failed(RecordFollower_t *this, const GError *error)
{
    this->failures++;
    this->timed_out =
        this->timed_out || g_error_matches(error, WT_ERROR, WT_ERROR_TIMEOUT);
    this->failed_ms = Clock_nowMs();
    if (this->failures == 1) {
        Log_begin(LOG_LEVEL_WARNING, "topic_lost");
        Log_text("topic", this->topic->str);
        Log_text("reason", error->message);
        Log_end();
        if (this->events->lost) {
            this->events->lost(this->owner, error);
        }
    }
    guint doublings = MIN(this->failures - 1, RETRY_DOUBLINGS_MOST);
    gint64 least = this->retry_most_ms / RETRY_PARTS;
    gint64 most =
        CLAMP(FIRST_RETRY_MS << doublings, least, this->retry_most_ms);
    gint64 pause_ms = most / 2 + Random_below((guint32)most);
    /* What peers have told is as good as an answer. */
    Clock_arm(this->timer, MAX(pause_ms, pause_left_ms(this)));
}

/* A refusal costs the store next to nothing and may be over at once; an answer
 * that came too late has cost all of it, and shows that there is a queue. */
static gboolean
may_try_again(const RecordFollower_t *this)
{
    return !this->timed_out && this->failures <= FREE_RETRIES;
}

/* A list of one page is read by all: it takes a call. */
static gint64
wait_ms(const RecordFollower_t *this)
{
    gboolean begun = !this->first_page || this->from_peers;
    gboolean first = this->listing && !begun && may_try_again(this);
    if (first || !this->events->wait_ms) {
        return 0;
    }
    return this->events->wait_ms(this->owner, this->listing && begun);
}

static void
go_on(RecordFollower_t *this, gboolean at_end)
{
    Clock_arm(this->timer, at_end ? pause_left_ms(this) : 0);
}

static void
list_anew(RecordFollower_t *this)
{
    Log_begin(LOG_LEVEL_WARNING, "topic_listed_anew");
    Log_text("topic", this->topic->str);
    Log_number("epoch", (gint64)this->next.epoch);
    Log_number("next", (gint64)this->next.offset);
    Log_end();
    begin_list(this);
    call(this);
}

static gboolean
is_at_end(const RecordFollower_t *this, const KeyedPage_t *page)
{
    return !this->listing && StorePosition_compare(this->next, page->end) >= 0;
}

static void
take_page(RecordFollower_t *this, const KeyedPage_t *page, gint64 sent_ms)
{
    if (this->listing) {
        take_list(this, page);
    }
    else {
        take_tail(this, page);
    }
    gboolean at_end = is_at_end(this, page);
    if (at_end) {
        note_current(this, sent_ms);
    }
    go_on(this, at_end);
}

static FollowerCall_t *
open_call(RecordFollower_t *this)
{
    FollowerCall_t *opened = g_new0(FollowerCall_t, 1);
    opened->owner = this;
    opened->sent_ms = Clock_nowMs();
    g_hash_table_add(this->calls, opened);
    return opened;
}

static void
on_page(const KeyedPage_t *page, const GError *error, void *data)
{
    const FollowerCall_t *ended = data;
    RecordFollower_t *this = ended->owner;
    gint64 sent_ms = ended->sent_ms;
    gboolean counts = ended == this->calling;
    g_hash_table_remove(this->calls, ended);
    if (!counts) {
        return;
    }
    this->calling = NULL;
    if (g_error_matches(error, WT_ERROR, WT_ERROR_TRUNCATED)) {
        list_anew(this);
        return;
    }
    if (!page) {
        note_failed(this, error);
        return;
    }
    note_good(this);
    take_page(this, page, sent_ms);
}

static StoreCause_t
cause_of(const RecordFollower_t *this)
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
call(RecordFollower_t *this)
{
    if (this->listing && this->from_peers) {
        begin_list(this); /* the store may have another order of keys */
    }
    StoreCalls_note(this->spec.counters, this->topic->str, cause_of(this));
    FollowerCall_t *opened = open_call(this);
    this->calling = opened;
    if (this->listing) {
        const char *after = this->after->len > 0 ? this->after->str : NULL;
        RecordSource_list(this->spec.source, this->topic->str, after, on_page,
                          opened);
        return;
    }
    /* After a failure the answer must come at once, to tell of the return, and
     * where the end was not known for long, as others wait for it. */
    gint64 age_ms = opened->sent_ms - this->current_ms;
    gboolean now = this->failures > 0 || age_ms > 2 * this->spec.wait_ms;
    gint64 wait_ms = now ? 0 : this->spec.wait_ms;
    RecordSource_read(this->spec.source, this->topic->str, this->next.offset,
                      wait_ms, on_page, opened);
}

static void
on_timer(evutil_socket_t fd, short what, void *data)
{
    (void)fd;
    (void)what;
    RecordFollower_t *this = data;
    gint64 left_ms = wait_ms(this);
    if (left_ms > 0) {
        Clock_arm(this->timer, left_ms);
        return;
    }
    call(this);
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
    this->retry_most_ms = RETRY_MOST_MS;
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
    g_string_free(this->after, TRUE);
    g_string_free(this->topic, TRUE);
    g_free(this);
}

/* Its own next read may be a long pause away, and no peer can tell what has
 * expired: without this every router answered from old state, and then from
 * none, until its own pause was over. A call under way learns it by itself. */
static void
note_expired(RecordFollower_t *this)
{
    if (this->listing || this->calling) {
        return;
    }
    evtimer_del(this->timer);
    list_anew(this);
}

static void
on_asked(const KeyedPage_t *page, const GError *error, void *data)
{
    const FollowerCall_t *ended = data;
    RecordFollower_t *this = ended->owner;
    gint64 sent_ms = ended->sent_ms;
    gboolean counts = ended == this->asking;
    g_hash_table_remove(this->calls, ended);
    if (!counts) {
        return;
    }
    this->asking = NULL;
    if (g_error_matches(error, WT_ERROR, WT_ERROR_TRUNCATED)) {
        note_expired(this);
        return;
    }
    this->unanswered = page ? 0 : this->unanswered + 1;
    if (!page || this->listing) {
        return;
    }
    take_tail(this, page);
    if (is_at_end(this, page)) {
        note_current(this, sent_ms);
    }
}

/* Records are missing before what a peer tells. Its own pause may be as long
 * as the time in which an upstream that leaves must get no new work. */
static void
read_gap(RecordFollower_t *this, guint64 from)
{
    if (from <= this->next.offset ||
        (this->events->gap && this->events->gap(this->owner))) {
        return;
    }
    if (!this->calling && this->failures == 0) {
        Clock_arm(this->timer, 0);
    }
}

gboolean
RecordFollower_feed(RecordFollower_t *this, guint64 from,
                    const KeyedPage_t *page, gint64 at_ms)
{
    gint ahead = StorePosition_compare(page->end, this->next);
    if (this->listing || page->end.epoch != this->next.epoch || ahead < 0 ||
        (ahead == 0 && at_ms < this->current_ms + NEWS_LEAST_MS)) {
        return FALSE;
    }
    if (from > this->next.offset) {
        read_gap(this, from);
        return FALSE;
    }
    note_fed(this, at_ms);
    take_tail(this, page);
    this->next = page->end;
    /* An age grows on its way, so that records that are new here may seem
     * older than an end that was known before them. */
    note_current(this, MAX(at_ms, this->current_ms));
    if (!this->calling) {
        gint64 left_ms = pause_left_ms(this);
        gboolean helped = at_ms == 0 && this->events->gap;
        Clock_arm(this->timer, helped ? this->spec.pause_ms : left_ms);
    }
    return TRUE;
}

static gboolean
is_late(const RecordFollower_t *this)
{
    return this->calling && Clock_nowMs() - this->calling->sent_ms >= LATE_MS;
}

gboolean
RecordFollower_wantsList(const RecordFollower_t *this, ListPlace_t *out)
{
    gboolean waits = !this->calling && (!this->first_page || this->from_peers);
    gboolean left = waits || this->failures > 0 || is_late(this);
    if (!this->listing || !left) {
        return FALSE;
    }
    *out = (ListPlace_t){.after = ""};
    if (this->from_peers) {
        out->after = this->after->str;
        out->from = this->next;
    }
    return TRUE;
}

void
RecordFollower_dropList(RecordFollower_t *this)
{
    if (this->listing && this->from_peers) {
        begin_list(this);
        this->from_peers = TRUE;
    }
}

/* A peer that was cut off has a list of before: it would bring back what was
 * removed since, of which nothing is known here any more. */
static gboolean
fits_list(const RecordFollower_t *this, const ListPlace_t *place,
          const ListPart_t *part)
{
    if (!this->listing ||
        StorePosition_compare(part->page.end, this->next) < 0 ||
        (part->page.more && strcmp(part->reached, place->after) <= 0)) {
        return FALSE;
    }
    if (*place->after == '\0') {
        return !this->from_peers || this->after->len == 0;
    }
    return this->from_peers && strcmp(place->after, this->after->str) == 0 &&
           StorePosition_compare(place->from, this->next) == 0;
}

static void
take_part_records(RecordFollower_t *this, const KeyedPage_t *page)
{
    for (guint i = 0; i < page->records->len; i++) {
        const KeyedRecord_t *record = g_ptr_array_index(page->records, i);
        if (record->value) {
            g_hash_table_add(this->listed, g_strdup(record->key->str));
        }
        else {
            g_hash_table_remove(this->listed, record->key->str);
        }
        take_record(this, record);
    }
}

static void
end_peers_list(RecordFollower_t *this, gint64 at_ms)
{
    this->listing = FALSE;
    tell_removed(this);
    note_current(this, MAX(at_ms, this->current_ms));
    Clock_arm(this->timer, pause_left_ms(this));
}

/* An answer of the store that is still under way belongs to a list of its
 * own. */
gboolean
RecordFollower_feedList(RecordFollower_t *this, const ListPlace_t *place,
                        const ListPart_t *part, gint64 at_ms)
{
    if (!fits_list(this, place, part)) {
        return FALSE;
    }
    this->calling = NULL;
    if (!this->from_peers) {
        begin_list(this);
        this->from_peers = TRUE;
    }
    note_fed(this, at_ms);
    take_part_records(this, &part->page);
    this->next = part->page.end;
    this->first_page = FALSE;
    if (part->page.more) {
        g_string_assign(this->after, part->reached);
        Clock_arm(this->timer, 0);
    }
    else {
        end_peers_list(this, at_ms);
    }
    return TRUE;
}

void
RecordFollower_ask(RecordFollower_t *this, StoreCause_t cause)
{
    if (this->asking || this->listing) {
        return;
    }
    StoreCalls_note(this->spec.counters, this->topic->str, cause);
    FollowerCall_t *opened = open_call(this);
    this->asking = opened;
    RecordSource_read(this->spec.source, this->topic->str, this->next.offset,
                      0, on_asked, opened);
}

guint
RecordFollower_unanswered(const RecordFollower_t *this)
{
    return this->unanswered;
}

/* What was read before may have been read for the other role. */
static gboolean
is_resting(const RecordFollower_t *this)
{
    return !this->calling && !this->listing && this->failures == 0;
}

void
RecordFollower_setReads(RecordFollower_t *this, gint64 wait_ms,
                        gint64 pause_ms, gint64 retry_most_ms)
{
    gboolean sooner = pause_ms < this->spec.pause_ms;
    this->spec.wait_ms = wait_ms;
    this->spec.pause_ms = pause_ms;
    this->retry_most_ms = retry_most_ms > 0 ? retry_most_ms : RETRY_MOST_MS;
    if (sooner && is_resting(this)) {
        Clock_arm(this->timer, pause_left_ms(this));
    }
}

/* Answers to what was asked before belong to the epoch before, and a read
 * that is held may be held for long. */
void
RecordFollower_beginEpoch(RecordFollower_t *this, gint64 after_ms)
{
    this->calling = NULL;
    this->asking = NULL;
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
