#ifndef HEADER_RelayRun
#define HEADER_RelayRun
/**
 * DOC: RelayRun
 *
 * Runs one attempt of a relayed request, from the order for its upstream to
 * its end: forwards the answer to the caller and records what it shows about
 * the upstream. It owns the attempts; the modules that move streams and choose
 * the next upstream are notified through RelayRunEvents_t.
 */
#include "RelayExchangeState.h"

/** RelayRun_start() - start an attempt at the chosen upstream */
void RelayRun_start(RelayExchange_t *this,
                    const RelayDestination_t *destination);

/**
 * RelayRun_send() - send the request to the chosen upstream
 * @events: callbacks to @owner
 *
 * Does not count the attempt for the exchange or for the upstream.
 */
RelayAttempt_t *RelayRun_send(const RelayExchange_t *this,
                              const RelayDestination_t *destination,
                              const RelayAttemptEvents_t *events, void *owner);

/**
 * RelayRun_adopt() - replace the attempt, which has ended, by a second one
 * @attempt: the second attempt; its head is that of a stream or was not
 *     received yet
 * @feedback: observations about the upstream of @attempt
 * @ticket: dispatcher's ticket of @attempt
 * @reason: why @attempt was sent, a static string for traces
 * @started_us: when @attempt was sent, monotonic
 */
void RelayRun_adopt(RelayExchange_t *this, RelayAttempt_t *attempt,
                    const RelayFeedback_t *feedback,
                    const DispatchTicket_t *ticket, const char *reason,
                    gint64 started_us);

/** RelayRun_feed() - forward data that an attempt received before its adoption
 */
void RelayRun_feed(RelayExchange_t *this, struct evbuffer *data);

/** RelayRun_endAdopted() - process the end of an adopted attempt that had
 * ended before; @head is the head of its answer */
void RelayRun_endAdopted(RelayExchange_t *this, AttemptEnd_t end,
                         const RelayHead_t *head);

/** RelayRun_rank() - rank of the request that upstreams are told: the
 * customer's, or else the route's */
guint RelayRun_rank(const RelayExchange_t *this);

/**
 * RelayRun_cancel() - cancel the attempt under way
 *
 * Return: whether the upstream may have run the request
 */
gboolean RelayRun_cancel(RelayExchange_t *this);

#endif
