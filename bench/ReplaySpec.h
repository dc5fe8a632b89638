#ifndef HEADER_ReplaySpec
#define HEADER_ReplaySpec
/**
 * DOC: ReplaySpec
 *
 * The load of a replay, read from an INI file: the engines, their faults and
 * the kinds of requests. Each key is checked; a problem names its file, line
 * and key.
 */
#include <glib.h>

/** Largest number of request kinds in a file */
#define REPLAY_KINDS_MAX 4

/** Largest number of customers of a kind */
#define REPLAY_CUSTOMERS_MAX 64

/**
 * enum ReplayPiece_t - what an engine reads in one step
 * @REPLAY_PIECE_SHARED: one piece, shared by the prompts that it computes
 * @REPLAY_PIECE_EACH: a piece of each of these prompts
 */
typedef enum {
    REPLAY_PIECE_SHARED,
    REPLAY_PIECE_EACH,
} ReplayPiece_t;

/**
 * struct ReplayFleet_t - [fleet]
 * @seed: of the random numbers
 * @duration_ms: time in which requests arrive
 * @engines: number of engines
 * @groups: number of engine groups; one dispatcher places for each group
 * @slots: requests that an engine runs at once
 * @cache_tokens: capacity of an engine's memory, running requests included
 * @prompt_tokens_ms: prompt tokens that an engine reads per millisecond
 * @piece_tokens: length of a piece, the prompt tokens that an engine reads in
 *     one step at most
 * @piece_mode: ReplayPiece_t
 * @step_us: duration of a step, which generates one token per running request
 * @step_run_us: time that each running request adds to a step
 * @move_us: time to fetch a prefix from another engine
 * @store_us: time to fetch a prefix from the store of prefixes; 0 for no store
 * @stores: copies of the store; each stores its share of the prefixes
 * @update_delay_ms: time until a dispatcher learns of a first token or of the
 *     end of a request
 * @silent_percent: share of the engines that fall silent
 * @silent_from_ms: start of the silence
 * @silent_until_ms: end of the silence
 * @silence_detect_ms: time until a dispatcher suspects a silent engine
 */
typedef struct {
    gint64 seed;
    gint64 duration_ms;
    gint64 engines;
    gint64 groups;
    gint64 slots;
    gint64 cache_tokens;
    gint64 prompt_tokens_ms;
    gint64 piece_tokens;
    gint64 piece_mode;
    gint64 step_us;
    gint64 step_run_us;
    gint64 move_us;
    gint64 store_us;
    gint64 stores;
    gint64 update_delay_ms;
    gint64 silent_percent;
    gint64 silent_from_ms;
    gint64 silent_until_ms;
    gint64 silence_detect_ms;
} ReplayFleet_t;

/**
 * struct ReplayKind_t - [kind-1] and so on
 * @rate: requests a second; 0 disables the kind
 * @prefixes: number of shared prefixes
 * @shared_tokens: mean length of a shared prefix
 * @own_tokens: mean length of a prompt after the shared prefix
 * @out_tokens: mean length of an answer
 * @objective_ms: longest wait for the first token of an answer in time
 * @pause_ms: longest pause between tokens of an answer in time
 * @deadline_ms: time after which the caller gives up
 * @rank: urgency, 0 for the most urgent
 * @customers: number of customers that send equally often
 * @burst_percent: rate during the burst, in percent of @rate
 * @burst_from_ms: start of the burst
 * @burst_until_ms: end of the burst
 * @loud_percent: rate of customer 0 while it is loud, in percent of the rate
 *     of another customer, and added to what the others send
 * @loud_from_ms: time from which customer 0 is loud
 * @loud_until_ms: time until which customer 0 is loud
 */
typedef struct {
    gint64 rate;
    gint64 prefixes;
    gint64 shared_tokens;
    gint64 own_tokens;
    gint64 out_tokens;
    gint64 objective_ms;
    gint64 pause_ms;
    gint64 deadline_ms;
    gint64 rank;
    gint64 customers;
    gint64 burst_percent;
    gint64 burst_from_ms;
    gint64 burst_until_ms;
    gint64 loud_percent;
    gint64 loud_from_ms;
    gint64 loud_until_ms;
} ReplayKind_t;

/**
 * struct ReplaySpec_t - contents of a load file
 * @fleet: the engines
 * @kinds: kinds of requests
 */
typedef struct {
    ReplayFleet_t fleet;
    ReplayKind_t kinds[REPLAY_KINDS_MAX];
} ReplaySpec_t;

/**
 * ReplaySpec_read() - read and check a file
 * @problems: receives every problem found (Problem.h)
 *
 * Return: FALSE if the file has a problem
 */
gboolean ReplaySpec_read(ReplaySpec_t *out, const char *path,
                         GPtrArray *problems);

/** ReplaySpec_hasRanks() - whether some kinds are more urgent than others */
gboolean ReplaySpec_hasRanks(const ReplaySpec_t *this);

#endif
