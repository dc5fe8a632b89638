#include "ConfigLog.h"

#include "Clock.h"
#include "Errors.h"
#include "Log.h"
#include "Random.h"
#include "ReadPace.h"

struct ConfigLog {
    struct event_base *base;
    LogClient_t *log;
    ConfigStore_t *store;
    ConfigLogLimits_t limits;
    struct event *retry;
    ReadPace_t pace;
    GPtrArray *waiting; /* Command_t whose records were not folded yet */
    gboolean reachable;
    gboolean lost_records;
    guint64 epoch; /* epoch of the log that the records were folded from */
    gboolean epoch_known;
    gboolean reading;
    gboolean read_open;
    GPtrArray *search_records; /* records read during the search for a
                                  snapshot; NULL if there is no search */
    guint64 search_first;      /* offset of the first of search_records */
    ConfigFoldHandler_t on_folded;
    void *on_folded_data;
};

typedef struct {
    ConfigLog_t *owner;
    GBytes *id;
    CommandDone_t done; /* NULL after the call */
    void *data;
    struct event *timer;
    gboolean append_open;
} Command_t;

static void read_next(ConfigLog_t *this);

static void
Command_destroy(Command_t *this)
{
    event_free(this->timer);
    g_bytes_unref(this->id);
    g_free(this);
}

/* Calls the command's callback. The command is freed only after the log client
 * has answered the append as well, as that callback refers to it. */
static void
complete_command(Command_t *command, CommandResult_t result, guint64 revision)
{
    CommandDone_t done = command->done;
    command->done = NULL;
    evtimer_del(command->timer);
    g_ptr_array_remove(command->owner->waiting, command);
    if (done) {
        done(result, revision, command->data);
    }
    if (!command->append_open) {
        Command_destroy(command);
    }
}

static gboolean
complete_if_folded(Command_t *command)
{
    const ConfigOutcome_t *outcome =
        ConfigStore_findOutcome(command->owner->store, command->id);
    if (!outcome) {
        return FALSE;
    }
    complete_command(command,
                     outcome->taken ? COMMAND_APPLIED : COMMAND_CONFLICT,
                     outcome->revision);
    return TRUE;
}

static void
complete_folded_commands(ConfigLog_t *this)
{
    guint i = 0;
    while (i < this->waiting->len) {
        if (!complete_if_folded(g_ptr_array_index(this->waiting, i))) {
            i++;
        }
    }
}

static void
note_reachable(ConfigLog_t *this, gboolean reachable, const char *reason)
{
    if (this->reachable == reachable) {
        return;
    }
    this->reachable = reachable;
    Log_begin(reachable ? LOG_LEVEL_INFO : LOG_LEVEL_WARNING,
              reachable ? "log_reachable" : "log_unreachable");
    Log_text("stream", CONFIG_STREAM);
    Log_text("reason", reason);
    Log_end();
}

/* A log whose epoch has changed has lost records that are in force, even if
 * its head has grown past their offsets since. Folding its new records would
 * leave routers with different states. */
static gboolean
is_other_epoch(const ConfigLog_t *this, guint64 epoch)
{
    return this->epoch_known && epoch != this->epoch &&
           ConfigStore_foldOffset(this->store) > 0;
}

static void
store_first_epoch(ConfigLog_t *this, guint64 epoch)
{
    if (!this->epoch_known) {
        this->epoch_known = TRUE;
        this->epoch = epoch;
    }
}

static void
check_lost_records(ConfigLog_t *this, const LogRecords_t *records)
{
    guint64 head = records->head;
    gboolean lost = head < ConfigStore_foldOffset(this->store) ||
                    is_other_epoch(this, records->epoch);
    if (lost && !this->lost_records) {
        Log_begin(LOG_LEVEL_ERROR, "log_went_back");
        Log_number("head", (gint64)head);
        Log_number("fold_offset", (gint64)ConfigStore_foldOffset(this->store));
        Log_end();
    }
    this->lost_records = lost;
}

static void
fold_record_at(ConfigLog_t *this, guint64 offset, GBytes *record)
{
    if (offset < ConfigStore_foldOffset(this->store)) {
        return;
    }
    ConfigStore_fold(this->store, offset, record);
    if (this->on_folded) {
        this->on_folded(offset, record, this->on_folded_data);
    }
}

static Wt__ConfigRecord *
unpack_record(GBytes *record)
{
    gsize size = 0;
    const guint8 *bytes = g_bytes_get_data(record, &size);
    return wt__config_record__unpack(NULL, size, bytes);
}

