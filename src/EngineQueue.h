#ifndef HEADER_EngineQueue
#define HEADER_EngineQueue
/**
 * DOC: EngineQueue
 *
 * Estimates how long a request waits until an engine takes it into its batch.
 *
 * It is meant for engines that run as many requests as they have slots, as
 * after the loss of a quarter of the engines. The requests that wait there
 * have few tokens to compute, so that an estimate by tokens hardly
 * distinguishes such an engine from an idle one, and first tokens reveal the
 * queue only once they are late: the median first tokens of two engines can
 * differ by a factor of more than 80.
 *
 * With all slots taken, a slot becomes free on average once in the time that
 * one request runs, divided by the number of slots. The run time is learned
 * from requests that have ended. The estimate has no upper limit.
 */
#include <glib.h>

/**
 * struct EngineQueueInput_t - input of the estimate
 * @slots: requests that the engine runs at once, 0 for unknown
 * @requests: requests that run or wait on the engine
 * @run_us: mean time from a request's first token to its end; 0 where no
 *     request has ended yet
 */
typedef struct {
    guint slots;
    guint requests;
    double run_us;
} EngineQueueInput_t;

/** EngineQueue_waitUs() - time until one more request gets a slot */
gint64 EngineQueue_waitUs(const EngineQueueInput_t *input);

#endif
