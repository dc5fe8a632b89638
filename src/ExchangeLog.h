#ifndef HEADER_ExchangeLog
#define HEADER_ExchangeLog
/**
 * DOC: ExchangeLog
 *
 * Log lines about the decisions in a request's lifecycle, each with the values
 * that led to the decision.
 */
#include "ExchangeState.h"

/** ExchangeLog_end() - the exchange ended */
void ExchangeLog_end(const Exchange_t *this, const char *outcome);

/** ExchangeLog_rateLimited() - the customer's rate limit refused the request
 */
void ExchangeLog_rateLimited(const Exchange_t *this,
                             const RateVerdict_t *verdict);

/** ExchangeLog_sentToLimited() - an attempt starts; logged if its upstream has
 * announced a rate limit */
void ExchangeLog_sentToLimited(const Exchange_t *this);

/** ExchangeLog_sentToLeaving() - an attempt starts; logged and counted if its
 * upstream has announced that it is leaving */
void ExchangeLog_sentToLeaving(const Exchange_t *this);

/** ExchangeLog_sentDuringBackoff() - an attempt starts; logged and counted if
 * its upstream has asked for a backoff that has not ended */
void ExchangeLog_sentDuringBackoff(const Exchange_t *this);

/** ExchangeLog_ejected() - the current attempt's failure ejected its upstream
 */
void ExchangeLog_ejected(const Exchange_t *this, AttemptEnd_t end);

/** ExchangeLog_silentAttempt() - the current attempt is silent and is not
 * given up */
void ExchangeLog_silentAttempt(const Exchange_t *this,
                               const RecoveryInput_t *input);

/** ExchangeLog_recovery() - log the decision that follows a failed attempt */
void ExchangeLog_recovery(const Exchange_t *this, const RecoveryInput_t *input,
                          const RecoveryDecision_t *decision);

#endif
