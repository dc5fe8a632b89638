#ifndef HEADER_RelayRun
#define HEADER_RelayRun
/**
 * DOC: RelayRun
 *
 * One attempt of a relayed request, from the order that its upstream gets to
 * the end: passes on what is answered and notes what it tells of the
 * upstream. It owns the attempts; what moves a stream and what chooses the
 * next upstream hear of them by RelayRunEvents_t.
 */
#include "RelayExchangeState.h"

/** RelayRun_start() - begin an attempt at the upstream that was chosen */
void RelayRun_start(RelayExchange_t *this, const RelayPlacing_t *placing);

/**
 * RelayRun_send() - send an attempt, of which @owner hears by @events
 *
 * Neither the exchange nor its upstream counts it.
 */
RelayAttempt_t *RelayRun_send(const RelayExchange_t *this,
                              const RelayPlacing_t *placing,
                              const RelayAttemptEvents_t *events, void *owner);

/**
 * RelayRun_adopt() - an attempt that was sent beside the last one takes its
 * place
 * @attempt: whose head is that of a stream, or has not come yet
 * @feedback: of @attempt
 * @ticket: of @attempt
 * @reason: why it was sent, a static text for traces
 * @started_us: when it was sent, monotonic
 */
void RelayRun_adopt(RelayExchange_t *this, RelayAttempt_t *attempt,
                    const RelayFeedback_t *feedback,
                    const DispatchTicket_t *ticket, const char *reason,
                    gint64 started_us);

/** RelayRun_feed() - bytes of the answer that came before it was adopted */
void RelayRun_feed(RelayExchange_t *this, struct evbuffer *data);

/** RelayRun_end() - it had ended before it was adopted; @head is its own */
void RelayRun_end(RelayExchange_t *this, AttemptEnd_t end,
                  const RelayHead_t *head);

/**
 * RelayRun_cancel() - end the attempt under way
 *
 * Return: whether any of its request was sent
 */
gboolean RelayRun_cancel(RelayExchange_t *this);

#endif
