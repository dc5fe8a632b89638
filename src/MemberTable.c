#include "MemberTable.h"

#include <string.h>
#include <xxhash.h>

#include "Clock.h"
#include "Log.h"

/* Number of routers up to which each join is logged with its name. */
#define JOINS_LOGGED_BY_NAME_MAX 64

/* Number of update peers in the local hall, if it has as many: a message
 * between halls costs more than one within a hall. */
#define LOCAL_HALL_UPDATE_PEERS 5

/* A router with its weight for a key; member is NULL for this router. */
typedef struct {
    guint64 weight;
    const Member_t *member;
} Ranked_t;

static void
Member_destroy(gpointer data)
{
    Member_t *member = data;
    if (member->link) {
        PeerLink_close(member->link);
    }
    g_string_free(member->name, TRUE);
    g_string_free(member->hall, TRUE);
    g_free(member);
}

gint64
Member_transitMs(const Member_t *this)
{
    return this && this->link ? PeerLink_transitMs(this->link) : 0;
}

static gint
compare_members(gconstpointer a, gconstpointer b)
{
    const Member_t *left = *(Member_t *const *)a;
    const Member_t *right = *(Member_t *const *)b;
    return strcmp(left->name->str, right->name->str);
}

static void
rebuild_live(MemberTable_t *this)
{
    GHashTableIter iter;
    gpointer member = NULL;
    g_ptr_array_set_size(this->live, 0);
    g_hash_table_iter_init(&iter, this->by_name);
    while (g_hash_table_iter_next(&iter, NULL, &member)) {
        g_ptr_array_add(this->live, member);
    }
    g_ptr_array_sort(this->live, compare_members);
}

MemberTable_t *
MemberTable_create(const char *name, const char *hall, guint64 incarnation)
{
    MemberTable_t *this = g_new0(MemberTable_t, 1);
    this->self.name = g_string_new(name);
    this->self.hall = g_string_new(hall);
    this->self.incarnation = incarnation;
    this->by_name =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, Member_destroy);
    this->live = g_ptr_array_new();
    this->linked = g_ptr_array_new();
    return this;
}

void
MemberTable_destroy(MemberTable_t *this)
{
    g_ptr_array_unref(this->live);
    g_ptr_array_unref(this->linked);
    g_hash_table_destroy(this->by_name);
    g_string_free(this->self.name, TRUE);
    g_string_free(this->self.hall, TRUE);
    g_free(this);
}

Member_t *
MemberTable_find(const MemberTable_t *this, const char *name)
{
    return g_hash_table_lookup(this->by_name, name);
}

/* Inserts in the order of names; sorting the whole list for each of 1,000
 * routers that join at once takes a small machine seconds. */
static void
add_live(MemberTable_t *this, Member_t *member)
{
    guint first = 0;
    guint end = this->live->len;
    while (first < end) {
        guint middle = first + (end - first) / 2;
        const Member_t *other = g_ptr_array_index(this->live, middle);
        if (strcmp(other->name->str, member->name->str) < 0) {
            first = middle + 1;
        }
        else {
            end = middle;
        }
    }
    g_ptr_array_insert(this->live, (gint)first, member);
}

/* Counts joins above the limit, as otherwise the start of a large fleet would
 * log a line for each pair of routers. */
static void
log_joined(MemberTable_t *this, const char *name)
{
    if (this->live->len > JOINS_LOGGED_BY_NAME_MAX) {
        this->unlogged_joins++;
        return;
    }
    Log_begin(LOG_LEVEL_INFO, "member_joined");
    Log_text("member", name);
    Log_number("members", this->live->len);
    Log_end();
}

void
MemberTable_logJoinedCount(MemberTable_t *this)
{
    if (this->unlogged_joins == 0) {
        return;
    }
    Log_begin(LOG_LEVEL_INFO, "members_joined");
    Log_number("joined", this->unlogged_joins);
    Log_number("members", this->live->len);
    Log_end();
    this->unlogged_joins = 0;
}

