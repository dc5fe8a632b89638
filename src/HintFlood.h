#ifndef HEADER_HintFlood
#define HEADER_HintFlood
/**
 * DOC: HintFlood
 *
 * Brings short-lived hints to all routers within a few hundred milliseconds:
 * each router passes on what is news to it, in batches over its links. A hint
 * that is lost costs time, never correctness.
 */
#include "Membership.h"

/**
 * enum HintKind_t - kinds of hints
 * @HINT_SAVED: a prefix is in the store of cached prefixes; the subject is
 *     its identity
 * @HINT_PAUSED: an upstream refuses work; the subject is the hash of its
 *     name, the value how many milliseconds that lasts at the most
 * @HINT_LOADED: an upstream has other weights; the subject is the hash of its
 *     name, the value their version
 * @HINT_UNREACHED: an upstream was not reached and should be probed; the
 *     subject is the hash of its name
 * @HINT_REACHED: an upstream that was in doubt answered a probe; the subject
 *     is the hash of its name
 * @HINT_SOON: an upstream is to change its weights before long; the subject is
 *     the hash of its name, the value for how many milliseconds that is to be
 *     expected
 */
typedef enum {
    HINT_SAVED = 1,
    HINT_PAUSED = 2,
    HINT_LOADED = 3,
    HINT_UNREACHED = 4,
    HINT_REACHED = 5,
    HINT_SOON = 6,
} HintKind_t;

/**
 * struct Hint_t - one hint
 * @kind: what it tells
 * @subject: what it is about; see HintKind_t
 * @value: see HintKind_t, 0 where the kind has none
 */
typedef struct {
    HintKind_t kind;
    guint64 subject;
    guint value;
} Hint_t;

/**
 * HintTake_t - a hint came from a peer
 *
 * Return: whether it is news here, and so is passed on
 */
typedef gboolean (*HintTake_t)(void *owner, const Hint_t *hint);

/** struct HintFlood_t - opaque */
typedef struct HintFlood HintFlood_t;

/**
 * HintFlood_create() - nothing to tell yet
 * @membership: whose links are used; must outlive it
 * @take: called for each hint of a peer
 */
HintFlood_t *HintFlood_create(struct event_base *base,
                              Membership_t *membership, HintTake_t take,
                              void *owner);

/** HintFlood_destroy() - free it */
void HintFlood_destroy(HintFlood_t *this);

/** HintFlood_tell() - tell a hint; left out where too many wait already */
void HintFlood_tell(HintFlood_t *this, const Hint_t *hint);

/** HintFlood_take() - a peer's message; what is news here is passed on where
 * not all routers are linked with all */
void HintFlood_take(HintFlood_t *this, const Wt__Hints *message);

#endif
