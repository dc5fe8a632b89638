#include "EngineMemory.h"

/* Share of a prompt's length in the mean: some ten prompts count. */
#define LENGTH_GAIN 0.1

void
EngineMemory_clear(EngineMemory_t *this)
{
    this->epoch++;
}

void
EngineMemory_take(EngineMemory_t *this, guint prompt_tokens, guint new_tokens)
{
    this->prompt_tokens += (prompt_tokens - this->prompt_tokens) * LENGTH_GAIN;
    this->taken += new_tokens;
    this->untold += new_tokens;
}

void
EngineMemory_takeTold(EngineMemory_t *this, guint new_tokens)
{
    this->taken += new_tokens;
}

MemoryMark_t
EngineMemory_mark(const EngineMemory_t *this)
{
    return (MemoryMark_t){this->epoch, this->taken};
}

gboolean
EngineMemory_keeps(const EngineMemory_t *this, const MemoryMark_t *mark,
                   guint room, guint running)
{
    double since = (double)(this->taken - mark->taken);
    double held = running * this->prompt_tokens;
    return mark->epoch == this->epoch && since + held <= room;
}