Member_t *
MemberTable_findOrCreate(MemberTable_t *this, const char *name)
{
    Member_t *member = g_hash_table_lookup(this->by_name, name);
    if (member) {
        return member;
    }
    member = g_new0(Member_t, 1);
    member->name = g_string_new(name);
    member->hall = g_string_new(NULL);
    member->last_seen_ms = Clock_nowMs();
    g_hash_table_insert(this->by_name, member->name->str, member);
    add_live(this, member);
    log_joined(this, name);
    return member;
}

Member_t *
MemberTable_findLink(const MemberTable_t *this, const PeerLink_t *link)
{
    for (guint i = 0; i < this->live->len; i++) {
        Member_t *member = g_ptr_array_index(this->live, i);
        if (member->link == link) {
            return member;
        }
    }
    return NULL;
}

static gboolean
is_silent(gpointer name, gpointer value, gpointer limit_ms)
{
    const Member_t *member = value;
    if (member->last_seen_ms > *(gint64 *)limit_ms) {
        return FALSE;
    }
    Log_begin(LOG_LEVEL_WARNING, "member_gone");
    Log_text("member", name);
    Log_end();
    return TRUE;
}

void
MemberTable_expire(MemberTable_t *this, gint64 silence_ms)
{
    gint64 before_ms = Clock_nowMs() - silence_ms;
    if (g_hash_table_foreach_remove(this->by_name, is_silent, &before_ms) >
        0) {
        rebuild_live(this);
    }
}

static guint
find_self_index(const MemberTable_t *this)
{
    guint index = 0;
    while (index < this->live->len) {
        const Member_t *member = g_ptr_array_index(this->live, index);
        if (strcmp(member->name->str, this->self.name->str) > 0) {
            break;
        }
        index++;
    }
    return index;
}

gboolean
MemberTable_isInLocalHall(const MemberTable_t *this, const Member_t *member)
{
    return g_string_equal(member->hall, this->self.hall);
}

/* Adds linked routers of one direction, starting at an index. */
static void
add_linked_by_direction(const MemberTable_t *this, guint index,
                        gboolean in_local_hall, gboolean is_incoming)
{
    for (guint i = 0; i < this->live->len; i++) {
        Member_t *member =
            g_ptr_array_index(this->live, (index + i) % this->live->len);
        if (member->link && member->is_incoming == is_incoming &&
            MemberTable_isInLocalHall(this, member) == in_local_hall) {
            g_ptr_array_add(this->linked, member);
        }
    }
}

/* Adds linked routers, incoming links first. If the name alone decided, a
 * router could be sent updates by none of the routers that it linked to, and
 * know only half of the others. */
static void
add_linked(const MemberTable_t *this, guint index, gboolean in_local_hall)
{
    add_linked_by_direction(this, index, in_local_hall, TRUE);
    add_linked_by_direction(this, index, in_local_hall, FALSE);
}

/* Swaps the first routers of other halls with the last update peers of the
 * local hall, so that updates reach other halls as well. */
static void
swap_in_remote_peers(const MemberTable_t *this, guint local_count)
{
    gpointer *list = this->linked->pdata;
    guint remote_count = this->linked->len - local_count;
    guint swap_count =
        MIN(remote_count, MEMBER_TABLE_UPDATE_PEERS - LOCAL_HALL_UPDATE_PEERS);
    for (guint i = 0;
         i < swap_count && LOCAL_HALL_UPDATE_PEERS + i < local_count; i++) {
        gpointer member = list[LOCAL_HALL_UPDATE_PEERS + i];
        list[LOCAL_HALL_UPDATE_PEERS + i] = list[local_count + i];
        list[local_count + i] = member;
    }
}

const GPtrArray *
MemberTable_listLinked(MemberTable_t *this)
{
    guint index = find_self_index(this);
    g_ptr_array_set_size(this->linked, 0);
    add_linked(this, index, TRUE);
    guint local_count = this->linked->len;
    add_linked(this, index, FALSE);
    swap_in_remote_peers(this, local_count);
    return this->linked;
}

guint
MemberTable_countAddressed(const MemberTable_t *this)
{
    guint addressed = 0;
    for (guint i = 0; i < this->live->len; i++) {
        const Member_t *member = g_ptr_array_index(this->live, i);
        addressed += member->address.port != 0 ? 1 : 0;
    }
    return addressed;
}

