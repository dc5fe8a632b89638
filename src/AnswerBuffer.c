#include "AnswerBuffer.h"

#include "Buffers.h"

struct AnswerBuffer {
    struct evbuffer *content;
    gsize size; /* counted in @total */
    gsize *total;
};

AnswerBuffer_t *
AnswerBuffer_create(gsize *total)
{
    AnswerBuffer_t *this = g_new0(AnswerBuffer_t, 1);
    this->content = evbuffer_new();
    this->total = total;
    return this;
}

void
AnswerBuffer_clear(AnswerBuffer_t *this)
{
    evbuffer_drain(this->content, evbuffer_get_length(this->content));
    *this->total -= this->size;
    this->size = 0;
}

void
AnswerBuffer_destroy(AnswerBuffer_t *this)
{
    AnswerBuffer_clear(this);
    evbuffer_free(this->content);
    g_free(this);
}

gboolean
AnswerBuffer_add(AnswerBuffer_t *this, struct evbuffer *data,
                 const AnswerBufferLimits_t *limits)
{
    gsize added = evbuffer_get_length(data);
    gsize size = this->size + added;
    gboolean is_short = size <= ANSWER_BUFFER_FREE_MAX;
    if (size > limits->size_max ||
        (!is_short && *this->total + added > limits->total_max)) {
        return FALSE;
    }
    Buffers_append(this->content, data);
    this->size = size;
    *this->total += added;
    return TRUE;
}

gsize
AnswerBuffer_size(const AnswerBuffer_t *this)
{
    return this->size;
}

struct evbuffer *
AnswerBuffer_content(AnswerBuffer_t *this)
{
    return this->content;
}
