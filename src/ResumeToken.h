#ifndef HEADER_ResumeToken
#define HEADER_ResumeToken
/**
 * DOC: ResumeToken
 *
 * A token with which a caller can resume a stream at any router. It consists
 * of a part sealed with a key that all routers share, and of the number of
 * tokens that the caller has received. Routers store no state for it.
 */
#include <glib.h>

/**
 * struct ResumePoint_t - position at which a stream is resumed
 * @customer: customer that owns the stream
 * @upstream: engine that has the stream
 * @incarnation: incarnation of the engine
 * @stream: the engine's id of the stream
 * @request: id of the caller's request
 * @model: model of the request
 * @offset: number of tokens that the caller has received
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

/** ResumePoint_create() - create a point with empty strings */
ResumePoint_t *ResumePoint_create(void);

/** ResumePoint_destroy() - free the point */
void ResumePoint_destroy(ResumePoint_t *this);

/**
 * ResumeToken_seal() - create the sealed part of a token
 * @key: key of 32 bytes
 *
 * Return: a new string; the token of an event is this string, "." and the
 * offset
 */
GString *ResumeToken_seal(const ResumePoint_t *point, GBytes *key);

/**
 * ResumeToken_open() - verify and decode a complete token
 * @text: the token as the caller sent it
 * @error: WT_ERROR_BAD_TOKEN
 *
 * Return: a new point, or NULL
 */
ResumePoint_t *ResumeToken_open(const char *text, GBytes *key, GError **error);

#endif
