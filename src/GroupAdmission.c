#include "GroupAdmission.h"

/* About a step of an engine: a queue this short is a free slot. */
#define FREE_SLOT_US 5000
/* Queue that keeps an engine busy, in the time in which it begins a request:
 * one that begins next, and one behind it in case that one is short. */
#define BUSY_TURNOVERS 2
/* Requests that return when they were told to may make the queue this many
 * times as long as is in time, which bounds it after engines were lost. */
#define RETURN_QUEUE_TIMES 2

static gint64
queue_us(const GroupAdmissionInput_t *input)
{
    return MAX(input->expected_us - input->own_us, 0);
}

/* A prompt longer than most does not shorten the queue that it may join. */
static gint64
allowed_us(const GroupAdmissionInput_t *input)
{
    gint64 own_us = input->own_us;
    if (input->usual_us > 0) {
        own_us = MIN(own_us, input->usual_us);
    }
    return MAX(input->latest_us - own_us, BUSY_TURNOVERS * input->turnover_us);
}

/* A customer over its share may have what would be idle otherwise. */
static gint64
free_us(const GroupAdmissionInput_t *input)
{
    return MAX(input->turnover_us, FREE_SLOT_US);
}

static GroupVerdict_t
decide_return(const GroupAdmissionInput_t *input)
{
    gint64 longest_us = RETURN_QUEUE_TIMES * input->latest_us;
    return queue_us(input) <= longest_us ? GROUP_ADMITTED : GROUP_LATE;
}

static GroupVerdict_t
decide_new(const GroupAdmissionInput_t *input)
{
    gint64 waiting_us = queue_us(input);
    if (waiting_us == 0) {
        return GROUP_ADMITTED;
    }
    if (input->is_over_share) {
        return waiting_us <= free_us(input) ? GROUP_ADMITTED
                                            : GROUP_OVER_SHARE;
    }
    waiting_us += input->promised_us;
    return waiting_us <= allowed_us(input) ? GROUP_ADMITTED : GROUP_LATE;
}

GroupVerdict_t
GroupAdmission_decide(const GroupAdmissionInput_t *input)
{
    if (input->left_us <= 0 || input->expected_us >= input->left_us) {
        return GROUP_DEADLINE;
    }
    if (input->latest_us == 0) {
        return GROUP_ADMITTED;
    }
    return input->is_return ? decide_return(input) : decide_new(input);
}

gint64
GroupAdmission_fitsUs(const GroupAdmissionInput_t *input)
{
    gint64 waiting_us = queue_us(input);
    if (GroupAdmission_decide(input) == GROUP_OVER_SHARE) {
        return waiting_us;
    }
    if (!input->is_return) {
        waiting_us += input->promised_us;
    }
    return MAX(waiting_us - allowed_us(input), 0);
}

const char *
GroupAdmission_name(GroupVerdict_t verdict)
{
    static const char *const names[GROUP_VERDICTS] = {
        [GROUP_ADMITTED] = "admitted",
        [GROUP_LATE] = "late",
        [GROUP_OVER_SHARE] = "over_share",
        [GROUP_DEADLINE] = "deadline",
    };
    g_assert(verdict < GROUP_VERDICTS);
    return names[verdict];
}
