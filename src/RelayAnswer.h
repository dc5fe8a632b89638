#ifndef HEADER_RelayAnswer
#define HEADER_RelayAnswer
/**
 * DOC: RelayAnswer
 *
 * The caller's side of a relayed request: forwards an upstream's status,
 * headers and body to the caller unchanged, as a complete answer or as a
 * stream. The end of the answer is marked no better than the upstream's. When
 * an answer fails after its head was sent, the connection is closed without
 * that mark, so that a truncated answer never looks complete.
 */
#include <event2/buffer.h>
#include <event2/http.h>

#include "BodyFraming.h"
#include "MemoryUse.h"
#include "Refusal.h"

/**
 * struct RelayAnswerEvents_t - callbacks to the owner of an answer
 * @caller_left: the caller's connection has ended, see CallerLeft_t
 * @drained: a slow caller has read the data that was buffered for it
 */
typedef struct {
    void (*caller_left)(void *owner, Refusal_t reason);
    void (*drained)(void *owner);
} RelayAnswerEvents_t;

/**
 * struct RelayAnswerSpec_t - parameters of RelayAnswer_create()
 * @request: the caller's evhttp request
 * @id: request id
 * @id_header: response header that carries @id
 * @buffer_max: bytes that may be buffered for a slow caller before
 *     RelayAnswer_isFull() holds
 * @buffered_total: counts these bytes, together with those of others; must
 *     outlive the answer; or NULL
 * @buffered_total_max: bytes of @buffered_total from which
 *     ANSWER_OUTPUT_FREE_MAX takes the place of @buffer_max
 * @memory: while it is tight, ANSWER_OUTPUT_FREE_MAX as well, and nothing
 * while it is full; or NULL
 */
typedef struct {
    struct evhttp_request *request;
    const char *id;
    const char *id_header;
    gsize buffer_max;
    gsize *buffered_total;
    gsize buffered_total_max;
    MemoryUse_t *memory;
} RelayAnswerSpec_t;

/** ANSWER_OUTPUT_FREE_MAX - bytes for a slow caller for which there is always
 * room */
#define ANSWER_OUTPUT_FREE_MAX 16384

/** struct RelayAnswer_t - opaque */
typedef struct RelayAnswer RelayAnswer_t;

/** RelayAnswer_create() - create an answer and watch the caller's connection
 */
RelayAnswer_t *RelayAnswer_create(struct event_base *base,
                                  const RelayAnswerSpec_t *spec,
                                  const RelayAnswerEvents_t *events,
                                  void *owner);

/** RelayAnswer_setOwner() - let another owner have the callbacks */
void RelayAnswer_setOwner(RelayAnswer_t *this,
                          const RelayAnswerEvents_t *events, void *owner);

/** RelayAnswer_isForRouter() - whether another router has forwarded the
 * request */
gboolean RelayAnswer_isForRouter(const RelayAnswer_t *this);

/** RelayAnswer_destroy() - free the answer; closes the caller's connection if
 * the answer has not ended */
void RelayAnswer_destroy(RelayAnswer_t *this);

/** RelayAnswer_request() - the caller's request, or NULL once the caller left
 * or the answer has ended */
struct evhttp_request *RelayAnswer_request(const RelayAnswer_t *this);

/** RelayAnswer_isHeadSent() - whether the status and headers were sent to the
 * caller */
gboolean RelayAnswer_isHeadSent(const RelayAnswer_t *this);

/** RelayAnswer_mayContinueWith() - whether the answer can go on with one of
 * this status: any until the head was sent, then only the same one */
gboolean RelayAnswer_mayContinueWith(const RelayAnswer_t *this, int status);

/** RelayAnswer_setClosing() - close the caller's connection after this answer,
 * as HttpReply_closeAfter(); no effect once the head was sent */
void RelayAnswer_setClosing(RelayAnswer_t *this);

