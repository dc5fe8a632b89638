#include "RecordRelay.h"

#include "PeerAge.h"

/* If the updates are longer, only the end of the topic is broadcast. Each
 * router then queries one peer for the records instead of receiving them over
 * each of its links. */
#define UPDATE_BYTES_MAX 16384

struct RecordRelay {
    Membership_t *membership;
    GString *topic;
    gsize update_bytes;
    GPtrArray *updates;       /* KeyedRecord_t, added since @last_end; none if
                                 they are oversized */
    StorePosition_t last_end; /* end of the topic at the last broadcast */
    gboolean has_last_end;
};

RecordRelay_t *
RecordRelay_create(Membership_t *membership, const char *topic)
{
    RecordRelay_t *this = g_new0(RecordRelay_t, 1);
    this->membership = membership;
    this->topic = g_string_new(topic);
    this->updates = g_ptr_array_new_with_free_func(KeyedRecord_free);
    return this;
}

void
RecordRelay_destroy(RecordRelay_t *this)
{
    g_ptr_array_unref(this->updates);
    g_string_free(this->topic, TRUE);
    g_free(this);
}

static KeyedRecord_t *
make_record(const char *key, GBytes *value, StorePosition_t position)
{
    KeyedRecord_t *record = g_new0(KeyedRecord_t, 1);
    record->key = g_string_new(key);
    record->value = value;
    record->position = position;
    return record;
}

void
RecordRelay_addUpdate(RecordRelay_t *this, const char *key, GBytes *value,
                      StorePosition_t position)
{
    this->update_bytes += value ? g_bytes_get_size(value) : 0;
    if (RecordRelay_isOversized(this)) {
        g_ptr_array_set_size(this->updates, 0);
        return;
    }
    GBytes *value_ref = value ? g_bytes_ref(value) : NULL;
    g_ptr_array_add(this->updates, make_record(key, value_ref, position));
}

void
RecordRelay_encodeRecord(Wt__TopicRecord *out, const KeyedRecord_t *record)
{
    wt__topic_record__init(out);
    out->key = record->key->str;
    out->offset = record->position.offset;
    if (record->value) {
        gsize length = 0;
        out->value.data = (guint8 *)g_bytes_get_data(record->value, &length);
        out->value.len = length;
    }
}

/* Sends to one router, or to all linked routers if @member is NULL. */
static void
send_message(const RecordRelay_t *this, Member_t *member,
             const Wt__PeerMessage *message)
{
    if (member) {
        Membership_sendLong(this->membership, member, message);
    }
    else {
        Membership_broadcast(this->membership, message);
    }
}

static void
send_part(const RecordRelay_t *this, Member_t *member, Wt__TopicPart *part,
          const GPtrArray *records)
{
    g_autofree Wt__TopicRecord *list =
        g_new(Wt__TopicRecord, records->len + 1);
    g_autofree Wt__TopicRecord **pointers =
        g_new(Wt__TopicRecord *, records->len + 1);
    for (guint i = 0; i < records->len; i++) {
        RecordRelay_encodeRecord(&list[i], g_ptr_array_index(records, i));
        pointers[i] = &list[i];
    }
    Wt__PeerMessage message = WT__PEER_MESSAGE__INIT;
    part->topic = this->topic->str;
    part->n_records = records->len;
    part->records = pointers;
    message.body_case = WT__PEER_MESSAGE__BODY_TOPIC_PART;
    message.topic_part = part;
    send_message(this, member, &message);
}

static void
send_patch(const RecordRelay_t *this, Member_t *member, Wt__TopicPatch *patch)
{
    Wt__PeerMessage message = WT__PEER_MESSAGE__INIT;
    patch->topic = this->topic->str;
    message.body_case = WT__PEER_MESSAGE__BODY_TOPIC_PATCH;
    message.topic_patch = patch;
    send_message(this, member, &message);
}

void
RecordRelay_sendPatch(const RecordRelay_t *this, Member_t *member,
                      guint64 from, const GArray *records, StorePosition_t end,
                      gint64 at_ms)
{
    g_autofree Wt__RecordPatch *list =
        g_new(Wt__RecordPatch, records->len + 1);
    g_autofree Wt__RecordPatch **pointers =
        g_new(Wt__RecordPatch *, records->len + 1);
    for (guint i = 0; i < records->len; i++) {
        RecordPatches_fill(&list[i],
                           &g_array_index(records, EncodedRecord_t, i));
        pointers[i] = &list[i];
    }
    Wt__TopicPatch patch = WT__TOPIC_PATCH__INIT;
    patch.epoch = end.epoch;
    patch.from = from;
    patch.end = end.offset;
    patch.age_ms = PeerAge_of(at_ms);
    patch.n_records = records->len;
    patch.records = pointers;
    send_patch(this, member, &patch);
}

