#ifndef HEADER_Replay
#define HEADER_Replay
/**
 * DOC: Replay
 *
 * Simulates a load in virtual time, without processes or sockets, and runs the
 * router's own decisions on it: which engine receives a request, whether the
 * request is refused, and when its caller may retry. The decisions read the
 * same structures as in a router; only information that a router receives with
 * delay is delayed. One dispatcher places for each group of engines, as in a
 * fleet that is too large for every router to know every engine.
 *
 * The model leaves out links, halls, weights and router failures. A replay
 * shows in which direction a decision changes the results of a load
 * (docs/REPLAY.md).
 */
#include "ReplaySpec.h"

/** Value of a late answer; an answer in time has the value 1 */
#define REPLAY_LATE_VALUE 0.3

/**
 * enum ReplayDecision_t - decisions that can be disabled, one bit each
 * @REPLAY_SLOTS: the estimate of an engine's delay includes its slots
 * @REPLAY_SHED: requests that would begin late are refused
 * @REPLAY_MEMORY: the router tracks which prefixes an engine holds, from the
 *     tokens placed there and the engine's memory size
 * @REPLAY_PREFIX: requests are placed by the home of their prefix
 * @REPLAY_PARTITION: where kinds differ in rank, groups reserve engines for
 *     the urgent ones and admit requests by group
 */
typedef enum {
    REPLAY_SLOTS = 1 << 0,
    REPLAY_SHED = 1 << 1,
    REPLAY_MEMORY = 1 << 2,
    REPLAY_PREFIX = 1 << 3,
    REPLAY_PARTITION = 1 << 4,
    REPLAY_ALL = (1 << 5) - 1,
} ReplayDecision_t;

/** Seconds of a replay that are counted apart; later ones count as the last */
#define REPLAY_SECONDS_MAX 64

/**
 * struct ReplaySecond_t - one second of the requests of one kind
 * @asked: requests that arrived for the first time
 * @in_time: those of @asked that were served in time
 * @refused: refusals that were given
 * @returned: requests that came back after a refusal
 * @refused_again: refusals of requests that had come back
 */
typedef struct {
    guint asked;
    guint in_time;
    guint refused;
    guint returned;
    guint refused_again;
} ReplaySecond_t;

/**
 * struct ReplayShare_t - requests that were served with a complete answer
 * @asked: requests that arrived
 * @served: complete answers, in time or late
 */
typedef struct {
    guint asked;
    guint served;
} ReplayShare_t;

/**
 * struct ReplayCount_t - outcomes of the requests of one kind
 * @asked: requests that arrived
 * @in_time: complete answers with the first token within the objective and no
 *     pause above the limit
 * @late: other complete answers
 * @refused: requests refused again after the caller's retry
 * @failed: requests that ended otherwise without a complete answer
 * @p50_us: median of the time to the first token
 * @p99_us: 99th percentile of the time to the first token
 * @refused_first: requests refused on their first arrival
 * @refused_again: requests refused after the caller's retry
 * @waited_beside_room: requests that waited at an engine for longer than their
 *     objective although another engine that they may use read no prompt and
 *     had a free slot when they were placed
 * @longest: the tenth of the requests with the longest prompts
 * @customers: by the number of the customer
 * @seconds: by the second of the replay
 */
typedef struct {
    guint asked;
    guint in_time;
    guint late;
    guint refused;
    guint failed;
    gint64 p50_us;
    gint64 p99_us;
    guint refused_first;
    guint refused_again;
    guint waited_beside_room;
    ReplayShare_t longest;
    ReplayShare_t customers[REPLAY_CUSTOMERS_MAX];
    ReplaySecond_t seconds[REPLAY_SECONDS_MAX];
} ReplayCount_t;

/**
 * struct ReplayResult_t - results of one replay
 * @kinds: outcomes by kind, in the order of the file
 * @read_tokens: prompt tokens that engines read
 * @reread_tokens: part of @read_tokens in prefixes that some engine had read
 *     before
 * @decisions: placement decisions made
 * @decision_us: mean processor time of a placement decision
 * @busiest: time that the busiest engine spends on prompts, over what the
 *     engines on its side spent at the mean in the same seconds; the sides are
 *     the engines that are reserved for urgent requests and the others,
 *     without engines that fell silent
 * @served_work_us: time that engines need for the complete answers, late ones
 *     counted as in ReplayResult_computeValue()
 */
typedef struct {
    ReplayCount_t kinds[REPLAY_KINDS_MAX];
    guint64 read_tokens;
    guint64 reread_tokens;
    guint decisions;
    double decision_us;
    double busiest;
    double served_work_us;
} ReplayResult_t;

/**
 * Replay_run() - simulate a load
 * @decisions: bits of ReplayDecision_t that are enabled
 */
void Replay_run(const ReplaySpec_t *spec, guint decisions,
                ReplayResult_t *out);

/** ReplayResult_computeValue() - mean value of a request: 1 in time, about a
 * third if late, as the users rate late answers, otherwise 0 */
double ReplayResult_computeValue(const ReplayResult_t *this);

#endif
