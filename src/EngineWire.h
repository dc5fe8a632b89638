#ifndef HEADER_EngineWire
#define HEADER_EngineWire
/**
 * DOC: EngineWire
 *
 * The messages between routers and engines, independent of their wire format.
 * A format is one table of functions; EngineHttp.h is the one in use.
 */
#include <event2/http.h>
#include <glib.h>

#include "Prompt.h"
#include "UpstreamNotice.h"

/** Longest stream id that an engine may choose, in bytes */
#define STREAM_ID_MAX 64
/** Longest name of a version of weights, in bytes */
#define WEIGHTS_MAX 64

/**
 * struct EngineStreamRequest_t - a request for a new stream
 * @prompt: the caller's request
 * @salt: cache salt in hex digits
 * @priority: requests with a larger one run first
 * @incarnation: the engine refuses unless it is this one; 0 for any
 * @weights: the engine refuses unless it has this version
 * @sent_text: answer text that the caller has received already, or NULL
 * @sent_tokens: number of tokens of @sent_text; the stream continues after
 *     them
 */
typedef struct {
    const Prompt_t *prompt;
    const char *salt;
    gint64 priority;
    guint64 incarnation;
    const char *weights;
    const GString *sent_text;
    guint64 sent_tokens;
} EngineStreamRequest_t;

/**
 * struct EngineHead_t - what an engine sends before the first token
 * @attempt: id of the attempt that the engine answers
 * @stream: the engine's id of the stream
 * @incarnation: of the engine
 * @weights: version of the weights that the answer comes from
 * @prompt_tokens: length of the prompt
 * @cached_tokens: prompt tokens that were found in the engine's cache
 * @running: number of streams that run on the engine
 * @waiting_tokens: prompt tokens that the engine has yet to compute
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
 * @end: whether this is the end-of-stream event; no other field is set then
 * @index: position in the answer, from 0
 * @text: text of the token, valid during the callback
 * @length: length of @text in bytes
 * @finish: finish reason if the answer ends with this token, else NULL
 */
typedef struct {
    gboolean end;
    guint64 index;
    const char *text;
    gsize length;
    const char *finish;
} EngineToken_t;

/**
 * struct EngineEventFormat_t - the constant parts of the events of one stream
 * @prefix: bytes before the text
 * @suffix: bytes after the text
 * @known: whether both were learned, from an event that was parsed as JSON
 *
 * The events of a stream differ only in their text, so most of them need not
 * be parsed as JSON.
 */
typedef struct {
    GString *prefix;
    GString *suffix;
    gboolean known;
} EngineEventFormat_t;

/**
 * struct EngineRefusal_t - an answer that is not a stream
 * @not_run: the engine reports that it has not run the request
 * @final: the request itself is invalid, so no other engine will accept it
 * @leaving: the engine accepts no new work
 * @incarnation: of the engine, if the request expected another one; else 0
 * @code: the engine's error code
 */
typedef struct {
    gboolean not_run;
    gboolean final;
    gboolean leaving;
    guint64 incarnation;
    char code[64];
} EngineRefusal_t;

/**
 * struct EngineWire_t - a wire format between routers and engines
 * @start_path: returns the path to request a new stream from
 * @start_body: returns the body of that request
 * @resume_path: path to request a known stream from
 * @resume_body: returns the request for its tokens from @offset on
 * @cancel_path: path to cancel a stream
 * @cancel_body: returns the request to cancel the stream, which takes effect
 *     only if @attempt was the last attempt to read it
 * @read_head: returns FALSE if something is missing
 * @read_event: returns FALSE if the data is no event of this stream. Learns
 *     @format; sets @json to the value that @token points into, or NULL, which
 *     the caller releases with json_decref()
 * @read_refusal: reads an answer with a status other than 200
 * @notices: headers by which any answer carries notices of its upstream
 */
typedef struct {
    const char *(*start_path)(const Prompt_t *prompt);
    GBytes *(*start_body)(const EngineStreamRequest_t *request);
    const char *resume_path;
    GBytes *(*resume_body)(const char *stream, guint64 offset);
    const char *cancel_path;
    GBytes *(*cancel_body)(const char *stream, const char *attempt);
    gboolean (*read_head)(struct evkeyvalq *headers, EngineHead_t *head);
    gboolean (*read_event)(const EngineHead_t *head,
                           EngineEventFormat_t *format, const char *id,
                           const char *data, gsize length,
                           EngineToken_t *token, json_t **json);
    void (*read_refusal)(int status, const char *body, gsize length,
                         EngineRefusal_t *refusal);
    UpstreamNoticeForm_t notices;
} EngineWire_t;

/** Header that carries the router's id of an attempt, in requests and answers
 */
#define ATTEMPT_HEADER "X-Attempt-Id"

#endif
