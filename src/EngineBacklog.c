#include "EngineBacklog.h"

void
EngineBacklog_add(EngineBacklog_t *this, gint64 compute_us, gint64 now_us)
{
    this->until_us = MAX(now_us, this->until_us) +
                     CLAMP(compute_us, 0, ENGINE_BACKLOG_PROMPT_MAX_US);
    this->open++;
}

void
EngineBacklog_remove(EngineBacklog_t *this, gint64 now_us)
{
    if (this->open == 0) {
        return;
    }
    this->open--;
    if (this->open == 0) {
        this->until_us = now_us;
    }
}

void
EngineBacklog_lose(EngineBacklog_t *this)
{
    this->until_us = 0;
}

gint64
EngineBacklog_waitUs(const EngineBacklog_t *this, gint64 now_us)
{
    return MAX(this->until_us - now_us, 0);
}
