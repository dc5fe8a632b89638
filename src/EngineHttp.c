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
bytes_of(json_t *body)
{
    char *text = json_dumps(body, JSON_COMPACT);
    json_decref(body);
    return g_bytes_new_with_free_func(text, strlen(text), free, text);
}

static GBytes *
start_body(const EngineOrder_t *order)
{
    json_t *body = json_copy(order->prompt->body);
    json_object_del(body, "prompt_levels");
    json_object_set_new(body, "stream", json_true());
    json_object_set_new(body, "max_tokens",
                        json_integer(order->prompt->max_tokens));
    json_object_set_new(body, "cache_salt", json_string(order->salt));
    json_object_set_new(body, "priority", json_integer(order->priority));
    json_object_set_new(body, "expect_incarnation",
                        json_integer((json_int_t)order->incarnation));
    json_object_set_new(body, "expect_weights", json_string(order->weights));
    if (order->sent_tokens > 0) {
        json_object_set_new(
            body, "sent_text",
            json_stringn(order->sent_text->str, order->sent_text->len));
        json_object_set_new(body, "sent_tokens",
                            json_integer((json_int_t)order->sent_tokens));
    }
    return bytes_of(body);
}

static GBytes *
resume_body(const char *stream, guint64 offset)
{
    return bytes_of(json_pack("{s:s, s:I}", "stream", stream, "offset",
                              (json_int_t)offset));
}

static GBytes *
cancel_body(const char *stream, const char *attempt)
{
    return bytes_of(
        json_pack("{s:s, s:s}", "stream", stream, "attempt", attempt));
}

static guint64
header_number(struct evkeyvalq *headers, const char *name)
{
    const char *text = evhttp_find_header(headers, name);
    return text ? g_ascii_strtoull(text, NULL, 10) : 0;
}

/* It goes into JSON, which can't hold what is not UTF-8. */
static gboolean
header_text(struct evkeyvalq *headers, const char *name, char *out, gsize size)
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
    head->incarnation = header_number(headers, "X-Engine-Incarnation");
    head->prompt_tokens = (guint)header_number(headers, "X-Prompt-Tokens");
    head->cached_tokens = (guint)header_number(headers, "X-Cached-Tokens");
    head->running = (guint)header_number(headers, "X-Load-Running");
    head->waiting_tokens =
        (gint64)header_number(headers, "X-Load-Waiting-Tokens");
    return header_text(headers, "X-Stream-Id", head->stream,
                       sizeof(head->stream)) &&
           header_text(headers, "X-Weights-Version", head->weights,
                       sizeof(head->weights)) &&
           head->incarnation != 0;
}

static const char *
text_of_choice(const json_t *choice, gsize *length)
{
    const json_t *text = json_object_get(choice, "text");
    if (!text) {
        text = json_object_get(json_object_get(choice, "delta"), "content");
    }
    *length = json_string_length(text);
    return json_is_string(text) ? json_string_value(text) : NULL;
}

static gboolean
read_in_full(const EngineHead_t *head, const char *data, gsize length,
             EngineToken_t *token, json_t **keep)
{
    *keep = json_loadb(data, length, 0, NULL);
    const char *stream = Json_text(*keep, "id");
    if (!stream || strcmp(stream, head->stream) != 0) {
        return FALSE;
    }
    const json_t *choice =
        json_array_get(json_object_get(*keep, "choices"), 0);
    token->text = text_of_choice(choice, &token->length);
    token->finish = Json_text(choice, "finish_reason");
    return token->text != NULL;
}

static gboolean
is_plain(const char *text, gsize length)
{
    for (gsize i = 0; i < length; i++) {
        if ((guchar)text[i] < ' ' || text[i] == '"' || text[i] == '\\') {
            return FALSE;
        }
    }
    return g_utf8_validate_len(text, length, NULL);
}

/* A form is true if another text put into it is read as the text. */
static gboolean
is_true_form(const EngineHead_t *head, const EngineForm_t *form)
{
    static const char mark[] = "another text";
    GString *data =
        g_string_new_len(form->prefix->str, (gssize)form->prefix->len);
    g_string_append(data, mark);
    g_string_append_len(data, form->suffix->str, (gssize)form->suffix->len);
    EngineToken_t token = {0};
    json_t *keep = NULL;
    gboolean is_true =
        read_in_full(head, data->str, data->len, &token, &keep) &&
        strcmp(token.text, mark) == 0 && !token.finish;
    json_decref(keep);
    g_string_free(data, TRUE);
    return is_true;
}

static void
learn_form(const EngineHead_t *head, const EngineToken_t *token,
           const char *data, gsize length, EngineForm_t *form)
{
    if (token->finish || !is_plain(token->text, token->length)) {
        return;
    }
    g_autofree char *quoted = g_strdup_printf(":\"%s\"", token->text);
    const char *found = strstr(data, quoted);
    if (!found) {
        return;
    }
    const char *text = found + strlen(":\"");
    const char *behind = text + token->length;
    g_string_truncate(form->prefix, 0);
    g_string_append_len(form->prefix, data, (gssize)(text - data));
    g_string_truncate(form->suffix, 0);
    g_string_append_len(form->suffix, behind,
                        (gssize)(data + length - behind));
    form->known = is_true_form(head, form);
}

static gboolean
read_by_form(const EngineForm_t *form, const char *data, gsize length,
             EngineToken_t *token)
{
    gsize around = form->prefix->len + form->suffix->len;
    if (!form->known || length < around ||
        memcmp(data, form->prefix->str, form->prefix->len) != 0 ||
        memcmp(data + length - form->suffix->len, form->suffix->str,
               form->suffix->len) != 0) {
        return FALSE;
    }
    token->text = data + form->prefix->len;
    token->length = length - around;
    return is_plain(token->text, token->length);
}

static gboolean
read_event(const EngineHead_t *head, EngineForm_t *form, const char *id,
           const char *data, gsize length, EngineToken_t *token, json_t **keep)
{
    *token = (EngineToken_t){0};
    *keep = NULL;
    if (strcmp(data, "[DONE]") == 0) {
        token->end = TRUE;
        return TRUE;
    }
    if (!id || !g_ascii_string_to_unsigned(id, 10, 0, G_MAXUINT32,
                                           &token->index, NULL)) {
        return FALSE;
    }
    if (read_by_form(form, data, length, token)) {
        return TRUE;
    }
    if (!read_in_full(head, data, length, token, keep)) {
        return FALSE;
    }
    if (!form->known) {
        learn_form(head, token, data, length, form);
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
    const char *code = Json_text(error, "code");
    const char *run = Json_text(error, "run");
    g_strlcpy(refusal->code, code ? code : "unspecified",
              sizeof(refusal->code));
    refusal->not_run = run && strcmp(run, "not_run") == 0;
    refusal->leaving = strcmp(refusal->code, "leaving") == 0;
    refusal->incarnation = (guint64)Json_integer(error, "incarnation", 0);
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
