#ifndef HEADER_RetryBudget
#define HEADER_RetryBudget
/**
 * DOC: RetryBudget
 *
 * Bounds retries to a share of the requests, so that a failing upstream
 * never doubles the load on the others.
 */
#include <glib.h>

/** struct RetryBudget_t - opaque */
typedef struct RetryBudget RetryBudget_t;

/**
 * RetryBudget_create() - a budget that starts with a small reserve
 * @percent: retries for each 100 requests
 */
RetryBudget_t *RetryBudget_create(guint percent);

/** RetryBudget_destroy() - free it */
void RetryBudget_destroy(RetryBudget_t *this);

/** RetryBudget_deposit() - a new request came */
void RetryBudget_deposit(RetryBudget_t *this);

/** RetryBudget_hasOne() - whether a retry may be made */
gboolean RetryBudget_hasOne(const RetryBudget_t *this);

/** RetryBudget_withdraw() - a retry is made */
void RetryBudget_withdraw(RetryBudget_t *this);

#endif
