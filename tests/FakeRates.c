#include "FakeRates.h"

#include <math.h>
#include <string.h>

#include "Clock.h"
#include "Counters.h"
#include "Random.h"
#include "RateKeeper.h"
#include "RateShare.h"
#include "UpstreamLimit.h"

#define CUSTOMER "c"
#define WINDOW_MS 8000
#define SHORT_WINDOW_MS 4000
#define START_MS 1000000
/* Messages take one to three milliseconds, and one in so many is lost. */
#define DELAY_SLOTS 4
#define LOSS_ONE_IN 2000
/* Another limit is known everywhere after so long. */
#define CONFIG_MS 1000

typedef struct Play Play_t;

typedef struct {
    Play_t *play;
    guint64 id;
    RateKeeper_t *keeper;
    RateLimits_t *limits;
    gint64 back_ms;   /* is down until then */
    gint64 awake_ms;  /* stands still until then */
    gint64 wakes_ms;  /* 0 for none */
    gint64 knows_ms;  /* when it learns of the newest limit */
    gint64 full_ms;   /* an upstream has no room until then */
    guint part;       /* of the network */
    gint64 lag_ms;    /* until it handles what comes */
    gint64 lags_ms;   /* lags until then */
    GPtrArray *inbox; /* Message_t that came while it stood still */
} Node_t;

typedef struct {
    gint64 due_ms; /* where the one it is for lags */
    guint from;
    guint to;
    guint8 *bytes;
    gsize size;
} Message_t;

typedef struct {
    Play_t *play;
    double units;
    gint64 asked_ms;
    Node_t *node;
    RateQuery_t *ask;
} Request_t;

struct Play {
    const FakeRatesSpec_t *spec;
    Node_t nodes[FAKE_RATES_MAX];
    GPtrArray *slots[DELAY_SLOTS]; /* Message_t by when they arrive */
    Counters_t *counters;
    GHashTable *open; /* Request_t under way */
    RateLimit_t limit;
    RateLimit_t before;
    TokenBucket_t ideal;
    gint64 now_ms;
    double highest;
    double *admitted; /* units of each millisecond */
    double waits_ms;
    FakeRatesResult_t result;
};

static void
free_message(gpointer data)
{
    Message_t *message = data;
    g_free(message->bytes);
    g_free(message);
}

static double
draw_part(void)
{
    return (Random_below(1000000) + 0.5) / 1000000;
}

static gboolean
chance(double per_s)
{
    return draw_part() < per_s / 1000;
}

static gboolean
is_up(const Node_t *node)
{
    return node->play->now_ms >= node->back_ms;
}

static gboolean
is_running(const Node_t *node)
{
    return is_up(node) && node->play->now_ms >= node->awake_ms;
}

static gboolean
lags(const Node_t *node)
{
    return node->play->now_ms < node->lags_ms;
}

static guint64
weight_of(guint64 router)
{
    guint64 mixed = router * G_GUINT64_CONSTANT(0x9E3779B97F4A7C15);
    return mixed ^ mixed >> 29;
}

/* The first in the order of their weights. */
static guint
find_candidates(void *owner, const char *subject,
                guint64 out[RATE_CANDIDATES_MAX])
{
    (void)subject;
    const Node_t *this = owner;
    guint count = 0;
    for (guint64 id = 1; id <= this->play->spec->routers; id++) {
        guint at = count;
        while (at > 0 && weight_of(out[at - 1]) < weight_of(id)) {
            at--;
        }
        if (at == RATE_CANDIDATES_MAX) {
            continue;
        }
        count = MIN(count + 1, RATE_CANDIDATES_MAX);
        memmove(&out[at + 1], &out[at], (count - 1 - at) * sizeof(*out));
        out[at] = id;
    }
    for (guint i = 0; i < count; i++) {
        out[i] = out[i] == this->id ? RATE_SELF : out[i];
    }
    return count;
}

static guint
count_routers(void *owner)
{
    return ((Node_t *)owner)->play->spec->routers;
}

static guint
count_for_share(const void *owner)
{
    return ((const Node_t *)owner)->play->spec->routers;
}

static void
draw_sample(void *owner, ReachSample_t *out)
{
    const Node_t *this = owner;
    out->others = this->play->spec->routers - 1;
    out->drawn = MIN(out->others, REACH_SAMPLE_MAX);
    guint64 start = Random_below(out->others);
    guint stride = out->others / MAX(out->drawn, 1);
    for (guint i = 0; i < out->drawn; i++) {
        guint64 place = (start + i * stride) % out->others;
        out->routers[i] = place + 1 < this->id ? place + 1 : place + 2;
    }
}

