#ifndef HEADER_StreamExchange
#define HEADER_StreamExchange
/**
 * DOC: StreamExchange
 *
 * Processes one model request whose answer arrives token by token. Each
 * attempt reads a stream of an engine. A broken stream is resumed at the same
 * engine, or continued on another engine with the text received so far as the
 * prefix of its answer.
 */
#include <event2/http.h>

#include "Context.h"
#include "Prompt.h"
#include "ResumeToken.h"

/**
 * struct StreamExchangeSpec_t - an admitted request
 * @request: request of evhttp; answered by the exchange
 * @id: the request's id
 * @caller: the caller
 * @chat: chat completion; text completion if FALSE
 * @prompt: owned by the exchange; NULL for a resume, which has no body
 * @resume: owned by the exchange; NULL unless the caller resumes a stream
 */
typedef struct {
    struct evhttp_request *request;
    const char *id;
    const Caller_t *caller;
    gboolean chat;
    Prompt_t *prompt;
    ResumePoint_t *resume;
} StreamExchangeSpec_t;

/** StreamExchange_start() - start to process a request; it always gets an
 * answer */
void StreamExchange_start(Context_t *context,
                          const StreamExchangeSpec_t *spec);

#endif
