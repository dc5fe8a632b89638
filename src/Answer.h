#ifndef HEADER_Answer
#define HEADER_Answer
/**
 * DOC: Answer
 *
 * The caller's side of a model request: it writes tokens, the end and
 * refusals in the form that was asked for, and learns when the caller leaves
 * or can't keep up. The forms are one class table each.
 */
#include <event2/event.h>
#include <event2/http.h>
#include <glib.h>

#include "Refusal.h"
#include "TurnEnd.h"

/**
 * struct AnswerEvents_t - what the caller's side tells its owner
 * @left: the caller closed the connection; nothing more can be written
 * @drained: all that was written has gone out, after Answer_isFull()
 */
typedef struct {
    void (*left)(void *owner);
    void (*drained)(void *owner);
} AnswerEvents_t;

/**
 * struct AnswerSpec_t - the form of an answer
 * @request: of evhttp; the answer ends it
 * @chat: as chat completion
 * @stream: as events
 * @id: the request's id
 * @model: as the caller named it
 * @buffer_max: bytes that may wait for the caller
 * @turn_end: tokens of one turn are written together at its end
 */
typedef struct {
    struct evhttp_request *request;
    gboolean chat;
    gboolean stream;
    const char *id;
    const char *model;
    gsize buffer_max;
    TurnEnd_t *turn_end;
} AnswerSpec_t;

/** struct Answer_t - opaque */
typedef struct Answer Answer_t;

/** Answer_create() - nothing is written yet */
Answer_t *Answer_create(struct event_base *base, const AnswerSpec_t *spec,
                        const AnswerEvents_t *events, void *owner);

/**
 * Answer_destroy() - free it
 *
 * One of Answer_finish() and Answer_refuse() must have been called, or the
 * caller have left.
 */
void Answer_destroy(Answer_t *this);

/** Answer_setToken() - sealed part of the resume token for next tokens */
void Answer_setToken(Answer_t *this, const GString *sealed);

/**
 * Answer_token() - write one token
 * @next_offset: tokens that the caller has with it
 * @finish: why the answer ends with it, or NULL
 */
void Answer_token(Answer_t *this, const char *text, gsize length,
                  const char *finish, guint64 next_offset);

/** Answer_finish() - the answer is whole */
void Answer_finish(Answer_t *this, guint prompt_tokens, guint64 tokens,
                   guint cached_tokens);

/**
 * Answer_refuse() - refuse
 *
 * Where tokens were written already, an error event follows them and the
 * transfer is broken off, so that it can't be taken for whole.
 */
void Answer_refuse(Answer_t *this, const RefusalNotice_t *notice);

/** Answer_isFull() - whether the caller has to catch up first */
gboolean Answer_isFull(const Answer_t *this);

/**
 * Http_refuse() - answer any request with a refusal
 * @id: the request's id
 */
void Http_refuse(struct evhttp_request *request, const char *id,
                 const RefusalNotice_t *notice);

#endif