/* A snapshot is usable only if the log still has all records after its fold
 * offset. */
static gboolean
load_snapshot(ConfigLog_t *this, GBytes *record)
{
    Wt__ConfigRecord *message = unpack_record(record);
    gboolean loaded = message && message->snapshot &&
                      message->snapshot->fold_offset >= this->search_first &&
                      ConfigStore_load(this->store, message->snapshot);
    if (message) {
        wt__config_record__free_unpacked(message, NULL);
    }
    return loaded;
}

/* Folds those of the read records that the loaded snapshot lacks. */
static void
end_snapshot_search(ConfigLog_t *this)
{
    for (guint i = 0; i < this->search_records->len; i++) {
        fold_record_at(this, this->search_first + i,
                       g_ptr_array_index(this->search_records, i));
    }
    g_clear_pointer(&this->search_records, g_ptr_array_unref);
    Log_begin(LOG_LEVEL_INFO, "snapshot_loaded");
    Log_number("fold_offset", (gint64)ConfigStore_foldOffset(this->store));
    Log_end();
}

static void
load_snapshot_from(ConfigLog_t *this, const LogRecords_t *records)
{
    gboolean loaded =
        ConfigStore_foldOffset(this->store) >= this->search_first;
    for (guint i = 0; i < records->records->len; i++) {
        GBytes *record = g_ptr_array_index(records->records, i);
        g_ptr_array_add(this->search_records, g_bytes_ref(record));
        loaded = load_snapshot(this, record) || loaded;
    }
    if (loaded) {
        end_snapshot_search(this);
    }
}

static void
free_bytes(gpointer bytes)
{
    g_bytes_unref(bytes);
}

/* The records after the fold offset have expired. Reads from the oldest
 * remaining record on, until one of them is a usable snapshot. */
static void
begin_snapshot_search(ConfigLog_t *this, guint64 start)
{
    Log_begin(LOG_LEVEL_WARNING, "records_expired");
    Log_number("fold_offset", (gint64)ConfigStore_foldOffset(this->store));
    Log_number("start", (gint64)start);
    Log_end();
    if (this->search_records) {
        g_ptr_array_unref(this->search_records);
    }
    this->search_records = g_ptr_array_new_with_free_func(free_bytes);
    this->search_first = start;
}

static void
fold_records(ConfigLog_t *this, const LogRecords_t *records)
{
    if (this->search_records) {
        load_snapshot_from(this, records);
        return;
    }
    for (guint i = 0; i < records->records->len; i++) {
        fold_record_at(this, records->first + i,
                       g_ptr_array_index(records->records, i));
    }
}

static void
schedule_retry(ConfigLog_t *this)
{
    gint64 half = this->limits.retry_ms / 2;
    Clock_arm(this->retry, half + Random_below((guint32)half + 1));
}

static void
read_after_pause(ConfigLog_t *this, gboolean was_useful)
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
    ConfigLog_t *this = data;
    this->read_open = FALSE;
    if (records && error) {
        begin_snapshot_search(this, records->start);
        read_after_pause(this, FALSE);
        return;
    }
    if (!records) {
        note_reachable(this, FALSE, error->message);
        schedule_retry(this);
        return;
    }
    note_reachable(this, TRUE, "answered");
    store_first_epoch(this, records->epoch);
    check_lost_records(this, records);
    if (this->lost_records) {
        schedule_retry(this);
        return;
    }
    fold_records(this, records);
    complete_folded_commands(this);
    read_after_pause(this, records->records->len > 0);
}

static guint64
next_offset(const ConfigLog_t *this)
{
    return this->search_records
               ? this->search_first + this->search_records->len
               : ConfigStore_foldOffset(this->store);
}

static void
read_next(ConfigLog_t *this)
{
    if (!this->reading) {
        return;
    }
    this->read_open = TRUE;
    ReadPace_noteSent(&this->pace, this->limits.poll_ms, Clock_nowMs());
    LogClient_read(this->log, CONFIG_STREAM, next_offset(this),
                   this->limits.poll_ms, on_read, this);
}

void
ConfigLog_setReading(ConfigLog_t *this, gboolean reading)
{
    this->reading = reading;
    if (reading && !this->read_open && !evtimer_pending(this->retry, NULL)) {
        read_next(this);
    }
}

void
ConfigLog_setFoldHandler(ConfigLog_t *this, ConfigFoldHandler_t on_folded,
                         void *data)
{
    this->on_folded = on_folded;
    this->on_folded_data = data;
}

