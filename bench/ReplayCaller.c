#include "ReplayCaller.h"

#include <math.h>

#include "Clock.h"

#define US_PER_S 1000000.0
#define PERCENT 100.0
/* Spreads the ids of prefixes over 64 bits, as hashes are. */
#define PREFIX_ID_FACTOR G_GUINT64_CONSTANT(0x9E3779B97F4A7C15)
/* Retries by the caller after a refusal. */
#define RETRIES_MAX 1

/* Draws a length; as in practice, some are several times the mean. */
static guint
draw_length(GRand *random, gint64 mean)
{
    double drawn = -log(1 - g_rand_double(random));
    return (guint)MAX((double)mean * (0.25 + 0.75 * drawn), 1);
}

/* The length depends on the prefix alone, so all its requests agree on it. */
static guint
prefix_length(guint64 prefix, gint64 mean)
{
    GRand *random = g_rand_new_with_seed((guint32)(prefix * 2654435761U));
    double share = g_rand_double_range(random, 0.5, 1.5);
    g_rand_free(random);
    return (guint)((double)mean * share);
}

static gboolean
is_within(gint64 from_ms, gint64 until_ms, double at_us)
{
    double at_ms = (at_us - (double)REPLAY_START_US) / CLOCK_US_PER_MS;
    return at_ms >= (double)from_ms && at_ms < (double)until_ms;
}

/* Customer 0 sends this many times as often as each other customer. */
static double
first_customer_times(const ReplayKind_t *kind, double at_us)
{
    return is_within(kind->loud_from_ms, kind->loud_until_ms, at_us)
               ? (double)kind->loud_percent / PERCENT
               : 1;
}

static double
rate_at(const ReplayKind_t *kind, double at_us)
{
    double rate = (double)kind->rate;
    if (is_within(kind->burst_from_ms, kind->burst_until_ms, at_us)) {
        rate *= (double)kind->burst_percent / PERCENT;
    }
    double others = (double)kind->customers - 1;
    return rate * (others + first_customer_times(kind, at_us)) /
           (double)kind->customers;
}

/* One customer takes no random number. */
static guint
draw_customer(const ReplayKind_t *kind, GRand *random, double at_us)
{
    if (kind->customers == 1) {
        return 0;
    }
    double others = (double)kind->customers - 1;
    double first = first_customer_times(kind, at_us);
    double drawn = g_rand_double(random) * (others + first);
    return drawn < first
               ? 0
               : (guint)MIN(1 + drawn - first, (double)kind->customers - 1);
}

static void
add_request(GArray *requests, guint index, const ReplayKind_t *kind,
            GRand *random, gint64 at_us)
{
    guint32 number =
        (guint32)g_rand_int_range(random, 0, (gint32)kind->prefixes);
    ReplayRequest_t request = {.kind = index, .asked_us = at_us};
    request.prefix =
        (((guint64)(index + 1) << 32) + number) * PREFIX_ID_FACTOR;
    request.own_tokens = draw_length(random, kind->own_tokens);
    request.out_tokens = draw_length(random, kind->out_tokens);
    request.customer = draw_customer(kind, random, (double)at_us);
    request.shared_tokens = prefix_length(request.prefix, kind->shared_tokens);
    g_array_append_val(requests, request);
}

static void
draw_kind(const ReplaySpec_t *spec, guint index, GRand *random,
          GArray *requests)
{
    const ReplayKind_t *kind = &spec->kinds[index];
    gint64 end_us =
        REPLAY_START_US + spec->fleet.duration_ms * CLOCK_US_PER_MS;
    double at_us = (double)REPLAY_START_US;
    while (kind->rate > 0) {
        at_us -=
            log(1 - g_rand_double(random)) * US_PER_S / rate_at(kind, at_us);
        if (at_us >= (double)end_us) {
            break;
        }
        add_request(requests, index, kind, random, (gint64)at_us);
    }
}

GArray *
ReplayCaller_draw(const ReplaySpec_t *spec, GRand *random)
{
    GArray *requests = g_array_new(FALSE, FALSE, sizeof(ReplayRequest_t));
    for (guint index = 0; index < REPLAY_KINDS_MAX; index++) {
        draw_kind(spec, index, random, requests);
    }
    return requests;
}

gboolean
ReplayCaller_returns(const ReplayRequest_t *request)
{
    return request->retries < RETRIES_MAX;
}
