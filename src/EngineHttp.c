#include "EngineHttp.h"

#include <stdlib.h>
#include <string.h>

#include "Json.h"

static const char *
start_path(const Prompt_t *prompt)
{
    return prompt->chat ? "/v1/chat/completions" : "/v1/completions";
}

static GBytes *
dump_json(json_t *body)
{
    char *text = json_dumps(body, JSON_COMPACT);
    json_decref(body);
    return g_bytes_new_with_free_func(text, strlen(text), free, text);
}

static GBytes *
start_body(const EngineStreamRequest_t *request)
{
    json_t *body = json_copy(request->prompt->body);
    json_object_del(body, "prompt_levels");
    json_object_set_new(body, "stream", json_true());
    json_object_set_new(body, "max_tokens",
                        json_integer(request->prompt->max_tokens));
    json_object_set_new(body, "cache_salt", json_string(request->salt));
    json_object_set_new(body, "priority", json_integer(request->priority));
    json_object_set_new(body, "expect_incarnation",
                        json_integer((json_int_t)request->incarnation));
    json_object_set_new(body, "expect_weights", json_string(request->weights));
    if (request->sent_tokens > 0) {
        json_object_set_new(
            body, "sent_text",
            json_stringn(request->sent_text->str, request->sent_text->len));
        json_object_set_new(body, "sent_tokens",
                            json_integer((json_int_t)request->sent_tokens));
    }
    return dump_json(body);
}

static GBytes *
resume_body(const char *stream, guint64 offset)
{
    return dump_json(json_pack("{s:s, s:I}", "stream", stream, "offset",
                               (json_int_t)offset));
}

static GBytes *
cancel_body(const char *stream, const char *attempt)
{
    return dump_json(
        json_pack("{s:s, s:s}", "stream", stream, "attempt", attempt));
}

static guint64
read_header_number(struct evkeyvalq *headers, const char *name)
{
    const char *text = evhttp_find_header(headers, name);
    return text ? g_ascii_strtoull(text, NULL, 10) : 0;
}

/* Reads a header whose value the router later writes into JSON, so it must be
 * valid UTF-8. */
static gboolean
read_header_text(struct evkeyvalq *headers, const char *name, char *out,
                 gsize size)
{
    const char *text = evhttp_find_header(headers, name);
    return text && g_utf8_validate(text, -1, NULL) &&
           g_strlcpy(out, text, size) < size;
}

static gboolean
read_head(struct evkeyvalq *headers, EngineHead_t *head)
{
    const char *attempt = evhttp_find_header(headers, ATTEMPT_HEADER);
    g_string_assign(head->attempt, attempt ? attempt : "");
    head->incarnation = read_header_number(headers, "X-Engine-Incarnation");
    head->prompt_tokens =
        (guint)read_header_number(headers, "X-Prompt-Tokens");
    head->cached_tokens =
        (guint)read_header_number(headers, "X-Cached-Tokens");
    head->running = (guint)read_header_number(headers, "X-Load-Running");
    head->waiting_tokens =
        (gint64)read_header_number(headers, "X-Load-Waiting-Tokens");
    return read_header_text(headers, "X-Stream-Id", head->stream,
                            sizeof(head->stream)) &&
           read_header_text(headers, "X-Weights-Version", head->weights,
                            sizeof(head->weights)) &&
           head->incarnation != 0;
}

static const char *
find_choice_text(const json_t *choice, gsize *length)
{
    const json_t *text = json_object_get(choice, "text");
    if (!text) {
        text = json_object_get(json_object_get(choice, "delta"), "content");
    }
    *length = json_string_length(text);
    return json_is_string(text) ? json_string_value(text) : NULL;
}

static gboolean
parse_event(const EngineHead_t *head, const char *data, gsize length,
            EngineToken_t *token, json_t **json)
{
    *json = json_loadb(data, length, 0, NULL);
    const char *stream = Json_getString(*json, "id");
    if (!stream || strcmp(stream, head->stream) != 0) {
        return FALSE;
    }
    const json_t *choice =
        json_array_get(json_object_get(*json, "choices"), 0);
    token->text = find_choice_text(choice, &token->length);
    token->finish = Json_getString(choice, "finish_reason");
    return token->text != NULL;
}

static gboolean
needs_no_escape(const char *text, gsize length)
{
    for (gsize i = 0; i < length; i++) {
        if ((guchar)text[i] < ' ' || text[i] == '"' || text[i] == '\\') {
            return FALSE;
        }
    }
    return g_utf8_validate_len(text, length, NULL);
}

