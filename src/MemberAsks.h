#ifndef HEADER_MemberAsks
#define HEADER_MemberAsks
/**
 * DOC: MemberAsks
 *
 * Asks for all routers, by one that has started. News of routers goes to those
 * that make a link (MemberTable.h); routers that start before the others have
 * all the links that they want when those come, are linked by them, and are
 * told by nobody. Where both sides know as many, an ask costs ten bytes.
 */
#include "MemberTable.h"

/**
 * struct MemberAsks_t - of one router since its start
 * @sent: asks so far
 * @next_ms: when the next one is due, monotonic
 */
typedef struct {
    guint sent;
    gint64 next_ms;
} MemberAsks_t;

/** MemberAsks_init() - none was sent */
void MemberAsks_init(MemberAsks_t *this, gint64 now_ms);

/** MemberAsks_tick() - ask a linked router drawn by chance, if it is time */
void MemberAsks_tick(MemberAsks_t *this, MemberTable_t *table, gint64 now_ms);

/**
 * MemberAsks_take() - a linked router asks
 * @known: routers whose place it knows
 *
 * Who knows more has all of it told; who knows less asks back.
 */
void MemberAsks_take(const MemberTable_t *table, Member_t *from, guint known);

#endif
