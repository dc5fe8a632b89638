#ifndef HEADER_Prompt
#define HEADER_Prompt
/**
 * DOC: Prompt
 *
 * A caller's completion request, validated, with the identity of its prefix at
 * each level: the part that all requests of a customer share, the part that
 * the requests of a member or a match share, and so on down to the question.
 */
#include <glib.h>
#include <jansson.h>

/** Most levels that are recorded; deeper ones count as the question */
#define PROMPT_LEVELS_MAX 16
/** Limit of answer tokens where the caller sets none */
#define PROMPT_DEFAULT_TOKENS 256
/** Bytes of text that are estimated as one token until an engine has counted
 * them */
#define PROMPT_BYTES_PER_TOKEN 4

/**
 * struct PromptLevel_t - a prefix of the prompt that other prompts may share
 * @end: length of the prefix in bytes
 * @hash: identity of the text up to @end, without the salt
 */
typedef struct {
    gsize end;
    guint64 hash;
} PromptLevel_t;

/**
 * struct Prompt_t - a validated request
 * @chat: the prompt is a list of messages rather than one text
 * @stream: the caller wants a stream of events
 * @body: the parsed request
 * @model: name of the model
 * @adapter: name of the adapter, may be empty
 * @max_tokens: limit of answer tokens
 * @length: length of the prompt in bytes
 * @levels: from the shortest prefix to the longest
 * @level_count: number of levels
 */
typedef struct {
    gboolean chat;
    gboolean stream;
    json_t *body;
    GString *model;
    GString *adapter;
    guint max_tokens;
    gsize length;
    PromptLevel_t levels[PROMPT_LEVELS_MAX];
    guint level_count;
} Prompt_t;

/**
 * Prompt_create() - parse and validate a request
 * @chat: whether it was sent to /v1/chat/completions
 * @data: body of the request
 * @length: length of the body in bytes
 * @bad_json: set to whether the body is not a JSON object, or has too many
 *     values
 * @error: WT_ERROR_BAD_BODY with the invalid field
 *
 * Return: the prompt, or NULL
 */
Prompt_t *Prompt_create(gboolean chat, const char *data, gsize length,
                        gboolean *bad_json, GError **error);

/** Prompt_destroy() - free it */
void Prompt_destroy(Prompt_t *this);

/** Prompt_tokens() - estimated length in tokens */
guint Prompt_tokens(const Prompt_t *this);

#endif
