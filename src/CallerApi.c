#include "CallerApi.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/keyvalq_struct.h>
#include <sodium.h>
#include <string.h>

#include "Answer.h"
#include "Clock.h"
#include "HeaderCheck.h"
#include "HttpCall.h"
#include "HttpReply.h"
#include "Json.h"
#include "Random.h"
#include "RequestHead.h"
#include "RequestIntake.h"
#include "ServiceExchange.h"
#include "StreamExchange.h"

#define SERVICES_PATH "/v1/services/"
#define KEY_HASH_BYTES 32
#define DEADLINE_MAX_MS 86400000
/* Input beyond the largest request stays in the kernel's buffer rather than in
 * the router's memory. evhttp processes a body only when it is complete, so a
 * lower watermark than the largest request would stall that request. */
#define INPUT_MARGIN_BYTES 65536

static const char *const single_headers[] = {"Host", "Authorization",
                                             "Idempotency-Key", NULL};
static const char *const printable_headers[] = {"Idempotency-Key",
                                                "X-Request-Id", NULL};
static const HeaderRules_t header_rules = {single_headers, printable_headers};

/** struct Call_t - one request during validation */
typedef struct {
    Context_t *context;
    struct evhttp_request *http;
    struct evkeyvalq *headers;
    const char *path;
    char id[RANDOM_ID_LENGTH + 1];
    Caller_t caller;
} Call_t;

typedef void (*Handler_t)(Call_t *call);

typedef struct {
    const char *path;
    enum evhttp_cmd_type method;
    gboolean needs_customer;
    Handler_t handle;
} Endpoint_t;

static void
refuse(const Call_t *call, Refusal_t refusal, const char *detail)
{
    const char *customer_class = "none";
    if (call->caller.customer) {
        const Customer_t *spec = call->caller.customer->spec;
        customer_class = spec->customer_class->str;
    }
    Context_countRefusal(call->context, refusal, RUN_NOT, call->id, "none",
                         customer_class, detail);
    RefusalNotice_t notice = {refusal, RUN_NOT, detail, 0};
    Http_refuse(call->http, call->id, &notice);
}

static const char *
request_body(const Call_t *call, gsize *length)
{
    struct evbuffer *input = evhttp_request_get_input_buffer(call->http);
    *length = evbuffer_get_length(input);
    return *length > 0 ? (const char *)evbuffer_pullup(input, -1) : "";
}

static const Object_t *
find_customer(const Call_t *call)
{
    const char *header = evhttp_find_header(call->headers, "Authorization");
    if (!header || !g_str_has_prefix(header, "Bearer ")) {
        return NULL;
    }
    const char *key = header + strlen("Bearer ");
    guint8 hash[KEY_HASH_BYTES];
    crypto_generichash(hash, sizeof(hash), (const guint8 *)key, strlen(key),
                       NULL, 0);
    GBytes *bytes = g_bytes_new(hash, sizeof(hash));
    const Object_t *customer =
        ConfigStore_findCustomerByHash(call->context->config, bytes);
    g_bytes_unref(bytes);
    return customer;
}

static gint64
priority_level(const Context_t *context, const char *priority, gint64 fallback)
{
    const Object_t *object =
        ConfigStore_find(context->config, OBJECT_PRIORITY, priority);
    return object ? ((const Priority_t *)object->spec)->level : fallback;
}

static gboolean
read_priority(Call_t *call)
{
    const Customer_t *customer = call->caller.customer->spec;
    gint64 max_level =
        priority_level(call->context, customer->max_priority->str, 0);
    const char *name = evhttp_find_header(call->headers, "X-Priority");
    gint64 requested_level =
        name ? priority_level(call->context, name, -1) : max_level;
    if (requested_level < 0) {
        refuse(call, REFUSAL_BAD_HEADER, "X-Priority names no priority.");
        return FALSE;
    }
    call->caller.priority = MIN(requested_level, max_level);
    return TRUE;
}

