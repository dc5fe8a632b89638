#ifndef HEADER_Dispatch
#define HEADER_Dispatch
/**
 * DOC: Dispatch
 *
 * Where routers are too many to tell each other all of their load, each of
 * them knows next to nothing of an engine's queue. The engines are divided
 * into groups, and for each group one router, first in rank, places the
 * requests of all: it knows what it has placed and what has not ended
 * (Tickets.h). The others ask it by a datagram. Where it does not answer at
 * once, a router chooses for itself, and asks the next in rank for a while.
 * Two routers that take themselves for the first cost some balance, no more.
 */
#include "Counters.h"
#include "Membership.h"
#include "PeerDatagrams.h"
#include "Policy.h"

/** How long a router waits for an answer, in ms: the round trip between
 * halls, twice, and a turn of a busy loop */
#define DISPATCH_WAIT_MS 25

/** Engines of a group, about: enough to choose from, and few enough for one
 * router to place all of their requests */
#define DISPATCH_GROUP_SIZE 8

/**
 * struct DispatchTicket_t - a request that a dispatcher has placed
 * @id: 0 for none
 * @dispatcher: who has placed it
 */
typedef struct {
    guint64 id;
    struct sockaddr_in dispatcher;
} DispatchTicket_t;

/**
 * DispatchDone_t - the answer came, or did not
 * @choice: where it goes; without an upstream where the asker has to choose
 * @ticket: to be ended with Dispatch_end()
 */
typedef void (*DispatchDone_t)(void *owner, const Choice_t *choice,
                               const DispatchTicket_t *ticket);

/**
 * struct DispatchSpec_t - what it needs; all must outlive it
 * @membership: the routers
 * @datagrams: to all of them
 * @upstreams: to choose from
 * @policy: by which a dispatcher chooses
 * @counters: for questions
 * @prefer: fills in which weights are preferred for a model
 * @owner: of @prefer
 */
typedef struct {
    Membership_t *membership;
    PeerDatagrams_t *datagrams;
    UpstreamSet_t *upstreams;
    Policy_t *policy;
    Counters_t *counters;
    void (*prefer)(const void *owner, const char *model,
                   Placement_t *placement);
    const void *owner;
} DispatchSpec_t;

/** struct Dispatch_t - opaque */
typedef struct Dispatch Dispatch_t;

/** struct DispatchAsk_t - a question under way; opaque */
typedef struct DispatchAsk DispatchAsk_t;

/** Dispatch_create() - answer and ask */
Dispatch_t *Dispatch_create(struct event_base *base,
                            const DispatchSpec_t *spec);

/** Dispatch_destroy() - free it; no question may be open */
void Dispatch_destroy(Dispatch_t *this);

/** Dispatch_groups() - groups that so many engines are divided into; 1 where
 * routers share their loads instead */
guint Dispatch_groups(const Dispatch_t *this, guint engines);

/**
 * Dispatch_ask() - ask the dispatcher of the group of what was chosen here
 * @placement: what is weighed; without a prefix level nothing is asked
 * @model: whose weights are wanted, or NULL
 * @choice: of this router alone
 * @done: called once, unless the question is cancelled; not before the return
 * @owner: for @done
 *
 * Return: NULL where this router's choice stands
 */
DispatchAsk_t *Dispatch_ask(Dispatch_t *this, const Placement_t *placement,
                            const char *model, const Choice_t *choice,
                            DispatchDone_t done, void *owner);

/** Dispatch_cancel() - forget a question; its @done is not called */
void Dispatch_cancel(DispatchAsk_t *ask);

/** Dispatch_begin() - the first token of a ticket's request came after so
 * long; nothing where the ticket is none, as with the next two */
void Dispatch_begin(const Dispatch_t *this, const DispatchTicket_t *ticket,
                    gint64 waited_us);

/** Dispatch_refused() - its upstream refused a ticket's request, as not run */
void Dispatch_refused(const Dispatch_t *this, DispatchTicket_t *ticket);

/** Dispatch_end() - a ticket's request is over, or goes elsewhere */
void Dispatch_end(const Dispatch_t *this, DispatchTicket_t *ticket);

#endif
