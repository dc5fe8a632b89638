#ifndef HEADER_Replay
#define HEADER_Replay
/**
 * DOC: Replay
 *
 * Plays a load against the decisions of the product, in a time of its own and
 * without any process or socket: which engine a request goes to, whether it
 * is refused and when its caller is told to come back. The facts come to the
 * decisions through the structures that a router fills; only what a router
 * learns with delay is delayed. One dispatcher places for each group of
 * engines, as in a fleet that is too large for all to know all.
 *
 * It is a model: no links, halls, weights or faults of routers. What it shows
 * is the direction in which a decision moves a load (docs/REPLAY.md).
 */
#include "ReplaySpec.h"

/**
 * enum ReplayDecision_t - what can be switched off, one bit each
 * @REPLAY_SLOTS: an engine's slots count in its estimate
 * @REPLAY_SHED: what would begin late is refused
 * @REPLAY_MEMORY: what an engine holds is followed by what was brought in
 * @REPLAY_PREFIX: requests go where their prefix lives
 */
typedef enum {
    REPLAY_SLOTS = 1 << 0,
    REPLAY_SHED = 1 << 1,
    REPLAY_MEMORY = 1 << 2,
    REPLAY_PREFIX = 1 << 3,
    REPLAY_ALL = (1 << 4) - 1,
} ReplayDecision_t;

/**
 * struct ReplayCount_t - what became of the requests of a kind
 * @asked: all of them
 * @in_time: whole, begun within the objective and without a longer pause
 * @late: whole, but later
 * @refused: for good
 * @failed: otherwise
 * @p50_us: of the times to the first token
 * @p99_us: the same
 */
typedef struct {
    guint asked;
    guint in_time;
    guint late;
    guint refused;
    guint failed;
    gint64 p50_us;
    gint64 p99_us;
} ReplayCount_t;

/**
 * struct ReplayResult_t - of one play
 * @kinds: in the order of the file
 * @read_tokens: prompt tokens that engines have read
 * @again_tokens: of these, of prefixes that some engine had read before
 * @decisions: that were made
 * @decision_us: processor time of one of them, on the mean
 */
typedef struct {
    ReplayCount_t kinds[REPLAY_KINDS];
    guint64 read_tokens;
    guint64 again_tokens;
    guint decisions;
    double decision_us;
} ReplayResult_t;

/**
 * Replay_play() - play a load
 * @decisions: ReplayDecision_t that are on
 */
void Replay_play(const ReplaySpec_t *spec, guint decisions,
                 ReplayResult_t *out);

/** ReplayResult_worth() - the share of requests served, those that are late
 * counting a third, as the users rate them */
double ReplayResult_worth(const ReplayResult_t *this);

#endif
