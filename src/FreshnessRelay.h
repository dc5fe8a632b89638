#ifndef HEADER_FreshnessRelay
#define HEADER_FreshnessRelay
/**
 * DOC: FreshnessRelay
 *
 * A few routers ask the store often whether the operators' records have an
 * end that is known; they tell the others the offset of that end and how old
 * the knowledge is. Who has read up to the same offset knows that nothing
 * newer existed then, without a call of its own. Ages are counted by the
 * monotonic clock and only grow on the way.
 */
#include "Membership.h"
#include "StorePosition.h"

/**
 * struct FreshnessRelayEvents_t - what it tells its owner
 * @fresh: the topic ended at @end at the time @at_ms (monotonic), as
 *     router @from tells, which is valid during the call; TRUE where all
 *     records before it are known here, so that it may be passed on: who hears
 *     of it asks for them
 * @version: of the configuration in force, which is told along; 0 for none
 */
typedef struct {
    gboolean (*fresh)(void *owner, Member_t *from, StorePosition_t end,
                      gint64 at_ms);
    guint64 (*version)(void *owner);
} FreshnessRelayEvents_t;

/** struct FreshnessRelay_t - opaque */
typedef struct FreshnessRelay FreshnessRelay_t;

/** FreshnessRelay_create() - knows nothing yet */
FreshnessRelay_t *FreshnessRelay_create(struct event_base *base,
                                        Membership_t *membership,
                                        const FreshnessRelayEvents_t *events,
                                        void *owner);

/** FreshnessRelay_destroy() - free it */
void FreshnessRelay_destroy(FreshnessRelay_t *this);

/** FreshnessRelay_rank() - this router's place among those that ask; none,
 * G_MAXUINT, before it had time to learn of the others */
guint FreshnessRelay_rank(const FreshnessRelay_t *this);

/** FreshnessRelay_isReader() - whether this router is to ask often; never
 * before it had time to learn of the others */
gboolean FreshnessRelay_isReader(const FreshnessRelay_t *this);

/** FreshnessRelay_note() - this router has asked the store itself */
void FreshnessRelay_note(FreshnessRelay_t *this, StorePosition_t end,
                         gint64 at_ms);

/** FreshnessRelay_mayHaveWaited() - whether what a peer has sent may have
 * waited here, so that it is older than it says */
gboolean FreshnessRelay_mayHaveWaited(const FreshnessRelay_t *this);

/** FreshnessRelay_take() - a peer's message; passed over where it may have
 * waited here, as its age is not known then */
void FreshnessRelay_take(FreshnessRelay_t *this, Member_t *from,
                         const Wt__ConfigCurrent *message);

/** FreshnessRelay_introduce() - tell a router that was linked just now */
void FreshnessRelay_introduce(const FreshnessRelay_t *this, Member_t *member);

/** FreshnessRelay_tellNow() - do not wait for the next turn */
void FreshnessRelay_tellNow(FreshnessRelay_t *this);

#endif
