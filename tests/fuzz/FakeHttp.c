#include "FakeHttp.h"

#include <event2/keyvalq_struct.h>
#include <sys/queue.h>

struct HttpCall {
    HttpCallDone_t done;
    void *data;
};

static HttpCall_t open_call;

HttpCall_t *
HttpCall_start(struct event_base *base, const HttpCallSpec_t *spec,
               HttpCallDone_t done, void *data)
{
    (void)base;
    (void)spec;
    open_call = (HttpCall_t){done, data};
    return &open_call;
}

void
HttpCall_cancel(HttpCall_t *this)
{
    this->done = NULL;
}

static void
answer_framed(int status, BodyFraming_t framing, const char *body,
              gsize length)
{
    struct evkeyvalq headers;
    TAILQ_INIT(&headers);
    HttpAnswer_t answer = {.status = status,
                           .framing = framing,
                           .headers = &headers,
                           .body = body,
                           .length = length};
    open_call.done(&answer, NULL, open_call.data);
}

void
FakeHttp_answer(int status, const char *body, gsize length)
{
    answer_framed(status, BODY_LENGTH, body, length);
}

void
FakeHttp_answerUnframed(int status, const char *body, gsize length)
{
    answer_framed(status, BODY_CLOSE_DELIMITED, body, length);
}

gboolean
HttpCall_isReceiving(const HttpCall_t *this)
{
    (void)this;
    return FALSE;
}

void
Http_setNoDelay(struct evhttp_connection *connection)
{
    (void)connection;
}

void
Http_flush(struct evhttp_connection *connection)
{
    (void)connection;
}

void
Http_startReadTimeout(struct evhttp_connection *connection)
{
    (void)connection;
}

void
Http_stopReadTimeout(struct evhttp_connection *connection)
{
    (void)connection;
}

gint64
Http_timeoutMs(struct evhttp_connection *connection)
{
    (void)connection;
    return 0;
}
