#ifndef HEADER_Prompt
#define HEADER_Prompt
/**
 * DOC: Prompt
 *
 * A caller's completion request, checked, with the identity of its prefix at
 * each level: what a customer's requests share, what a member's or match's
 * requests share, and so on down to the question.
 */
#include <glib.h>
#include <jansson.h>

/** Most levels that are told apart; deeper ones count as the question */
#define PROMPT_LEVELS_MAX 16
/** Answer tokens where the caller names no number */
#define PROMPT_DEFAULT_TOKENS 256
/** Bytes of text that count as one token before an engine has counted */
#define PROMPT_BYTES_PER_TOKEN 4

/**
 * struct PromptLevel_t - a prefix of the prompt that others may share
 * @end: bytes of the prompt up to its end
 * @hash: identity of all text up to @end, without the salt
 */
typedef struct {
    gsize end;
    guint64 hash;
} PromptLevel_t;

/**
 * struct Prompt_t - a checked request
 * @chat: asked as messages rather than as one text
 * @stream: the caller wants events
 * @body: the whole request
 * @model: name of the model
 * @adapter: name of the adapter, may be empty
 * @max_tokens: longest answer
 * @length: bytes of the prompt
 * @levels: from the widest shared prefix to the narrowest
 * @level_count: how many
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
 * Prompt_create() - check a request
 * @chat: whether it came as /v1/chat/completions
 * @data: its body
 * @bad_json: set to whether the body is no JSON object at all
 * @error: WT_ERROR_BAD_BODY with the field at fault
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
