#include "EngineMemory.h"

/* Weight of a new prompt in the mean length; about ten prompts count. */
#define LENGTH_GAIN 0.1

void
EngineMemory_clear(EngineMemory_t *this)
{
    this->epoch++;
}

void
EngineMemory_noteSent(EngineMemory_t *this, guint prompt_tokens,
                      guint new_tokens)
{
    this->prompt_tokens += (prompt_tokens - this->prompt_tokens) * LENGTH_GAIN;
    this->inserted_tokens += new_tokens;
    this->unsent_tokens += new_tokens;
}

void
EngineMemory_notePeerTokens(EngineMemory_t *this, guint new_tokens)
{
    this->inserted_tokens += new_tokens;
}

MemoryMark_t
EngineMemory_mark(const EngineMemory_t *this)
{
    return (MemoryMark_t){this->epoch, this->inserted_tokens};
}

gboolean
EngineMemory_retains(const EngineMemory_t *this, const MemoryMark_t *mark,
                     guint capacity_tokens, guint running)
{
    double inserted = (double)(this->inserted_tokens - mark->inserted_tokens);
    double running_tokens = running * this->prompt_tokens;
    return mark->epoch == this->epoch &&
           inserted + running_tokens <= capacity_tokens;
}
