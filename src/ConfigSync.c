#include "ConfigSync.h"

#include "Clock.h"
#include "Log.h"

/* Number of records cached for peers; a peer that needs older records gets a
 * snapshot. */
#define RECORDS_CACHED_MAX 256
#define TICK_MS 50
/* A pull without an answer is repeated after this time, possibly from another
 * peer. */
#define PULL_TIMEOUT_MS 1000
/* A router that reads the log waits this long for it to catch up before it
 * pulls from a peer. */
#define READER_PULL_DELAY_MS 500
/* Routers get successive time slots of this length, in order of rank, for
 * appending a due snapshot. */
#define SNAPSHOT_SLOT_MS 2000

struct ConfigSync {
    const Settings_t *settings;
    ConfigStore_t *store;
    ConfigLog_t *log;
    Membership_t *membership;
    struct event *tick;
    struct event *push;  /* runs on_push() */
    guint64 push_offset; /* records below it were sent to peers */
    GQueue records;      /* GBytes at consecutive offsets */
    guint64 records_end; /* offset after the last of records */
    gint64 behind_since_ms;
    gint64 pulled_ms;
    gint64 snapshot_at_ms;
};

static void
free_record(gpointer record)
{
    g_bytes_unref(record);
}

static void
cache_record(guint64 offset, GBytes *record, void *data)
{
    ConfigSync_t *this = data;
    if (offset != this->records_end) {
        g_queue_clear_full(&this->records, free_record);
    }
    g_queue_push_tail(&this->records, g_bytes_ref(record));
    this->records_end = offset + 1;
    if (g_queue_get_length(&this->records) > RECORDS_CACHED_MAX) {
        g_bytes_unref(g_queue_pop_head(&this->records));
    }
    Clock_arm(this->push, 0);
}

static void
send_push(ConfigSync_t *this, Member_t *member, Wt__ConfigPush *push)
{
    Wt__PeerMessage message = WT__PEER_MESSAGE__INIT;
    message.body_case = WT__PEER_MESSAGE__BODY_CONFIG_PUSH;
    message.config_push = push;
    Membership_send(this->membership, member, &message);
}

static void
send_snapshot(ConfigSync_t *this, Member_t *member)
{
    GBytes *packed = ConfigStore_pack(this->store);
    gsize size = 0;
    const guint8 *bytes = g_bytes_get_data(packed, &size);
    Wt__ConfigPush push = WT__CONFIG_PUSH__INIT;
    push.snapshot = wt__snapshot__unpack(NULL, size, bytes);
    send_push(this, member, &push);
    wt__snapshot__free_unpacked(push.snapshot, NULL);
    g_bytes_unref(packed);
}

static void
send_records(ConfigSync_t *this, Member_t *member, guint64 from)
{
    guint length = g_queue_get_length(&this->records);
    guint64 first = this->records_end - length;
    g_autofree ProtobufCBinaryData *list =
        g_new0(ProtobufCBinaryData, length + 1);
    Wt__ConfigPush push = WT__CONFIG_PUSH__INIT;
    push.first = from;
    push.records = list;
    for (GList *at =
             g_queue_peek_nth_link(&this->records, (guint)(from - first));
         at; at = at->next) {
        ProtobufCBinaryData *entry = &list[push.n_records++];
        entry->data = (guint8 *)g_bytes_get_data(at->data, &entry->len);
    }
    send_push(this, member, &push);
}

/* Sends the records folded in one loop iteration together, once to each linked
 * peer that may lack them. The peer forwards them likewise, so that they reach
 * all routers without waiting for gossip. A router that misses a push pulls
 * the records later. */
static void
on_push(evutil_socket_t fd, short what, void *data)
{
    (void)fd;
    (void)what;
    ConfigSync_t *this = data;
    const GPtrArray *members = Membership_members(this->membership);
    guint64 first = this->records_end - g_queue_get_length(&this->records);
    guint64 from = MAX(this->push_offset, first);
    this->push_offset = this->records_end;
    for (guint i = 0; i < members->len && from < this->records_end; i++) {
        Member_t *member = g_ptr_array_index(members, i);
        if (member->link && member->fold_offset < this->records_end) {
            send_records(this, member, from);
        }
    }
}

static void
receive_pull(ConfigSync_t *this, Member_t *from, guint64 offset)
{
    guint64 end = ConfigStore_foldOffset(this->store);
    guint64 first = this->records_end - g_queue_get_length(&this->records);
    if (offset >= end) {
        /* The peer already has all records. The empty answer ends its wait,
         * so that it may pull again. */
        Wt__ConfigPush empty = WT__CONFIG_PUSH__INIT;
        send_push(this, from, &empty);
        return;
    }
    if (this->records_end == end && offset >= first) {
        send_records(this, from, offset);
        return;
    }
    send_snapshot(this, from);
}

