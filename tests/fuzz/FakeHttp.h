#ifndef HEADER_FakeHttp
#define HEADER_FakeHttp
/**
 * DOC: FakeHttp
 *
 * Takes the place of HttpCall.c: the one call that is open is answered with
 * bytes that the test chooses, without a network.
 */
#include "HttpCall.h"

/** FakeHttp_answer() - answer the open call */
void FakeHttp_answer(int status, const char *body, gsize length);

#endif
