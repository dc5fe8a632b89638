#ifndef HEADER_Exchange
#define HEADER_Exchange
/**
 * DOC: Exchange
 *
 * The life of one model request, from admission to its last byte: it places
 * the request, follows the attempt's stream to the caller, and after a
 * failure does what Recovery.h decides.
 */
#include <event2/http.h>

#include "Context.h"
#include "Prompt.h"
#include "ResumeToken.h"

/**
 * struct ExchangeSpec_t - an admitted request
 * @request: of evhttp; answered by the exchange
 * @id: the request's id
 * @caller: who asks
 * @chat: asked as a chat
 * @prompt: taken over; NULL for a resume without a body
 * @resume: taken over; NULL unless the caller resumes a stream
 */
typedef struct {
    struct evhttp_request *request;
    const char *id;
    const Caller_t *caller;
    gboolean chat;
    Prompt_t *prompt;
    ResumePoint_t *resume;
} ExchangeSpec_t;

/** struct Exchange_t - opaque; frees itself after its end */
typedef struct Exchange Exchange_t;

/** Exchange_start() - take a request on; it always gets an answer */
void Exchange_start(Context_t *context, const ExchangeSpec_t *spec);

#endif