/**
 * RelayAnswer_setHead() - store the status and headers of an upstream's answer
 * @framing: how the upstream marks the end of its answer; the caller's answer
 *     promises no more
 *
 * They are sent with the first data. They replace the head of an earlier
 * attempt, unless that was sent to the caller already.
 */
void RelayAnswer_setHead(RelayAnswer_t *this, int status,
                         BodyFraming_t framing,
                         const struct evkeyvalq *headers);

/** RelayAnswer_setReceived() - note that the body of the answer whose head was
 * set last has ended, as its framing marks it */
void RelayAnswer_setReceived(RelayAnswer_t *this);

/** RelayAnswer_needsProof() - whether the caller was sent a head after which
 * an orderly end states that the answer is complete */
gboolean RelayAnswer_needsProof(const RelayAnswer_t *this);

/** RelayAnswer_sendData() - send part of a stream, after the head if that was
 * not sent yet */
void RelayAnswer_sendData(RelayAnswer_t *this, struct evbuffer *data);

/**
 * RelayAnswer_beginParts() - have the body of a complete answer sent in parts
 *
 * Before the first of them. The head states the upstream's length, and a slow
 * caller gets ANSWER_OUTPUT_FREE_MAX in place of @buffer_max.
 */
void RelayAnswer_beginParts(RelayAnswer_t *this);

/** RelayAnswer_finishStream() - end a stream as its upstream did; breaks it
 * off without RelayAnswer_setReceived() */
void RelayAnswer_finishStream(RelayAnswer_t *this);

/**
 * RelayAnswer_sendComplete() - send the head and the complete body
 *
 * Refuses the request in its place without RelayAnswer_setReceived(), or if
 * the upstream stated another length than that of @body.
 */
void RelayAnswer_sendComplete(RelayAnswer_t *this, struct evbuffer *body);

/** RelayAnswer_setRetryAfter() - set the Retry-After of a later refusal, in
 * ms; the default of the refusal's reason applies otherwise */
void RelayAnswer_setRetryAfter(RelayAnswer_t *this, guint retry_after_ms);

/** RelayAnswer_setServiceUnreached() - note that this router does not reach
 * the upstreams of the request's service, so that a later refusal for the lack
 * of one tells another router so */
void RelayAnswer_setServiceUnreached(RelayAnswer_t *this);

/** RelayAnswer_refuse() - answer with a refusal, or close the connection if
 * the head was sent already */
void RelayAnswer_refuse(RelayAnswer_t *this, Refusal_t refusal, RunState_t run,
                        const char *detail);

/**
 * RelayAnswer_logEnd() - add to the log line under way how the answer ended
 *
 * The status is that of the upstream, 0 if the caller got none of it;
 * stated_bytes is the length that the upstream stated, -1 for none.
 */
void RelayAnswer_logEnd(const RelayAnswer_t *this);

/** RelayAnswer_isFull() - whether more bytes than there is room for wait for
 * the caller; @drained is called once they are written */
gboolean RelayAnswer_isFull(const RelayAnswer_t *this);

/**
 * struct RelayRefusal_t - parameters of a refusal
 * @refusal: the reason
 * @run: whether the request may have run at an upstream
 * @detail: text about this case, or NULL
 * @retry_after_ms: value of Retry-After; 0 for the default of the reason
 * @closing: close the connection after this answer
 * @refuses: value of RELAY_TRY_ANOTHER, which tells the router that forwarded
 *     the request that another one may serve it; or NULL
 */
typedef struct {
    Refusal_t refusal;
    RunState_t run;
    const char *detail;
    guint retry_after_ms;
    gboolean closing;
    const char *refuses;
} RelayRefusal_t;

/**
 * Relay_refuse() - refuse a request that has no exchange
 * @id_header: response header that carries @id
 * @id: request id, or NULL
 */
void Relay_refuse(struct evhttp_request *request, const char *id_header,
                  const char *id, const RelayRefusal_t *params);

#endif
