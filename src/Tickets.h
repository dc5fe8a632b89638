#ifndef HEADER_Tickets
#define HEADER_Tickets
/**
 * DOC: Tickets
 *
 * Open requests that this router, as a dispatcher, has placed for other
 * routers. A ticket adds to the load of its upstream (Upstream_t.ticket_tokens
 * and ticket_requests) like a request of this router. Tickets expire, as the
 * datagram that ends one may be lost.
 */
#include <event2/event.h>

#include "FirstTokenEstimate.h"

/** Lifetime of a ticket whose first token has not been reported, in ms: longer
 * than callers wait for most answers */
#define TICKET_FIRST_TOKEN_TIMEOUT_MS 5000

/** Lifetime of a ticket whose first token has been reported, in ms: the
 * longest time limit of a route in use plus headroom */
#define TICKET_TIMEOUT_MS 20000

/**
 * struct TicketFirstToken_t - what a first token shows
 * @upstream: the engine; NULL if the ticket was not open
 * @target: the target of the request; valid until the ticket ends
 * @tokens: prompt tokens that it computed
 * @found_idle: nothing else was to be computed there when it was placed, and
 *     the shared part of the prompt was not moved
 */
typedef struct {
    Upstream_t *upstream;
    const char *target;
    guint tokens;
    gboolean found_idle;
} TicketFirstToken_t;

/** struct Tickets_t - opaque */
typedef struct Tickets Tickets_t;

/** Tickets_create() - create an empty table */
Tickets_t *Tickets_create(struct event_base *base);

/** Tickets_destroy() - free the table and end all tickets */
void Tickets_destroy(Tickets_t *this);

/**
 * Tickets_add() - open a ticket for a request that was placed
 * @id: id of the ticket; no-op if the ticket is open already
 * @placement: the request
 * @choice: the upstream that was chosen
 */
void Tickets_add(Tickets_t *this, guint64 id, const Placement_t *placement,
                 const Choice_t *choice);

/** Tickets_isOpen() - whether a ticket is open */
gboolean Tickets_isOpen(const Tickets_t *this, guint64 id);

/**
 * Tickets_noteFirstToken() - record a request's first token, which shows that
 * its prompt has been computed; no-op if the ticket is not open
 * @policy: learns that the upstream has read the prefix
 * @waited_us: time from sending the request to its first token
 *
 * Return: what it shows of the upstream
 */
TicketFirstToken_t Tickets_noteFirstToken(Tickets_t *this, guint64 id,
                                          Policy_t *policy, gint64 waited_us,
                                          gint64 now_ms);

/**
 * Tickets_noteRefusal() - record that the upstream refused a request, and end
 * the ticket; no-op if the ticket is not open
 *
 * Pauses the upstream for UPSTREAM_SHED_PAUSE_MS, as the requester does.
 */
void Tickets_noteRefusal(Tickets_t *this, guint64 id, gint64 now_ms);

/** Tickets_end() - end a ticket; no-op if it is not open */
void Tickets_end(Tickets_t *this, guint64 id);

/** Tickets_expire() - remove expired tickets; also called by a timer */
void Tickets_expire(Tickets_t *this, gint64 now_ms);

#endif
