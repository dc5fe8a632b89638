#ifndef HEADER_GroupPartition
#define HEADER_GroupPartition
/**
 * DOC: GroupPartition
 *
 * Decides how many engines of a dispatch group are reserved for urgent
 * requests.
 *
 * It answers a load in which one service has urgent requests with short
 * prompts beside less urgent ones whose prompts take an engine longer than an
 * urgent caller may wait for its first token. On a shared engine every stream
 * pauses while such a prompt is computed, so that urgent requests hold their
 * slots several times as long, all slots fill up, and urgent callers wait or
 * are refused although the engines compute little. Apart from each other, both
 * keep the times that they have on an idle engine.
 *
 * Engines are reserved by the slots that urgent requests need: arrivals a
 * second times the time that each holds a slot, plus twice the square root of
 * that, which leaves about one request in forty without a free slot (the rule
 * of staffing by the square root). Each side keeps at least one engine.
 */
#include <glib.h>

/**
 * struct GroupSize_t - a group at the time of a decision
 * @engines: engines that may be used
 * @slots: requests that one engine runs at once, 0 for unknown
 */
typedef struct {
    guint engines;
    guint slots;
} GroupSize_t;

/** struct GroupPartition_t - opaque; measurements of one group */
typedef struct GroupPartition GroupPartition_t;

/** GroupPartition_create() - create it without measurements */
GroupPartition_t *GroupPartition_create(void);

/** GroupPartition_destroy() - free it */
void GroupPartition_destroy(GroupPartition_t *this);

/** GroupPartition_noteArrival() - a request has arrived, whether or not it is
 * admitted */
void GroupPartition_noteArrival(GroupPartition_t *this, gboolean urgent,
                                gint64 now_ms);

/** GroupPartition_noteRun() - a request of the group has ended after holding a
 * slot for @held_us */
void GroupPartition_noteRun(GroupPartition_t *this, gboolean urgent,
                            gint64 held_us);

/** GroupPartition_notePrompt() - a less urgent request was placed whose prompt
 * takes @compute_us */
void GroupPartition_notePrompt(GroupPartition_t *this, gint64 compute_us);

/** GroupPartition_isActive() - whether a request has arrived within the last
 * two seconds */
gboolean GroupPartition_isActive(const GroupPartition_t *this, gint64 now_ms);

/** GroupPartition_meanPromptUs() - mean time of the prompts noted, in us; 0
 * for none yet */
gint64 GroupPartition_meanPromptUs(const GroupPartition_t *this);

/** GroupPartition_isNew() - whether the first request has arrived within the
 * last second, so that its averages are those of a few requests */
gboolean GroupPartition_isNew(const GroupPartition_t *this, gint64 now_ms);

/**
 * GroupPartition_reserve() - engines that are reserved for urgent requests
 * @urgent_objective_us: longest wait for the first token of an urgent request;
 *     0 if the service does not distinguish urgent requests
 *
 * More engines are reserved at once; they are given back one at a time, as an
 * engine that changes sides has first to finish what it runs.
 *
 * Return: 0 if the group is not partitioned, else 1 to @size->engines - 1
 */
guint GroupPartition_reserve(GroupPartition_t *this, const GroupSize_t *size,
                             gint64 urgent_objective_us, gint64 now_ms);

#endif
