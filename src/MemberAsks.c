#include "MemberAsks.h"

#include "NameFilter.h"
#include "Random.h"

/* So many asks that bring nothing, the first after so long and each further
 * one after twice the time. */
#define ASKS 6
#define FIRST_MS 1000
/* While asks bring routers the next one comes so soon: what all know together
 * is then known to each after as many asks as the number of routers has
 * doublings, or a few more. */
#define GROWING_MS 250

void
MemberAsks_init(MemberAsks_t *this, gint64 now_ms)
{
    *this = (MemberAsks_t){.next_ms = now_ms + GROWING_MS};
}

static void
fill_filter(NameFilter_t *out, const MemberTable_t *table)
{
    NameFilter_init(out, table->live->len + 1, Random_below(G_MAXINT32));
    NameFilter_add(out, table->self.name->str, table->self.incarnation);
    for (guint i = 0; i < table->live->len; i++) {
        const Member_t *member = g_ptr_array_index(table->live, i);
        if (member->address.port != 0) {
            NameFilter_add(out, member->name->str, member->incarnation);
        }
    }
}

static void
ask(const MemberTable_t *table, const Member_t *member)
{
    Wt__MembersAsk body = WT__MEMBERS_ASK__INIT;
    Wt__PeerMessage message = WT__PEER_MESSAGE__INIT;
    NameFilter_t filter;
    fill_filter(&filter, table);
    body.known = MemberTable_placed(table);
    body.filter.data = filter.bits->data;
    body.filter.len = filter.bits->len;
    body.seed = filter.seed;
    message.body_case = WT__PEER_MESSAGE__BODY_MEMBERS_ASK;
    message.members_ask = &body;
    PeerLink_send(member->link, &message);
    NameFilter_clear(&filter);
}

void
MemberAsks_tick(MemberAsks_t *this, MemberTable_t *table, gint64 now_ms)
{
    if (this->sent == ASKS || now_ms < this->next_ms) {
        return;
    }
    const GPtrArray *linked = MemberTable_linked(table);
    if (linked->len == 0) {
        return;
    }
    ask(table, g_ptr_array_index(linked, Random_below(linked->len)));
    guint placed = MemberTable_placed(table);
    if (placed > this->placed) {
        this->placed = placed;
        this->sent = 0;
        this->next_ms = now_ms + GROWING_MS;
        return;
    }
    this->next_ms = now_ms + ((gint64)FIRST_MS << this->sent);
    this->sent++;
}

static gboolean
is_unknown(const Member_t *member, const Wt__MembersAsk *asked)
{
    return member->address.port != 0 &&
           !NameFilter_has(asked->filter.data, asked->filter.len, asked->seed,
                           member->name->str, member->incarnation);
}

static void
add_all(GPtrArray *out, const MemberTable_t *table, const Member_t *but)
{
    for (guint i = 0; i < table->live->len; i++) {
        Member_t *member = g_ptr_array_index(table->live, i);
        if (member != but && member->address.port != 0) {
            g_ptr_array_add(out, member);
        }
    }
}

static void
add_unknown(GPtrArray *out, MemberTable_t *table, const Member_t *from,
            const Wt__MembersAsk *asked)
{
    guint start = table->live->len > 0 ? Random_below(table->live->len) : 0;
    for (guint i = 0; i < table->live->len; i++) {
        Member_t *member =
            g_ptr_array_index(table->live, (start + i) % table->live->len);
        if (member != from && is_unknown(member, asked)) {
            g_ptr_array_add(out, member);
        }
    }
    if (is_unknown(&table->self, asked)) {
        g_ptr_array_add(out, &table->self);
    }
}

/* Where the filter hides the one that the asker lacks, it is told all. */
GPtrArray *
MemberAsks_take(MemberTable_t *table, const Member_t *from,
                const Wt__MembersAsk *asked)
{
    GPtrArray *unknown = g_ptr_array_new();
    guint placed = MemberTable_placed(table);
    add_unknown(unknown, table, from, asked);
    if (unknown->len == 0 && placed > asked->known) {
        add_all(unknown, table, from);
    }
    if (placed < asked->known && from->link) {
        ask(table, from);
    }
    return unknown;
}
