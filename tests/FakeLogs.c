#include "FakeLogs.h"

#include "Clock.h"
#include "Errors.h"

/* Longest delay of a call, and again of its answer. */
#define DELAY_MAX_MS 12
/* Time after which a call whose answer is lost fails with a timeout. */
#define LOST_ANSWER_TIMEOUT_MS 80
/* Longest delay of an append that is carried out late. */
#define LATE_APPEND_MAX_MS 500
/* Interval at which waiting reads and held back answers are checked. */
#define POLL_INTERVAL_MS 4

struct FakeLog {
    struct event_base *base;
    GRand *random;
    GPtrArray *records; /* GBytes, the first at offset 0 */
    guint64 start;
    guint64 epoch;
    gboolean unavailable;
    guint fault_percent;
    GHashTable *steps; /* set of pending Step_t */
};

typedef struct {
    LogClient_t super;
    FakeLog_t *log;
    StoreEpoch_t *epoch;
    gint64 held_until_ms;
} Client_t;

/* A pending call: its timer first runs the call at the log, then delivers the
 * answer. */
typedef struct Step {
    FakeLog_t *log;
    Client_t *client; /* NULL after the client was freed */
    struct event *timer;
    void (*run)(struct Step *this);
    GBytes *record;
    guint64 from;
    gint64 until_ms;
    GPtrArray *found;
    guint64 first;
    guint64 start;
    guint64 head;
    guint64 epoch;
    ErrorKind_t error;
    gboolean failed;
    LogAppended_t appended;
    LogRead_t read;
    void *data;
} Step_t;

static void
free_bytes(gpointer bytes)
{
    g_bytes_unref(bytes);
}

static void
free_step(gpointer data)
{
    Step_t *step = data;
    event_free(step->timer);
    g_clear_pointer(&step->record, g_bytes_unref);
    g_clear_pointer(&step->found, g_ptr_array_unref);
    g_free(step);
}

FakeLog_t *
FakeLog_create(struct event_base *base, guint32 seed)
{
    FakeLog_t *this = g_new0(FakeLog_t, 1);
    this->base = base;
    this->random = g_rand_new_with_seed(seed);
    this->records = g_ptr_array_new_with_free_func(free_bytes);
    this->steps =
        g_hash_table_new_full(g_direct_hash, g_direct_equal, free_step, NULL);
    return this;
}

void
FakeLog_destroy(FakeLog_t *this)
{
    g_hash_table_destroy(this->steps);
    g_ptr_array_unref(this->records);
    g_rand_free(this->random);
    g_free(this);
}

void
FakeLog_setFaults(FakeLog_t *this, guint percent)
{
    this->fault_percent = percent;
}

void
FakeLog_setUnavailable(FakeLog_t *this, gboolean unavailable)
{
    this->unavailable = unavailable;
}

guint64
FakeLog_length(const FakeLog_t *this)
{
    return this->records->len;
}

void
FakeLog_comeBackOlder(FakeLog_t *this, guint64 length)
{
    g_ptr_array_set_size(this->records, (gint)length);
    this->start = MIN(this->start, length);
    this->epoch++;
}

void
FakeLog_expire(FakeLog_t *this, guint64 start)
{
    this->start = MAX(this->start, start);
}

static void
on_timer(evutil_socket_t fd, short what, void *data)
{
    (void)fd;
    (void)what;
    Step_t *step = data;
    step->run(step);
}

static Step_t *
add_step(Client_t *client, void (*run)(Step_t *step), gint64 after_ms)
{
    Step_t *step = g_new0(Step_t, 1);
    step->log = client->log;
    step->client = client;
    step->run = run;
    step->timer = Clock_timer(client->log->base, on_timer, step);
    Clock_arm(step->timer, after_ms);
    g_hash_table_add(client->log->steps, step);
    return step;
}

static gint64
draw_ms(FakeLog_t *this, gint32 max_ms)
{
    return g_rand_int_range(this->random, 1, max_ms + 1);
}

/* Rejects an answer of an earlier epoch, as the product's clients do. */
static GError *
make_error(const Step_t *step)
{
    if (step->failed && step->error == WT_ERROR_TIMEOUT) {
        return g_error_new_literal(WT_ERROR, WT_ERROR_TIMEOUT, "no answer");
    }
    if (!StoreEpoch_note(step->client->epoch, step->epoch, "answer")) {
        return g_error_new_literal(WT_ERROR, WT_ERROR_OLD_EPOCH, "old");
    }
    return step->failed
               ? g_error_new_literal(WT_ERROR, (gint)step->error, "failed")
               : NULL;
}

