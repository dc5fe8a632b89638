#include "RecordRelay.h"

#include "PeerAge.h"

/* Of what is longer only the end is told: each router asks one peer for it,
 * instead of getting it over each of its links. */
#define NEWS_BYTES_MAX 16384

struct RecordRelay {
    Membership_t *membership;
    GString *topic;
    gsize news_bytes;
    GPtrArray *news; /* KeyedRecord_t, since the last end that was known */
    StorePosition_t known; /* end of the topic as last known */
    gboolean is_known;
};

RecordRelay_t *
RecordRelay_create(Membership_t *membership, const char *topic)
{
    RecordRelay_t *this = g_new0(RecordRelay_t, 1);
    this->membership = membership;
    this->topic = g_string_new(topic);
    this->news = g_ptr_array_new_with_free_func(KeyedRecord_free);
    return this;
}

void
RecordRelay_destroy(RecordRelay_t *this)
{
    g_ptr_array_unref(this->news);
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
RecordRelay_add(RecordRelay_t *this, const char *key, GBytes *value,
                StorePosition_t position)
{
    GBytes *held = value ? g_bytes_ref(value) : NULL;
    this->news_bytes += held ? g_bytes_get_size(held) : 0;
    g_ptr_array_add(this->news, make_record(key, held, position));
}

void
RecordRelay_fill(Wt__TopicRecord *out, const KeyedRecord_t *record)
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

/* To one router, or to all that are linked where it is NULL. */
static void
send_part(const RecordRelay_t *this, Member_t *member, Wt__TopicPart *part,
          const GPtrArray *records)
{
    g_autofree Wt__TopicRecord *list =
        g_new(Wt__TopicRecord, records->len + 1);
    g_autofree Wt__TopicRecord **pointers =
        g_new(Wt__TopicRecord *, records->len + 1);
    for (guint i = 0; i < records->len; i++) {
        RecordRelay_fill(&list[i], g_ptr_array_index(records, i));
        pointers[i] = &list[i];
    }
    Wt__PeerMessage message = WT__PEER_MESSAGE__INIT;
    part->topic = this->topic->str;
    part->n_records = records->len;
    part->records = pointers;
    message.body_case = WT__PEER_MESSAGE__BODY_TOPIC_PART;
    message.topic_part = part;
    if (member) {
        Membership_send(this->membership, member, &message);
    }
    else {
        Membership_sendAll(this->membership, &message);
    }
}

static void
send_news(const RecordRelay_t *this, StorePosition_t end, gint64 at_ms,
          gint64 regained_ms)
{
    Wt__TopicPart part = WT__TOPIC_PART__INIT;
    gboolean too_long = RecordRelay_isTooLong(this);
    g_autoptr(GPtrArray) none = g_ptr_array_new();
    part.from = too_long ? end.offset : this->known.offset;
    part.end = end.offset;
    part.epoch = end.epoch;
    part.age_ms = PeerAge_of(at_ms);
    part.regained_age_ms =
        regained_ms > 0 ? MAX(PeerAge_of(regained_ms), 1) : 0;
    send_part(this, NULL, &part, too_long ? none : this->news);
}

void
RecordRelay_answer(const RecordRelay_t *this, Member_t *member, guint64 from,
                   const GPtrArray *records, StorePosition_t end, gint64 at_ms)
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
RecordRelay_answerApart(const RecordRelay_t *this, Member_t *member,
                        const GPtrArray *records)
{
    Wt__TopicPart part = WT__TOPIC_PART__INIT;
    part.apart = TRUE;
    send_part(this, member, &part, records);
}

gboolean
RecordRelay_ask(const RecordRelay_t *this, Member_t *member,
                StorePosition_t from, guint64 version)
{
    Wt__TopicAsk ask = WT__TOPIC_ASK__INIT;
    Wt__PeerMessage message = WT__PEER_MESSAGE__INIT;
    ask.topic = this->topic->str;
    ask.from = from.offset;
    ask.epoch = from.epoch;
    ask.version = version;
    message.body_case = WT__PEER_MESSAGE__BODY_TOPIC_ASK;
    message.topic_ask = &ask;
    return Membership_send(this->membership, member, &message);
}

gboolean
RecordRelay_hasNews(const RecordRelay_t *this)
{
    return !this->is_known || this->news->len > 0;
}

void
RecordRelay_tell(RecordRelay_t *this, StorePosition_t end, gint64 at_ms,
                 gint64 regained_ms, gboolean from_peer)
{
    gboolean follows = this->is_known && this->known.epoch == end.epoch;
    gboolean told = !this->membership ||
                    (from_peer && Membership_isMesh(this->membership));
    if (follows && !told) {
        send_news(this, end, at_ms, regained_ms);
    }
    this->known = end;
    this->is_known = TRUE;
    this->news_bytes = 0;
    g_ptr_array_set_size(this->news, 0);
}

gboolean
RecordRelay_isTooLong(const RecordRelay_t *this)
{
    return this->news_bytes > NEWS_BYTES_MAX;
}

KeyedPage_t
RecordRelay_read(const Wt__TopicPart *message)
{
    KeyedPage_t page = RecordRelay_readRecords(
        message->records, message->n_records, message->epoch);
    page.end = (StorePosition_t){message->epoch, message->end};
    return page;
}

KeyedPage_t
RecordRelay_readRecords(Wt__TopicRecord *const *records, size_t count,
                        guint64 epoch)
{
    KeyedPage_t page = {
        .records = g_ptr_array_new_with_free_func(KeyedRecord_free),
    };
    for (size_t i = 0; i < count; i++) {
        const Wt__TopicRecord *told = records[i];
        GBytes *value = told->value.len > 0
                            ? g_bytes_new(told->value.data, told->value.len)
                            : NULL;
        StorePosition_t position = {epoch, told->offset};
        g_ptr_array_add(page.records, make_record(told->key, value, position));
    }
    return page;
}
