#include "OperatorClient.h"

#include "Errors.h"
#include "HttpCall.h"

struct OperatorClient {
    struct event_base *base;
    GArray *routers; /* Address_t */
    char *authorization;
    gint64 timeout_ms;
};

typedef struct {
    struct event_base *base;
    GBytes *body;
    GError *error;
} PendingCall_t;

OperatorClient_t *
OperatorClient_create(const GArray *routers, const char *key,
                      gint64 timeout_ms)
{
    OperatorClient_t *this = g_new0(OperatorClient_t, 1);
    this->base = event_base_new();
    this->routers = g_array_new(FALSE, FALSE, sizeof(Address_t));
    g_array_append_vals(this->routers, routers->data, routers->len);
    this->authorization = g_strconcat("Bearer ", key, NULL);
    this->timeout_ms = timeout_ms;
    return this;
}

void
OperatorClient_destroy(OperatorClient_t *this)
{
    event_base_loop(this->base, EVLOOP_NONBLOCK);
    event_base_free(this->base);
    g_array_unref(this->routers);
    g_free(this->authorization);
    g_free(this);
}

guint
OperatorClient_countRouters(const OperatorClient_t *this)
{
    return this->routers->len;
}

static void
on_answer(const HttpAnswer_t *answer, const GError *error, void *data)
{
    PendingCall_t *call = data;
    if (answer) {
        call->body = g_bytes_new(answer->body, answer->length);
    }
    else {
        call->error = g_error_copy(error);
    }
    event_base_loopbreak(call->base);
}

static GBytes *
post(OperatorClient_t *this, guint router, const char *path, GBytes *body,
     GError **error)
{
    HttpHeader_t headers[] = {
        {"Authorization", this->authorization},
        {"Content-Type", "application/x-protobuf"},
        {NULL, NULL},
    };
    HttpCallSpec_t spec = {
        .address = &g_array_index(this->routers, Address_t, router),
        .method = EVHTTP_REQ_POST,
        .path = path,
        .headers = headers,
        .body = body,
        .timeout_ms = this->timeout_ms,
        .answer_max = HTTP_LIST_ANSWER_MAX,
    };
    PendingCall_t call = {.base = this->base};
    HttpCall_start(this->base, &spec, on_answer, &call);
    event_base_dispatch(this->base);
    if (call.error) {
        g_propagate_error(error, call.error);
    }
    return call.body;
}

/* Tries the next router only if the connection failed, so that no request is
 * sent to two routers. */
static GBytes *
post_to_any(OperatorClient_t *this, const char *path, GBytes *body,
            GError **error)
{
    for (guint i = 0; i < this->routers->len; i++) {
        g_autoptr(GError) fault = NULL;
        GBytes *answer = post(this, i, path, body, &fault);
        gboolean is_last = i + 1 == this->routers->len;
        if (answer) {
            return answer;
        }
        if (is_last || !g_error_matches(fault, WT_ERROR, WT_ERROR_CONNECT)) {
            g_propagate_error(error, g_steal_pointer(&fault));
            return NULL;
        }
    }
    return NULL;
}

static GBytes *
pack(const ProtobufCMessage *message)
{
    gsize size = protobuf_c_message_get_packed_size(message);
    guint8 *bytes = g_malloc(size + 1);
    protobuf_c_message_pack(message, bytes);
    return g_bytes_new_take(bytes, size);
}

ProtobufCMessage *
OperatorClient_call(OperatorClient_t *this, gint router, const char *method,
                    const ProtobufCMessage *request,
                    const ProtobufCMessageDescriptor *response, GError **error)
{
    g_autofree char *path = g_strconcat("/rpc/", method, NULL);
    GBytes *body = pack(request);
    GBytes *answer = router < 0 ? post_to_any(this, path, body, error)
                                : post(this, (guint)router, path, body, error);
    g_bytes_unref(body);
    if (!answer) {
        return NULL;
    }
    gsize size = 0;
    const guint8 *bytes = g_bytes_get_data(answer, &size);
    ProtobufCMessage *message =
        protobuf_c_message_unpack(response, NULL, size, bytes);
    g_bytes_unref(answer);
    if (!message) {
        g_set_error_literal(error, WT_ERROR, WT_ERROR_BAD_ANSWER,
                            "the router's answer cannot be decoded");
    }
    return message;
}
