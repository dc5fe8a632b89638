#include "StreamHandle.h"

#include "HttpCall.h"

static void
set_upstream(StreamHandle_t *this, Upstream_t *upstream)
{
    if (upstream) {
        Upstream_ref(upstream);
    }
    if (this->upstream) {
        Upstream_unref(this->upstream);
    }
    this->upstream = upstream;
}

void
StreamHandle_set(StreamHandle_t *this, Upstream_t *upstream,
                 const EngineHead_t *head)
{
    set_upstream(this, upstream);
    this->incarnation = head->incarnation;
    g_strlcpy(this->stream, head->stream, sizeof(this->stream));
    g_strlcpy(this->attempt, head->attempt->str, sizeof(this->attempt));
}

void
StreamHandle_restore(StreamHandle_t *this, Upstream_t *upstream,
                     const ResumePoint_t *point)
{
    set_upstream(this, upstream);
    this->incarnation = point->incarnation;
    g_strlcpy(this->stream, point->stream->str, sizeof(this->stream));
}

void
StreamHandle_clear(StreamHandle_t *this)
{
    set_upstream(this, NULL);
}

static void
on_cancelled(const HttpAnswer_t *answer, const GError *error, void *data)
{
    (void)answer;
    (void)error;
    (void)data;
}

void
StreamHandle_cancel(const StreamHandle_t *this, struct event_base *base,
                    const EngineWire_t *wire, gint64 timeout_ms)
{
    if (!this->upstream) {
        return;
    }
    GBytes *body = wire->cancel_body(this->stream, this->attempt);
    HttpCallSpec_t spec = {
        .address = &this->upstream->address,
        .method = EVHTTP_REQ_POST,
        .path = wire->cancel_path,
        .body = body,
        .timeout_ms = timeout_ms,
        .answer_max = HTTP_SHORT_ANSWER_MAX,
    };
    HttpCall_start(base, &spec, on_cancelled, NULL);
    g_bytes_unref(body);
}

GString *
StreamHandle_seal(const StreamHandle_t *this, GBytes *key,
                  const char *customer, const char *request, const char *model)
{
    ResumePoint_t *point = ResumePoint_create();
    g_string_assign(point->customer, customer);
    g_string_assign(point->upstream, this->upstream->name->str);
    g_string_assign(point->stream, this->stream);
    g_string_assign(point->request, request);
    g_string_assign(point->model, model);
    point->incarnation = this->incarnation;
    GString *sealed = ResumeToken_seal(point, key);
    ResumePoint_destroy(point);
    return sealed;
}
