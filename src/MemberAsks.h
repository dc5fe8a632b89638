#ifndef HEADER_MemberAsks
#define HEADER_MemberAsks
/**
 * DOC: MemberAsks
 *
 * Asks for all routers, by one that has started. News of routers goes to those
 * that make a link (MemberTable.h); routers that start before the others have
 * all the links that they want when those come, are linked by them, and are
 * told by nobody. An ask says in two bytes for each router which ones are
 * known, and the answer has only the others, so that each is told each of them
 * about once, however many links there are.
 */
#include "MemberTable.h"

/**
 * struct MemberAsks_t - of one router since its start
 * @sent: asks so far that found nothing new
 * @placed: routers whose place was known at the last ask
 * @next_ms: when the next one is due, monotonic
 */
typedef struct {
    guint sent;
    guint placed;
    gint64 next_ms;
} MemberAsks_t;

/** MemberAsks_init() - none was sent */
void MemberAsks_init(MemberAsks_t *this, gint64 now_ms);

/** MemberAsks_tick() - ask a linked router drawn by chance, if it is time */
void MemberAsks_tick(MemberAsks_t *this, MemberTable_t *table, gint64 now_ms);

/**
 * MemberAsks_take() - a linked router asks
 *
 * Who knows fewer asks back.
 *
 * Return: Member_t * that the asker does not know, in an order drawn by chance
 */
GPtrArray *MemberAsks_take(MemberTable_t *table, const Member_t *from,
                           const Wt__MembersAsk *asked);

#endif
