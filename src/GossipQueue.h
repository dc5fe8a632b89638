#ifndef HEADER_GossipQueue
#define HEADER_GossipQueue
/**
 * DOC: GossipQueue
 *
 * Queue of facts that other routers may not know yet, the most urgent kind
 * first. An entry holds only the name of a fact; the content is read when the
 * fact is sent, so that a message always carries the newest state. Each fact
 * is sent a few times, which brings it to every router with high probability.
 */
#include <glib.h>

/**
 * enum FactKind_t - kinds of facts, the most urgent first
 * @FACT_UPSTREAM_UPDATE: an upstream's incarnation, weights, pause or leaving
 * @FACT_HEARTBEAT: heartbeat of a router
 * @FACT_UPSTREAM_LOAD: load of an upstream
 */
typedef enum {
    FACT_UPSTREAM_UPDATE,
    FACT_HEARTBEAT,
    FACT_UPSTREAM_LOAD,
    FACT_KIND_COUNT,
} FactKind_t;

/** struct GossipQueue_t - opaque */
typedef struct GossipQueue GossipQueue_t;

/** GossipQueue_create() - create an empty queue */
GossipQueue_t *GossipQueue_create(void);

/** GossipQueue_destroy() - free the queue and its entries */
void GossipQueue_destroy(GossipQueue_t *this);

/**
 * GossipQueue_add() - queue a fact, or raise its number of sends if queued
 * @name: name of the router or upstream
 * @sends: number of messages that the fact is to be sent in
 */
void GossipQueue_add(GossipQueue_t *this, FactKind_t kind, const char *name,
                     guint sends);

/**
 * GossipOffer_t - adds a fact to a message
 *
 * Return: FALSE if the fact does not fit into the message
 */
typedef gboolean (*GossipOffer_t)(FactKind_t kind, const char *name,
                                  void *data);

/**
 * GossipQueue_offerFacts() - offer queued facts until one does not fit
 *
 * Each accepted fact counts as sent once, and leaves the queue after its last
 * send.
 */
void GossipQueue_offerFacts(GossipQueue_t *this, GossipOffer_t offer,
                            void *data);

/** GossipQueue_hasKind() - whether facts of a kind are queued */
gboolean GossipQueue_hasKind(const GossipQueue_t *this, FactKind_t kind);

/** GossipQueue_length() - number of queued facts */
guint GossipQueue_length(const GossipQueue_t *this);

#endif
