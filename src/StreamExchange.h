#ifndef HEADER_StreamExchange
#define HEADER_StreamExchange
/**
 * DOC: StreamExchange
 *
 * The form of a model request that is answered token by token: an attempt is
 * an engine's stream, and a broken one is resumed at the same engine or goes
 * on at another with the text so far as its prefix.
 */
#include <event2/http.h>

#include "Context.h"
#include "Prompt.h"
#include "ResumeToken.h"

/**
 * struct StreamExchangeSpec_t - an admitted request
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
} StreamExchangeSpec_t;

/** StreamExchange_start() - take a request on; it always gets an answer */
void StreamExchange_start(Context_t *context,
                          const StreamExchangeSpec_t *spec);

#endif
