#include "MemberTable.h"

#include <string.h>
#include <xxhash.h>

#include "Clock.h"
#include "Log.h"

/* Routers up to which each is named as it joins. */
#define MEMBERS_NAMED 64

/* Of those that are told all news, so many are of the own hall where there
 * are as many: a message between halls costs more than one within a hall. */
#define FED_OF_HALL 5

/* A router by its place in a key's order; NULL for this one. */
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

static gint
compare_members(gconstpointer a, gconstpointer b)
{
    const Member_t *left = *(Member_t *const *)a;
    const Member_t *right = *(Member_t *const *)b;
    return strcmp(left->name->str, right->name->str);
}

static void
list_live(MemberTable_t *this)
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

/* In the order of names; to sort all for each of 1,000 that join at once takes
 * a small machine seconds. */
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

/* Where there are many they are counted, or a start would be a line for each
 * pair of routers. */
static void
log_joined(MemberTable_t *this, const char *name)
{
    if (this->live->len > MEMBERS_NAMED) {
        this->unnamed++;
        return;
    }
    Log_begin(LOG_LEVEL_INFO, "member_joined");
    Log_text("member", name);
    Log_number("members", this->live->len);
    Log_end();
}

void
MemberTable_logUnnamed(MemberTable_t *this)
{
    if (this->unnamed == 0) {
        return;
    }
    Log_begin(LOG_LEVEL_INFO, "members_joined");
    Log_number("joined", this->unnamed);
    Log_number("members", this->live->len);
    Log_end();
    this->unnamed = 0;
}

