#include "GroupPartitions.h"

/* Age up to which a reported number is used. */
#define REPORT_TTL_MS 10000
/* Groups that are kept. One that was dropped is learned again within a second
 * of its next requests. */
#define GROUPS_MAX 4096

typedef struct {
    char *target;
    guint group;
} Key_t;

typedef struct {
    Key_t key;
    GList use; /* of the table's queue */
    GroupPartition_t *partition;
    guint reported;
    gint64 reported_ms;
    gboolean has_report;
} Group_t;

struct GroupPartitions {
    GHashTable *groups;      /* &key -> Group_t */
    GQueue uses;             /* Group_t, the last used first */
    GHashTable *partitioned; /* target -> gint64 *, when last seen so */
};

static guint
hash_key(gconstpointer data)
{
    const Key_t *key = data;
    return g_str_hash(key->target) * 31 + key->group;
}

static gboolean
equal_keys(gconstpointer a_data, gconstpointer b_data)
{
    const Key_t *a = a_data;
    const Key_t *b = b_data;
    return a->group == b->group && g_str_equal(a->target, b->target);
}

static void
free_group(gpointer data)
{
    Group_t *group = data;
    GroupPartition_destroy(group->partition);
    g_free(group->key.target);
    g_free(group);
}

GroupPartitions_t *
GroupPartitions_create(void)
{
    GroupPartitions_t *this = g_new0(GroupPartitions_t, 1);
    this->groups =
        g_hash_table_new_full(hash_key, equal_keys, NULL, free_group);
    g_queue_init(&this->uses);
    this->partitioned =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return this;
}

void
GroupPartitions_destroy(GroupPartitions_t *this)
{
    g_hash_table_destroy(this->groups);
    g_hash_table_destroy(this->partitioned);
    g_free(this);
}

static Group_t *
find_group(const GroupPartitions_t *this, const char *target, guint number)
{
    Key_t key = {(char *)target, number};
    return g_hash_table_lookup(this->groups, &key);
}

static void
drop_oldest(GroupPartitions_t *this)
{
    Group_t *oldest = g_queue_peek_tail(&this->uses);
    g_queue_unlink(&this->uses, &oldest->use);
    g_hash_table_remove(this->groups, &oldest->key);
}

static Group_t *
add_group(GroupPartitions_t *this, const char *target, guint number)
{
    if (g_hash_table_size(this->groups) >= GROUPS_MAX) {
        drop_oldest(this);
    }
    Group_t *group = g_new0(Group_t, 1);
    group->key = (Key_t){g_strdup(target), number};
    group->use.data = group;
    group->partition = GroupPartition_create();
    g_hash_table_insert(this->groups, &group->key, group);
    g_queue_push_head_link(&this->uses, &group->use);
    return group;
}

static Group_t *
use_group(GroupPartitions_t *this, const char *target, guint number)
{
    Group_t *group = find_group(this, target, number);
    if (!group) {
        return add_group(this, target, number);
    }
    g_queue_unlink(&this->uses, &group->use);
    g_queue_push_head_link(&this->uses, &group->use);
    return group;
}

GroupPartition_t *
GroupPartitions_get(GroupPartitions_t *this, const char *target, guint group)
{
    return use_group(this, target, group)->partition;
}

/* Targets are the services of the configuration, of which there are few. */
static void
note_partitioned(GroupPartitions_t *this, const char *target, guint reserved,
                 gint64 now_ms)
{
    gint64 *seen_ms = g_hash_table_lookup(this->partitioned, target);
    if (reserved == 0) {
        return;
    }
    if (!seen_ms) {
        seen_ms = g_new(gint64, 1);
        g_hash_table_insert(this->partitioned, g_strdup(target), seen_ms);
    }
    *seen_ms = now_ms;
}

void
GroupPartitions_noteReported(GroupPartitions_t *this, const char *target,
                             guint group, guint reserved, gint64 now_ms)
{
    Group_t *reported = use_group(this, target, group);
    reported->reported = reserved;
    reported->reported_ms = now_ms;
    reported->has_report = TRUE;
    note_partitioned(this, target, reserved, now_ms);
}

gboolean
GroupPartitions_isPartitioned(const GroupPartitions_t *this,
                              const char *target, gint64 now_ms)
{
    const gint64 *seen_ms = g_hash_table_lookup(this->partitioned, target);
    return seen_ms && now_ms - *seen_ms < REPORT_TTL_MS;
}

static guint
reported_engines(const Group_t *group, const GroupSize_t *size, gint64 now_ms)
{
    if (!group->has_report || size->engines < 2 ||
        now_ms - group->reported_ms >= REPORT_TTL_MS) {
        return 0;
    }
    return MIN(group->reported, size->engines - 1);
}

guint
GroupPartitions_reserved(GroupPartitions_t *this, const char *target,
                         guint group, const GroupSize_t *size,
                         gint64 urgent_objective_us, gint64 now_ms)
{
    const Group_t *found = find_group(this, target, group);
    gboolean is_active =
        found && GroupPartition_isActive(found->partition, now_ms);
    guint reserved = 0;
    if (is_active) {
        reserved = GroupPartition_reserve(found->partition, size,
                                          urgent_objective_us, now_ms);
    }
    if (found &&
        (!is_active || GroupPartition_isNew(found->partition, now_ms))) {
        reserved = MAX(reserved, reported_engines(found, size, now_ms));
    }
    note_partitioned(this, target, reserved, now_ms);
    return reserved;
}
