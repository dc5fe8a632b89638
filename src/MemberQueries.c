#include "MemberQueries.h"

#include "NameFilter.h"
#include "Random.h"

/* Queries stop after this number in a row without new routers. The first of
 * them waits FIRST_RETRY_MS, and the wait doubles with each further one. */
#define QUERIES_WITHOUT_GAIN_MAX 6
#define FIRST_RETRY_MS 1000
/* Interval of queries while they bring new routers. All routers then know what
 * they know together after about log2(number of routers) queries. */
#define GAIN_INTERVAL_MS 250

void
MemberQueries_init(MemberQueries_t *this, gint64 now_ms)
{
    *this = (MemberQueries_t){.next_ms = now_ms + GAIN_INTERVAL_MS};
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
send_query(const MemberTable_t *table, const Member_t *member)
{
    Wt__MembersAsk body = WT__MEMBERS_ASK__INIT;
    Wt__PeerMessage message = WT__PEER_MESSAGE__INIT;
    NameFilter_t filter;
    fill_filter(&filter, table);
    body.known = MemberTable_countAddressed(table);
    body.filter.data = filter.bits->data;
    body.filter.len = filter.bits->len;
    body.seed = filter.seed;
    message.body_case = WT__PEER_MESSAGE__BODY_MEMBERS_ASK;
    message.members_ask = &body;
    PeerLink_send(member->link, &message);
    NameFilter_clear(&filter);
}

void
MemberQueries_tick(MemberQueries_t *this, MemberTable_t *table, gint64 now_ms)
{
    if (this->unproductive_count == QUERIES_WITHOUT_GAIN_MAX ||
        now_ms < this->next_ms) {
        return;
    }
    const GPtrArray *linked = MemberTable_listLinked(table);
    if (linked->len == 0) {
        return;
    }
    send_query(table, g_ptr_array_index(linked, Random_below(linked->len)));
    guint addressed = MemberTable_countAddressed(table);
    if (addressed > this->addressed) {
        this->addressed = addressed;
        this->unproductive_count = 0;
        this->next_ms = now_ms + GAIN_INTERVAL_MS;
        return;
    }
    this->next_ms =
        now_ms + ((gint64)FIRST_RETRY_MS << this->unproductive_count);
    this->unproductive_count++;
}

static gboolean
is_unknown(const Member_t *member, const Wt__MembersAsk *query)
{
    return member->address.port != 0 &&
           !NameFilter_mayContain(query->filter.data, query->filter.len,
                                  query->seed, member->name->str,
                                  member->incarnation);
}

static void
add_all(GPtrArray *out, const MemberTable_t *table, const Member_t *excluded)
{
    for (guint i = 0; i < table->live->len; i++) {
        Member_t *member = g_ptr_array_index(table->live, i);
        if (member != excluded && member->address.port != 0) {
            g_ptr_array_add(out, member);
        }
    }
}

static void
add_unknown(GPtrArray *out, MemberTable_t *table, const Member_t *requester,
            const Wt__MembersAsk *query)
{
    guint start = table->live->len > 0 ? Random_below(table->live->len) : 0;
    for (guint i = 0; i < table->live->len; i++) {
        Member_t *member =
            g_ptr_array_index(table->live, (start + i) % table->live->len);
        if (member != requester && is_unknown(member, query)) {
            g_ptr_array_add(out, member);
        }
    }
    if (is_unknown(&table->self, query)) {
        g_ptr_array_add(out, &table->self);
    }
}

/* If false positives of the filter hide the routers that the requester lacks,
 * the reply has all routers. */
GPtrArray *
MemberQueries_receive(MemberTable_t *table, const Member_t *requester,
                      const Wt__MembersAsk *query)
{
    GPtrArray *unknown = g_ptr_array_new();
    guint addressed = MemberTable_countAddressed(table);
    add_unknown(unknown, table, requester, query);
    if (unknown->len == 0 && addressed > query->known) {
        add_all(unknown, table, requester);
    }
    if (addressed < query->known && requester->link) {
        send_query(table, requester);
    }
    return unknown;
}
