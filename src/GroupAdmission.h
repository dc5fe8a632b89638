#ifndef HEADER_GroupAdmission
#define HEADER_GroupAdmission
/**
 * DOC: GroupAdmission
 *
 * Decides whether a dispatcher admits a request to its group of engines. The
 * decision is a pure function of its input.
 *
 * It answers a load beyond what the engines can do in time: the queue is kept
 * as short as the objective of the request's route, and what does not fit is
 * refused at once. Customers over their fair share get only slots that are
 * free, and leave the queue to the others. A request that returns when it was
 * told to goes before new ones. A prompt longer than most is admitted behind
 * the same queue as the others of its kind, although it begins later than
 * they.
 */
#include <glib.h>

/**
 * struct GroupAdmissionInput_t - input of the decision
 * @expected_us: expected time to the first token at the best engine
 * @own_us: the part of @expected_us that computing the prompt itself takes
 * @usual_us: the same part for the mean prompt of its kind
 * @latest_us: longest time to the first token that is in time, less the margin
 *     of error; 0 for any
 * @turnover_us: time that an engine takes for one more request like it, if a
 *     queue shorter than that leaves the engine idle; 0 if its slots become
 *     free one after the other
 * @left_us: time until the caller's deadline
 * @promised_us: time that requests take which were told to return about now
 * @is_return: the request returns when it was told to
 * @is_over_share: its customer was served more than its fair share
 */
typedef struct {
    gint64 expected_us;
    gint64 own_us;
    gint64 usual_us;
    gint64 latest_us;
    gint64 turnover_us;
    gint64 left_us;
    gint64 promised_us;
    gboolean is_return;
    gboolean is_over_share;
} GroupAdmissionInput_t;

/**
 * enum GroupVerdict_t - the decision; the values are sent to other routers
 * @GROUP_ADMITTED: the request is placed
 * @GROUP_LATE: it would begin late
 * @GROUP_OVER_SHARE: its customer was served more than its fair share, and
 *     there is a queue; not to be promised a return, as returns go before the
 *     requests of others
 * @GROUP_DEADLINE: it would begin after its caller's deadline
 */
typedef enum {
    GROUP_ADMITTED,
    GROUP_LATE,
    GROUP_OVER_SHARE,
    GROUP_DEADLINE,
    GROUP_VERDICTS,
} GroupVerdict_t;

/** GroupAdmission_decide() - decide whether to admit a request */
GroupVerdict_t GroupAdmission_decide(const GroupAdmissionInput_t *input);

/** GroupAdmission_fitsUs() - time until a refused request would be admitted if
 * nothing else arrived */
gint64 GroupAdmission_fitsUs(const GroupAdmissionInput_t *input);

/** GroupAdmission_name() - name of a verdict, a static text for logs and
 * counters */
const char *GroupAdmission_name(GroupVerdict_t verdict);

#endif
