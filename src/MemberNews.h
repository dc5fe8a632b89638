#ifndef HEADER_MemberNews
#define HEADER_MemberNews
/**
 * DOC: MemberNews
 *
 * Which news of routers each link has still to be sent. Load pattern: all
 * routers of a fleet start at once and know three seeds; until they know each
 * other they take the same work, each as if it were alone: they read the store
 * for all, and place requests for the same engines without knowing of each
 * other. News goes once over each link, in order, and a new link gets all of
 * it; what is sent so reaches everyone over any path. Facts sent at random
 * take a multiple of that (to 295 routers that started at once 83 of 294
 * others were known after 14 s, the mean of the log lines of 43).
 *
 * Limits: what one router sends is bounded by an allowance that is saved up
 * while there is little news, as a start needs the facts of all others over
 * each of its links at once, and hardly anything afterwards. A seed that
 * hundreds have linked would spend it on the first of them. It therefore tells
 * most of them only enough for links of their own, over which news comes.
 */
#include "MemberTable.h"

/** struct MemberNews_t - opaque */
typedef struct MemberNews MemberNews_t;

/** MemberNews_create() - no news; @table must outlive it */
MemberNews_t *MemberNews_create(MemberTable_t *table);

/** MemberNews_destroy() - free it */
void MemberNews_destroy(MemberNews_t *this);

/** MemberNews_note() - a router of the table, or this one, has news for all */
void MemberNews_note(MemberNews_t *this, Member_t *member);

/**
 * MemberNews_pending() - what a linked router is to be told now
 * @fed: whether it is told all news
 *
 * Return: Member_t * in the order in which they are to be told, valid until
 * the next call; NULL where there is nothing
 */
const GPtrArray *MemberNews_pending(MemberNews_t *this, const Member_t *peer,
                                    gboolean fed);

/** MemberNews_told() - a linked router was told of another one */
void MemberNews_told(Member_t *peer, const Member_t *member, gboolean fed);

/** MemberNews_wasToldAll() - there is nothing left to tell a linked router */
gboolean MemberNews_wasToldAll(const MemberNews_t *this, const Member_t *peer);

/**
 * MemberNews_grow() - time has passed
 * @rate: bytes of gossip that may be sent in a second
 */
void MemberNews_grow(MemberNews_t *this, gint64 rate, gint64 passed_ms);

/** MemberNews_allowance() - bytes that may be sent now */
gsize MemberNews_allowance(const MemberNews_t *this);

/** MemberNews_spend() - so many bytes were sent */
void MemberNews_spend(MemberNews_t *this, gsize bytes);

#endif
