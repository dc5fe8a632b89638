#ifndef HEADER_HintBroadcast
#define HEADER_HintBroadcast
/**
 * DOC: HintBroadcast
 *
 * Broadcasts short-lived hints to all routers within a few hundred
 * milliseconds: each router forwards the hints that are new to it, in batches
 * over its links. A lost hint costs time, never correctness.
 */
#include "Membership.h"

/**
 * enum HintKind_t - kinds of hints
 * @HINT_SAVED: a prefix was saved in the store of cached prefixes; the
 *     subject is the prefix's identity
 * @HINT_PAUSED: an upstream refuses work; the subject is the hash of its
 *     name, the value the longest time that the pause lasts, in ms
 * @HINT_LOADED: an upstream has loaded other weights; the subject is the hash
 *     of its name, the value the version of the weights
 * @HINT_UNREACHABLE: a router could not reach an upstream, which should be
 *     probed; the subject is the hash of its name
 * @HINT_REACHABLE: a suspected upstream answered a probe; the subject is the
 *     hash of its name
 * @HINT_LOAD_SOON: an upstream is about to load other weights; the subject is
 *     the hash of its name, the value the time within which the load is
 *     expected, in ms
 */
typedef enum {
    HINT_SAVED = 1,
    HINT_PAUSED = 2,
    HINT_LOADED = 3,
    HINT_UNREACHABLE = 4,
    HINT_REACHABLE = 5,
    HINT_LOAD_SOON = 6,
} HintKind_t;

/**
 * struct Hint_t - one hint
 * @kind: what happened
 * @subject: identity of a prefix or hash of an upstream's name, see HintKind_t
 * @value: see HintKind_t; 0 for kinds without a value
 */
typedef struct {
    HintKind_t kind;
    guint64 subject;
    guint value;
} Hint_t;

/**
 * HintHandler_t - applies a hint from a peer
 *
 * Return: whether the hint was new to this router and is to be forwarded
 */
typedef gboolean (*HintHandler_t)(void *owner, const Hint_t *hint);

/** struct HintBroadcast_t - opaque */
typedef struct HintBroadcast HintBroadcast_t;

/**
 * HintBroadcast_create() - start to broadcast hints
 * @membership: links to the peers; must outlive the HintBroadcast_t
 * @handler: called for each hint from a peer
 * @owner: argument of @handler
 */
HintBroadcast_t *HintBroadcast_create(struct event_base *base,
                                      Membership_t *membership,
                                      HintHandler_t handler, void *owner);

/** HintBroadcast_destroy() - free it */
void HintBroadcast_destroy(HintBroadcast_t *this);

/** HintBroadcast_add() - queue a hint for the next batch; dropped if the
 * batch is full */
void HintBroadcast_add(HintBroadcast_t *this, const Hint_t *hint);

/** HintBroadcast_receive() - handle a peer's message; forwards the hints that
 * are new to this router unless all routers are linked with each other */
void HintBroadcast_receive(HintBroadcast_t *this, const Wt__Hints *message);

#endif
