#ifndef HEADER_RelayOrigin
#define HEADER_RelayOrigin
/**
 * DOC: RelayOrigin
 *
 * Binds a relayed stream to the software version that began it: whichever
 * attempt, move or request of its caller continues it must run at an upstream
 * of that version.
 */
#include "RelayExchangeState.h"

/** RelayOrigin_init() - note which stream the request continues; its head must
 * have been set */
void RelayOrigin_init(RelayExchange_t *this);

/**
 * RelayOrigin_resolve() - find the version of a stream that the caller
 * continues
 *
 * Return: FALSE if the request can't be placed now: it was refused, or it is
 * placed once an owner of the stream has answered
 */
gboolean RelayOrigin_resolve(RelayExchange_t *this);

/** RelayOrigin_bind() - the attempt's first event was received; to be called
 * before the caller gets it */
void RelayOrigin_bind(RelayExchange_t *this);

/** RelayOrigin_requiredSoftware() - the only version that the next attempt may
 * run at; NULL if any will do, empty if none will */
const char *RelayOrigin_requiredSoftware(const RelayExchange_t *this);

/** RelayOrigin_clear() - the request has ended */
void RelayOrigin_clear(RelayExchange_t *this);

#endif
