#include "testing.h"

#include "EngineQueue.h"
#include "FairShare.h"
#include "GroupAdmission.h"
#include "Random.h"
#include "ReturnSchedule.h"

#define MS G_GINT64_CONSTANT(1000)

/* A queue of 100 ms that fits into an objective of 250 ms. */
static GroupAdmissionInput_t
usual_input(void)
{
    return (GroupAdmissionInput_t){
        .expected_us = 130 * MS,
        .own_us = 30 * MS,
        .usual_us = 30 * MS,
        .latest_us = 250 * MS,
        .left_us = 4000 * MS,
    };
}

START_TEST(what_would_begin_late_is_refused)
{
    GroupAdmissionInput_t input = usual_input();
    ck_assert_int_eq(GroupAdmission_decide(&input), GROUP_ADMITTED);
    input.expected_us = 300 * MS;
    ck_assert_int_eq(GroupAdmission_decide(&input), GROUP_LATE);
    ck_assert_int_eq(GroupAdmission_fitsUs(&input), 50 * MS);
    input.latest_us = 0;
    ck_assert_int_eq(GroupAdmission_decide(&input), GROUP_ADMITTED);
}
END_TEST

START_TEST(long_prompt_may_join_the_same_queue_as_the_usual_one)
{
    GroupAdmissionInput_t input = usual_input();
    input.own_us = 400 * MS;
    input.expected_us = 500 * MS;
    ck_assert_int_eq(GroupAdmission_decide(&input), GROUP_ADMITTED);
    input.expected_us = 700 * MS;
    ck_assert_int_eq(GroupAdmission_decide(&input), GROUP_LATE);
}
END_TEST

START_TEST(nothing_begins_after_the_deadline_of_its_caller)
{
    GroupAdmissionInput_t input = usual_input();
    input.left_us = 130 * MS;
    ck_assert_int_eq(GroupAdmission_decide(&input), GROUP_DEADLINE);
    input.is_return = TRUE;
    ck_assert_int_eq(GroupAdmission_decide(&input), GROUP_DEADLINE);
    input.left_us = 0;
    input.expected_us = 0;
    input.latest_us = 0;
    ck_assert_int_eq(GroupAdmission_decide(&input), GROUP_DEADLINE);
}
END_TEST

START_TEST(returning_request_goes_before_new_ones)
{
    GroupAdmissionInput_t input = usual_input();
    input.promised_us = 150 * MS;
    ck_assert_int_eq(GroupAdmission_decide(&input), GROUP_LATE);
    ck_assert_int_eq(GroupAdmission_fitsUs(&input), 30 * MS);
    input.is_return = TRUE;
    ck_assert_int_eq(GroupAdmission_decide(&input), GROUP_ADMITTED);
    input.expected_us = 500 * MS;
    ck_assert_int_eq(GroupAdmission_decide(&input), GROUP_ADMITTED);
    input.expected_us = 600 * MS;
    ck_assert_int_eq(GroupAdmission_decide(&input), GROUP_LATE);
}
END_TEST

START_TEST(free_slot_is_used_whatever_was_promised)
{
    GroupAdmissionInput_t input = usual_input();
    input.expected_us = input.own_us;
    input.promised_us = 1000 * MS;
    ck_assert_int_eq(GroupAdmission_decide(&input), GROUP_ADMITTED);
    input.is_over_share = TRUE;
    ck_assert_int_eq(GroupAdmission_decide(&input), GROUP_ADMITTED);
}
END_TEST

START_TEST(customer_over_its_share_leaves_the_queue_to_others)
{
    GroupAdmissionInput_t input = usual_input();
    input.is_over_share = TRUE;
    ck_assert_int_eq(GroupAdmission_decide(&input), GROUP_OVER_SHARE);
    ck_assert_int_eq(GroupAdmission_fitsUs(&input), 100 * MS);
    input.is_return = TRUE;
    ck_assert_int_eq(GroupAdmission_decide(&input), GROUP_ADMITTED);
}
END_TEST

