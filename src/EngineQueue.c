#include "EngineQueue.h"

gint64
EngineQueue_waitUs(const EngineQueueInput_t *input)
{
    if (input->slots == 0 || input->requests < input->slots) {
        return 0;
    }
    guint ends_needed = input->requests - input->slots + 1;
    return (gint64)(ends_needed * input->run_us / input->slots);
}
