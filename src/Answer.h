#ifndef HEADER_Answer
#define HEADER_Answer
/**
 * DOC: Answer
 *
 * Writes the response to a model request: tokens, the end of the answer and
 * refusals. The caller chooses between a chat and a text completion, streamed
 * as server-sent events or sent in one piece. Reports when the caller
 * disconnects or reads more slowly than tokens arrive.
 */
#include <event2/event.h>
#include <event2/http.h>
#include <glib.h>

#include "DeferredCalls.h"
#include "Refusal.h"

/**
 * struct AnswerEvents_t - callbacks to the owner of an answer
 * @left: the caller's connection has ended, see CallerLeft_t; nothing can be
 *     written any more
 * @drained: the buffered output was sent, after Answer_isFull() was TRUE
 */
typedef struct {
    void (*left)(void *owner, Refusal_t reason);
    void (*drained)(void *owner);
} AnswerEvents_t;

/**
 * struct AnswerSpec_t - parameters of an answer
 * @request: the caller's request; the answer ends it
 * @chat: chat completion format; text completion if FALSE
 * @stream: send server-sent events
 * @id: the request's id
 * @model: name of the model as the caller wrote it
 * @buffer_max: bytes of unsent output above which Answer_isFull() is TRUE
 * @deferred_calls: tokens received in one loop iteration are written together
 *     at its end
 */
typedef struct {
    struct evhttp_request *request;
    gboolean chat;
    gboolean stream;
    const char *id;
    const char *model;
    gsize buffer_max;
    DeferredCalls_t *deferred_calls;
} AnswerSpec_t;

/** struct Answer_t - opaque */
typedef struct Answer Answer_t;

/** Answer_create() - watch the caller; writes nothing yet */
Answer_t *Answer_create(struct event_base *base, const AnswerSpec_t *spec,
                        const AnswerEvents_t *events, void *owner);

/**
 * Answer_destroy() - free an answer
 *
 * Answer_finish() or Answer_refuse() must have been called before, unless the
 * caller has left.
 */
void Answer_destroy(Answer_t *this);

/** Answer_setResumeToken() - set the sealed part of the resume token that goes
 * into the id of each following event */
void Answer_setResumeToken(Answer_t *this, const GString *sealed);

/**
 * Answer_writeToken() - write one token
 * @finish: finish reason if the answer ends with this token, else NULL
 * @next_offset: number of tokens sent to the caller including this one
 */
void Answer_writeToken(Answer_t *this, const char *text, gsize length,
                       const char *finish, guint64 next_offset);

/** Answer_finish() - end a complete answer */
void Answer_finish(Answer_t *this, guint prompt_tokens, guint64 tokens,
                   guint cached_tokens);

/**
 * Answer_refuse() - answer with a refusal
 *
 * If a stream has started, an error event is sent and the chunked body is left
 * without its last chunk, so that the caller can't take it for complete.
 */
void Answer_refuse(Answer_t *this, const RefusalNotice_t *notice);

/** Answer_isFull() - whether the unsent output exceeds @buffer_max; no more
 * tokens should be written until @drained is called */
gboolean Answer_isFull(const Answer_t *this);

/**
 * Http_refuse() - answer a request with a refusal, without an Answer_t
 * @id: the request's id
 */
void Http_refuse(struct evhttp_request *request, const char *id,
                 const RefusalNotice_t *notice);

#endif