START_TEST(each_verdict_has_a_name_of_its_own)
{
    ck_assert_str_eq(GroupAdmission_name(GROUP_ADMITTED), "admitted");
    ck_assert_str_eq(GroupAdmission_name(GROUP_LATE), "late");
    ck_assert_str_eq(GroupAdmission_name(GROUP_OVER_SHARE), "over_share");
    ck_assert_str_eq(GroupAdmission_name(GROUP_DEADLINE), "deadline");
}
END_TEST

/* A group of engines in virtual time, in steps of 1 ms. */
#define SLOTS 64
#define CUSTOMERS 16
#define SEEDS 5
#define OWN_MS 20
#define RUN_MEAN_MS 200
#define OBJECTIVE_MS 250
/* The queue is estimated from the mean run. */
#define MARGIN_MS 50
#define DEADLINE_MS 4000
#define DURATION_MS 20000
#define BURST_FROM_MS 5000

/* @usual and @burst are parts of the room of all slots. */
typedef struct {
    double usual[CUSTOMERS];
    double burst[CUSTOMERS];
    gint64 burst_from_ms;
    gint64 burst_until_ms;
    gint64 half_lost_ms; /* 0 for never */
} Load_t;

typedef struct {
    double served[CUSTOMERS]; /* slot time since the burst began, in ms */
    double served_total;
    guint begun_late;           /* new requests, beyond their objective */
    guint begun_after_deadline; /* of all */
    guint returned;             /* on a promise */
    guint refused_again;        /* of @returned */
    gint64 queue_max_us;
    guint refused_after; /* new requests, a second after the burst or later */
} Outcome_t;

typedef struct {
    guint64 key;
    guint customer;
    gint64 run_ms;
    gint64 deadline_ms;
    gint64 arrived_ms; /* of this attempt */
    gboolean came_before;
    gboolean is_return;
} Call_t;

typedef struct {
    const Load_t *load;
    Outcome_t out;
    FairShare_t *shares;
    ReturnSchedule_t *schedule;
    GQueue queue;                /* Call_t */
    GQueue returns[DURATION_MS]; /* Call_t by the time of their return */
    gint64 ends_ms[SLOTS];       /* 0 for a free slot */
    GRand *random[CUSTOMERS];
    guint slots;
    guint64 keys;
    gint64 now_ms;
} Group_t;

static guint
running(const Group_t *this)
{
    guint count = 0;
    for (guint i = 0; i < this->slots; i++) {
        count += this->ends_ms[i] > this->now_ms;
    }
    return count;
}

static gint64
request_us(const Group_t *this)
{
    return RUN_MEAN_MS * MS / this->slots;
}

static gint64
wait_us(const Group_t *this)
{
    guint requests = running(this) + this->queue.length;
    EngineQueueInput_t input = {this->slots, requests, RUN_MEAN_MS * MS};
    return EngineQueue_waitUs(&input);
}

static GroupAdmissionInput_t
describe(Group_t *this, Call_t *call)
{
    call->is_return =
        ReturnSchedule_claim(this->schedule, call->key, this->now_ms);
    guint due = ReturnSchedule_countDue(
        this->schedule, OBJECTIVE_MS - MARGIN_MS, this->now_ms);
    return (GroupAdmissionInput_t){
        .expected_us = wait_us(this) + OWN_MS * MS,
        .own_us = OWN_MS * MS,
        .usual_us = OWN_MS * MS,
        .latest_us = (OBJECTIVE_MS - MARGIN_MS) * MS,
        .left_us = (call->deadline_ms - this->now_ms) * MS,
        .promised_us = due * request_us(this),
        .is_return = call->is_return,
        .is_over_share = FairShare_isOver(this->shares, call->customer,
                                          this->slots * 1e6, this->now_ms),
    };
}

