#ifndef HEADER_GroupPartitions
#define HEADER_GroupPartitions
/**
 * DOC: GroupPartitions
 *
 * What this router knows of the partitions of all dispatch groups: its own
 * measurements of the groups that it dispatches for, and the numbers that
 * other dispatchers have reported.
 */
#include "GroupPartition.h"

/** struct GroupPartitions_t - opaque */
typedef struct GroupPartitions GroupPartitions_t;

/** GroupPartitions_create() - create an empty table */
GroupPartitions_t *GroupPartitions_create(void);

/** GroupPartitions_destroy() - free it */
void GroupPartitions_destroy(GroupPartitions_t *this);

/**
 * GroupPartitions_get() - the measurements of a group that this router
 * dispatches for, created if there are none
 *
 * Return: valid until the next call of a function of the table, as the group
 * that was unused for longest is dropped when there are too many
 */
GroupPartition_t *GroupPartitions_get(GroupPartitions_t *this,
                                      const char *target, guint group);

/** GroupPartitions_noteReported() - the dispatcher of a group has reported how
 * many engines are reserved */
void GroupPartitions_noteReported(GroupPartitions_t *this, const char *target,
                                  guint group, guint reserved, gint64 now_ms);

/**
 * GroupPartitions_reserved() - engines of a group that are reserved for urgent
 * requests, see GroupPartition_reserve()
 *
 * A router that has seen no request of the group as its dispatcher for two
 * seconds uses the number that was last reported, for some seconds. A new
 * dispatcher reserves no fewer in its first second.
 */
guint GroupPartitions_reserved(GroupPartitions_t *this, const char *target,
                               guint group, const GroupSize_t *size,
                               gint64 urgent_objective_us, gint64 now_ms);

/** GroupPartitions_isPartitioned() - whether any group of a target was
 * partitioned in the last seconds, as far as this router knows */
gboolean GroupPartitions_isPartitioned(const GroupPartitions_t *this,
                                       const char *target, gint64 now_ms);

#endif
