#ifndef HEADER_FakeHttp
#define HEADER_FakeHttp
/**
 * DOC: FakeHttp
 *
 * Replaces HttpCall.c without a network: the test supplies the answer of the
 * one open call.
 */
#include "HttpCall.h"

/** FakeHttp_answer() - complete the open call with an answer */
void FakeHttp_answer(int status, const char *body, gsize length);

#endif
