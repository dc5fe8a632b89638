#include "RateShare.h"

#include "Clock.h"
#include "LocalShare.h"

typedef struct {
    RateLimits_t super;
    RateShareCount_t routers;
    const void *owner;  /* argument of @routers */
    GHashTable *shares; /* subject -> LocalShare_t */
} RateShare_t;

static LocalShare_t *
get_share(RateShare_t *this, const char *subject)
{
    LocalShare_t *share = g_hash_table_lookup(this->shares, subject);
    if (!share) {
        share = g_new0(LocalShare_t, 1);
        g_hash_table_insert(this->shares, g_strdup(subject), share);
    }
    return share;
}

static RateQuery_t *
acquire(RateLimits_t *super, const RateRequest_t *request, RateVerdict_t *out,
        RateDone_t done, void *owner)
{
    (void)done;
    (void)owner;
    RateShare_t *this = (RateShare_t *)super;
    LocalShare_t *share = get_share(this, request->subject);
    gint64 now_ms = Clock_nowMs();
    LocalShareInput_t input = {
        .limit = request->limit,
        .routers = this->routers(this->owner),
    };
    *out = (RateVerdict_t){.by = "share"};
    out->admitted = LocalShare_take(share, &input, request->units, now_ms);
    if (!out->admitted) {
        out->retry_after_ms =
            LocalShare_noteRefused(share, request->units, now_ms);
    }
    out->left = share->bucket.level;
    return NULL;
}

static void
refund(RateLimits_t *super, const RateRequest_t *request)
{
    RateShare_t *this = (RateShare_t *)super;
    LocalShare_t *share = get_share(this, request->subject);
    if (share->started) {
        TokenBucket_refund(&share->bucket, request->units, Clock_nowMs());
    }
}

static void
destroy(RateLimits_t *super)
{
    RateShare_t *this = (RateShare_t *)super;
    g_hash_table_destroy(this->shares);
    g_free(this);
}

static const RateLimitsClass_t class = {
    .name = "share",
    .acquire = acquire,
    .refund = refund,
    .destroy = destroy,
};

RateLimits_t *
RateShare_create(RateShareCount_t routers, const void *owner)
{
    RateShare_t *this = g_new0(RateShare_t, 1);
    this->super.class = &class;
    this->routers = routers;
    this->owner = owner;
    this->shares =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return &this->super;
}
