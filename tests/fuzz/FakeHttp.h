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

/** FakeHttp_answerUnframed() - as FakeHttp_answer(), with a body that ends
 * with its connection */
void FakeHttp_answerUnframed(int status, const char *body, gsize length);

#endif
