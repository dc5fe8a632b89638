#ifndef HEADER_EngineHttp
#define HEADER_EngineHttp
/**
 * DOC: EngineHttp
 *
 * The completions API of the engines, extended by what routing needs: fields
 * for the cache salt, the priority, and the expected incarnation and weights,
 * and calls to resume and cancel a stream.
 */
#include "EngineWire.h"

/** EngineHttp_wire - the completions API as an EngineWire_t */
extern const EngineWire_t EngineHttp_wire;

#endif
