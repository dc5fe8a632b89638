#include "ConfigLog.h"

#include "Clock.h"
#include "Errors.h"
#include "Log.h"
#include "Random.h"

struct ConfigLog {
    struct event_base *base;
    LogClient_t *log;
    ConfigStore_t *store;
    ConfigLogLimits_t limits;
    struct event *retry;
    GPtrArray *waiting; /* Command_t, not yet folded */
    gboolean reachable;
    gboolean went_back;
    guint64 epoch; /* of the log in which the records were folded */
    gboolean epoch_known;
    gboolean reading;
    gboolean read_open;
    GPtrArray *expired;    /* records read while a snapshot is looked for */
    guint64 expired_first; /* offset of the first of them */
    ConfigLogFolded_t folded;
    void *folded_data;
};

typedef struct {
    ConfigLog_t *owner;
    GBytes *id;
    CommandDone_t done; /* NULL once it was called */
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

/* A command lives on until its append was answered as well. */
static void
end_command(Command_t *command, CommandEnd_t end, guint64 revision)
{
    CommandDone_t done = command->done;
    command->done = NULL;
    evtimer_del(command->timer);
    g_ptr_array_remove(command->owner->waiting, command);
    if (done) {
        done(end, revision, command->data);
    }
    if (!command->append_open) {
        Command_destroy(command);
    }
}

static gboolean
end_if_folded(Command_t *command)
{
    const ConfigOutcome_t *outcome =
        ConfigStore_outcome(command->owner->store, command->id);
    if (!outcome) {
        return FALSE;
    }
    end_command(command, outcome->taken ? COMMAND_TAKEN : COMMAND_CONFLICT,
                outcome->revision);
    return TRUE;
}

static void
end_folded_commands(ConfigLog_t *this)
{
    guint i = 0;
    while (i < this->waiting->len) {
        if (!end_if_folded(g_ptr_array_index(this->waiting, i))) {
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

/* A log of a later epoch has lost records that are in force, also where its
 * head has grown past them since: to fold its records would make of each
 * router something else. */
static gboolean
is_later_epoch(const ConfigLog_t *this, guint64 epoch)
{
    return this->epoch_known && epoch != this->epoch &&
           ConfigStore_foldOffset(this->store) > 0;
}

static void
note_epoch(ConfigLog_t *this, guint64 epoch)
{
    if (!this->epoch_known) {
        this->epoch_known = TRUE;
        this->epoch = epoch;
    }
}

static void
note_went_back(ConfigLog_t *this, const LogRecords_t *records)
{
    guint64 head = records->head;
    gboolean back = head < ConfigStore_foldOffset(this->store) ||
                    is_later_epoch(this, records->epoch);
    if (back && !this->went_back) {
        Log_begin(LOG_LEVEL_ERROR, "log_went_back");
        Log_number("head", (gint64)head);
        Log_number("fold_offset", (gint64)ConfigStore_foldOffset(this->store));
        Log_end();
    }
    this->went_back = back;
}

static void
fold_one(ConfigLog_t *this, guint64 offset, GBytes *record)
{
    if (offset < ConfigStore_foldOffset(this->store)) {
        return;
    }
    ConfigStore_fold(this->store, offset, record);
    if (this->folded) {
        this->folded(offset, record, this->folded_data);
    }
}

static Wt__ConfigRecord *
unpack(GBytes *record)
{
    gsize size = 0;
    const guint8 *bytes = g_bytes_get_data(record, &size);
    return wt__config_record__unpack(NULL, size, bytes);
}

/* A snapshot is of use only if all that follows it is still there. */
static gboolean
load_snapshot(ConfigLog_t *this, GBytes *record)
{
    Wt__ConfigRecord *message = unpack(record);
    gboolean loaded = message && message->snapshot &&
                      message->snapshot->fold_offset >= this->expired_first &&
                      ConfigStore_load(this->store, message->snapshot);
    if (message) {
        wt__config_record__free_unpacked(message, NULL);
    }
    return loaded;
}

static void
end_search(ConfigLog_t *this)
{
    for (guint i = 0; i < this->expired->len; i++) {
        fold_one(this, this->expired_first + i,
                 g_ptr_array_index(this->expired, i));
    }
    g_clear_pointer(&this->expired, g_ptr_array_unref);
    Log_begin(LOG_LEVEL_INFO, "snapshot_loaded");
    Log_number("fold_offset", (gint64)ConfigStore_foldOffset(this->store));
    Log_end();
}

static void
search_snapshot(ConfigLog_t *this, const LogRecords_t *records)
{
    gboolean loaded =
        ConfigStore_foldOffset(this->store) >= this->expired_first;
    for (guint i = 0; i < records->records->len; i++) {
        GBytes *record = g_ptr_array_index(records->records, i);
        g_ptr_array_add(this->expired, g_bytes_ref(record));
        loaded = load_snapshot(this, record) || loaded;
    }
    if (loaded) {
        end_search(this);
    }
}

static void
free_bytes(gpointer bytes)
{
    g_bytes_unref(bytes);
}

static void
begin_search(ConfigLog_t *this, guint64 start)
{
    Log_begin(LOG_LEVEL_WARNING, "records_expired");
    Log_number("fold_offset", (gint64)ConfigStore_foldOffset(this->store));
    Log_number("start", (gint64)start);
    Log_end();
    if (this->expired) {
        g_ptr_array_unref(this->expired);
    }
    this->expired = g_ptr_array_new_with_free_func(free_bytes);
    this->expired_first = start;
}

static void
fold_records(ConfigLog_t *this, const LogRecords_t *records)
{
    if (this->expired) {
        search_snapshot(this, records);
        return;
    }
    for (guint i = 0; i < records->records->len; i++) {
        fold_one(this, records->first + i,
                 g_ptr_array_index(records->records, i));
    }
}

static void
read_later(ConfigLog_t *this)
{
    gint64 half = this->limits.retry_ms / 2;
    Clock_arm(this->retry, half + Random_below((guint32)half + 1));
}

static void
on_read(const LogRecords_t *records, const GError *error, void *data)
{
    ConfigLog_t *this = data;
    this->read_open = FALSE;
    if (records && error) {
        begin_search(this, records->start);
        read_next(this);
        return;
    }
    if (!records) {
        note_reachable(this, FALSE, error->message);
        read_later(this);
        return;
    }
    note_reachable(this, TRUE, "answered");
    note_epoch(this, records->epoch);
    note_went_back(this, records);
    if (this->went_back) {
        read_later(this);
        return;
    }
    fold_records(this, records);
    end_folded_commands(this);
    read_next(this);
}

static guint64
next_offset(const ConfigLog_t *this)
{
    return this->expired ? this->expired_first + this->expired->len
                         : ConfigStore_foldOffset(this->store);
}

static void
read_next(ConfigLog_t *this)
{
    if (!this->reading) {
        return;
    }
    this->read_open = TRUE;
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
ConfigLog_onFolded(ConfigLog_t *this, ConfigLogFolded_t folded, void *data)
{
    this->folded = folded;
    this->folded_data = data;
}

void
ConfigLog_settle(ConfigLog_t *this)
{
    end_folded_commands(this);
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
    if (this->expired) {
        g_ptr_array_unref(this->expired);
    }
    g_free(this);
}

gboolean
ConfigLog_isReachable(const ConfigLog_t *this)
{
    return this->reachable;
}

static gboolean
nothing_appended(const GError *error)
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
    if (nothing_appended(error)) {
        end_command(command, COMMAND_NOT_APPENDED, 0);
    }
}

static void
on_command_late(evutil_socket_t fd, short what, void *data)
{
    (void)fd;
    (void)what;
    end_command(data, COMMAND_UNKNOWN, 0);
}

void
ConfigLog_submit(ConfigLog_t *this, GBytes *command_id, GBytes *record,
                 CommandDone_t done, void *data)
{
    if (this->went_back) {
        done(COMMAND_LOG_WENT_BACK, 0, data);
        return;
    }
    Command_t *command = g_new0(Command_t, 1);
    command->owner = this;
    command->id = g_bytes_ref(command_id);
    command->done = done;
    command->data = data;
    command->timer = Clock_timer(this->base, on_command_late, command);
    g_ptr_array_add(this->waiting, command);
    if (end_if_folded(command)) {
        return;
    }
    Clock_arm(command->timer, this->limits.command_ms);
    command->append_open = TRUE;
    LogClient_append(this->log, CONFIG_STREAM, record, on_appended, command);
}

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
    if (this->went_back || this->expired) {
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
