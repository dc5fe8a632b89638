#include "RetryBudget.h"

#include "Random.h"

/* Balances are in hundredths of a retry. */
#define ONE_RETRY 100
/* Of what a target may hold, this part is kept for failures. */
#define SPARE_PARTS 2
/* How long a smaller share is kept after routers have gone out of sight. */
#define SHARE_MEMORY_MS 60000
/* Targets remembered; a configuration has far fewer. */
#define TARGETS_MAX 1024

struct RetryBudget {
    guint percent;
    guint allowance;
    guint routers;
    guint draw;           /* below 2 retries; decides whether it may move */
    gint64 shrunk_ms;     /* when fewer routers were first seen, 0 for not */
    GHashTable *balances; /* target -> guint * */
};

RetryBudget_t *
RetryBudget_create(guint percent, guint allowance)
{
    RetryBudget_t *this = g_new0(RetryBudget_t, 1);
    RetryBudget_setShare(this, percent, allowance);
    this->routers = 1;
    this->draw = Random_below(SPARE_PARTS * ONE_RETRY);
    this->balances =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return this;
}

void
RetryBudget_setShare(RetryBudget_t *this, guint percent, guint allowance)
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
RetryBudget_setRouters(RetryBudget_t *this, guint routers, gint64 now_ms)
{
    if (routers >= this->routers) {
        this->routers = routers;
        this->shrunk_ms = 0;
    }
    else if (this->shrunk_ms == 0) {
        this->shrunk_ms = now_ms;
    }
    else if (now_ms - this->shrunk_ms >= SHARE_MEMORY_MS) {
        this->routers = MAX(routers, 1);
        this->shrunk_ms = 0;
    }
}

static guint
share(const RetryBudget_t *this)
{
    return this->allowance * ONE_RETRY / this->routers;
}

/* What a target may hold at most is the share of the allowance, so that in
 * no span of time more is spent than that and what its requests earned. */
static guint *
balance_of(RetryBudget_t *this, const char *target)
{
    guint *balance = g_hash_table_lookup(this->balances, target);
    if (!balance) {
        if (g_hash_table_size(this->balances) >= TARGETS_MAX) {
            g_hash_table_remove_all(this->balances);
        }
        balance = g_new0(guint, 1);
        *balance = share(this);
        g_hash_table_insert(this->balances, g_strdup(target), balance);
    }
    *balance = MIN(*balance, MAX(share(this), ONE_RETRY));
    return balance;
}

void
RetryBudget_deposit(RetryBudget_t *this, const char *target)
{
    *balance_of(this, target) += this->percent;
}

gboolean
RetryBudget_hasOne(RetryBudget_t *this, const char *target)
{
    return this->percent > 0 && *balance_of(this, target) >= ONE_RETRY;
}

/* A share under two retries can't be halved: instead routers drawn at random,
 * for half of the allowance, may spend all they have. Below one retry the
 * balances together may be more than the allowance, which must not be spent at
 * once by a roll-out that all routers see. */
static gboolean
may_spend_share(const RetryBudget_t *this)
{
    return share(this) >= ONE_RETRY && this->draw < share(this);
}

gboolean
RetryBudget_hasSpare(RetryBudget_t *this, const char *target)
{
    guint balance = *balance_of(this, target);
    if (this->percent == 0) {
        return FALSE;
    }
    if (share(this) >= SPARE_PARTS * ONE_RETRY) {
        return balance >= ONE_RETRY + share(this) / SPARE_PARTS;
    }
    return balance >= share(this) && may_spend_share(this);
}

void
RetryBudget_withdraw(RetryBudget_t *this, const char *target)
{
    guint *balance = balance_of(this, target);
    *balance -= MIN(*balance, ONE_RETRY);
}