/* Verifies a learned format: an event that is built from it with another text
 * must parse to exactly that text. */
static gboolean
verify_format(const EngineHead_t *head, const EngineEventFormat_t *format)
{
    static const char sample[] = "another text";
    GString *data =
        g_string_new_len(format->prefix->str, (gssize)format->prefix->len);
    g_string_append(data, sample);
    g_string_append_len(data, format->suffix->str,
                        (gssize)format->suffix->len);
    EngineToken_t token = {0};
    json_t *json = NULL;
    gboolean is_valid =
        parse_event(head, data->str, data->len, &token, &json) &&
        strcmp(token.text, sample) == 0 && !token.finish;
    json_decref(json);
    g_string_free(data, TRUE);
    return is_valid;
}

static void
learn_format(const EngineHead_t *head, const EngineToken_t *token,
             const char *data, gsize length, EngineEventFormat_t *format)
{
    if (token->finish || !needs_no_escape(token->text, token->length)) {
        return;
    }
    g_autofree char *quoted_text = g_strdup_printf(":\"%s\"", token->text);
    const char *match = strstr(data, quoted_text);
    if (!match) {
        return;
    }
    const char *text = match + strlen(":\"");
    const char *after = text + token->length;
    g_string_truncate(format->prefix, 0);
    g_string_append_len(format->prefix, data, (gssize)(text - data));
    g_string_truncate(format->suffix, 0);
    g_string_append_len(format->suffix, after,
                        (gssize)(data + length - after));
    format->known = verify_format(head, format);
}

static gboolean
read_by_format(const EngineEventFormat_t *format, const char *data,
               gsize length, EngineToken_t *token)
{
    gsize fixed_length = format->prefix->len + format->suffix->len;
    if (!format->known || length < fixed_length ||
        memcmp(data, format->prefix->str, format->prefix->len) != 0 ||
        memcmp(data + length - format->suffix->len, format->suffix->str,
               format->suffix->len) != 0) {
        return FALSE;
    }
    token->text = data + format->prefix->len;
    token->length = length - fixed_length;
    return needs_no_escape(token->text, token->length);
}

static gboolean
read_event(const EngineHead_t *head, EngineEventFormat_t *format,
           const char *id, const char *data, gsize length,
           EngineToken_t *token, json_t **json)
{
    *token = (EngineToken_t){0};
    *json = NULL;
    if (strcmp(data, "[DONE]") == 0) {
        token->end = TRUE;
        return TRUE;
    }
    if (!id || !g_ascii_string_to_unsigned(id, 10, 0, G_MAXUINT32,
                                           &token->index, NULL)) {
        return FALSE;
    }
    if (read_by_format(format, data, length, token)) {
        return TRUE;
    }
    if (!parse_event(head, data, length, token, json)) {
        return FALSE;
    }
    if (!format->known) {
        learn_format(head, token, data, length, format);
    }
    return TRUE;
}

static void
read_refusal(int status, const char *body, gsize length,
             EngineRefusal_t *refusal)
{
    memset(refusal, 0, sizeof(*refusal));
    json_t *root = Json_parse(body, length, NULL);
    const json_t *error = json_object_get(root, "error");
    const char *code = Json_getString(error, "code");
    const char *run = Json_getString(error, "run");
    g_strlcpy(refusal->code, code ? code : "unspecified",
              sizeof(refusal->code));
    refusal->not_run = run && strcmp(run, "not_run") == 0;
    refusal->leaving = strcmp(refusal->code, "leaving") == 0;
    refusal->incarnation = (guint64)Json_getInteger(error, "incarnation", 0);
    refusal->final = refusal->not_run && status == HTTP_BADREQUEST;
    json_decref(root);
}

const EngineWire_t EngineHttp_wire = {
    .start_path = start_path,
    .start_body = start_body,
    .resume_path = "/v1/streams/resume",
    .resume_body = resume_body,
    .cancel_path = "/v1/streams/cancel",
    .cancel_body = cancel_body,
    .read_head = read_head,
    .read_event = read_event,
    .read_refusal = read_refusal,
    .notices =
        {
            .headers =
                {
                    [NOTICE_LIMIT] = "X-Request-Limit",
                    [NOTICE_LEAVING] = "X-Leaving",
                    [NOTICE_BACKOFF] = "Retry-After",
                },
        },
};
