#ifndef HEADER_RateLinks
#define HEADER_RateLinks
/**
 * DOC: RateLinks
 *
 * How routers that keep counts of limits for each other (RateKeeper.h) see and
 * reach one another: which routers may keep a count, and the messages between
 * them. The transport is a table of functions.
 */
#include "RateCountTable.h"
#include "Reach.h"
#include "peer.pb-c.h"

/** How long a router waits for a reply, in ms: twice the round trip between
 * halls, and one iteration of a busy event loop */
#define RATE_REPLY_TIMEOUT_MS 25

/** Identity of this router among the candidates */
#define RATE_SELF 0

/** Most candidates for keeping a subject's count. When two fifths of the
 * routers are cut off, they include at least one of 8 candidates in 98 of 100
 * partitions. */
#define RATE_CANDIDATES_MAX 8

/**
 * struct RateLinksClass_t - functions of the transport; each of the other
 * routers has an identity that is not RATE_SELF
 * @candidates: finds the routers that may keep a subject's count, ordered by
 *     rank from the highest; returns their number
 * @routers: returns the number of known routers, this one included
 * @fleet_size: returns the number of routers, those included that are probably
 *     cut off (FleetSize.h)
 * @remembered_size: returns the part of @fleet_size that is no guess
 * @note_fleet_size: another router has told its @remembered_size
 * @draw_sample: draws a random sample of the other routers
 * @send: sends a message, which may be lost
 * @schedule_tick: schedules a call of RateKeeper_tick() after at most @in_ms
 */
typedef struct {
    guint (*candidates)(void *owner, const char *subject,
                        guint64 out[RATE_CANDIDATES_MAX]);
    guint (*routers)(void *owner);
    guint (*fleet_size)(void *owner);
    guint (*remembered_size)(void *owner);
    void (*note_fleet_size)(void *owner, guint routers);
    void (*draw_sample)(void *owner, ReachSample_t *out);
    void (*send)(void *owner, guint64 router, const Wt__PeerMessage *message);
    void (*schedule_tick)(void *owner, gint64 in_ms);
} RateLinksClass_t;

/**
 * struct RateLinks_t - a transport and its owner
 * @class: functions of the transport
 * @owner: first argument of each function
 * @ticket: ticket of the last query
 */
typedef struct {
    const RateLinksClass_t *class;
    void *owner;
    guint64 ticket;
} RateLinks_t;

/** RateLinks_candidates() - find the routers that may keep a subject's count;
 * returns their number */
guint RateLinks_candidates(const RateLinks_t *this, const char *subject,
                           guint64 out[RATE_CANDIDATES_MAX]);

/** RateLinks_scheduleTick() - schedule a call of RateKeeper_tick() after at
 * most @in_ms */
void RateLinks_scheduleTick(const RateLinks_t *this, gint64 in_ms);

/** RateLinks_nextTicket() - ticket for a new query */
guint64 RateLinks_nextTicket(RateLinks_t *this);

/** RateLinks_sendQuery() - send a query or a report to the router that keeps a
 * subject's count */
void RateLinks_sendQuery(const RateLinks_t *this, guint64 router,
                         const RateClaim_t *claim, guint64 ticket);

/** RateLinks_sendProbe() - ask a router for a sign of life */
void RateLinks_sendProbe(const RateLinks_t *this, guint64 router,
                         guint64 ticket);

/** RateLinks_sendProbeReply() - reply to a probe */
void RateLinks_sendProbeReply(const RateLinks_t *this, guint64 router,
                              guint64 ticket);

/** RateLinks_sendReply() - send a decision to a router; @ticket is 0 if it
 * does not reply to a query */
void RateLinks_sendReply(const RateLinks_t *this, guint64 router,
                         const char *subject, guint64 ticket,
                         const RateDecision_t *decision);

/** RateLinks_sendRedirect() - reply to a query that @target has to be queried
 * instead of this router */
void RateLinks_sendRedirect(const RateLinks_t *this, guint64 router,
                            const Wt__RateAsk *ask, guint64 target);

#endif
