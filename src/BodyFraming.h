#ifndef HEADER_BodyFraming
#define HEADER_BodyFraming
/**
 * DOC: BodyFraming
 *
 * How the end of an answer's body is marked, which decides whether the answer
 * is known to be complete (RFC 9112, section 6.3).
 */
#include <event2/http.h>
#include <glib.h>

/**
 * enum BodyFraming_t - what marks the end of a body
 * @BODY_EMPTY: no body follows the head
 * @BODY_LENGTH: the body has a stated length
 * @BODY_CHUNKED: the body ends with its last chunk
 * @BODY_CLOSE_DELIMITED: the body ends with its connection, so that a complete
 *     one can't be told from a truncated one
 * @BODY_AMBIGUOUS: the head states no length or more than one, so that
 *     receivers may disagree on where the body ends
 */
typedef enum {
    BODY_EMPTY,
    BODY_LENGTH,
    BODY_CHUNKED,
    BODY_CLOSE_DELIMITED,
    BODY_AMBIGUOUS,
} BodyFraming_t;

/** BodyFraming_endsBeforeConnection() - whether another answer can follow on
 * the same connection */
gboolean BodyFraming_endsBeforeConnection(BodyFraming_t framing);

/** BodyFraming_name() - stable name, for logs and counters */
const char *BodyFraming_name(BodyFraming_t framing);

/**
 * BodyFraming_read() - find out how the body of an answer is delimited
 * @method: method of the request
 * @status: status of the answer; interim ones count as ambiguous
 * @headers: headers of the answer
 */
BodyFraming_t BodyFraming_read(enum evhttp_cmd_type method, int status,
                               const struct evkeyvalq *headers);

/**
 * BodyFraming_findFault() - why the framing of an answer is ambiguous
 *
 * Return: a phrase for logs; NULL if it is not
 */
const char *BodyFraming_findFault(enum evhttp_cmd_type method, int status,
                                  const struct evkeyvalq *headers);

/**
 * BodyFraming_isAmbiguousRequest() - whether receivers of a request may
 * disagree on where its body ends
 *
 * So it is with a length beside a coding, more than one of either, a length
 * that is no number, a coding other than chunks, or a header whose name is no
 * token and may be one of these to others. So it is as well with a body of
 * HEAD, TRACE or an unknown method. What follows such a head must not be read.
 */
gboolean BodyFraming_isAmbiguousRequest(enum evhttp_cmd_type method,
                                        const struct evkeyvalq *headers);

/**
 * BodyFraming_receive() - read the framing of an answer whose head has just
 * been received, and have evhttp receive its body accordingly
 * @fault: gets what BodyFraming_findFault() returns
 *
 * Takes the blanks and tabs around the values of all headers away (RFC 9110,
 * section 5.5). Must be called from the request's header callback.
 */
BodyFraming_t BodyFraming_receive(struct evhttp_request *request,
                                  const char **fault);

/**
 * BodyFraming_skipInterim() - whether the head that has just been received is
 * a "100 Continue", after which evhttp receives the answer
 *
 * Drops its headers, which evhttp would add to those of the answer. Must be
 * called from the request's header callback.
 */
gboolean BodyFraming_skipInterim(struct evhttp_request *request);

#endif