static gboolean
read_deadline(Call_t *call)
{
    const char *text =
        evhttp_find_header(call->headers, "X-Request-Deadline-Ms");
    guint64 timeout_ms =
        (guint64)call->context->settings->limits.default_deadline_ms;
    if (text && !g_ascii_string_to_unsigned(text, 10, 1, DEADLINE_MAX_MS,
                                            &timeout_ms, NULL)) {
        refuse(call, REFUSAL_BAD_HEADER,
               "X-Request-Deadline-Ms is not a number of milliseconds.");
        return FALSE;
    }
    call->caller.deadline_ms = Clock_nowMs() + (gint64)timeout_ms;
    return TRUE;
}

static gboolean
read_repeatable(Call_t *call)
{
    const char *text = evhttp_find_header(call->headers, "X-Repeatable");
    if (text && strcmp(text, "yes") != 0 && strcmp(text, "no") != 0) {
        refuse(call, REFUSAL_BAD_HEADER, "X-Repeatable is not yes or no.");
        return FALSE;
    }
    call->caller.repeatable = !text || strcmp(text, "yes") == 0;
    const char *key = evhttp_find_header(call->headers, "Idempotency-Key");
    call->caller.key = key ? key : "";
    return TRUE;
}

static gboolean
acquire_slot(Call_t *call)
{
    const Object_t *customer = call->caller.customer;
    const Customer_t *spec = customer->spec;
    if (CustomerLimits_acquire(call->context->limits, customer->name->str,
                               (guint)spec->concurrency)) {
        return TRUE;
    }
    refuse(call, REFUSAL_CONCURRENCY_LIMITED, NULL);
    return FALSE;
}

static ResumePoint_t *
open_resume_token(Call_t *call, const char *token)
{
    ResumePoint_t *point =
        ResumeToken_open(token, call->context->settings->keys.seal, NULL);
    const char *customer = call->caller.customer->name->str;
    if (point && strcmp(point->customer->str, customer) == 0) {
        return point;
    }
    if (point) {
        ResumePoint_destroy(point);
    }
    refuse(call, REFUSAL_BAD_RESUME_TOKEN, NULL);
    return NULL;
}

static void
start_resume(Call_t *call, gboolean chat, const char *token)
{
    ResumePoint_t *point = open_resume_token(call, token);
    if (!point) {
        return;
    }
    if (!acquire_slot(call)) {
        ResumePoint_destroy(point);
        return;
    }
    g_strlcpy(call->id, point->request->str, sizeof(call->id));
    StreamExchangeSpec_t spec = {.request = call->http,
                                 .id = call->id,
                                 .caller = &call->caller,
                                 .chat = chat,
                                 .resume = point};
    StreamExchange_start(call->context, &spec);
}

static Prompt_t *
read_prompt(Call_t *call, gboolean chat)
{
    gsize length = 0;
    const char *body = request_body(call, &length);
    gboolean bad_json = FALSE;
    g_autoptr(GError) error = NULL;
    Prompt_t *prompt = Prompt_create(chat, body, length, &bad_json, &error);
    if (!prompt) {
        refuse(call, bad_json ? REFUSAL_BAD_JSON : REFUSAL_BAD_FIELD,
               error->message);
        return NULL;
    }
    const ConfigStore_t *config = call->context->config;
    if (!ConfigStore_find(config, OBJECT_MODEL, prompt->model->str) ||
        (prompt->adapter->len > 0 &&
         !ConfigStore_find(config, OBJECT_ADAPTER, prompt->adapter->str))) {
        refuse(call, REFUSAL_UNKNOWN_MODEL, NULL);
        Prompt_destroy(prompt);
        return NULL;
    }
    return prompt;
}

