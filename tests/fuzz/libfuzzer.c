/* Entry points of libFuzzer. The environment variable FUZZ_TARGET names the
 * target to run. */
#include <stdlib.h>
#include <string.h>

#include "targets.h"

static const FuzzTarget_t *chosen;

int LLVMFuzzerInitialize(int *count, char ***arguments);
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int
LLVMFuzzerInitialize(int *count, char ***arguments)
{
    (void)count;
    (void)arguments;
    const char *wanted = getenv("FUZZ_TARGET");
    for (chosen = fuzz_targets; chosen->name; chosen++) {
        if (g_strcmp0(chosen->name, wanted) == 0) {
            FuzzTargets_begin();
            return 0;
        }
    }
    g_error("FUZZ_TARGET names no target");
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    return chosen->run(data, size);
}
