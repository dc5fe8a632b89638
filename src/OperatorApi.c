#include "OperatorApi.h"

#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>
#include <sodium.h>
#include <string.h>

#include "HttpReply.h"
#include "Log.h"
#include "OperatorCommands.h"
#include "OperatorQueries.h"

#define RPC_PATH "/rpc/"
#define KEY_HASH_BYTES 32
#define STATUS_UNAUTHORIZED 401

/* Answers a call that reached no method. Field 1 of every response message is
 * the error, so a client can decode this answer as any response type. */
static void
send_error(struct evhttp_request *request, int status, Wt__ErrorCode code,
           const char *message)
{
    Wt__Error error = WT__ERROR__INIT;
    Wt__ApplyResponse response = WT__APPLY_RESPONSE__INIT;
    error.code = code;
    error.message = (char *)message;
    response.error = &error;
    gsize size = wt__apply_response__get_packed_size(&response);
    g_autofree guint8 *bytes = g_malloc(size);
    wt__apply_response__pack(&response, bytes);
    struct evbuffer *body = evbuffer_new();
    evbuffer_add(body, bytes, size);
    HttpReply_sendBody(request, NULL, status, NULL, body, TRUE);
    evbuffer_free(body);
}

static void
send_message(const ProtobufCMessage *message, void *data)
{
    struct evhttp_request *request = data;
    if (!message) {
        send_error(request, HTTP_BADREQUEST, WT__ERROR_CODE__ERROR_BAD_REQUEST,
                   "the request message cannot be decoded");
        return;
    }
    gsize size = protobuf_c_message_get_packed_size(message);
    g_autofree guint8 *bytes = g_malloc(size + 1);
    protobuf_c_message_pack(message, bytes);
    evhttp_add_header(evhttp_request_get_output_headers(request),
                      "Content-Type", "application/x-protobuf");
    struct evbuffer *body = evbuffer_new();
    evbuffer_add(body, bytes, size);
    HttpReply_sendBody(request, NULL, HTTP_OK, "OK", body, TRUE);
    evbuffer_free(body);
}

static gboolean
is_authorized(const Context_t *context, struct evhttp_request *request)
{
    const char *header = evhttp_find_header(
        evhttp_request_get_input_headers(request), "Authorization");
    if (!header || !g_str_has_prefix(header, "Bearer ")) {
        return FALSE;
    }
    const char *key = header + strlen("Bearer ");
    guint8 hash[KEY_HASH_BYTES];
    crypto_generichash(hash, sizeof(hash), (const guint8 *)key, strlen(key),
                       NULL, 0);
    const void *expected =
        g_bytes_get_data(context->settings->keys.operator_hash, NULL);
    return sodium_memcmp(hash, expected, sizeof(hash)) == 0;
}

static ProtobufCService *
find_service(Context_t *context, const char *name)
{
    ProtobufCService *services[] = {OperatorCommands_service(context),
                                    OperatorQueries_service(context)};
    for (gsize i = 0; i < G_N_ELEMENTS(services); i++) {
        if (strcmp(services[i]->descriptor->short_name, name) == 0) {
            return services[i];
        }
    }
    return NULL;
}

static guint
find_method_index(const ProtobufCServiceDescriptor *service, const char *name)
{
    guint i = 0;
    while (i < service->n_methods &&
           strcmp(service->methods[i].name, name) != 0) {
        i++;
    }
    return i;
}

static void
invoke(ProtobufCService *service, guint method, struct evhttp_request *request)
{
    struct evbuffer *input = evhttp_request_get_input_buffer(request);
    gsize length = evbuffer_get_length(input);
    const guint8 *bytes =
        length > 0 ? evbuffer_pullup(input, -1) : (const guint8 *)"";
    ProtobufCMessage *message = protobuf_c_message_unpack(
        service->descriptor->methods[method].input, NULL, length, bytes);
    if (!message) {
        send_error(request, HTTP_BADREQUEST, WT__ERROR_CODE__ERROR_BAD_REQUEST,
                   "the request message cannot be decoded");
        return;
    }
    service->invoke(service, method, message, send_message, request);
    protobuf_c_message_free_unpacked(message, NULL);
}

static void
call_method(Context_t *context, struct evhttp_request *request,
            const char *path)
{
    g_auto(GStrv) parts = g_strsplit(path + strlen(RPC_PATH), "/", 2);
    ProtobufCService *service =
        parts[0] && parts[1] ? find_service(context, parts[0]) : NULL;
    guint method =
        service ? find_method_index(service->descriptor, parts[1]) : 0;
    if (!service || method == service->descriptor->n_methods) {
        send_error(request, HTTP_NOTFOUND,
                   WT__ERROR_CODE__ERROR_UNKNOWN_METHOD,
                   "no such service or method");
        return;
    }
    invoke(service, method, request);
}

static void
append_counter(const char *name, guint64 value, void *data)
{
    evbuffer_add_printf(data, "wheattiller_%s %" G_GUINT64_FORMAT "\n", name,
                        value);
}

static void
send_metrics(const Context_t *context, struct evhttp_request *request)
{
    struct evbuffer *body = evbuffer_new();
    Counters_forEach(context->counters, "", append_counter, body);
    append_counter("open_requests", context->open_requests, body);
    append_counter("config_fold_offset",
                   ConfigStore_foldOffset(context->config), body);
    append_counter("log_lines_left_out_total", Log_droppedTotal(), body);
    evhttp_add_header(evhttp_request_get_output_headers(request),
                      "Content-Type", "text/plain; version=0.0.4");
    HttpReply_sendBody(request, NULL, HTTP_OK, "OK", body, TRUE);
    evbuffer_free(body);
}

void
OperatorApi_handle(struct evhttp_request *request, void *data)
{
    Context_t *context = data;
    const struct evhttp_uri *uri = evhttp_request_get_evhttp_uri(request);
    const char *path = uri ? evhttp_uri_get_path(uri) : NULL;
    if (g_strcmp0(path, "/metrics") == 0) {
        send_metrics(context, request);
    }
    else if (!path || !g_str_has_prefix(path, RPC_PATH)) {
        send_error(request, HTTP_NOTFOUND,
                   WT__ERROR_CODE__ERROR_UNKNOWN_METHOD, "no such path");
    }
    else if (!is_authorized(context, request)) {
        send_error(request, STATUS_UNAUTHORIZED,
                   WT__ERROR_CODE__ERROR_UNAUTHENTICATED,
                   "not an operator's key");
    }
    else {
        call_method(context, request, path);
    }
}