static void
send_message(void *owner, guint64 router, const Wt__PeerMessage *message)
{
    const Node_t *this = owner;
    Play_t *play = this->play;
    play->result.messages++;
    const Node_t *to = &play->nodes[router - 1];
    if (Random_below(LOSS_ONE_IN) == 0 || to->part != this->part) {
        return;
    }
    Message_t *copy = g_new(Message_t, 1);
    copy->from = (guint)this->id;
    copy->to = (guint)router;
    copy->size = wt__peer_message__get_packed_size(message);
    copy->bytes = g_malloc(copy->size + 1);
    wt__peer_message__pack(message, copy->bytes);
    gint64 at = play->now_ms + 1 + Random_below(DELAY_SLOTS - 1);
    g_ptr_array_add(play->slots[at % DELAY_SLOTS], copy);
}

static void
schedule_tick(void *owner, gint64 in_ms)
{
    Node_t *this = owner;
    gint64 at_ms = this->play->now_ms + MAX(in_ms, 0);
    if (this->wakes_ms == 0 || at_ms < this->wakes_ms) {
        this->wakes_ms = at_ms;
    }
}

static const RateLinksClass_t links = {
    .candidates = find_candidates,
    .routers = count_routers,
    .draw_sample = draw_sample,
    .send = send_message,
    .schedule_tick = schedule_tick,
};

static void
start(Node_t *node)
{
    if (node->play->spec->way == FAKE_RATES_SHARE) {
        node->limits = RateShare_create(count_for_share, node);
        return;
    }
    node->keeper = RateKeeper_create(&links, node, node->play->counters);
    node->limits = RateKeeper_limits(node->keeper);
}

static gboolean
is_at(gpointer key, gpointer value, gpointer node)
{
    (void)key;
    return ((const Request_t *)value)->node == node;
}

static void
stop(Node_t *node)
{
    g_hash_table_foreach_remove(node->play->open, is_at, node);
    RateLimits_destroy(node->limits);
    g_ptr_array_set_size(node->inbox, 0);
    node->wakes_ms = 0;
}

static RateLimit_t
limit_of(const FakeRatesSpec_t *spec, double per_s, guint64 version)
{
    UpstreamLimit_t named = {TRUE, per_s, version};
    return spec->of_upstream ? UpstreamLimit_rate(&named)
                             : (RateLimit_t){per_s, per_s, version};
}

static void
begin(Play_t *play, const FakeRatesSpec_t *spec)
{
    *play = (Play_t){.spec = spec, .now_ms = START_MS};
    play->counters = Counters_create();
    play->open = g_hash_table_new_full(NULL, NULL, NULL, g_free);
    play->limit = limit_of(spec, spec->per_s, 1);
    play->before = play->limit;
    play->highest = spec->per_s;
    TokenBucket_init(&play->ideal, &play->limit, 0, START_MS);
    play->admitted = g_new0(double, spec->seconds * 1000);
    for (guint i = 0; i < DELAY_SLOTS; i++) {
        play->slots[i] = g_ptr_array_new_with_free_func(free_message);
    }
    for (guint i = 0; i < spec->routers; i++) {
        Node_t *node = &play->nodes[i];
        node->play = play;
        node->id = i + 1;
        node->inbox = g_ptr_array_new_with_free_func(free_message);
        start(node);
    }
}

static void
end(Play_t *play)
{
    for (guint i = 0; i < play->spec->routers; i++) {
        stop(&play->nodes[i]);
        g_ptr_array_unref(play->nodes[i].inbox);
    }
    for (guint i = 0; i < DELAY_SLOTS; i++) {
        g_ptr_array_unref(play->slots[i]);
    }
    g_hash_table_destroy(play->open);
    Counters_destroy(play->counters);
    g_free(play->admitted);
}

static void
take(Node_t *node, const Message_t *message)
{
    Wt__PeerMessage *unpacked =
        wt__peer_message__unpack(NULL, message->size, message->bytes);
    RateKeeper_receive(node->keeper, unpacked, message->from);
    wt__peer_message__free_unpacked(unpacked, NULL);
}