Member_t *
MemberTable_findOrMake(MemberTable_t *this, const char *name)
{
    Member_t *member = g_hash_table_lookup(this->by_name, name);
    if (member) {
        return member;
    }
    member = g_new0(Member_t, 1);
    member->name = g_string_new(name);
    member->hall = g_string_new(NULL);
    member->heard_ms = Clock_nowMs();
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
is_gone(gpointer name, gpointer value, gpointer before)
{
    const Member_t *member = value;
    if (member->heard_ms > *(gint64 *)before) {
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
    if (g_hash_table_foreach_remove(this->by_name, is_gone, &before_ms) > 0) {
        list_live(this);
    }
}

static guint
own_place(const MemberTable_t *this)
{
    guint place = 0;
    while (place < this->live->len) {
        const Member_t *member = g_ptr_array_index(this->live, place);
        if (strcmp(member->name->str, this->self.name->str) > 0) {
            break;
        }
        place++;
    }
    return place;
}

gboolean
MemberTable_isOfHall(const MemberTable_t *this, const Member_t *member)
{
    return g_string_equal(member->hall, this->self.hall);
}

/* Linked ones from a place on, of the own hall or of others. */
static void
add_those(const MemberTable_t *this, guint place, gboolean of_hall,
          gboolean asked)
{
    for (guint i = 0; i < this->live->len; i++) {
        Member_t *member =
            g_ptr_array_index(this->live, (place + i) % this->live->len);
        if (member->link && member->asked == asked &&
            MemberTable_isOfHall(this, member) == of_hall) {
            g_ptr_array_add(this->linked, member);
        }
    }
}

/* By name alone, one router in 60 was at times told news by none of the six
 * that it had linked, and knew half of the others. */
static void
add_linked(const MemberTable_t *this, guint place, gboolean of_hall)
{
    add_those(this, place, of_hall, TRUE);
    add_those(this, place, of_hall, FALSE);
}

/* The first of other halls come before the last of the own one. */
static void
mix_halls(const MemberTable_t *this, guint of_hall)
{
    gpointer *list = this->linked->pdata;
    guint far = this->linked->len - of_hall;
    guint swapped = MIN(far, MEMBER_TABLE_FED - FED_OF_HALL);
    for (guint i = 0; i < swapped && FED_OF_HALL + i < of_hall; i++) {
        gpointer held = list[FED_OF_HALL + i];
        list[FED_OF_HALL + i] = list[of_hall + i];
        list[of_hall + i] = held;
    }
}

const GPtrArray *
MemberTable_linked(MemberTable_t *this)
{
    guint place = own_place(this);
    g_ptr_array_set_size(this->linked, 0);
    add_linked(this, place, TRUE);
    guint of_hall = this->linked->len;
    add_linked(this, place, FALSE);
    mix_halls(this, of_hall);
    return this->linked;
}

guint
MemberTable_placed(const MemberTable_t *this)
{
    guint placed = 0;
    for (guint i = 0; i < this->live->len; i++) {
        const Member_t *member = g_ptr_array_index(this->live, i);
        placed += member->address.port != 0 ? 1 : 0;
    }
    return placed;
}

guint
MemberTable_links(const MemberTable_t *this)
{
    guint links = 0;
    for (guint i = 0; i < this->live->len; i++) {
        const Member_t *member = g_ptr_array_index(this->live, i);
        links += member->link ? 1 : 0;
    }
    return links;
}

guint
MemberTable_liveCount(const MemberTable_t *this)
{
    guint count = this->self.leaving ? 0 : 1;
    for (guint i = 0; i < this->live->len; i++) {
        const Member_t *member = g_ptr_array_index(this->live, i);
        count += member->leaving ? 0 : 1;
    }
    return MAX(count, 1);
}

static guint64
weight_of(const Member_t *member, const char *key)
{
    guint64 seed = XXH3_64bits(key, strlen(key));
    return XXH3_64bits_withSeed(member->name->str, member->name->len, seed);
}

static Member_t *
first_of(const MemberTable_t *this, const char *key, gint64 now_ms)
{
    Member_t *best = NULL;
    guint64 most = this->self.leaving ? 0 : weight_of(&this->self, key);
    for (guint i = 0; i < this->live->len; i++) {
        Member_t *member = g_ptr_array_index(this->live, i);
        if (member->leaving || member->unanswered_until_ms > now_ms) {
            continue;
        }
        guint64 weight = weight_of(member, key);
        if (weight > most) {
            most = weight;
            best = member;
        }
    }
    return best;
}

Member_t *
MemberTable_owner(const MemberTable_t *this, const char *key)
{
    return first_of(this, key, G_MAXINT64);
}

Member_t *
MemberTable_answering(const MemberTable_t *this, const char *key,
                      gint64 now_ms)
{
    return first_of(this, key, now_ms);
}

/* Keeps the order; the last one falls out where there is no room. */
static guint
insert_ranked(Ranked_t *list, guint count, guint most, Ranked_t entry)
{
    guint at = count;
    while (at > 0 && list[at - 1].weight < entry.weight) {
        at--;
    }
    if (at == most) {
        return count;
    }
    guint kept = MIN(count, most - 1);
    memmove(&list[at + 1], &list[at], (kept - at) * sizeof(*list));
    list[at] = entry;
    return kept + 1;
}

guint
MemberTable_first(const MemberTable_t *this, const char *key,
                  const Member_t **out, guint most)
{
    Ranked_t *list = g_newa(Ranked_t, most);
    guint count = 0;
    if (!this->self.leaving) {
        Ranked_t own = {weight_of(&this->self, key), NULL};
        count = insert_ranked(list, count, most, own);
    }
    for (guint i = 0; i < this->live->len; i++) {
        const Member_t *member = g_ptr_array_index(this->live, i);
        Ranked_t entry = {weight_of(member, key), member};
        if (!member->leaving) {
            count = insert_ranked(list, count, most, entry);
        }
    }
    for (guint i = 0; i < count; i++) {
        out[i] = list[i].member;
    }
    return count;
}

guint
MemberTable_rank(const MemberTable_t *this, const char *key, const char *hall)
{
    guint rank = 0;
    guint64 own = weight_of(&this->self, key);
    for (guint i = 0; i < this->live->len; i++) {
        const Member_t *member = g_ptr_array_index(this->live, i);
        if ((!hall || strcmp(member->hall->str, hall) == 0) &&
            !member->leaving && weight_of(member, key) > own) {
            rank++;
        }
    }
    return rank;
}