void
RecordRelay_sendPatchRefusal(const RecordRelay_t *this, Member_t *member,
                             const Wt__TopicAsk *query)
{
    Wt__TopicPatch patch = WT__TOPIC_PATCH__INIT;
    patch.epoch = query->epoch;
    patch.from = query->from;
    patch.end = query->from;
    patch.refused = TRUE;
    send_patch(this, member, &patch);
}

static void
broadcast_updates(const RecordRelay_t *this, StorePosition_t end, gint64 at_ms,
                  gint64 restored_ms)
{
    Wt__TopicPart part = WT__TOPIC_PART__INIT;
    gboolean oversized = RecordRelay_isOversized(this);
    part.from = oversized ? end.offset : this->last_end.offset;
    part.end = end.offset;
    part.epoch = end.epoch;
    part.age_ms = PeerAge_of(at_ms);
    part.regained_age_ms =
        restored_ms > 0 ? MAX(PeerAge_of(restored_ms), 1) : 0;
    send_part(this, NULL, &part, this->updates);
}

void
RecordRelay_sendAnswer(const RecordRelay_t *this, Member_t *member,
                       guint64 from, const GPtrArray *records,
                       StorePosition_t end, gint64 at_ms)
{
    Wt__TopicPart part = WT__TOPIC_PART__INIT;
    part.from = from;
    part.end = end.offset;
    part.epoch = end.epoch;
    part.partial = at_ms == 0;
    part.age_ms = part.partial ? 0 : PeerAge_of(at_ms);
    send_part(this, member, &part, records);
}

void
RecordRelay_sendRefusal(const RecordRelay_t *this, Member_t *member,
                        const Wt__TopicAsk *query)
{
    Wt__TopicPart part = WT__TOPIC_PART__INIT;
    g_autoptr(GPtrArray) none = g_ptr_array_new();
    part.from = query->from;
    part.end = query->from;
    part.epoch = query->epoch;
    part.partial = TRUE;
    part.refused = TRUE;
    send_part(this, member, &part, none);
}

void
RecordRelay_sendLostRecords(const RecordRelay_t *this, Member_t *member,
                            const GPtrArray *records)
{
    Wt__TopicPart part = WT__TOPIC_PART__INIT;
    part.apart = TRUE;
    send_part(this, member, &part, records);
}

gboolean
RecordRelay_sendQuery(const RecordRelay_t *this, Member_t *member,
                      StorePosition_t from, guint64 version, gboolean patches)
{
    Wt__TopicAsk ask = WT__TOPIC_ASK__INIT;
    Wt__PeerMessage message = WT__PEER_MESSAGE__INIT;
    ask.topic = this->topic->str;
    ask.from = from.offset;
    ask.epoch = from.epoch;
    ask.version = version;
    ask.patches = patches;
    message.body_case = WT__PEER_MESSAGE__BODY_TOPIC_ASK;
    message.topic_ask = &ask;
    return Membership_send(this->membership, member, &message);
}

gboolean
RecordRelay_lastEnd(const RecordRelay_t *this, StorePosition_t *out)
{
    *out = this->last_end;
    return this->has_last_end;
}

gboolean
RecordRelay_hasUpdates(const RecordRelay_t *this)
{
    return !this->has_last_end || this->updates->len > 0 ||
           RecordRelay_isOversized(this);
}

void
RecordRelay_broadcast(RecordRelay_t *this, StorePosition_t end, gint64 at_ms,
                      gint64 restored_ms, gboolean from_peer)
{
    gboolean same_epoch =
        this->has_last_end && this->last_end.epoch == end.epoch;
    gboolean no_recipient = !this->membership ||
                            (from_peer && Membership_isMesh(this->membership));
    if (same_epoch && !no_recipient) {
        broadcast_updates(this, end, at_ms, restored_ms);
    }
    this->last_end = end;
    this->has_last_end = TRUE;
    this->update_bytes = 0;
    g_ptr_array_set_size(this->updates, 0);
}

gboolean
RecordRelay_isOversized(const RecordRelay_t *this)
{
    return this->update_bytes > UPDATE_BYTES_MAX;
}

KeyedPage_t
RecordRelay_decode(const Wt__TopicPart *message)
{
    KeyedPage_t page = RecordRelay_decodeRecords(
        message->records, message->n_records, message->epoch);
    page.end = (StorePosition_t){message->epoch, message->end};
    return page;
}

KeyedPage_t
RecordRelay_decodeRecords(Wt__TopicRecord *const *records, size_t count,
                          guint64 epoch)
{
    KeyedPage_t page = {
        .records = g_ptr_array_new_with_free_func(KeyedRecord_free),
    };
    for (size_t i = 0; i < count; i++) {
        const Wt__TopicRecord *record = records[i];
        GBytes *value = record->value.len > 0 ? g_bytes_new(record->value.data,
                                                            record->value.len)
                                              : NULL;
        StorePosition_t position = {epoch, record->offset};
        g_ptr_array_add(page.records,
                        make_record(record->key, value, position));
    }
    return page;
}
