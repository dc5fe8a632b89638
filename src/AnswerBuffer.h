#ifndef HEADER_AnswerBuffer
#define HEADER_AnswerBuffer
/**
 * DOC: AnswerBuffer
 *
 * The body of an answer that is buffered until it is complete. Each body has a
 * maximum size, and so have all bodies of a router together; a short body is
 * accepted even if others have used up the common limit.
 */
#include <event2/buffer.h>
#include <glib.h>

/** Size up to which a body is accepted whatever the others use, in bytes */
#define ANSWER_BUFFER_FREE_MAX ((gsize)64 << 10)

/**
 * struct AnswerBufferLimits_t - limits in bytes
 * @size_max: of one body
 * @total_max: of all bodies that count together
 */
typedef struct {
    gsize size_max;
    gsize total_max;
} AnswerBufferLimits_t;

/** struct AnswerBuffer_t - opaque */
typedef struct AnswerBuffer AnswerBuffer_t;

/** AnswerBuffer_create() - create an empty buffer
 * @total: bytes in all buffers that count together; must outlive the buffer
 */
AnswerBuffer_t *AnswerBuffer_create(gsize *total);

/** AnswerBuffer_destroy() - free the buffer and its content */
void AnswerBuffer_destroy(AnswerBuffer_t *this);

/** AnswerBuffer_add() - move @data to the end; FALSE, and nothing is added, if
 * a limit would be exceeded */
gboolean AnswerBuffer_add(AnswerBuffer_t *this, struct evbuffer *data,
                          const AnswerBufferLimits_t *limits);

/** AnswerBuffer_size() - bytes added since the last AnswerBuffer_clear() */
gsize AnswerBuffer_size(const AnswerBuffer_t *this);

/** AnswerBuffer_clear() - drop the content */
void AnswerBuffer_clear(AnswerBuffer_t *this);

/** AnswerBuffer_content() - the content, which may be drained; it counts
 * until AnswerBuffer_clear() or AnswerBuffer_destroy() */
struct evbuffer *AnswerBuffer_content(AnswerBuffer_t *this);

#endif
