#include "Prompt.h"

#include <string.h>
#include <xxhash.h>

#include "Errors.h"
#include "Json.h"

#define MAX_TOKENS_MAX (1 << 20)
/* A text without marked levels gets a level at this length in bytes and at
 * each doubling of it. */
#define FIRST_UNMARKED_LEVEL 512
/* A body of the usual largest size, 4 MB, has as many in messages of 180
 * bytes.
 */
#define VALUES_MAX 65536

static gboolean
fail(GError **error, const char *field, const char *expected)
{
    g_set_error(error, WT_ERROR, WT_ERROR_BAD_BODY, "%s: expected %s", field,
                expected);
    return FALSE;
}

static void
add_level(Prompt_t *this, gsize end, guint64 hash)
{
    if (this->level_count < PROMPT_LEVELS_MAX) {
        this->levels[this->level_count++] = (PromptLevel_t){end, hash};
    }
}

static gboolean
read_model(Prompt_t *this, GError **error)
{
    const char *name = Json_getString(this->body, "model");
    if (!name || *name == '\0') {
        return fail(error, "model", "the name of a model");
    }
    const char *colon = strchr(name, ':');
    if (colon) {
        g_string_append_len(this->model, name, (gssize)(colon - name));
        g_string_assign(this->adapter, colon + 1);
        return TRUE;
    }
    g_string_assign(this->model, name);
    return TRUE;
}

static gboolean
read_max_tokens(Prompt_t *this, GError **error)
{
    const json_t *value = json_object_get(this->body, "max_tokens");
    this->max_tokens = PROMPT_DEFAULT_TOKENS;
    if (!value || json_is_null(value)) {
        return TRUE;
    }
    json_int_t number = json_integer_value(value);
    if (!json_is_integer(value) || number < 1 || number > MAX_TOKENS_MAX) {
        return fail(error, "max_tokens", "a whole number from 1 to 1048576");
    }
    this->max_tokens = (guint)number;
    return TRUE;
}

static gboolean
read_flags(Prompt_t *this, GError **error)
{
    const json_t *stream = json_object_get(this->body, "stream");
    if (stream && !json_is_boolean(stream)) {
        return fail(error, "stream", "true or false");
    }
    this->stream = json_is_true(stream);
    const json_t *count = json_object_get(this->body, "n");
    if (count && json_integer_value(count) != 1) {
        return fail(error, "n", "1");
    }
    const json_t *temperature = json_object_get(this->body, "temperature");
    if (temperature && !json_is_number(temperature)) {
        return fail(error, "temperature", "a number");
    }
    return TRUE;
}

static gboolean
read_marked_levels(Prompt_t *this, const char *text, const json_t *marks,
                   GError **error)
{
    gsize hashed = 0;
    guint64 hash = 0;
    for (size_t i = 0; i < json_array_size(marks); i++) {
        const json_t *mark = json_array_get(marks, i);
        json_int_t end = json_integer_value(mark);
        if (!json_is_integer(mark) || end <= (json_int_t)hashed ||
            end > (json_int_t)this->length) {
            return fail(error, "prompt_levels",
                        "rising numbers of bytes within the prompt");
        }
        hash = XXH3_64bits_withSeed(text + hashed, (gsize)end - hashed, hash);
        hashed = (gsize)end;
        add_level(this, hashed, hash);
    }
    return TRUE;
}

static void
add_default_levels(Prompt_t *this, const char *text)
{
    guint64 hash = 0;
    gsize hashed = 0;
    for (gsize end = FIRST_UNMARKED_LEVEL; end < this->length; end *= 2) {
        hash = XXH3_64bits_withSeed(text + hashed, end - hashed, hash);
        hashed = end;
        add_level(this, hashed, hash);
    }
}

static gboolean
read_text(Prompt_t *this, GError **error)
{
    const json_t *prompt = json_object_get(this->body, "prompt");
    const char *text = json_string_value(prompt);
    this->length = json_string_length(prompt);
    if (!text || this->length == 0) {
        return fail(error, "prompt", "a text that is not empty");
    }
    const json_t *marks = json_object_get(this->body, "prompt_levels");
    if (!marks) {
        add_default_levels(this, text);
        return TRUE;
    }
    if (!json_is_array(marks)) {
        return fail(error, "prompt_levels", "a list of numbers");
    }
    return read_marked_levels(this, text, marks, error);
}

/* Each message ends a level, except the last one, which is the question. */
static gboolean
read_messages(Prompt_t *this, GError **error)
{
    const json_t *messages = json_object_get(this->body, "messages");
    size_t count = json_array_size(messages);
    if (count == 0) {
        return fail(error, "messages", "a list that is not empty");
    }
    guint64 hash = 0;
    for (size_t i = 0; i < count; i++) {
        const json_t *message = json_array_get(messages, i);
        const char *role = Json_getString(message, "role");
        const json_t *content = json_object_get(message, "content");
        if (!role || !json_is_string(content)) {
            return fail(error, "messages", "a text each for role and content");
        }
        gsize length = json_string_length(content);
        hash = XXH3_64bits_withSeed(role, strlen(role) + 1, hash);
        hash = XXH3_64bits_withSeed(json_string_value(content), length, hash);
        this->length += strlen(role) + length + 2;
        if (i + 1 < count) {
            add_level(this, this->length, hash);
        }
    }
    return TRUE;
}

static gboolean
read_fields(Prompt_t *this, GError **error)
{
    return read_model(this, error) && read_max_tokens(this, error) &&
           read_flags(this, error) &&
           (this->chat ? read_messages(this, error) : read_text(this, error));
}

/* The body is kept as a tree until the request ends. */
static json_t *
parse(const char *data, gsize length, GError **error)
{
    if (Json_hasMoreValues(data, length, VALUES_MAX)) {
        g_set_error(error, WT_ERROR, WT_ERROR_BAD_BODY,
                    "the body has more than %d values", VALUES_MAX);
        return NULL;
    }
    return Json_parse(data, length, error);
}

Prompt_t *
Prompt_create(gboolean chat, const char *data, gsize length,
              gboolean *bad_json, GError **error)
{
    json_t *body = parse(data, length, error);
    *bad_json = body == NULL;
    if (!body) {
        return NULL;
    }
    Prompt_t *this = g_new0(Prompt_t, 1);
    this->chat = chat;
    this->body = body;
    this->model = g_string_new(NULL);
    this->adapter = g_string_new(NULL);
    if (!read_fields(this, error)) {
        Prompt_destroy(this);
        return NULL;
    }
    return this;
}

void
Prompt_destroy(Prompt_t *this)
{
    json_decref(this->body);
    g_string_free(this->model, TRUE);
    g_string_free(this->adapter, TRUE);
    g_free(this);
}

guint
Prompt_tokens(const Prompt_t *this)
{
    return (guint)(this->length / PROMPT_BYTES_PER_TOKEN) + 1;
}
