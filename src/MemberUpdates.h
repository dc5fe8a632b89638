#ifndef HEADER_MemberUpdates
#define HEADER_MemberUpdates
/**
 * DOC: MemberUpdates
 *
 * Tracks which updates about routers are still to be sent over each link.
 *
 * Load pattern: all routers of a fleet start at once and know three seeds.
 * Until they know each other, each of them does work that one router should do
 * for all: each reads the store, and each places requests on the same engines
 * without knowing of the others. Updates are sent once over each link, in
 * order, and a new link gets all of them, so that they reach every router over
 * any path. Sending facts to random peers takes several times as many
 * messages.
 *
 * Limits: an allowance bounds the bytes that one router sends. The allowance
 * accumulates while there are few updates, because a start needs the facts of
 * all other routers over each link at once and hardly any afterwards. A seed
 * that hundreds of routers have linked to would spend its allowance on the
 * first of them. It therefore sends most peers only a sample of the routers,
 * which is enough for them to open links of their own and get the updates over
 * those.
 */
#include "MemberTable.h"

/** struct MemberUpdates_t - opaque */
typedef struct MemberUpdates MemberUpdates_t;

/** MemberUpdates_create() - create a tracker without updates; @table must
 * outlive it */
MemberUpdates_t *MemberUpdates_create(MemberTable_t *table);

/** MemberUpdates_destroy() - free the tracker */
void MemberUpdates_destroy(MemberUpdates_t *this);

/** MemberUpdates_note() - a router of the table, or this router, has changed;
 * its state is to be sent to all */
void MemberUpdates_note(MemberUpdates_t *this, Member_t *member);

/**
 * MemberUpdates_listPending() - list the routers to send to a linked router
 * now
 * @send_all: whether the peer gets all updates, or only a sample of the
 * routers
 *
 * Return: Member_t * in sending order, valid until the next call; NULL if
 * there is none
 */
const GPtrArray *MemberUpdates_listPending(MemberUpdates_t *this,
                                           const Member_t *peer,
                                           gboolean send_all);

/** MemberUpdates_noteSent() - the state of @member was sent to a linked router
 */
void MemberUpdates_noteSent(Member_t *peer, const Member_t *member,
                            gboolean send_all);

/** MemberUpdates_hasSentAll() - whether a linked router was sent all updates
 */
gboolean MemberUpdates_hasSentAll(const MemberUpdates_t *this,
                                  const Member_t *peer);

/**
 * MemberUpdates_refillAllowance() - add to the allowance for elapsed time
 * @rate: bytes of gossip that may be sent per second
 */
void MemberUpdates_refillAllowance(MemberUpdates_t *this, gint64 rate,
                                   gint64 elapsed_ms);

/** MemberUpdates_allowance() - bytes that may be sent now */
gsize MemberUpdates_allowance(const MemberUpdates_t *this);

/** MemberUpdates_charge() - subtract sent bytes from the allowance */
void MemberUpdates_charge(MemberUpdates_t *this, gsize bytes);

#endif
