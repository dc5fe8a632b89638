#include "EngineQueue.h"

gint64
EngineQueue_waitUs(const EngineQueueFacts_t *facts)
{
    if (facts->slots == 0 || facts->requests < facts->slots) {
        return 0;
    }
    guint before = facts->requests - facts->slots + 1;
    return (gint64)(before * facts->run_us / facts->slots);
}
