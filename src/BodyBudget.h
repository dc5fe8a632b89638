#ifndef HEADER_BodyBudget
#define HEADER_BodyBudget
/**
 * DOC: BodyBudget
 *
 * Bounds the bytes of requests' bodies that a router holds. A body claims its
 * bytes before it is read; where they don't fit, its connection is read later,
 * so that the caller waits. The next claim to be granted is one of the caller
 * with the fewest bytes, and of these the oldest. Short bodies need no claim.
 * A body that stops in the middle keeps the bytes that have come, and claims
 * the others again. Bytes that are still to come must fit in what is left of
 * the memory of the process as well.
 */
#include <glib.h>

/** Size up to which a body needs no claim, in bytes */
#define BODY_BUDGET_FREE_MAX ((gsize)16 << 10)

/** struct BodyBudget_t - opaque; reference-counted, as bodies may outlive the
 * router's other parts */
typedef struct BodyBudget BodyBudget_t;

/** struct BodyClaim_t - opaque; the bytes of one body */
typedef struct BodyClaim BodyClaim_t;

/** BodyBudget_create() - create a budget without claims
 * @max: bytes of all claims together; 0 for no limit */
BodyBudget_t *BodyBudget_create(gsize max);

/** BodyBudget_ref() - add a reference */
BodyBudget_t *BodyBudget_ref(BodyBudget_t *this);

/** BodyBudget_unref() - drop a reference; the last one frees the budget */
void BodyBudget_unref(BodyBudget_t *this);

/** BodyBudget_setMax() - change @max of BodyBudget_create(); granted claims
 * remain */
void BodyBudget_setMax(BodyBudget_t *this, gsize max);

/** BodyBudget_setRoom() - tell what is left of the memory of the process, for
 * all bytes that were granted and have not come */
void BodyBudget_setRoom(BodyBudget_t *this, gsize room);

/** BodyBudget_isCrowded() - whether so many claims wait that a further one
 * should be refused, as the kernel holds a part of each body */
gboolean BodyBudget_isCrowded(const BodyBudget_t *this);

/**
 * BodyBudget_own() - a body that was received, whatever room is left
 * @caller: as in BodyClaim_setCaller()
 * @bytes: taken over; they count until the result is freed
 */
GBytes *BodyBudget_own(BodyBudget_t *this, guint64 caller, void *bytes,
                       gsize length);

/** BodyBudget_used() - bytes of all granted claims */
gsize BodyBudget_used(const BodyBudget_t *this);

/** BodyBudget_waiting() - number of claims that wait */
guint BodyBudget_waiting(const BodyBudget_t *this);

/** BodyClaim_create() - create a claim of nothing; it refers to the budget */
BodyClaim_t *BodyClaim_create(BodyBudget_t *budget);

/** BodyClaim_destroy() - give the claim's bytes back and free it */
void BodyClaim_destroy(BodyClaim_t *this);

/**
 * BodyClaim_try() - claim bytes, or try again
 * @bytes: in place of those that the claim has; a granted claim that does not
 *     grow is granted at once
 *
 * A claim that waits has to try again often: one that has not done so for a
 * while no longer precedes others, and a granted one without progress is
 * reduced to its bytes that have come while others wait.
 *
 * Return: whether the claim is granted
 */
gboolean BodyClaim_try(BodyClaim_t *this, gsize bytes, gint64 now_ms);

/** BodyClaim_setCaller() - tell whose claim it is
 * @caller: any number for each caller; 0 until it is told */
void BodyClaim_setCaller(BodyClaim_t *this, guint64 caller);

/** BodyClaim_caller() - the number last told */
guint64 BodyClaim_caller(const BodyClaim_t *this);

/** BodyClaim_noteProgress() - bytes of the body were received */
void BodyClaim_noteProgress(BodyClaim_t *this, gint64 now_ms);

/** BodyClaim_setHeld() - tell how many of the claim's bytes have come */
void BodyClaim_setHeld(BodyClaim_t *this, gsize held);

/** BodyClaim_release() - give the claim's bytes back */
void BodyClaim_release(BodyClaim_t *this);

/** BodyClaim_setBytes() - change the bytes of a granted claim, whatever is
 * left */
void BodyClaim_setBytes(BodyClaim_t *this, gsize bytes);

/** BodyClaim_isGranted() - whether the claim has bytes */
gboolean BodyClaim_isGranted(const BodyClaim_t *this);

/** BodyClaim_bytes() - bytes of the claim */
gsize BodyClaim_bytes(const BodyClaim_t *this);

#endif