/* Whether the burst ended more than a second ago. */
static gboolean
is_after(const Group_t *this)
{
    return this->now_ms > this->load->burst_until_ms + 1000;
}

static void
refuse(Group_t *this, Call_t *call, const GroupAdmissionInput_t *input)
{
    Outcome_t *out = &this->out;
    out->refused_again += call->is_return;
    if (call->came_before) {
        g_free(call);
        return;
    }
    out->refused_after += is_after(this);
    gint64 left_ms = call->deadline_ms - this->now_ms;
    ReturnRequest_t request = {
        .key = call->key,
        .fits_ms = GroupAdmission_fitsUs(input) / MS,
        .room_per_s = 1e6 / (double)request_us(this),
        .longest_ms = left_ms - OBJECTIVE_MS,
    };
    if (GroupAdmission_decide(input) == GROUP_OVER_SHARE) {
        request.room_per_s = 0;
    }
    gint64 return_ms =
        this->now_ms +
        ReturnSchedule_promise(this->schedule, &request, this->now_ms);
    call->came_before = TRUE;
    if (return_ms < DURATION_MS) {
        g_queue_push_tail(&this->returns[return_ms], call);
    }
    else {
        g_free(call);
    }
}

static void
arrive(Group_t *this, Call_t *call)
{
    call->arrived_ms = this->now_ms;
    GroupAdmissionInput_t input = describe(this, call);
    gint64 work_us = call->run_ms * MS;
    if (!call->is_return) {
        FairShare_noteDemand(this->shares, call->customer, work_us,
                             this->now_ms);
    }
    this->out.returned += call->is_return;
    if (GroupAdmission_decide(&input) != GROUP_ADMITTED) {
        refuse(this, call, &input);
        return;
    }
    FairShare_noteServed(this->shares, call->customer, work_us, this->now_ms);
    g_queue_push_tail(&this->queue, call);
}

static void
begin(Group_t *this, Call_t *call)
{
    Outcome_t *out = &this->out;
    gint64 wait_ms = this->now_ms - call->arrived_ms + OWN_MS;
    out->begun_late += wait_ms > OBJECTIVE_MS && !call->is_return;
    out->begun_after_deadline += this->now_ms > call->deadline_ms;
    if (this->now_ms >= this->load->burst_from_ms) {
        out->served[call->customer] += (double)call->run_ms;
        out->served_total += (double)call->run_ms;
    }
    g_free(call);
}

static void
fill_slots(Group_t *this)
{
    for (guint i = 0; i < this->slots; i++) {
        Call_t *call = g_queue_peek_head(&this->queue);
        if (call && this->ends_ms[i] <= this->now_ms) {
            this->ends_ms[i] = this->now_ms + call->run_ms;
            begin(this, g_queue_pop_head(&this->queue));
        }
    }
}

/* Each customer draws from its own numbers, so that a burst of one leaves the
 * arrivals of the others as they are. */
static void
arrive_new(Group_t *this, guint customer)
{
    const Load_t *load = this->load;
    gboolean in_burst = this->now_ms >= load->burst_from_ms &&
                        this->now_ms < load->burst_until_ms;
    double part = (in_burst ? load->burst : load->usual)[customer];
    GRand *random = this->random[customer];
    double draw = g_rand_double(random);
    gint64 run_ms =
        g_rand_int_range(random, RUN_MEAN_MS / 2, RUN_MEAN_MS * 3 / 2 + 1);
    if (draw >= part * SLOTS / RUN_MEAN_MS) {
        return;
    }
    Call_t *call = g_new0(Call_t, 1);
    call->key = ++this->keys;
    call->customer = customer;
    call->run_ms = run_ms;
    call->deadline_ms = this->now_ms + DEADLINE_MS;
    arrive(this, call);
}

