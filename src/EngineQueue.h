#ifndef HEADER_EngineQueue
#define HEADER_EngineQueue
/**
 * DOC: EngineQueue
 *
 * How long a request waits until an engine takes it into its batch. Load
 * pattern: a quarter of the engines is gone, and those that are left run as
 * many requests as they have slots. What is waiting there has few tokens to
 * read, so that an estimate by tokens finds such an engine hardly busier than
 * an idle one, and first tokens show it only after they have been late
 * (engines of one fleet and second with a median first token of 43 ms and of
 * 3.7 s side by side, by request_done lines).
 *
 * A slot is free when a request ends: with all of them taken that is, on the
 * mean, once in the time that one request runs, divided by the slots. No
 * limit of its own; the time that a request runs is learned from those that
 * have ended.
 */
#include <glib.h>

/**
 * struct EngineQueueFacts_t - what the estimate rests on
 * @slots: requests that run at once, 0 for unknown
 * @requests: that run or wait there
 * @run_us: how long a request takes from its first token to its end, on the
 *     mean; 0 where none has ended yet
 */
typedef struct {
    guint slots;
    guint requests;
    double run_us;
} EngineQueueFacts_t;

/** EngineQueue_waitUs() - until one more request is taken, in us */
gint64 EngineQueue_waitUs(const EngineQueueFacts_t *facts);

#endif
