#ifndef HEADER_Tickets
#define HEADER_Tickets
/**
 * DOC: Tickets
 *
 * What a dispatcher has placed for other routers and what has not ended yet.
 * Each ticket counts at its upstream (Upstream_t.ticket_tokens and
 * ticket_requests), as the router's own requests do. One of which nothing is
 * heard lapses, as the news of its end may be lost.
 */
#include <event2/event.h>

#include "FirstToken.h"

/** How long a ticket counts whose request has not begun, in ms: longer than
 * callers wait for most of their answers */
#define TICKET_BEGIN_MS 5000

/** How long it counts at all, in ms: the longest time limit of a route in use,
 * and some more */
#define TICKET_END_MS 20000

/** struct Tickets_t - opaque */
typedef struct Tickets Tickets_t;

/** Tickets_create() - none yet */
Tickets_t *Tickets_create(struct event_base *base);

/** Tickets_destroy() - all of them end */
void Tickets_destroy(Tickets_t *this);

/**
 * Tickets_add() - a request was placed
 * @id: of the ticket; one that is known already is passed over
 * @choice: where
 */
void Tickets_add(Tickets_t *this, guint64 id, const Placement_t *placement,
                 const Choice_t *choice);

/** Tickets_isKnown() - whether a ticket counts */
gboolean Tickets_isKnown(const Tickets_t *this, guint64 id);

/**
 * Tickets_begin() - its first token came: its prompt has been computed
 * @policy: learns of it
 * @waited_us: until then, since the request was sent
 */
void Tickets_begin(Tickets_t *this, guint64 id, Policy_t *policy,
                   gint64 waited_us, gint64 now_ms);

/**
 * Tickets_refused() - its upstream has refused it, and ends
 *
 * The upstream is left alone for UPSTREAM_SHED_PAUSE_MS, as by its asker.
 */
void Tickets_refused(Tickets_t *this, guint64 id, gint64 now_ms);

/** Tickets_end() - it is over; nothing where it is not known */
void Tickets_end(Tickets_t *this, guint64 id);

/** Tickets_expire() - end those that have lapsed; called by a timer as well */
void Tickets_expire(Tickets_t *this, gint64 now_ms);

#endif
