#ifndef HEADER_RetryBudget
#define HEADER_RetryBudget
/**
 * DOC: RetryBudget
 *
 * Bounds the retries of all routers together to a share of the requests for
 * a target and a small allowance, so that a failing upstream never multiplies
 * the load on the others. Each router spends its own share of the allowance
 * and of what its own requests earn, so that nothing has to be agreed.
 */
#include <glib.h>

/** struct RetryBudget_t - opaque */
typedef struct RetryBudget RetryBudget_t;

/**
 * RetryBudget_create() - each target starts with the whole allowance
 * @percent: retries for each 100 requests
 * @allowance: retries of all routers together beyond that
 */
RetryBudget_t *RetryBudget_create(guint percent, guint allowance);

/** RetryBudget_setShare() - other numbers from now on, as for create */
void RetryBudget_setShare(RetryBudget_t *this, guint percent, guint allowance);

/** RetryBudget_destroy() - free it */
void RetryBudget_destroy(RetryBudget_t *this);

/**
 * RetryBudget_setRouters() - how many routers share the allowance
 *
 * A router that loses sight of the others goes on with the smaller share for
 * a while: it may be the only one that is cut off.
 */
void RetryBudget_setRouters(RetryBudget_t *this, guint routers, gint64 now_ms);

/** RetryBudget_deposit() - a new request for a target came */
void RetryBudget_deposit(RetryBudget_t *this, const char *target);

/** RetryBudget_hasOne() - whether a retry may be made at a target */
gboolean RetryBudget_hasOne(RetryBudget_t *this, const char *target);

/**
 * RetryBudget_hasSpare() - whether a retry that is not needed may be made
 *
 * Half of what a target may hold is kept for failures; where a share is
 * under two retries, that of about half of the allowance, by other routers.
 * Where it is under one, there is none to spare.
 */
gboolean RetryBudget_hasSpare(RetryBudget_t *this, const char *target);

/** RetryBudget_withdraw() - a retry is made */
void RetryBudget_withdraw(RetryBudget_t *this, const char *target);

#endif