static void
deliver_answer(Step_t *step)
{
    if (!step->client) {
        g_hash_table_remove(step->log->steps, step);
        return;
    }
    if (Clock_nowMs() < step->client->held_until_ms) {
        Clock_arm(step->timer, POLL_INTERVAL_MS);
        return;
    }
    g_autoptr(GError) error = make_error(step);
    LogRecords_t records = {step->first, step->found, step->start, step->head,
                            step->epoch};
    gboolean has_records =
        !error || g_error_matches(error, WT_ERROR, WT_ERROR_TRUNCATED);
    if (step->read) {
        step->read(has_records ? &records : NULL, error, step->data);
    }
    else {
        step->appended(step->first, error, step->data);
    }
    g_hash_table_remove(step->log->steps, step);
}

static void
schedule_answer(Step_t *step, gint64 ms)
{
    step->epoch = step->log->epoch;
    step->run = deliver_answer;
    Clock_arm(step->timer, ms);
}

static void
schedule_failure(Step_t *step, ErrorKind_t error, gint64 after_ms)
{
    step->failed = TRUE;
    step->error = error;
    schedule_answer(step, after_ms);
}

static void
copy_records(Step_t *step)
{
    FakeLog_t *log = step->log;
    step->found = g_ptr_array_new_with_free_func(free_bytes);
    step->first = step->from;
    step->start = log->start;
    step->head = log->records->len;
    for (guint64 at = step->from; at < step->head; at++) {
        GBytes *record = g_ptr_array_index(log->records, at);
        g_ptr_array_add(step->found, g_bytes_ref(record));
    }
}

static void
run_read(Step_t *step)
{
    FakeLog_t *log = step->log;
    if (log->unavailable) {
        schedule_failure(step, WT_ERROR_CUT, 1);
        return;
    }
    if (step->from < log->start || step->from > log->records->len) {
        step->start = log->start;
        schedule_failure(step, WT_ERROR_TRUNCATED, 1);
        return;
    }
    if (step->from == log->records->len && Clock_nowMs() < step->until_ms) {
        Clock_arm(step->timer, POLL_INTERVAL_MS);
        return;
    }
    copy_records(step);
    schedule_answer(step, draw_ms(log, DELAY_MAX_MS));
}

static void
read_from(LogClient_t *super, const char *stream, guint64 from, gint64 wait_ms,
          LogRead_t done, void *data)
{
    (void)stream;
    Client_t *client = (Client_t *)super;
    Step_t *step =
        add_step(client, run_read, draw_ms(client->log, DELAY_MAX_MS));
    step->from = from;
    step->until_ms = Clock_nowMs() + wait_ms;
    step->read = done;
    step->data = data;
}

static void
store_record(const Step_t *step)
{
    g_ptr_array_add(step->log->records, g_bytes_ref(step->record));
}

static void
run_late_append(Step_t *step)
{
    if (!step->log->unavailable) {
        store_record(step);
    }
    g_hash_table_remove(step->log->steps, step);
}

static void
run_append(Step_t *step)
{
    FakeLog_t *log = step->log;
    if (log->unavailable) {
        schedule_failure(step, WT_ERROR_CUT, 1);
        return;
    }
    guint draw = (guint)g_rand_int_range(log->random, 0, 100);
    if (draw < log->fault_percent / 2 && step->client) {
        Step_t *late = add_step(step->client, run_late_append,
                                draw_ms(log, LATE_APPEND_MAX_MS));
        late->record = g_bytes_ref(step->record);
        schedule_failure(step, WT_ERROR_TIMEOUT, LOST_ANSWER_TIMEOUT_MS);
        return;
    }
    step->first = log->records->len;
    store_record(step);
    if (draw < log->fault_percent) {
        schedule_failure(step, WT_ERROR_TIMEOUT, LOST_ANSWER_TIMEOUT_MS);
        return;
    }
    schedule_answer(step, draw_ms(log, DELAY_MAX_MS));
}

static void
append(LogClient_t *super, const char *stream, GBytes *record,
       LogAppended_t done, void *data)
{
    (void)stream;
    Client_t *client = (Client_t *)super;
    Step_t *step =
        add_step(client, run_append, draw_ms(client->log, DELAY_MAX_MS));
    step->record = g_bytes_ref(record);
    step->appended = done;
    step->data = data;
}

static void
destroy(LogClient_t *super)
{
    Client_t *client = (Client_t *)super;
    GHashTableIter iter;
    gpointer step = NULL;
    g_hash_table_iter_init(&iter, client->log->steps);
    while (g_hash_table_iter_next(&iter, &step, NULL)) {
        if (((Step_t *)step)->client == client) {
            ((Step_t *)step)->client = NULL;
        }
    }
    g_free(client);
}

static const LogClientClass_t class = {
    .destroy = destroy, .append = append, .read = read_from};

LogClient_t *
FakeLog_connect(FakeLog_t *this, StoreEpoch_t *epoch)
{
    Client_t *client = g_new0(Client_t, 1);
    client->super.class = &class;
    client->log = this;
    client->epoch = epoch;
    return &client->super;
}

void
FakeLog_delayAnswers(LogClient_t *client, gint64 ms)
{
    ((Client_t *)client)->held_until_ms = Clock_nowMs() + ms;
}