void
ConfigLog_completeFoldedCommands(ConfigLog_t *this)
{
    complete_folded_commands(this);
}

static void
on_retry(evutil_socket_t fd, short what, void *data)
{
    (void)fd;
    (void)what;
    read_next(data);
}

ConfigLog_t *
ConfigLog_create(struct event_base *base, LogClient_t *log,
                 ConfigStore_t *store, const ConfigLogLimits_t *limits)
{
    ConfigLog_t *this = g_new0(ConfigLog_t, 1);
    this->base = base;
    this->log = log;
    this->store = store;
    this->limits = *limits;
    this->reachable = TRUE;
    this->reading = TRUE;
    this->retry = Clock_timer(base, on_retry, this);
    this->waiting = g_ptr_array_new();
    read_next(this);
    return this;
}

void
ConfigLog_destroy(ConfigLog_t *this)
{
    event_free(this->retry);
    for (guint i = 0; i < this->waiting->len; i++) {
        Command_destroy(g_ptr_array_index(this->waiting, i));
    }
    g_ptr_array_unref(this->waiting);
    if (this->search_records) {
        g_ptr_array_unref(this->search_records);
    }
    g_free(this);
}

gboolean
ConfigLog_isReachable(const ConfigLog_t *this)
{
    return this->reachable;
}

static gboolean
error_excludes_append(const GError *error)
{
    return g_error_matches(error, WT_ERROR, WT_ERROR_CONNECT) ||
           g_error_matches(error, WT_ERROR, WT_ERROR_REFUSED);
}

static void
on_appended(guint64 offset, const GError *error, void *data)
{
    (void)offset;
    Command_t *command = data;
    command->append_open = FALSE;
    if (!command->done) {
        Command_destroy(command);
        return;
    }
    if (error_excludes_append(error)) {
        complete_command(command, COMMAND_NOT_APPENDED, 0);
    }
}

static void
on_command_timeout(evutil_socket_t fd, short what, void *data)
{
    (void)fd;
    (void)what;
    complete_command(data, COMMAND_UNKNOWN, 0);
}

void
ConfigLog_submit(ConfigLog_t *this, GBytes *command_id, GBytes *record,
                 CommandDone_t done, void *data)
{
    if (this->lost_records) {
        done(COMMAND_LOG_LOST_RECORDS, 0, data);
        return;
    }
    Command_t *command = g_new0(Command_t, 1);
    command->owner = this;
    command->id = g_bytes_ref(command_id);
    command->done = done;
    command->data = data;
    command->timer = Clock_timer(this->base, on_command_timeout, command);
    g_ptr_array_add(this->waiting, command);
    if (complete_if_folded(command)) {
        return;
    }
    Clock_arm(command->timer, this->limits.command_ms);
    command->append_open = TRUE;
    LogClient_append(this->log, CONFIG_STREAM, record, on_appended, command);
}

/* A failed append needs no retry: a later snapshot takes its place. */
static void
on_snapshot_appended(guint64 offset, const GError *error, void *data)
{
    (void)data;
    if (!error) {
        Log_begin(LOG_LEVEL_INFO, "snapshot_appended");
        Log_number("offset", (gint64)offset);
        Log_end();
    }
}

void
ConfigLog_appendSnapshot(ConfigLog_t *this)
{
    if (this->lost_records || this->search_records) {
        return;
    }
    GBytes *packed = ConfigStore_pack(this->store);
    gsize size = 0;
    const guint8 *bytes = g_bytes_get_data(packed, &size);
    Wt__ConfigRecord record = WT__CONFIG_RECORD__INIT;
    char id[RANDOM_ID_LENGTH + 1];
    Random_id(id);
    record.command_id.data = (guint8 *)id;
    record.command_id.len = RANDOM_ID_LENGTH;
    record.appended_ms = Clock_wallMs();
    record.snapshot = wt__snapshot__unpack(NULL, size, bytes);
    gsize record_size = wt__config_record__get_packed_size(&record);
    guint8 *record_bytes = g_malloc(record_size);
    wt__config_record__pack(&record, record_bytes);
    GBytes *packed_record = g_bytes_new_take(record_bytes, record_size);
    LogClient_append(this->log, CONFIG_STREAM, packed_record,
                     on_snapshot_appended, NULL);
    wt__snapshot__free_unpacked(record.snapshot, NULL);
    g_bytes_unref(packed_record);
    g_bytes_unref(packed);
}