static void
step(Group_t *this)
{
    const Load_t *load = this->load;
    if (load->half_lost_ms && this->now_ms == load->half_lost_ms) {
        this->slots /= 2;
    }
    fill_slots(this);
    this->out.queue_max_us = MAX(this->out.queue_max_us, wait_us(this));
    Call_t *call;
    while ((call = g_queue_pop_head(&this->returns[this->now_ms]))) {
        arrive(this, call);
        fill_slots(this);
    }
    for (guint i = 0; i < CUSTOMERS; i++) {
        arrive_new(this, i);
        fill_slots(this);
    }
}

static Outcome_t
play(const Load_t *load, guint seed)
{
    Group_t *group = g_new0(Group_t, 1);
    group->load = load;
    group->shares = FairShare_create(1024);
    group->schedule = ReturnSchedule_create(4096);
    group->slots = SLOTS;
    Random_seed(seed);
    for (guint i = 0; i < CUSTOMERS; i++) {
        group->random[i] = g_rand_new_with_seed(seed * 100 + i);
    }
    for (; group->now_ms < DURATION_MS; group->now_ms++) {
        step(group);
    }
    Outcome_t out = group->out;
    g_queue_clear_full(&group->queue, g_free);
    for (guint i = 0; i < DURATION_MS; i++) {
        g_queue_clear_full(&group->returns[i], g_free);
    }
    for (guint i = 0; i < CUSTOMERS; i++) {
        g_rand_free(group->random[i]);
    }
    FairShare_destroy(group->shares);
    ReturnSchedule_destroy(group->schedule);
    g_free(group);
    return out;
}

/* All customers ask for the same, @load of the room together, and @burst of
 * it from second 5 to @until_ms. */
static Load_t
equal_load(double load, double burst, gint64 until_ms)
{
    Load_t out = {.burst_from_ms = BURST_FROM_MS, .burst_until_ms = until_ms};
    for (guint i = 0; i < CUSTOMERS; i++) {
        out.usual[i] = load / CUSTOMERS;
        out.burst[i] = burst / CUSTOMERS;
    }
    return out;
}

/* @load all the time. */
static Load_t
steady_load(double load)
{
    return equal_load(load, load, DURATION_MS);
}

#define ROOM_MS ((double)SLOTS * (DURATION_MS - BURST_FROM_MS))

static double
mean_served(const Load_t *load)
{
    double sum = 0;
    for (guint seed = 1; seed <= SEEDS; seed++) {
        sum += play(load, seed).served_total;
    }
    return sum / SEEDS;
}

START_TEST(three_times_the_room_is_served_like_what_fits)
{
    Load_t fits = steady_load(1);
    double served = mean_served(&fits);
    Load_t half_more = steady_load(1.5);
    ck_assert_double_ge(mean_served(&half_more), 0.9 * served);
    Load_t thrice = steady_load(3);
    ck_assert_double_ge(mean_served(&thrice), 0.9 * served);
}
END_TEST

START_TEST(new_request_is_refused_at_once_or_begins_in_time)
{
    static const double loads[] = {0.8, 1, 1.5, 3};
    for (guint i = 0; i < G_N_ELEMENTS(loads); i++) {
        Load_t load = steady_load(loads[i]);
        for (guint seed = 1; seed <= SEEDS; seed++) {
            Outcome_t out = play(&load, seed);
            ck_assert_uint_eq(out.begun_late, 0);
            ck_assert_uint_eq(out.begun_after_deadline, 0);
        }
    }
}
END_TEST

/* Adds what each customer was served with all seeds. */
static void
sum_served(const Load_t *load, double served[CUSTOMERS])
{
    for (guint seed = 1; seed <= SEEDS; seed++) {
        Outcome_t out = play(load, seed);
        for (guint i = 0; i < CUSTOMERS; i++) {
            served[i] += out.served[i];
        }
    }
}