static void
deliver(Play_t *play)
{
    GPtrArray *due = play->slots[play->now_ms % DELAY_SLOTS];
    play->slots[play->now_ms % DELAY_SLOTS] =
        g_ptr_array_new_with_free_func(free_message);
    for (guint i = 0; i < due->len; i++) {
        Message_t *message = g_ptr_array_index(due, i);
        Node_t *node = &play->nodes[message->to - 1];
        if (is_running(node) && !lags(node)) {
            take(node, message);
        }
        else if (is_up(node)) {
            message->due_ms = lags(node) ? play->now_ms + node->lag_ms : 0;
            g_ptr_array_add(node->inbox, message);
            due->pdata[i] = NULL;
        }
    }
    g_ptr_array_set_free_func(due, NULL);
    for (guint i = 0; i < due->len; i++) {
        if (due->pdata[i]) {
            free_message(due->pdata[i]);
        }
    }
    g_ptr_array_unref(due);
}

static void
take_due(Node_t *node)
{
    guint count = 0;
    while (count < node->inbox->len) {
        const Message_t *message = g_ptr_array_index(node->inbox, count);
        if (message->due_ms > node->play->now_ms) {
            break;
        }
        take(node, message);
        count++;
    }
    if (count > 0) {
        g_ptr_array_remove_range(node->inbox, 0, count);
    }
}

static void
wake_up(Node_t *node)
{
    if (!is_running(node)) {
        return;
    }
    take_due(node);
    if (node->wakes_ms > 0 && node->wakes_ms <= node->play->now_ms) {
        node->wakes_ms = 0;
        RateKeeper_tick(node->keeper);
    }
}

static void
note_verdict(Request_t *request, const RateVerdict_t *verdict)
{
    Play_t *play = request->play;
    gint64 waited_ms = play->now_ms - request->asked_ms;
    play->waits_ms += (double)waited_ms;
    play->result.waited_ms = MAX(play->result.waited_ms, waited_ms);
    if (!verdict->admitted) {
        play->result.refused++;
        request->node->full_ms = play->now_ms + verdict->retry_after_ms;
        return;
    }
    play->result.admitted_units += request->units;
    play->admitted[play->now_ms - START_MS] += request->units;
}

static void
on_verdict(void *owner, const RateVerdict_t *verdict)
{
    Request_t *request = owner;
    note_verdict(request, verdict);
    g_hash_table_remove(request->play->open, request);
}

static void
ask(Play_t *play, Node_t *node)
{
    Request_t *request = g_new0(Request_t, 1);
    gboolean knows = play->now_ms >= node->knows_ms;
    RateRequest_t rate = {
        .subject = CUSTOMER,
        .limit = knows ? play->limit : play->before,
        .units = play->spec->of_upstream
                     ? 1
                     : -log(draw_part()) * play->spec->units,
    };
    RateVerdict_t verdict = {.admitted = TRUE};
    request->play = play;
    request->node = node;
    request->units = rate.units;
    request->asked_ms = play->now_ms;
    play->result.asked++;
    play->result.asked_units += rate.units;
    gboolean fits = TokenBucket_take(&play->ideal, rate.units, play->now_ms);
    play->result.refused_by_one += fits ? 0 : 1;
    if (play->spec->of_upstream && play->now_ms < node->full_ms) {
        play->result.refused++;
        g_free(request);
        return;
    }
    play->result.asked_keeper++;
    RateQuery_t *under_way =
        play->spec->way == FAKE_RATES_NONE
            ? NULL
            : RateLimits_acquire(node->limits, &rate, &verdict, on_verdict,
                                 request);
    if (under_way) {
        g_hash_table_add(play->open, request);
        return;
    }
    note_verdict(request, &verdict);
    g_free(request);
}

static void
arrive(Play_t *play)
{
    const FakeRatesSpec_t *spec = play->spec;
    double per_ms = spec->load * spec->per_s / spec->units / 1000;
    while (draw_part() < per_ms) {
        Node_t *node = &play->nodes[Random_below(spec->callers_at)];
        if (is_running(node)) {
            ask(play, node);
        }
        per_ms -= 1;
    }
}

static void
kill_one(Node_t *node, gint64 for_ms)
{
    if (is_up(node)) {
        stop(node);
        start(node);
        node->back_ms = node->play->now_ms + for_ms;
    }
}

