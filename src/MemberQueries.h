#ifndef HEADER_MemberQueries
#define HEADER_MemberQueries
/**
 * DOC: MemberQueries
 *
 * Lets a router that has started query its peers for the routers that it does
 * not know. Updates about routers go first to peers that opened the link
 * (MemberTable.h). A router that starts before the others already has all the
 * links that it wants when the others start; they link to it, and none of them
 * sends it updates. A query holds a filter of two bytes for each known router,
 * and the reply has only the routers that are missing from the filter, so that
 * each router is sent to the requester about once, however many links there
 * are.
 */
#include "MemberTable.h"

/**
 * struct MemberQueries_t - state of the queries of one router since its start
 * @unproductive_count: queries since the last one that was followed by new
 *     routers
 * @addressed: routers with a known address at the last productive query
 * @next_ms: time of the next query, monotonic
 */
typedef struct {
    guint unproductive_count;
    guint addressed;
    gint64 next_ms;
} MemberQueries_t;

/** MemberQueries_init() - initialize the state before the first query */
void MemberQueries_init(MemberQueries_t *this, gint64 now_ms);

/** MemberQueries_tick() - query a random linked router if a query is due */
void MemberQueries_tick(MemberQueries_t *this, MemberTable_t *table,
                        gint64 now_ms);

/**
 * MemberQueries_receive() - handle a query of a linked router
 *
 * If this router knows fewer routers than the requester, it queries the
 * requester in turn.
 *
 * Return: Member_t * that the requester does not know, starting with a random
 * one
 */
GPtrArray *MemberQueries_receive(MemberTable_t *table,
                                 const Member_t *requester,
                                 const Wt__MembersAsk *query);

#endif