static void
handle_completion(Call_t *call, gboolean chat)
{
    const char *token = evhttp_find_header(call->headers, "Last-Event-ID");
    if (token) {
        start_resume(call, chat, token);
        return;
    }
    if (Context_isMemoryFull(call->context)) {
        refuse(call, REFUSAL_MEMORY_FULL, NULL);
        return;
    }
    Prompt_t *prompt = read_prompt(call, chat);
    if (!prompt) {
        return;
    }
    if (!acquire_slot(call)) {
        Prompt_destroy(prompt);
        return;
    }
    StreamExchangeSpec_t spec = {.request = call->http,
                                 .id = call->id,
                                 .caller = &call->caller,
                                 .chat = chat,
                                 .prompt = prompt};
    StreamExchange_start(call->context, &spec);
}

static void
handle_text(Call_t *call)
{
    handle_completion(call, FALSE);
}

static void
handle_chat(Call_t *call)
{
    handle_completion(call, TRUE);
}

static void
send_json(const Call_t *call, int status, const char *phrase,
          const GString *text)
{
    struct evkeyvalq *headers = evhttp_request_get_output_headers(call->http);
    evhttp_add_header(headers, "Content-Type", "application/json");
    evhttp_add_header(headers, "X-Request-Id", call->id);
    struct evbuffer *body = evbuffer_new();
    evbuffer_add(body, text->str, text->len);
    HttpReply_sendBody(call->http, call->id, status, phrase, body, TRUE);
    evbuffer_free(body);
}

static void
handle_models(Call_t *call)
{
    g_autoptr(GPtrArray) models =
        ConfigStore_list(call->context->config, OBJECT_MODEL);
    GString *text = g_string_new("{\"object\":\"list\",\"data\":[");
    for (guint i = 0; i < models->len; i++) {
        const Object_t *model = g_ptr_array_index(models, i);
        g_string_append(text, i > 0 ? ",{\"id\":" : "{\"id\":");
        Json_appendString(text, model->name->str, -1);
        g_string_append(text, ",\"object\":\"model\"}");
    }
    g_string_append(text, "]}");
    send_json(call, HTTP_OK, "OK", text);
    g_string_free(text, TRUE);
}

static void
handle_health(Call_t *call)
{
    GString *text = g_string_new("{\"status\":\"alive\"}");
    send_json(call, HTTP_OK, "OK", text);
    g_string_free(text, TRUE);
}

static void
handle_ready(Call_t *call)
{
    if (call->context->stopping) {
        refuse(call, REFUSAL_STOPPING, NULL);
    }
    else if (!ConfigStore_isUsable(call->context->config)) {
        refuse(call, REFUSAL_NOT_CONFIGURED, NULL);
    }
    else {
        GString *text = g_string_new("{\"status\":\"ready\"}");
        send_json(call, HTTP_OK, "OK", text);
        g_string_free(text, TRUE);
    }
}

static const Endpoint_t endpoints[] = {
    {"/v1/completions", EVHTTP_REQ_POST, TRUE, handle_text},
    {"/v1/chat/completions", EVHTTP_REQ_POST, TRUE, handle_chat},
    {"/v1/models", EVHTTP_REQ_GET, TRUE, handle_models},
    {"/healthz", EVHTTP_REQ_GET, FALSE, handle_health},
    {"/readyz", EVHTTP_REQ_GET, FALSE, handle_ready},
};

static void
handle_service(Call_t *call)
{
    if (evhttp_request_get_command(call->http) == METHOD_UNNAMED) {
        refuse(call, REFUSAL_BAD_METHOD, NULL);
        return;
    }
    const char *name = call->path + strlen(SERVICES_PATH);
    const char *slash = strchr(name, '/');
    g_autofree char *service =
        slash ? g_strndup(name, (gsize)(slash - name)) : g_strdup(name);
    if (!ConfigStore_find(call->context->config, OBJECT_SERVICE, service)) {
        refuse(call, REFUSAL_UNKNOWN_SERVICE, NULL);
        return;
    }
    if (Context_isMemoryUsedUp(call->context)) {
        refuse(call, REFUSAL_MEMORY_FULL, NULL);
        return;
    }
    if (Context_areAnswersUnread(call->context)) {
        refuse(call, REFUSAL_ANSWERS_UNREAD, NULL);
        return;
    }
    if (!acquire_slot(call)) {
        return;
    }
    const char *query =
        evhttp_uri_get_query(evhttp_request_get_evhttp_uri(call->http));
    g_autofree char *path =
        g_strconcat(slash ? slash : "/", query ? "?" : "", query, NULL);
    ServiceExchangeSpec_t spec = {
        .request = call->http,
        .id = call->id,
        .caller = &call->caller,
        .service = service,
        .path = path,
    };
    ServiceExchange_start(call->context, &spec);
}