static void
kill_some(Play_t *play)
{
    gint64 for_ms = 500 + Random_below(2000);
    gboolean all = Random_below(3) == 0;
    guint one_in = 1 + Random_below(10);
    for (guint i = 0; i < play->spec->routers; i++) {
        if (all || Random_below(one_in) == 0) {
            kill_one(&play->nodes[i], for_ms);
        }
    }
}

static void
pause_some(Play_t *play)
{
    gint64 until_ms = play->now_ms + 500 + Random_below(4000);
    guint one_in = 1 + Random_below(20);
    for (guint i = 0; i < play->spec->routers; i++) {
        if (Random_below(one_in) == 0) {
            play->nodes[i].awake_ms = until_ms;
        }
    }
}

/* The one that keeps the count is among them each second time, as it has the
 * most to do. */
static void
slow_some(Play_t *play)
{
    guint one_in = 1 + Random_below(20);
    guint64 order[RATE_CANDIDATES_MAX];
    find_candidates(&play->nodes[0], CUSTOMER, order);
    guint64 keeper = order[0] == RATE_SELF ? 1 : order[0];
    for (guint i = 0; i < play->spec->routers; i++) {
        Node_t *node = &play->nodes[i];
        gboolean keeps = node->id == keeper && Random_below(2) == 0;
        if (keeps || Random_below(one_in) == 0) {
            node->lag_ms = 10 + Random_below(1000);
            node->lags_ms = play->now_ms + 500 + Random_below(4000);
        }
    }
}

static void
cut_some(Play_t *play)
{
    gboolean heals =
        play->nodes[0].part != play->nodes[1].part || Random_below(2) == 0;
    guint percent = 10 + Random_below(50);
    for (guint i = 0; i < play->spec->routers; i++) {
        play->nodes[i].part = !heals && Random_below(100) < percent ? 1 : 0;
    }
}

static void
change_limit(Play_t *play)
{
    play->before = play->limit;
    double per_s = play->spec->per_s * (0.2 + 1.8 * draw_part());
    play->limit = limit_of(play->spec, per_s, play->limit.version + 1);
    TokenBucket_setLimit(&play->ideal, &play->limit, play->now_ms);
    for (guint i = 0; i < play->spec->routers; i++) {
        play->nodes[i].knows_ms = play->now_ms + Random_below(CONFIG_MS);
    }
    play->highest = MAX(play->highest, per_s);
}

static void
break_something(Play_t *play)
{
    const FakeRatesSpec_t *spec = play->spec;
    if (spec->kills && chance(0.3)) {
        kill_some(play);
    }
    if (spec->pauses && chance(0.3)) {
        pause_some(play);
    }
    if (spec->lags && chance(0.4)) {
        slow_some(play);
    }
    if (spec->cuts && chance(0.4)) {
        cut_some(play);
    }
    if (spec->changes && chance(0.2)) {
        change_limit(play);
    }
}

static double
most_of(const Play_t *play, gint64 window_ms)
{
    gint64 length = (gint64)play->spec->seconds * 1000;
    double most = 0;
    double sum = 0;
    for (gint64 at = 0; at < length; at++) {
        sum += play->admitted[at];
        sum -= at >= window_ms ? play->admitted[at - window_ms] : 0;
        most = MAX(most, sum);
    }
    return most;
}

static void
measure(Play_t *play)
{
    double allowed = play->highest * (WINDOW_MS / 1000.0 + 1);
    double excess = most_of(play, WINDOW_MS) - allowed;
    play->result.excess = excess / play->highest;
    play->result.most = most_of(play, SHORT_WINDOW_MS);
    play->result.mean_wait_ms = play->waits_ms / MAX(play->result.asked, 1);
}

FakeRatesResult_t
FakeRates_play(const FakeRatesSpec_t *spec)
{
    Play_t *play = g_new(Play_t, 1);
    Random_seed(spec->seed);
    begin(play, spec);
    for (gint64 ms = 0; ms < (gint64)spec->seconds * 1000; ms++) {
        play->now_ms = START_MS + ms;
        Clock_freeze(play->now_ms * CLOCK_US_PER_MS);
        break_something(play);
        deliver(play);
        for (guint i = 0; i < spec->routers; i++) {
            wake_up(&play->nodes[i]);
        }
        arrive(play);
    }
    measure(play);
    FakeRatesResult_t result = play->result;
    end(play);
    g_free(play);
    Clock_freeze(0);
    return result;
}