guint
MemberTable_countLinks(const MemberTable_t *this)
{
    guint links = 0;
    for (guint i = 0; i < this->live->len; i++) {
        const Member_t *member = g_ptr_array_index(this->live, i);
        links += member->link ? 1 : 0;
    }
    return links;
}

guint
MemberTable_countActive(const MemberTable_t *this)
{
    guint count = this->self.leaving ? 0 : 1;
    for (guint i = 0; i < this->live->len; i++) {
        const Member_t *member = g_ptr_array_index(this->live, i);
        count += member->leaving ? 0 : 1;
    }
    return MAX(count, 1);
}

static guint64
rendezvous_weight(const Member_t *member, const char *key)
{
    guint64 seed = XXH3_64bits(key, strlen(key));
    return XXH3_64bits_withSeed(member->name->str, member->name->len, seed);
}

static Member_t *
find_highest_weight(const MemberTable_t *this, const char *key, gint64 now_ms)
{
    Member_t *best = NULL;
    guint64 highest =
        this->self.leaving ? 0 : rendezvous_weight(&this->self, key);
    for (guint i = 0; i < this->live->len; i++) {
        Member_t *member = g_ptr_array_index(this->live, i);
        if (member->leaving || member->unreachable_until_ms > now_ms) {
            continue;
        }
        guint64 weight = rendezvous_weight(member, key);
        if (weight > highest) {
            highest = weight;
            best = member;
        }
    }
    return best;
}

Member_t *
MemberTable_findOwner(const MemberTable_t *this, const char *key)
{
    return find_highest_weight(this, key, G_MAXINT64);
}

Member_t *
MemberTable_findReachableOwner(const MemberTable_t *this, const char *key,
                               gint64 now_ms)
{
    return find_highest_weight(this, key, now_ms);
}

/* Inserts in descending order of weight; drops the last entry if the list is
 * full. */
static guint
insert_ranked(Ranked_t *list, guint count, guint max, Ranked_t entry)
{
    guint position = count;
    while (position > 0 && list[position - 1].weight < entry.weight) {
        position--;
    }
    if (position == max) {
        return count;
    }
    guint retained = MIN(count, max - 1);
    memmove(&list[position + 1], &list[position],
            (retained - position) * sizeof(*list));
    list[position] = entry;
    return retained + 1;
}

guint
MemberTable_findFirst(const MemberTable_t *this, const char *key,
                      const Member_t **out, guint max)
{
    Ranked_t *list = g_newa(Ranked_t, max);
    guint count = 0;
    if (!this->self.leaving) {
        Ranked_t self = {rendezvous_weight(&this->self, key), NULL};
        count = insert_ranked(list, count, max, self);
    }
    for (guint i = 0; i < this->live->len; i++) {
        const Member_t *member = g_ptr_array_index(this->live, i);
        Ranked_t entry = {rendezvous_weight(member, key), member};
        if (!member->leaving) {
            count = insert_ranked(list, count, max, entry);
        }
    }
    for (guint i = 0; i < count; i++) {
        out[i] = list[i].member;
    }
    return count;
}

guint
MemberTable_localRank(const MemberTable_t *this, const char *key,
                      const char *hall)
{
    guint rank = 0;
    guint64 self_weight = rendezvous_weight(&this->self, key);
    for (guint i = 0; i < this->live->len; i++) {
        const Member_t *member = g_ptr_array_index(this->live, i);
        if ((!hall || strcmp(member->hall->str, hall) == 0) &&
            !member->leaving && rendezvous_weight(member, key) > self_weight) {
            rank++;
        }
    }
    return rank;
}

static gboolean
precedes_self(const MemberTable_t *this, const Member_t *member,
              const char *key, guint64 self_weight)
{
    if (member->link_mbit != this->self.link_mbit) {
        return member->link_mbit > this->self.link_mbit;
    }
    return rendezvous_weight(member, key) > self_weight;
}

guint
MemberTable_rankByLink(const MemberTable_t *this, const char *key)
{
    guint rank = 0;
    guint64 self_weight = rendezvous_weight(&this->self, key);
    for (guint i = 0; i < this->live->len; i++) {
        const Member_t *member = g_ptr_array_index(this->live, i);
        if (!member->leaving &&
            precedes_self(this, member, key, self_weight)) {
            rank++;
        }
    }
    return rank;
}