/* What follows a head that leaves open where its body ends is not read, as it
 * may be a part of that body. */
static gboolean
check_framing(const Call_t *call)
{
    if (!RequestIntake_isAmbiguous(call->http)) {
        return TRUE;
    }
    HttpReply_setClose(call->http);
    refuse(call, REFUSAL_BAD_HEADER,
           "The head does not tell where the body ends.");
    return FALSE;
}

static gboolean
check_headers(const Call_t *call)
{
    Refusal_t refusal = REFUSAL_BAD_HEADER;
    const char *name =
        HeaderCheck_findFault(call->headers, &header_rules, &refusal);
    if (name) {
        refuse(call, refusal, name);
    }
    return name == NULL;
}

static gboolean
admit(Call_t *call)
{
    if (!check_headers(call)) {
        return FALSE;
    }
    if (call->context->refusing) {
        refuse(call, REFUSAL_STOPPING, NULL);
        return FALSE;
    }
    if (!ConfigStore_isUsable(call->context->config)) {
        refuse(call, REFUSAL_NOT_CONFIGURED, NULL);
        return FALSE;
    }
    call->caller.customer = find_customer(call);
    if (!call->caller.customer) {
        refuse(call, REFUSAL_UNAUTHENTICATED, NULL);
        return FALSE;
    }
    return read_priority(call) && read_deadline(call) && read_repeatable(call);
}

static void
handle_endpoint(Call_t *call, const Endpoint_t *endpoint)
{
    if (evhttp_request_get_command(call->http) != endpoint->method) {
        refuse(call, REFUSAL_BAD_METHOD, NULL);
        return;
    }
    if (!endpoint->needs_customer || admit(call)) {
        endpoint->handle(call);
    }
}

static void
handle_path(Call_t *call)
{
    for (gsize i = 0; i < G_N_ELEMENTS(endpoints); i++) {
        if (strcmp(call->path, endpoints[i].path) == 0) {
            handle_endpoint(call, &endpoints[i]);
            return;
        }
    }
    if (!g_str_has_prefix(call->path, SERVICES_PATH)) {
        refuse(call, REFUSAL_UNKNOWN_PATH, NULL);
        return;
    }
    if (admit(call)) {
        handle_service(call);
    }
}

/* The read watermark is set together with evhttp's size limits: a body larger
 * than the watermark and smaller than the limits would never be read. */
static void
prepare_connection(const Call_t *call)
{
    struct evhttp_connection *connection =
        evhttp_request_get_connection(call->http);
    const LimitsSection_t *limits = &call->context->settings->limits;
    Http_setNoDelay(connection);
    Context_prepareCaller(call->context, connection);
    evhttp_connection_set_max_headers_size(connection, limits->max_header);
    evhttp_connection_set_max_body_size(connection, limits->max_body);
    bufferevent_setwatermark(
        evhttp_connection_get_bufferevent(connection), EV_READ, 0,
        (size_t)(limits->max_body + limits->max_header + INPUT_MARGIN_BYTES));
}

void
CallerApi_handle(struct evhttp_request *request, void *data)
{
    Call_t call = {.context = data,
                   .http = request,
                   .headers = evhttp_request_get_input_headers(request)};
    Random_id(call.id);
    prepare_connection(&call);
    Counters_add(call.context->counters, "requests_total", NULL, 1);
    const struct evhttp_uri *uri = evhttp_request_get_evhttp_uri(request);
    const char *path = uri ? evhttp_uri_get_path(uri) : NULL;
    call.path = path ? path : "";
    if (check_framing(&call)) {
        handle_path(&call);
    }
}
