#ifndef HEADER_Dispatch
#define HEADER_Dispatch
/**
 * DOC: Dispatch
 *
 * Places requests on engines when there are too many routers for each to
 * broadcast its load to all others, so that no router knows the length of an
 * engine's queue. The engines are divided into groups. The router that
 * rendezvous hashing ranks first for a group is the group's dispatcher: it
 * chooses the engine for the requests of all routers and tracks those that
 * have not ended (Tickets.h). The other routers query it by datagram. If the
 * dispatcher does not reply within DISPATCH_TIMEOUT_MS, the router chooses an
 * engine itself and queries the next router in rank for a while. Two routers
 * that both act as the dispatcher of a group only worsen the load balance.
 */
#include "Counters.h"
#include "DispatchMessages.h"
#include "Membership.h"
#include "PeerDatagrams.h"
#include "Policy.h"

/** How long a router waits for a dispatcher's answer, in ms: two round trips
 * between halls and one iteration of a busy event loop */
#define DISPATCH_TIMEOUT_MS 25

/** Approximate number of engines in a group: enough to choose from, and few
 * enough for one router to place all of their requests */
#define DISPATCH_GROUP_SIZE 8

/**
 * struct DispatchTicket_t - identifies a request that a dispatcher placed
 * @id: 0 if no dispatcher placed the request
 * @dispatcher: address of the router that placed it
 */
typedef struct {
    guint64 id;
    struct sockaddr_in dispatcher;
} DispatchTicket_t;

/**
 * struct DispatchAnswer_t - answer of a dispatcher
 * @choice: the dispatcher's choice; its upstream is NULL if the requester has
 *     to choose
 * @ticket: to be ended with Dispatch_endTicket(); its id is 0 after a timeout
 *     and for a refused request
 * @decision: whether the group admits the request; GROUP_ADMITTED if its
 *     engines are not partitioned
 */
typedef struct {
    Choice_t choice;
    DispatchTicket_t ticket;
    GroupDecision_t decision;
} DispatchAnswer_t;

/** DispatchDone_t - called when a query is answered or has timed out */
typedef void (*DispatchDone_t)(void *owner, const DispatchAnswer_t *answer);

/**
 * struct DispatchSpec_t - dependencies, which must outlive the Dispatch_t
 * @membership: the routers
 * @datagrams: carries messages to and from the other routers
 * @upstreams: the engines to choose from
 * @policy: chooses an engine where this router is the dispatcher
 * @partitions: partitions of the groups
 * @counters: counts answered and unanswered queries
 * @prefer: sets the preferred weights of a model in a placement
 * @owner: argument of @prefer
 */
typedef struct {
    Membership_t *membership;
    PeerDatagrams_t *datagrams;
    UpstreamSet_t *upstreams;
    Policy_t *policy;
    GroupPartitions_t *partitions;
    Counters_t *counters;
    void (*prefer)(const void *owner, const char *model,
                   Placement_t *placement);
    const void *owner;
} DispatchSpec_t;

/** struct Dispatch_t - opaque */
typedef struct Dispatch Dispatch_t;

/** struct DispatchQuery_t - a query awaiting its answer; opaque */
typedef struct DispatchQuery DispatchQuery_t;

/** Dispatch_create() - start to answer the queries of other routers */
Dispatch_t *Dispatch_create(struct event_base *base,
                            const DispatchSpec_t *spec);

/** Dispatch_destroy() - free it; no query may be pending */
void Dispatch_destroy(Dispatch_t *this);

/** Dispatch_countGroups() - number of groups for a number of engines; 1 if
 * routers broadcast their loads instead */
guint Dispatch_countGroups(const Dispatch_t *this, guint engines);

/**
 * Dispatch_nextGroup() - the group to ask after one has refused a request: any
 * other one, by the request
 * @key: see DispatchAdmission_t
 * @refused: group that has refused it
 * @groups: number of groups
 *
 * Return: as Placement_t.group; 0 if there is no other group
 */
guint Dispatch_nextGroup(guint64 key, guint refused, guint groups);

/**
 * Dispatch_groupsOf() - number of groups of the engines that serve a target
 *
 * Routers that disagree on it ask two dispatchers for one engine. Two that
 * partition a group reserve different engines of it, so that for a partitioned
 * target only engines count that can take work.
 */
guint Dispatch_groupsOf(const Dispatch_t *this, const char *target,
                        const GPtrArray *serving);

/**
 * Dispatch_query() - query the dispatcher of the group that @choice is in
 * @placement: the request; no query is sent if it has no prefix level
 * @model: model whose preferred weights apply, or NULL
 * @choice: what this router would choose by itself
 * @admission: see DispatchAdmission_t
 * @done: called once after this function has returned, unless the query is
 *     cancelled
 * @owner: argument of @done
 *
 * Return: the query, or NULL if no other router dispatches the request, so
 * that @choice is to be used
 */
DispatchQuery_t *Dispatch_query(Dispatch_t *this, const Placement_t *placement,
                                const char *model, const Choice_t *choice,
                                const DispatchAdmission_t *admission,
                                DispatchDone_t done, void *owner);

/**
 * Dispatch_decide() - decide on a request of this router in a group that it
 * dispatches for itself, after Dispatch_query() has returned NULL
 * @placement: the request
 * @choice: the engine chosen
 *
 * Return: the decision; GROUP_ADMITTED if the group is not partitioned
 */
GroupDecision_t Dispatch_decide(Dispatch_t *this, const Placement_t *placement,
                                const Choice_t *choice,
                                const DispatchAdmission_t *admission);

/** Dispatch_cancelQuery() - drop a query without calling its @done */
void Dispatch_cancelQuery(DispatchQuery_t *query);

/** Dispatch_reportFirstToken() - report how long a request took to its first
 * token to the dispatcher; no-op if the ticket's id is 0 */
void Dispatch_reportFirstToken(const Dispatch_t *this,
                               const DispatchTicket_t *ticket,
                               gint64 waited_us);

/** Dispatch_reportRefusal() - notify the dispatcher that the upstream refused
 * a request without running it, and end the ticket; no-op if its id is 0 */
void Dispatch_reportRefusal(const Dispatch_t *this, DispatchTicket_t *ticket);

/** Dispatch_endTicket() - notify the dispatcher that a request has ended or is
 * sent to another upstream; no-op if the ticket's id is 0 */
void Dispatch_endTicket(const Dispatch_t *this, DispatchTicket_t *ticket);

#endif