START_TEST(burst_of_one_customer_takes_nothing_from_the_others)
{
    double usual = 1.5 / (CUSTOMERS - 1 + 7.5);
    Load_t load = steady_load(usual * CUSTOMERS);
    double without[CUSTOMERS] = {0};
    sum_served(&load, without);
    load.burst[0] = 7.5 * usual;
    double with[CUSTOMERS] = {0};
    sum_served(&load, with);
    for (guint i = 1; i < CUSTOMERS; i++) {
        ck_assert_double_ge(with[i], 0.95 * without[i]);
    }
}
END_TEST

START_TEST(burst_of_one_customer_may_use_what_is_idle)
{
    Load_t load = steady_load(0.3);
    double without[CUSTOMERS] = {0};
    sum_served(&load, without);
    load.burst[0] = 1.5;
    ck_assert_double_ge(mean_served(&load), 0.9 * ROOM_MS);
    double with[CUSTOMERS] = {0};
    sum_served(&load, with);
    for (guint i = 1; i < CUSTOMERS; i++) {
        ck_assert_double_ge(with[i], 0.95 * without[i]);
    }
}
END_TEST

/* What such a burst leaves over fits in while its callers wait. */
START_TEST(refusals_end_within_a_second_of_a_small_burst)
{
    Load_t load = equal_load(0.8, 1.2, 8000);
    for (guint seed = 1; seed <= SEEDS; seed++) {
        ck_assert_uint_eq(play(&load, seed).refused_after, 0);
    }
}
END_TEST

/* The burst leaves over three seconds of work, and its callers wait four, in
 * which there is room for less than one besides new requests. */
START_TEST(refusals_end_within_a_second_of_a_large_burst)
{
    Load_t load = equal_load(0.8, 2, 8000);
    for (guint seed = 1; seed <= SEEDS; seed++) {
        ck_assert_uint_eq(play(&load, seed).refused_after, 0);
    }
}
END_TEST

/* A promise makes no room: where demand stays above the room for longer than
 * callers wait, most get none and are refused a second time. */
START_TEST(promised_return_is_rarely_refused_again)
{
    static const double bursts[] = {1.2, 1.5};
    for (guint i = 0; i < G_N_ELEMENTS(bursts); i++) {
        Load_t load = equal_load(0.8, bursts[i], 8000);
        for (guint seed = 1; seed <= SEEDS; seed++) {
            Outcome_t out = play(&load, seed);
            ck_assert_uint_gt(out.returned, 0);
            ck_assert_uint_le(out.refused_again, out.returned / 10);
        }
    }
}
END_TEST

START_TEST(loss_of_half_the_engines_leaves_no_endless_queue)
{
    Load_t load = equal_load(0.8, 1.5, 8000);
    load.half_lost_ms = 7000;
    for (guint seed = 1; seed <= SEEDS; seed++) {
        Outcome_t out = play(&load, seed);
        ck_assert_uint_gt(out.returned, 0);
        ck_assert_uint_le(out.refused_again, out.returned / 10);
        ck_assert_uint_eq(out.begun_after_deadline, 0);
        ck_assert_int_le(out.queue_max_us, MS * 2 * OBJECTIVE_MS);
    }
}
END_TEST

TESTING_MAIN("GroupAdmission", what_would_begin_late_is_refused,
             long_prompt_may_join_the_same_queue_as_the_usual_one,
             nothing_begins_after_the_deadline_of_its_caller,
             returning_request_goes_before_new_ones,
             free_slot_is_used_whatever_was_promised,
             customer_over_its_share_leaves_the_queue_to_others,
             each_verdict_has_a_name_of_its_own,
             three_times_the_room_is_served_like_what_fits,
             new_request_is_refused_at_once_or_begins_in_time,
             burst_of_one_customer_takes_nothing_from_the_others,
             burst_of_one_customer_may_use_what_is_idle,
             refusals_end_within_a_second_of_a_small_burst,
             refusals_end_within_a_second_of_a_large_burst,
             promised_return_is_rarely_refused_again,
             loss_of_half_the_engines_leaves_no_endless_queue)
