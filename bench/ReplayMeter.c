#include "ReplayMeter.h"

#include "Clock.h"

#define US_PER_S ((gint64)1000000)
/* The longest prompts are this share of all. */
#define LONGEST_SHARE 0.1

enum {
    SIDE_OTHERS,
    SIDE_RESERVED,
};

/* What an engine read in one second, or after the last one. */
typedef struct {
    guint side; /* at its end */
    guint64 read_tokens;
} Second_t;

typedef struct {
    GArray *seconds;     /* Second_t */
    guint64 read_tokens; /* in @seconds */
    gboolean was_silent;
} Engine_t;

struct ReplayMeter {
    const ReplaySpec_t *spec;
    ReplayResult_t *result;
    GArray *first_token_waits[REPLAY_KINDS_MAX]; /* gint64 */
    GArray *engines;                             /* Engine_t */
};

static Engine_t *
engine_at(const ReplayMeter_t *this, guint index)
{
    return &g_array_index(this->engines, Engine_t, index);
}

static void
clear_engine(gpointer data)
{
    Engine_t *engine = data;
    g_array_unref(engine->seconds);
}

ReplayMeter_t *
ReplayMeter_create(const ReplaySpec_t *spec, ReplayResult_t *out)
{
    ReplayMeter_t *this = g_new0(ReplayMeter_t, 1);
    this->spec = spec;
    this->result = out;
    for (guint kind = 0; kind < REPLAY_KINDS_MAX; kind++) {
        this->first_token_waits[kind] =
            g_array_new(FALSE, FALSE, sizeof(gint64));
    }
    this->engines = g_array_new(FALSE, TRUE, sizeof(Engine_t));
    g_array_set_clear_func(this->engines, clear_engine);
    g_array_set_size(this->engines, (guint)spec->fleet.engines);
    for (guint i = 0; i < this->engines->len; i++) {
        engine_at(this, i)->seconds =
            g_array_new(FALSE, FALSE, sizeof(Second_t));
    }
    return this;
}

void
ReplayMeter_destroy(ReplayMeter_t *this)
{
    for (guint kind = 0; kind < REPLAY_KINDS_MAX; kind++) {
        g_array_unref(this->first_token_waits[kind]);
    }
    g_array_unref(this->engines);
    g_free(this);
}

static const ReplayKind_t *
kind_of(const ReplayMeter_t *this, const ReplayRequest_t *request)
{
    return &this->spec->kinds[request->kind];
}

static ReplayCount_t *
count_of(const ReplayMeter_t *this, const ReplayRequest_t *request)
{
    return &this->result->kinds[request->kind];
}

static ReplaySecond_t *
second_of(const ReplayMeter_t *this, const ReplayRequest_t *request,
          gint64 at_us)
{
    guint second = (guint)((at_us - REPLAY_START_US) / US_PER_S);
    return &count_of(this, request)
                ->seconds[MIN(second, REPLAY_SECONDS_MAX - 1)];
}

void
ReplayMeter_noteReturn(ReplayMeter_t *this, const ReplayRequest_t *request,
                       gint64 now_us)
{
    second_of(this, request, now_us)->returned++;
}

void
ReplayMeter_noteRefusal(ReplayMeter_t *this, const ReplayRequest_t *request,
                        gint64 now_us)
{
    ReplayCount_t *count = count_of(this, request);
    ReplaySecond_t *second = second_of(this, request, now_us);
    second->refused++;
    if (request->retries == 0) {
        count->refused_first++;
    }
    else {
        second->refused_again++;
        count->refused_again++;
    }
}

void
ReplayMeter_noteWait(ReplayMeter_t *this, ReplayRequest_t *request,
                     gint64 now_us)
{
    gint64 objective_us =
        kind_of(this, request)->objective_ms * CLOCK_US_PER_MS;
    if (request->had_choice && !request->waited_beside_room &&
        now_us - request->sent_us > objective_us) {
        request->waited_beside_room = TRUE;
        count_of(this, request)->waited_beside_room++;
    }
}

static gboolean
is_in_time(const ReplayMeter_t *this, const ReplayRequest_t *request)
{
    const ReplayKind_t *kind = kind_of(this, request);
    return request->first_us - request->asked_us <=
               kind->objective_ms * CLOCK_US_PER_MS &&
           request->pause_us <= kind->pause_ms * CLOCK_US_PER_MS;
}

/* The time for the prompt without its shared part, which depends on where the
 * request was placed, and the share of the slots in the time of the steps. */
static double
work_us(const ReplayMeter_t *this, const ReplayRequest_t *request)
{
    const ReplayFleet_t *fleet = &this->spec->fleet;
    double prompt_us = (double)request->own_tokens * CLOCK_US_PER_MS /
                       (double)fleet->prompt_tokens_ms;
    double steps_us = (double)request->out_tokens * (double)fleet->step_us /
                      (double)fleet->slots;
    return prompt_us + steps_us;
}

void
ReplayMeter_noteServed(ReplayMeter_t *this, const ReplayRequest_t *request)
{
    ReplayCount_t *count = count_of(this, request);
    gint64 wait_us = request->first_us - request->asked_us;
    g_array_append_val(this->first_token_waits[request->kind], wait_us);
    count->customers[request->customer].served++;
    if (is_in_time(this, request)) {
        count->in_time++;
        second_of(this, request, request->asked_us)->in_time++;
        this->result->served_work_us += work_us(this, request);
    }
    else {
        count->late++;
        this->result->served_work_us +=
            REPLAY_LATE_VALUE * work_us(this, request);
    }
}

