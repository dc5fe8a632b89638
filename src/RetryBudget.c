#include "RetryBudget.h"

/* All in hundredths of a retry. */
#define ONE_RETRY 100
#define RESERVE (10 * ONE_RETRY)
#define MOST (100 * ONE_RETRY)

struct RetryBudget {
    guint percent;
    guint balance;
};

RetryBudget_t *
RetryBudget_create(guint percent)
{
    RetryBudget_t *this = g_new0(RetryBudget_t, 1);
    this->percent = percent;
    this->balance = percent > 0 ? RESERVE : 0;
    return this;
}

void
RetryBudget_destroy(RetryBudget_t *this)
{
    g_free(this);
}

void
RetryBudget_deposit(RetryBudget_t *this)
{
    this->balance = MIN(this->balance + this->percent, MOST);
}

gboolean
RetryBudget_hasOne(const RetryBudget_t *this)
{
    return this->balance >= ONE_RETRY;
}

void
RetryBudget_withdraw(RetryBudget_t *this)
{
    this->balance -= MIN(this->balance, ONE_RETRY);
}
