#ifndef HEADER_HttpCall
#define HEADER_HttpCall
/**
 * DOC: HttpCall
 *
 * One HTTP request with a complete answer, on its own connection. It is never
 * retried automatically. The error code states whether the request may have
 * had an effect: WT_ERROR_CONNECT means that no byte was sent.
 */
#include <event2/event.h>
#include <event2/http.h>
#include <glib.h>

#include "BodyFraming.h"
#include "KeyTable.h"

/** Longest answer of a few values: a state, the outcome of an order */
#define HTTP_SHORT_ANSWER_MAX ((gsize)64 << 10)
/** Longest answer with records or a list; also the bytes of all answers under
 * way of more than HTTP_SHORT_ANSWER_MAX, so that a longer one ends its call
 * while others use them up */
#define HTTP_LIST_ANSWER_MAX ((gsize)16 << 20)

/** Longest head of an answer, or its trailers, however long its body may be:
 * evhttp searches all of a line for its end again with each read */
#define HTTP_ANSWER_HEAD_MAX ((gsize)64 << 10)

/** struct HttpHeader_t - one header; a list of headers ends with a NULL name
 */
typedef struct {
    const char *name;
    const char *value;
} HttpHeader_t;

/**
 * struct HttpCallSpec_t - parameters of a call
 * @address: address of the server
 * @method: method as a constant of evhttp
 * @path: path with the query
 * @headers: headers ended by a NULL name, or NULL
 * @body: body of the request, or NULL
 * @timeout_ms: timeout of the entire call
 * @connect_timeout_ms: timeout of the connection setup; 0 for @timeout_ms
 * @late_ms: silence after which the callback gets WT_ERROR_LATE; 0 for never
 * @answer_max: longest answer in bytes, its head and framing included
 * @is_one_of_many: of hundreds that may be under way, so that the kernel is to
 *     hold little of each answer, however long
 * @refuses_folds: refuse an answer with a folded field, as a gateway may (RFC
 *     9112, section 5.2)
 * @accepts_close_delimited: accept an answer that may be truncated, as the
 *     caller can tell that from its content, or needs no more than its head
 */
typedef struct {
    const Address_t *address;
    enum evhttp_cmd_type method;
    const char *path;
    const HttpHeader_t *headers;
    GBytes *body;
    gint64 timeout_ms;
    gint64 connect_timeout_ms;
    gint64 late_ms;
    gsize answer_max;
    gboolean is_one_of_many;
    gboolean refuses_folds;
    gboolean accepts_close_delimited;
} HttpCallSpec_t;

/**
 * struct HttpAnswer_t - an answer, valid during the callback
 * @status: HTTP status
 * @framing: how the end of @body is marked; a close-delimited one may be
 *     truncated
 * @headers: headers of the answer
 * @body: body of the answer
 * @length: length of @body in bytes
 */
typedef struct {
    int status;
    BodyFraming_t framing;
    struct evkeyvalq *headers;
    const char *body;
    gsize length;
} HttpAnswer_t;

/**
 * HttpCallDone_t - called once, unless the call was cancelled
 * @answer: the answer, or NULL if there is an error
 * @error: WT_ERROR_CONNECT, _TIMEOUT, _CUT or _BAD_ANSWER, which an answer
 *     longer than @answer_max is, too. WT_ERROR_LATE, at
 *     most once, means that the call continues and this is called again
 */
typedef void (*HttpCallDone_t)(const HttpAnswer_t *answer, const GError *error,
                               void *data);

/** struct HttpCall_t - opaque; frees itself after its callback */
typedef struct HttpCall HttpCall_t;

/** HttpCall_start() - connect and send a request; the callback is called later
 * in any case */
HttpCall_t *HttpCall_start(struct event_base *base, const HttpCallSpec_t *spec,
                           HttpCallDone_t done, void *data);

/** HttpCall_cancel() - close the connection; the callback is not called */
void HttpCall_cancel(HttpCall_t *this);

/** HttpCall_abandonAll() - free all calls, also those that nobody owns; as the
 * process ends, once their owners are gone. No callback is called. */
void HttpCall_abandonAll(void);

/** HttpCall_isReceiving() - whether a long answer is arriving, and some of it
 * came lately */
gboolean HttpCall_isReceiving(const HttpCall_t *this);

/** HttpCall_wasSent() - whether any byte was or may have been sent */
gboolean HttpCall_wasSent(const HttpCall_t *this);

/** Http_setNoDelay() - set TCP_NODELAY on a connection */
void Http_setNoDelay(struct evhttp_connection *connection);

/**
 * Http_stopReadTimeout() - a caller that is being answered owes no bytes
 *
 * evhttp reads as soon as it writes, so that its timeout would close the
 * connection of a caller to which it has nothing to send for a while, or that
 * takes long to read an answer.
 */
void Http_stopReadTimeout(struct evhttp_connection *connection);

/** Http_startReadTimeout() - the next request is awaited */
void Http_startReadTimeout(struct evhttp_connection *connection);

/** Http_timeoutMs() - the connection's timeout, also while it is not used for
 * reading; 0 for none */
gint64 Http_timeoutMs(struct evhttp_connection *connection);

/** Http_abort() - free a connection whose request is given up; what was not
 * delivered of the request is never delivered */
void Http_abort(struct evhttp_connection *connection);

/** Http_copyBody() - copy the body of a request; freed by the caller */
GBytes *Http_copyBody(struct evhttp_request *request);

/**
 * Http_flush() - write the pending output now instead of in the event loop
 *
 * This saves two changes of the event set and a loop iteration per token of a
 * stream. Output that the kernel does not accept is written by the event loop.
 */
void Http_flush(struct evhttp_connection *connection);

#endif
