#ifndef HEADER_RelayRun
#define HEADER_RelayRun
/**
 * DOC: RelayRun
 *
 * One attempt of a relayed request, from the order that its upstream gets to
 * the end: passes on what is answered and notes what it tells of the
 * upstream.
 */
#include "RelayExchangeState.h"

/** RelayRun_start() - begin an attempt at the upstream that was chosen */
void RelayRun_start(RelayExchange_t *this, const RelayPlacing_t *placing);

/**
 * RelayRun_cancel() - end the attempt under way
 *
 * Return: whether any of its request was sent
 */
gboolean RelayRun_cancel(RelayExchange_t *this);

#endif