void
ReplayMeter_noteRefused(ReplayMeter_t *this, const ReplayRequest_t *request)
{
    count_of(this, request)->refused++;
}

void
ReplayMeter_noteFailed(ReplayMeter_t *this, const ReplayRequest_t *request)
{
    count_of(this, request)->failed++;
}

static void
add_second(Engine_t *engine, guint side, guint64 tokens)
{
    Second_t second = {side, tokens - engine->read_tokens};
    g_array_append_val(engine->seconds, second);
    engine->read_tokens = tokens;
}

void
ReplayMeter_noteEngine(ReplayMeter_t *this, guint engine, gboolean is_reserved,
                       guint64 tokens)
{
    add_second(engine_at(this, engine),
               is_reserved ? SIDE_RESERVED : SIDE_OTHERS, tokens);
}

static const Second_t *
second_at(const Engine_t *engine, guint index)
{
    return &g_array_index(engine->seconds, Second_t, index);
}

void
ReplayMeter_noteRead(ReplayMeter_t *this, guint engine, guint64 tokens,
                     gboolean was_silent)
{
    Engine_t *noted = engine_at(this, engine);
    guint count = noted->seconds->len;
    guint side = count > 0 ? second_at(noted, count - 1)->side : SIDE_OTHERS;
    add_second(noted, side, tokens);
    noted->was_silent = was_silent;
    this->result->read_tokens += tokens;
}

static gint
compare_times(gconstpointer a, gconstpointer b)
{
    gint64 left = *(const gint64 *)a;
    gint64 right = *(const gint64 *)b;
    return (left > right) - (left < right);
}

static gint64
quantile(const GArray *sorted, double share)
{
    return sorted->len > 0 ? g_array_index(sorted, gint64,
                                           (guint)(share * (sorted->len - 1)))
                           : 0;
}

static gint64
prompt_tokens(const ReplayRequest_t *request)
{
    return (gint64)request->shared_tokens + request->own_tokens;
}

/* Length from which a prompt is one of the longest of its kind. */
static gint64
find_longest_tokens(const GArray *requests, guint kind)
{
    g_autoptr(GArray) lengths = g_array_new(FALSE, FALSE, sizeof(gint64));
    for (guint i = 0; i < requests->len; i++) {
        const ReplayRequest_t *request =
            &g_array_index(requests, ReplayRequest_t, i);
        gint64 tokens = prompt_tokens(request);
        if (request->kind == kind) {
            g_array_append_val(lengths, tokens);
        }
    }
    g_array_sort(lengths, compare_times);
    return quantile(lengths, 1 - LONGEST_SHARE);
}

static void
count_request(const ReplayMeter_t *this, const ReplayRequest_t *request,
              gint64 longest_tokens)
{
    ReplayCount_t *count = count_of(this, request);
    count->asked++;
    count->customers[request->customer].asked++;
    second_of(this, request, request->asked_us)->asked++;
    if (prompt_tokens(request) >= longest_tokens) {
        count->longest.asked++;
        count->longest.served += request->is_complete ? 1 : 0;
    }
}

/* What the engines of a side read at the mean in one second. */
static double
compute_mean(const ReplayMeter_t *this, guint side, guint index)
{
    guint64 sum = 0;
    guint engines = 0;
    for (guint i = 0; i < this->engines->len; i++) {
        const Engine_t *engine = engine_at(this, i);
        const Second_t *second = second_at(engine, index);
        if (!engine->was_silent && second->side == side) {
            sum += second->read_tokens;
            engines++;
        }
    }
    return engines > 0 ? (double)sum / engines : 0;
}

/* What the engine would have read as the mean of its side in each second. */
static double
compute_expected(const ReplayMeter_t *this, const Engine_t *engine)
{
    double expected = 0;
    for (guint i = 0; i < engine->seconds->len; i++) {
        expected += compute_mean(this, second_at(engine, i)->side, i);
    }
    return expected;
}

static double
compute_busiest(const ReplayMeter_t *this)
{
    double busiest = 0;
    for (guint i = 0; i < this->engines->len; i++) {
        const Engine_t *engine = engine_at(this, i);
        double expected = compute_expected(this, engine);
        if (!engine->was_silent && expected > 0) {
            busiest = MAX(busiest, (double)engine->read_tokens / expected);
        }
    }
    return busiest;
}

void
ReplayMeter_finish(ReplayMeter_t *this, const GArray *requests)
{
    gint64 longest_tokens[REPLAY_KINDS_MAX];
    for (guint kind = 0; kind < REPLAY_KINDS_MAX; kind++) {
        ReplayCount_t *count = &this->result->kinds[kind];
        g_array_sort(this->first_token_waits[kind], compare_times);
        count->p50_us = quantile(this->first_token_waits[kind], 0.5);
        count->p99_us = quantile(this->first_token_waits[kind], 0.99);
        longest_tokens[kind] = find_longest_tokens(requests, kind);
    }
    for (guint i = 0; i < requests->len; i++) {
        const ReplayRequest_t *request =
            &g_array_index(requests, ReplayRequest_t, i);
        count_request(this, request, longest_tokens[request->kind]);
    }
    this->result->busiest = compute_busiest(this);
}
