#include "FleetRecord.h"

#include <string.h>

#include "Clock.h"
#include "StoredRecords.h"

#define KEY "routers"
/* Key by which routers are ranked for the choice of the writer. */
#define RANK_KEY "fleet-size"
#define TICK_MS 200
#define DIGITS_MAX 8

struct FleetRecord {
    FleetRecordSpec_t spec;
    StoredRecords_t *records;
    struct event *tick;
    guint stored;        /* number in the record; 0 for no record */
    gint64 fewer_ms;     /* since when fewer are known; 0 if not */
    gboolean is_read;    /* @stored is known */
    gboolean is_reading; /* the read was scheduled */
};

static const StoredRecordsEvents_t events = {
    .read = "fleet_size_read",
    .unread = "fleet_size_unread",
    .unwritten = "fleet_size_unwritten",
    .unreadable = "fleet_size_unreadable",
    .left_out = "fleet_size_left_out",
};

static gboolean
on_read(void *owner, const char *key, GBytes *value)
{
    (void)key;
    FleetRecord_t *this = owner;
    gsize length = 0;
    const char *bytes = g_bytes_get_data(value, &length);
    g_autofree char *text = g_strndup(bytes, MIN(length, DIGITS_MAX));
    guint64 routers = 0;
    if (!g_ascii_string_to_unsigned(text, 10, 1, G_MAXUINT32, &routers,
                                    NULL)) {
        return FALSE;
    }
    this->stored = (guint)routers;
    FleetSize_noteTold(this->spec.size, this->stored, Clock_nowMs());
    return TRUE;
}

static void
on_read_all(void *owner)
{
    FleetRecord_t *this = owner;
    this->is_read = TRUE;
}

static gboolean
is_writer(const FleetRecord_t *this)
{
    const Membership_t *membership = this->spec.membership;
    return Membership_isComplete(membership) &&
           Membership_localRank(membership, RANK_KEY, NULL) == 0;
}

static void
write_size(FleetRecord_t *this, guint routers)
{
    g_autofree char *text = g_strdup_printf("%u", routers);
    g_autoptr(GBytes) value = g_bytes_new(text, strlen(text));
    this->stored = routers;
    this->fewer_ms = 0;
    StoredRecords_put(this->records, KEY, value);
}

/* Writes a smaller number late: the other routers may only be cut off. */
static void
update(FleetRecord_t *this)
{
    guint known = Membership_countActive(this->spec.membership);
    gint64 now_ms = Clock_nowMs();
    if (known >= this->stored) {
        this->fewer_ms = 0;
    }
    else if (this->fewer_ms == 0) {
        this->fewer_ms = now_ms;
    }
    gboolean has_shrunk =
        this->fewer_ms > 0 && now_ms - this->fewer_ms >= this->spec.shrink_ms;
    if (has_shrunk || known > MAX(this->stored, 1)) {
        write_size(this, known);
    }
}

static void
read_if_needed(FleetRecord_t *this, gboolean writes)
{
    if (!this->is_reading && (writes || FleetSize_isUsed(this->spec.size))) {
        this->is_reading = TRUE;
        StoredRecords_scheduleRead(this->records, 0);
    }
}

static void
on_tick(evutil_socket_t fd, short what, void *data)
{
    (void)fd;
    (void)what;
    FleetRecord_t *this = data;
    gboolean writes = is_writer(this);
    read_if_needed(this, writes);
    if (writes && this->is_read) {
        update(this);
    }
    Clock_arm(this->tick, TICK_MS);
}

FleetRecord_t *
FleetRecord_create(struct event_base *base, const FleetRecordSpec_t *spec)
{
    FleetRecord_t *this = g_new0(FleetRecord_t, 1);
    this->spec = *spec;
    StoredRecordsSpec_t records = {
        .source = spec->source,
        .topic = spec->topic,
        .counters = spec->counters,
        .events = &events,
        .read = on_read,
        .read_all = on_read_all,
        .owner = this,
    };
    this->records = StoredRecords_create(base, &records);
    this->tick = Clock_timer(base, on_tick, this);
    Clock_arm(this->tick, TICK_MS);
    return this;
}

void
FleetRecord_destroy(FleetRecord_t *this)
{
    event_free(this->tick);
    StoredRecords_destroy(this->records);
    g_free(this);
}
