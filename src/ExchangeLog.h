#ifndef HEADER_ExchangeLog
#define HEADER_ExchangeLog
/**
 * DOC: ExchangeLog
 *
 * The lines of the log that tell what is decided in a request's life, each
 * with the facts that decided it.
 */
#include "ExchangeState.h"

/** ExchangeLog_end() - it is over */
void ExchangeLog_end(const Exchange_t *this, const char *outcome);

/** ExchangeLog_limited() - its customer is over its limit */
void ExchangeLog_limited(const Exchange_t *this, const RateVerdict_t *verdict);

/** ExchangeLog_limitedUpstream() - an attempt goes to an upstream; nothing
 * where it has no limit */
void ExchangeLog_limitedUpstream(const Exchange_t *this);

/** ExchangeLog_leavingUpstream() - an attempt goes to an upstream; nothing
 * unless it has said that it leaves */
void ExchangeLog_leavingUpstream(const Exchange_t *this);

/** ExchangeLog_restingUpstream() - the same where it has asked for rest */
void ExchangeLog_restingUpstream(const Exchange_t *this);

/** ExchangeLog_ejected() - its upstream gets no work for a while */
void ExchangeLog_ejected(const Exchange_t *this, AttemptEnd_t end);

/** ExchangeLog_kept() - its upstream is silent and is waited for */
void ExchangeLog_kept(const Exchange_t *this, const RecoveryFacts_t *facts);

/** ExchangeLog_recovery() - what follows a failed attempt */
void ExchangeLog_recovery(const Exchange_t *this, const RecoveryFacts_t *facts,
                          const RecoveryPlan_t *plan);

#endif