static void
receive_push(ConfigSync_t *this, const Wt__ConfigPush *push)
{
    this->pulled_ms = 0;
    if (push->snapshot) {
        ConfigStore_load(this->store, push->snapshot);
    }
    for (size_t i = 0; i < push->n_records; i++) {
        guint64 offset = push->first + i;
        if (offset == ConfigStore_foldOffset(this->store)) {
            GBytes *record =
                g_bytes_new(push->records[i].data, push->records[i].len);
            ConfigStore_fold(this->store, offset, record);
            cache_record(offset, record, this);
            g_bytes_unref(record);
        }
    }
    ConfigLog_completeFoldedCommands(this->log);
}

void
ConfigSync_receive(ConfigSync_t *this, Member_t *from,
                   const Wt__PeerMessage *message)
{
    if (message->body_case == WT__PEER_MESSAGE__BODY_CONFIG_PULL) {
        receive_pull(this, from, message->config_pull->from);
    }
    else {
        receive_push(this, message->config_push);
    }
}

static Member_t *
find_peer_ahead(const ConfigSync_t *this)
{
    const GPtrArray *members = Membership_members(this->membership);
    guint64 local_offset = ConfigStore_foldOffset(this->store);
    for (guint i = 0; i < members->len; i++) {
        Member_t *member = g_ptr_array_index(members, i);
        if (member->link && member->fold_offset > local_offset) {
            return member;
        }
    }
    return NULL;
}

static gboolean
is_reader(const ConfigSync_t *this)
{
    return Membership_localRank(this->membership, "config-reader",
                                this->settings->router.hall->str) <
           CONFIG_READERS_PER_HALL;
}

static void
send_pull(ConfigSync_t *this, Member_t *member, gint64 now_ms)
{
    Wt__ConfigPull body = WT__CONFIG_PULL__INIT;
    Wt__PeerMessage message = WT__PEER_MESSAGE__INIT;
    body.from = ConfigStore_foldOffset(this->store);
    message.body_case = WT__PEER_MESSAGE__BODY_CONFIG_PULL;
    message.config_pull = &body;
    this->pulled_ms = now_ms;
    Membership_send(this->membership, member, &message);
}

/* How long this router must be behind a peer before it pulls. A router that
 * has folded nothing yet pulls at once, to keep its start short. */
static gint64
pull_delay_ms(const ConfigSync_t *this)
{
    gboolean waits_for_log = ConfigStore_foldOffset(this->store) > 0 &&
                             ConfigLog_isReachable(this->log) &&
                             is_reader(this);
    return waits_for_log ? READER_PULL_DELAY_MS : 0;
}

static void
pull_if_behind(ConfigSync_t *this, gint64 now_ms)
{
    Member_t *ahead = find_peer_ahead(this);
    if (!ahead) {
        this->behind_since_ms = now_ms;
        return;
    }
    if (now_ms - this->behind_since_ms >= pull_delay_ms(this) &&
        now_ms - this->pulled_ms >= PULL_TIMEOUT_MS) {
        send_pull(this, ahead, now_ms);
    }
}

/* Any router may append a snapshot and a second one does no harm; the delay by
 * rank only keeps all routers from appending at once. */
static void
append_snapshot_if_due(ConfigSync_t *this, gint64 now_ms)
{
    guint64 record_count = ConfigStore_foldOffset(this->store) -
                           MIN(ConfigStore_snapshotOffset(this->store),
                               ConfigStore_foldOffset(this->store));
    if (record_count < (guint64)this->settings->platform.snapshot_records) {
        this->snapshot_at_ms = 0;
        return;
    }
    if (this->snapshot_at_ms == 0) {
        guint rank = Membership_localRank(this->membership, "snapshot", NULL);
        this->snapshot_at_ms = now_ms + (gint64)rank * SNAPSHOT_SLOT_MS;
    }
    if (now_ms >= this->snapshot_at_ms) {
        this->snapshot_at_ms = now_ms + SNAPSHOT_SLOT_MS;
        ConfigLog_appendSnapshot(this->log);
    }
}

static void
on_tick(evutil_socket_t fd, short what, void *data)
{
    (void)fd;
    (void)what;
    ConfigSync_t *this = data;
    gint64 now_ms = Clock_nowMs();
    Membership_setFoldOffset(this->membership,
                             ConfigStore_foldOffset(this->store));
    ConfigLog_setReading(this->log, is_reader(this));
    pull_if_behind(this, now_ms);
    append_snapshot_if_due(this, now_ms);
    Clock_arm(this->tick, TICK_MS);
}

ConfigSync_t *
ConfigSync_create(struct event_base *base, const Settings_t *settings,
                  ConfigStore_t *store, ConfigLog_t *log,
                  Membership_t *membership)
{
    ConfigSync_t *this = g_new0(ConfigSync_t, 1);
    this->settings = settings;
    this->store = store;
    this->log = log;
    this->membership = membership;
    this->tick = Clock_timer(base, on_tick, this);
    this->push = Clock_timer(base, on_push, this);
    this->push_offset = ConfigStore_foldOffset(store);
    g_queue_init(&this->records);
    ConfigLog_setFoldHandler(log, cache_record, this);
    Clock_arm(this->tick, TICK_MS);
    return this;
}

void
ConfigSync_destroy(ConfigSync_t *this)
{
    event_free(this->tick);
    event_free(this->push);
    g_queue_clear_full(&this->records, free_record);
    g_free(this);
}
