#ifndef HEADER_HttpCall
#define HEADER_HttpCall
/**
 * DOC: HttpCall
 *
 * One HTTP request with a whole answer, on a connection of its own. It is
 * never repeated by itself. The error's code tells what is known of the
 * effect: WT_ERROR_CONNECT means that not a byte was sent.
 */
#include <event2/event.h>
#include <event2/http.h>
#include <glib.h>

#include "KeyTable.h"

/**
 * struct HttpHeader_t - one header; lists of them end with a NULL name
 */
typedef struct {
    const char *name;
    const char *value;
} HttpHeader_t;

/**
 * struct HttpCallSpec_t - what to ask
 * @address: whom
 * @method: as evhttp names it
 * @path: with its query
 * @headers: ended by a NULL name, or NULL
 * @body: or NULL
 * @timeout_ms: for the whole call
 * @connect_timeout_ms: for the connection alone; 0 for @timeout_ms
 */
typedef struct {
    const Address_t *address;
    enum evhttp_cmd_type method;
    const char *path;
    const HttpHeader_t *headers;
    GBytes *body;
    gint64 timeout_ms;
    gint64 connect_timeout_ms;
} HttpCallSpec_t;

/**
 * struct HttpAnswer_t - a whole answer, valid during the callback
 * @status: HTTP status
 * @headers: of the answer
 * @body: its bytes
 * @length: how many
 */
typedef struct {
    int status;
    struct evkeyvalq *headers;
    const char *body;
    gsize length;
} HttpAnswer_t;

/**
 * HttpCallDone_t - called once, unless the call was cancelled
 * @answer: NULL where there is an error
 * @error: WT_ERROR_CONNECT, _TIMEOUT, _CUT or _BAD_ANSWER
 */
typedef void (*HttpCallDone_t)(const HttpAnswer_t *answer, const GError *error,
                               void *data);

/**
 * struct HttpCall_t - opaque; frees itself after its callback
 */
typedef struct HttpCall HttpCall_t;

/**
 * HttpCall_start() - send a request
 */
HttpCall_t *HttpCall_start(struct event_base *base, const HttpCallSpec_t *spec,
                           HttpCallDone_t done, void *data);

/**
 * HttpCall_cancel() - close the connection; the callback is not called
 */
void HttpCall_cancel(HttpCall_t *this);

/** HttpCall_wasSent() - whether some bytes went out, or may have */
gboolean HttpCall_wasSent(const HttpCall_t *this);

/**
 * Http_noDelay() - send small writes at once on a connection
 */
void Http_noDelay(struct evhttp_connection *connection);

/** Http_copyBody() - the bytes of a request's body, freed by the caller */
GBytes *Http_copyBody(struct evhttp_request *request);

/**
 * Http_flush() - write what waits now, rather than once the loop comes by
 *
 * It saves each token of a stream two changes of the event set and a turn of
 * the loop. What the kernel does not take stays and goes out as usual.
 */
void Http_flush(struct evhttp_connection *connection);

#endif
