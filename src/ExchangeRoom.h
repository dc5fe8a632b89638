#ifndef HEADER_ExchangeRoom
#define HEADER_ExchangeRoom
/**
 * DOC: ExchangeRoom
 *
 * What a request has to do with what upstreams say of themselves: which
 * upstreams it may use, room for each of its attempts at their limits
 * (UpstreamGate.h), and what follows where none takes it.
 */
#include "Exchange.h"

/** ExchangeRoom_terms() - which upstreams it may use */
PlacementTerms_t ExchangeRoom_terms(const Exchange_t *this);

/**
 * ExchangeRoom_mayGo() - whether an attempt may go to an upstream now
 *
 * Where the upstream has named a limit, room is asked for, and the form's
 * place() is called again: with the upstream permitted, or without it where it
 * has no room.
 */
gboolean ExchangeRoom_mayGo(Exchange_t *this, Upstream_t *upstream);

/** ExchangeRoom_mayReturn() - the same where no other upstream will do:
 * place() is called once it may have room */
gboolean ExchangeRoom_mayReturn(Exchange_t *this, Upstream_t *upstream);

/** ExchangeRoom_forgo() - the permitted upstream can't be used */
void ExchangeRoom_forgo(Exchange_t *this);

/**
 * ExchangeRoom_refuse() - no upstream was chosen; tell the caller why
 *
 * Where only limits or rests keep upstreams from taking it and its answer has
 * begun, place() is called once one of them may take it.
 */
void ExchangeRoom_refuse(Exchange_t *this, const Placement_t *placement);

#endif
