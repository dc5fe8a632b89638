#ifndef HEADER_ResumeToken
#define HEADER_ResumeToken
/**
 * DOC: ResumeToken
 *
 * What a caller holds of a stream, so that any router can go on with it:
 * sealed with a key that all routers share, followed by the count of tokens
 * that the caller has. The routers keep nothing of it.
 */
#include <glib.h>

/**
 * struct ResumePoint_t - a place in a stream
 * @customer: whose stream it is
 * @upstream: engine that has it
 * @incarnation: of the engine
 * @stream: the engine's id of it
 * @request: id of the caller's request
 * @model: model that was asked
 * @offset: tokens that the caller has
 */
typedef struct {
    GString *customer;
    GString *upstream;
    guint64 incarnation;
    GString *stream;
    GString *request;
    GString *model;
    guint64 offset;
} ResumePoint_t;

/** ResumePoint_create() - with empty texts */
ResumePoint_t *ResumePoint_create(void);

/** ResumePoint_destroy() - free it */
void ResumePoint_destroy(ResumePoint_t *this);

/**
 * ResumeToken_seal() - the token's sealed part, without the offset
 * @key: 32 bytes
 *
 * Return: a new string; "." and the offset are put behind it for each event
 */
GString *ResumeToken_seal(const ResumePoint_t *point, GBytes *key);

/**
 * ResumeToken_open() - check and read a whole token
 * @text: as the caller sent it
 * @error: WT_ERROR_BAD_TOKEN
 *
 * Return: a new point, or NULL
 */
ResumePoint_t *ResumeToken_open(const char *text, GBytes *key, GError **error);

#endif
