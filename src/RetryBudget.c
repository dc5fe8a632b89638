#include "RetryBudget.h"

#include "Random.h"

/* Cost of a retry. Balances are in hundredths of a retry. */
#define RETRY_COST 100
/* A target's maximum balance divided by this is reserved for failures. */
#define HEADROOM_DIVISOR 2
/* How long the router count stays after fewer routers are seen. */
#define ROUTER_COUNT_HOLD_MS 60000
/* Bound on the balances stored; a configuration has far fewer targets. */
#define TARGETS_MAX 1024

struct RetryBudget {
    guint percent;
    guint allowance;
    guint routers;
    guint random_draw;     /* 0 to 2 retries; see is_drawn_to_spend() */
    gint64 fewer_since_ms; /* when fewer routers were first seen, or 0 */
    GHashTable *balances;  /* target -> guint * */
};

RetryBudget_t *
RetryBudget_create(guint percent, guint allowance)
{
    RetryBudget_t *this = g_new0(RetryBudget_t, 1);
    RetryBudget_setLimits(this, percent, allowance);
    this->routers = 1;
    this->random_draw = Random_below(HEADROOM_DIVISOR * RETRY_COST);
    this->balances =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return this;
}

void
RetryBudget_setLimits(RetryBudget_t *this, guint percent, guint allowance)
{
    this->percent = percent;
    this->allowance = percent > 0 ? allowance : 0;
}

void
RetryBudget_destroy(RetryBudget_t *this)
{
    g_hash_table_destroy(this->balances);
    g_free(this);
}

void
RetryBudget_setRouterCount(RetryBudget_t *this, guint routers, gint64 now_ms)
{
    if (routers >= this->routers) {
        this->routers = routers;
        this->fewer_since_ms = 0;
    }
    else if (this->fewer_since_ms == 0) {
        this->fewer_since_ms = now_ms;
    }
    else if (now_ms - this->fewer_since_ms >= ROUTER_COUNT_HOLD_MS) {
        this->routers = MAX(routers, 1);
        this->fewer_since_ms = 0;
    }
}

static guint
allowance_share(const RetryBudget_t *this)
{
    return this->allowance * RETRY_COST / this->routers;
}

/* Limits a target's balance to this router's share of the allowance, or one
 * retry if the share is smaller, so that in any period no more is spent than
 * that limit and what the target's requests earned. */
static guint *
balance_of(RetryBudget_t *this, const char *target)
{
    guint *balance = g_hash_table_lookup(this->balances, target);
    if (!balance) {
        if (g_hash_table_size(this->balances) >= TARGETS_MAX) {
            g_hash_table_remove_all(this->balances);
        }
        balance = g_new0(guint, 1);
        *balance = allowance_share(this);
        g_hash_table_insert(this->balances, g_strdup(target), balance);
    }
    *balance = MIN(*balance, MAX(allowance_share(this), RETRY_COST));
    return balance;
}

void
RetryBudget_deposit(RetryBudget_t *this, const char *target)
{
    *balance_of(this, target) += this->percent;
}

gboolean
RetryBudget_hasRetry(RetryBudget_t *this, const char *target)
{
    return this->percent > 0 && *balance_of(this, target) >= RETRY_COST;
}

/* A share below two retries can't be halved. Instead, randomly drawn routers
 * may spend a full balance; together they spend half of the allowance. With
 * shares below one retry, the balances of all routers may exceed the
 * allowance, and a roll-out that all routers see at once must not spend them.
 */
static gboolean
is_drawn_to_spend(const RetryBudget_t *this)
{
    return allowance_share(this) >= RETRY_COST &&
           this->random_draw < allowance_share(this);
}

gboolean
RetryBudget_hasHeadroom(RetryBudget_t *this, const char *target)
{
    guint balance = *balance_of(this, target);
    if (this->percent == 0) {
        return FALSE;
    }
    if (allowance_share(this) >= HEADROOM_DIVISOR * RETRY_COST) {
        return balance >=
               RETRY_COST + allowance_share(this) / HEADROOM_DIVISOR;
    }
    return balance >= allowance_share(this) && is_drawn_to_spend(this);
}

void
RetryBudget_withdraw(RetryBudget_t *this, const char *target)
{
    guint *balance = balance_of(this, target);
    *balance -= MIN(*balance, RETRY_COST);
}
