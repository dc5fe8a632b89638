#ifndef HEADER_LocalShare
#define HEADER_LocalShare
/**
 * DOC: LocalShare
 *
 * What one router may admit of a limit without a reply from any other router:
 * the limit divided by the number of routers, or the rate that this router has
 * admitted recently if that is higher. The recent rate lets a router that is
 * cut off from the others continue to serve its load: of 90 routers each has a
 * ninetieth of the limit, but a customer's callers are connected to only a few
 * of them.
 *
 * For a customer whose limit was exhausted, only the divided limit applies,
 * and a request larger than what is left of the share is refused: when 30
 * routers were cut off at once and each admitted one request beyond its share,
 * a customer with a limit of 27 requests per second got more than 27 requests
 * beyond it.
 */
#include "TokenBucket.h"

/**
 * struct LocalShareInput_t - what this router knows of a limit
 * @limit: limit for all routers together
 * @routers: number of routers, this one included
 * @exhausted: the keeper's last reply said that no units were left
 */
typedef struct {
    RateLimit_t limit;
    guint routers;
    gboolean exhausted;
} LocalShareInput_t;

/**
 * struct LocalShare_t - this router's share of one limit
 * @bucket: bucket of the share
 * @used: units admitted by this router, decaying with a time constant of two
 *     seconds
 * @used_ms: when @used was last updated
 * @started: @bucket is initialized
 */
typedef struct {
    TokenBucket_t bucket;
    double used;
    gint64 used_ms;
    gboolean started;
} LocalShare_t;

/** LocalShare_noteAdmitted() - record units that this router has admitted,
 * from its share or by a keeper's reply; negative for units that were refunded
 */
void LocalShare_noteAdmitted(LocalShare_t *this, double units, gint64 now_ms);

/**
 * LocalShare_take() - admit a request from the share
 *
 * Does not record the units; see LocalShare_noteAdmitted().
 *
 * Return: FALSE if the share is used up
 */
gboolean LocalShare_take(LocalShare_t *this, const LocalShareInput_t *input,
                         double units, gint64 now_ms);

/**
 * LocalShare_noteRefused() - record that a request was refused
 *
 * Return: after how many ms the request may be retried
 */
guint LocalShare_noteRefused(LocalShare_t *this, double units, gint64 now_ms);

#endif
