#ifndef HEADER_EngineHttp
#define HEADER_EngineHttp
/**
 * DOC: EngineHttp
 *
 * The completions API that engines speak, with the fields beside it that
 * routing needs: cache salt, priority, expected incarnation and weights, and
 * resume and cancel of a stream.
 */
#include "EngineWire.h"

/** EngineHttp_wire - the table of functions */
extern const EngineWire_t EngineHttp_wire;

#endif
