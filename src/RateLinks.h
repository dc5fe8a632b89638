#ifndef HEADER_RateLinks
#define HEADER_RateLinks
/**
 * DOC: RateLinks
 *
 * What routers that keep counts of limits for each other (RateKeeper.h) see of
 * one another: who may keep a count, and what is sent to whom. How it is sent
 * is a table of functions.
 */
#include "RateBook.h"
#include "Reach.h"
#include "peer.pb-c.h"

/** How long a router waits for an answer, in ms: the round trip between
 * halls, twice, and a turn of a busy loop */
#define RATE_WAIT_MS 25

/** Identity of this router among those that may keep a count */
#define RATE_SELF 0

/** How many may keep a subject's count; of a part with two in five of the
 * routers it has one at least in 98 of 100 cuts */
#define RATE_CANDIDATES 8

/**
 * struct RateLinksClass_t - the other routers; each has an identity that is
 * not RATE_SELF
 * @candidates: those that may keep a subject's count, the first in rank
 *     first; returns how many
 * @routers: how many there are, this one included
 * @draw: some by chance
 * @send: a message, which may be lost
 * @wake: call RateKeeper_tick() in so long at the latest
 */
typedef struct {
    guint (*candidates)(void *owner, const char *subject,
                        guint64 out[RATE_CANDIDATES]);
    guint (*routers)(void *owner);
    void (*draw)(void *owner, ReachSample_t *out);
    void (*send)(void *owner, guint64 router, const Wt__PeerMessage *message);
    void (*wake)(void *owner, gint64 in_ms);
} RateLinksClass_t;

/**
 * struct RateLinks_t - the table and its owner
 * @class: how it is done
 * @owner: first argument of each function
 * @ticket: of the last question
 */
typedef struct {
    const RateLinksClass_t *class;
    void *owner;
    guint64 ticket;
} RateLinks_t;

/** RateLinks_candidates() - who may keep a subject's count; how many */
guint RateLinks_candidates(const RateLinks_t *this, const char *subject,
                           guint64 out[RATE_CANDIDATES]);

/** RateLinks_wake() - something is due in so long */
void RateLinks_wake(const RateLinks_t *this, gint64 in_ms);

/** RateLinks_nextTicket() - of a new question */
guint64 RateLinks_nextTicket(RateLinks_t *this);

/** RateLinks_ask() - ask or tell the keeper of a subject's count */
void RateLinks_ask(const RateLinks_t *this, guint64 router,
                   const RateClaim_t *claim, guint64 ticket);

/** RateLinks_probe() - ask a router for a sign of life */
void RateLinks_probe(const RateLinks_t *this, guint64 router, guint64 ticket);

/** RateLinks_show() - give a sign of life */
void RateLinks_show(const RateLinks_t *this, guint64 router, guint64 ticket);

/** RateLinks_answer() - tell a router what was decided; @ticket is 0 where it
 * did not ask */
void RateLinks_answer(const RateLinks_t *this, guint64 router,
                      const char *subject, guint64 ticket,
                      const RateRuling_t *ruling);

/** RateLinks_sendOn() - tell a router to ask another one */
void RateLinks_sendOn(const RateLinks_t *this, guint64 router,
                      const Wt__RateAsk *ask, guint64 better);

#endif
