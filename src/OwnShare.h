#ifndef HEADER_OwnShare
#define HEADER_OwnShare
/**
 * DOC: OwnShare
 *
 * What one router may let in of customers' limits without a word of another
 * one: its part by the number of routers, or what it has let in of late, if
 * that is more. The second is what keeps a router that is cut off from
 * refusing what it served all along: of 90 routers each has a ninetieth, but a
 * customer's callers are connected to a few of them.
 *
 * Of a customer that was near its limit only the part is let in, and no
 * request that is larger than what is left of it: 30 routers cut off at once
 * that let in one request each beyond it were more than a second's rate of a
 * customer of 27 requests a second.
 */
#include "TokenBucket.h"

/**
 * struct OwnShareFacts_t - what is known of a customer here
 * @limit: of the customer, for all routers
 * @routers: how many there are, this one included
 * @pressed: by the last word nothing was left
 */
typedef struct {
    RateLimit_t limit;
    guint routers;
    gboolean pressed;
} OwnShareFacts_t;

/**
 * struct OwnShare_t - of one customer
 * @bucket: of the share
 * @used: units that were let in here, fading over two seconds
 * @used_ms: when that was brought up to date
 * @begun: @bucket is in use
 */
typedef struct {
    TokenBucket_t bucket;
    double used;
    gint64 used_ms;
    gboolean begun;
} OwnShare_t;

/** OwnShare_note() - so much was let in here, by whosever word */
void OwnShare_note(OwnShare_t *this, double units, gint64 now_ms);

/** OwnShare_take() - let a request in on the share; FALSE where nothing is
 * left of it. It is not noted. */
gboolean OwnShare_take(OwnShare_t *this, const OwnShareFacts_t *facts,
                       double units, gint64 now_ms);

/** OwnShare_refuse() - in how many ms a request that was refused may come
 * back */
guint OwnShare_refuse(OwnShare_t *this, double units, gint64 now_ms);

#endif
