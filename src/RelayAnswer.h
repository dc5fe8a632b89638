#ifndef HEADER_RelayAnswer
#define HEADER_RelayAnswer
/**
 * DOC: RelayAnswer
 *
 * The caller's side of a relayed request: an upstream's status, headers and
 * body go to the caller unchanged, whole or as a stream. An answer that ends
 * early is cut, so that it never looks complete.
 */
#include <event2/buffer.h>
#include <event2/http.h>

#include "Refusal.h"

/**
 * struct RelayAnswerEvents_t - what an answer tells its owner
 * @left: the caller is gone
 * @drained: a slow caller has read what waited for it
 */
typedef struct {
    void (*left)(void *owner);
    void (*drained)(void *owner);
} RelayAnswerEvents_t;

/**
 * struct RelayAnswerSpec_t - an admitted request
 * @request: of evhttp
 * @id: its id
 * @id_header: header that carries it
 * @buffer_max: bytes that may wait for a slow caller
 */
typedef struct {
    struct evhttp_request *request;
    const char *id;
    const char *id_header;
    gsize buffer_max;
} RelayAnswerSpec_t;

/** struct RelayAnswer_t - opaque */
typedef struct RelayAnswer RelayAnswer_t;

/** RelayAnswer_create() - start to watch the caller */
RelayAnswer_t *RelayAnswer_create(struct event_base *base,
                                  const RelayAnswerSpec_t *spec,
                                  const RelayAnswerEvents_t *events,
                                  void *owner);

/** RelayAnswer_destroy() - free it; cuts an answer that has not ended */
void RelayAnswer_destroy(RelayAnswer_t *this);

/** RelayAnswer_request() - the caller's request, or NULL once it is gone */
struct evhttp_request *RelayAnswer_request(const RelayAnswer_t *this);

/** RelayAnswer_isBegun() - whether the caller has a head */
gboolean RelayAnswer_isBegun(const RelayAnswer_t *this);

/** RelayAnswer_setClosing() - the connection is to end with this answer */
void RelayAnswer_setClosing(RelayAnswer_t *this);

/**
 * RelayAnswer_setHead() - the head of an upstream's answer, for later
 *
 * Those of an attempt before are forgotten; one that the caller has stays.
 */
void RelayAnswer_setHead(RelayAnswer_t *this, int status,
                         const struct evkeyvalq *headers);

/** RelayAnswer_send() - bytes of a stream; sends the head first */
void RelayAnswer_send(RelayAnswer_t *this, struct evbuffer *data);

/** RelayAnswer_finish() - the stream is whole */
void RelayAnswer_finish(RelayAnswer_t *this);

/** RelayAnswer_whole() - head and body at once */
void RelayAnswer_whole(RelayAnswer_t *this, struct evbuffer *body);

/** RelayAnswer_setRetryAfter() - when to come back, if it is refused, in ms;
 * where it is not said, that of the reason holds */
void RelayAnswer_setRetryAfter(RelayAnswer_t *this, guint retry_after_ms);

/** RelayAnswer_refuse() - our own answer, or a cut where a head went out */
void RelayAnswer_refuse(RelayAnswer_t *this, Refusal_t refusal, RunState_t run,
                        const char *detail);

/** RelayAnswer_isFull() - more waits for the caller than it may */
gboolean RelayAnswer_isFull(const RelayAnswer_t *this);

/**
 * struct RelayRefusal_t - how a request is refused
 * @refusal: the reason
 * @run: what is known of it
 * @detail: more about this case, or NULL
 * @retry_after_ms: when to come back; 0 for that of the reason
 * @closing: the connection is to end with this answer
 */
typedef struct {
    Refusal_t refusal;
    RunState_t run;
    const char *detail;
    guint retry_after_ms;
    gboolean closing;
} RelayRefusal_t;

/**
 * Relay_refuse() - refuse a request that no exchange was made for
 * @id_header: names the request in the answer
 * @id: the request's, or NULL
 */
void Relay_refuse(struct evhttp_request *request, const char *id_header,
                  const char *id, const RelayRefusal_t *how);

#endif
