#include "MemberAsks.h"

#include "Random.h"

/* So many asks, the first after so long and each further one after twice the
 * time. */
#define ASKS 6
#define FIRST_MS 1000

void
MemberAsks_init(MemberAsks_t *this, gint64 now_ms)
{
    *this = (MemberAsks_t){.next_ms = now_ms + FIRST_MS};
}

static void
ask(const MemberTable_t *table, const Member_t *member)
{
    Wt__MembersAsk body = WT__MEMBERS_ASK__INIT;
    Wt__PeerMessage message = WT__PEER_MESSAGE__INIT;
    body.known = MemberTable_placed(table);
    message.body_case = WT__PEER_MESSAGE__BODY_MEMBERS_ASK;
    message.members_ask = &body;
    PeerLink_send(member->link, &message);
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
    this->next_ms = now_ms + ((gint64)FIRST_MS << this->sent);
    this->sent++;
}

void
MemberAsks_take(const MemberTable_t *table, Member_t *from, guint known)
{
    guint placed = MemberTable_placed(table);
    if (placed > known) {
        from->told = 0;
        from->wants_all = TRUE;
    }
    else if (placed < known) {
        ask(table, from);
    }
}
