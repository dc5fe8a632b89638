#ifndef HEADER_GossipQueue
#define HEADER_GossipQueue
/**
 * DOC: GossipQueue
 *
 * Which facts have news that others may not know, the most urgent first.
 * A fact is named only; its content is read when it is sent, so that a newer
 * one replaces an older one by itself. Each is sent a few times, which with
 * high probability brings it to every router.
 */
#include <glib.h>

/**
 * enum FactKind_t - kinds of facts, the most urgent first
 * @FACT_UPSTREAM_NEWS: an upstream's incarnation or leaving
 * @FACT_HEARTBEAT: a router is alive
 * @FACT_UPSTREAM_LOAD: an upstream's load
 */
typedef enum {
    FACT_UPSTREAM_NEWS,
    FACT_HEARTBEAT,
    FACT_UPSTREAM_LOAD,
    FACT_KIND_COUNT,
} FactKind_t;

/** struct GossipQueue_t - opaque */
typedef struct GossipQueue GossipQueue_t;

/** GossipQueue_create() - an empty queue */
GossipQueue_t *GossipQueue_create(void);

/** GossipQueue_destroy() - free it */
void GossipQueue_destroy(GossipQueue_t *this);

/**
 * GossipQueue_add() - a fact has news
 * @name: of the router or upstream
 * @sends: how often it is to be sent
 */
void GossipQueue_add(GossipQueue_t *this, FactKind_t kind, const char *name,
                     guint sends);

/**
 * GossipTake_t - offers a fact for a message
 *
 * Return: FALSE where it does not fit any more
 */
typedef gboolean (*GossipTake_t)(FactKind_t kind, const char *name,
                                 void *data);

/**
 * GossipQueue_fill() - offer facts until one does not fit
 *
 * Those taken count as sent once more.
 */
void GossipQueue_fill(GossipQueue_t *this, GossipTake_t take, void *data);

/** GossipQueue_has() - whether facts of a kind wait */
gboolean GossipQueue_has(const GossipQueue_t *this, FactKind_t kind);

/** GossipQueue_length() - facts that wait */
guint GossipQueue_length(const GossipQueue_t *this);

#endif
