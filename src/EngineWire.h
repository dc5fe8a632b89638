#ifndef HEADER_EngineWire
#define HEADER_EngineWire
/**
 * DOC: EngineWire
 *
 * What routers and engines say to each other, apart from its form on the
 * wire. A form is one table of functions; EngineHttp.h is the one in use.
 */
#include <event2/http.h>
#include <glib.h>

#include "Prompt.h"
#include "UpstreamNotice.h"

/** Longest id of a stream that an engine may choose */
#define STREAM_ID_MAX 64
/** Longest name of a version of weights */
#define WEIGHTS_MAX 64

/**
 * struct EngineOrder_t - a request for a new stream
 * @prompt: the caller's request
 * @salt: cache salt in hex digits
 * @priority: a larger one goes first
 * @incarnation: refuse unless the engine is this one; 0 for any
 * @weights: refuse unless the engine has this version
 * @sent_text: answer that the caller has already, NULL for none
 * @sent_tokens: tokens of @sent_text; the stream goes on behind them
 */
typedef struct {
    const Prompt_t *prompt;
    const char *salt;
    gint64 priority;
    guint64 incarnation;
    const char *weights;
    const GString *sent_text;
    guint64 sent_tokens;
} EngineOrder_t;

/**
 * struct EngineHead_t - what an engine says before the first token
 * @attempt: id of the attempt that it answers
 * @stream: its id of the stream
 * @incarnation: its own
 * @weights: version that the answer comes from
 * @prompt_tokens: length of the prompt
 * @cached_tokens: of these, found in its cache
 * @running: streams that it has under way
 * @waiting_tokens: prompt tokens that it has yet to compute
 */
typedef struct {
    GString *attempt;
    char stream[STREAM_ID_MAX + 1];
    guint64 incarnation;
    char weights[WEIGHTS_MAX + 1];
    guint prompt_tokens;
    guint cached_tokens;
    guint running;
    gint64 waiting_tokens;
} EngineHead_t;

/**
 * struct EngineToken_t - one event of a stream
 * @end: the proper end mark; nothing else is set
 * @index: place in the answer, from 0
 * @text: its text, valid during the callback
 * @length: bytes of @text
 * @finish: why the answer ends with it, or NULL
 */
typedef struct {
    gboolean end;
    guint64 index;
    const char *text;
    gsize length;
    const char *finish;
} EngineToken_t;

/**
 * struct EngineForm_t - what all events of one stream look like
 * @prefix: bytes before the text
 * @suffix: bytes behind the text
 * @known: both were learned, from an event that was read in full
 *
 * Events of a stream differ in their text alone, so that most need not be
 * read as JSON each.
 */
typedef struct {
    GString *prefix;
    GString *suffix;
    gboolean known;
} EngineForm_t;

/**
 * struct EngineRefusal_t - an answer that is not a stream
 * @not_run: the engine says that it did not run
 * @final: the request itself is at fault, no other engine will take it
 * @leaving: the engine takes no new work
 * @incarnation: its own, where the request was planned for another; else 0
 * @code: the engine's reason
 */
typedef struct {
    gboolean not_run;
    gboolean final;
    gboolean leaving;
    guint64 incarnation;
    char code[64];
} EngineRefusal_t;

/**
 * struct EngineWire_t - one form on the wire
 * @start_path: where a new stream is asked for
 * @start_body: the request for one
 * @resume_path: where a known stream is asked for
 * @resume_body: the request for its tokens from @offset on
 * @cancel_path: where a stream is ended
 * @cancel_body: the request to end it, if @attempt was the last to read it
 * @read_head: FALSE where something is missing
 * @read_event: FALSE where it is no event of this stream; @form is learned;
 *     @keep gets what @token points into and is freed with json_decref()
 * @read_refusal: what a status other than 200 means
 * @notices: what the head of any answer says of its upstream
 */
typedef struct {
    const char *(*start_path)(const Prompt_t *prompt);
    GBytes *(*start_body)(const EngineOrder_t *order);
    const char *resume_path;
    GBytes *(*resume_body)(const char *stream, guint64 offset);
    const char *cancel_path;
    GBytes *(*cancel_body)(const char *stream, const char *attempt);
    gboolean (*read_head)(struct evkeyvalq *headers, EngineHead_t *head);
    gboolean (*read_event)(const EngineHead_t *head, EngineForm_t *form,
                           const char *id, const char *data, gsize length,
                           EngineToken_t *token, json_t **keep);
    void (*read_refusal)(int status, const char *body, gsize length,
                         EngineRefusal_t *refusal);
    UpstreamNoticeForm_t notices;
} EngineWire_t;

/** Header that carries our id of an attempt, both ways */
#define ATTEMPT_HEADER "X-Attempt-Id"

#endif
