#ifndef HEADER_RetryBudget
#define HEADER_RetryBudget
/**
 * DOC: RetryBudget
 *
 * Limits the retries of all routers together to a percentage of the requests
 * for a target plus a small allowance, so that a failing upstream never
 * multiplies the load on the others. Each router spends its share of the
 * allowance and what its own requests earn, so that routers need not
 * coordinate.
 */
#include <glib.h>

/** struct RetryBudget_t - opaque */
typedef struct RetryBudget RetryBudget_t;

/**
 * RetryBudget_create() - each target starts with the full allowance
 * @percent: retries earned by 100 requests; 0 disables retries
 * @allowance: retries of all routers together beyond those earned
 */
RetryBudget_t *RetryBudget_create(guint percent, guint allowance);

/** RetryBudget_setLimits() - change the parameters of RetryBudget_create() */
void RetryBudget_setLimits(RetryBudget_t *this, guint percent,
                           guint allowance);

/** RetryBudget_destroy() - free the budget */
void RetryBudget_destroy(RetryBudget_t *this);

/**
 * RetryBudget_setRouterCount() - set how many routers share the allowance
 *
 * A lower count takes effect only after ROUTER_COUNT_HOLD_MS: a router that
 * loses contact with the others may be the only one that is partitioned, and
 * keeps its smaller share until then.
 */
void RetryBudget_setRouterCount(RetryBudget_t *this, guint routers,
                                gint64 now_ms);

/** RetryBudget_deposit() - earn a fraction of a retry for a new request */
void RetryBudget_deposit(RetryBudget_t *this, const char *target);

/** RetryBudget_hasRetry() - whether a retry for a target is left */
gboolean RetryBudget_hasRetry(RetryBudget_t *this, const char *target);

/**
 * RetryBudget_hasHeadroom() - whether an optional retry may be made
 *
 * Half of a target's maximum balance is reserved for failures. A share below
 * two retries can't be halved; then about half of the allowance is reserved by
 * routers, chosen at random, that make no optional retry at all. With a share
 * below one retry, no router makes an optional retry.
 */
gboolean RetryBudget_hasHeadroom(RetryBudget_t *this, const char *target);

/** RetryBudget_withdraw() - spend one retry */
void RetryBudget_withdraw(RetryBudget_t *this, const char *target);

#endif
