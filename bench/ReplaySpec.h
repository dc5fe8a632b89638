#ifndef HEADER_ReplaySpec
#define HEADER_ReplaySpec
/**
 * DOC: ReplaySpec
 *
 * A load to be replayed, from an INI file: the engines, what goes wrong with
 * them, and the kinds of requests. Each key is checked; a fault names file,
 * line and key.
 */
#include <glib.h>

/** Kinds of requests that a file may have */
#define REPLAY_KINDS 4

/**
 * struct ReplayFleet_t - [fleet]
 * @seed: of all that is drawn
 * @duration_ms: in which requests come
 * @engines: how many
 * @groups: that one dispatcher each places for
 * @slots: requests that an engine runs at once
 * @cache_tokens: that its memory holds, running requests included
 * @prompt_tokens_ms: read in a millisecond
 * @piece_tokens: read between two steps at the most
 * @step_us: time of a step that makes one token of each running request
 * @step_run_us: what each running request adds to it
 * @move_us: until a prefix is taken from another engine
 * @store_us: the same from the store of prefixes; 0 where there is none
 * @stores: copies of the store, each of which keeps its share of the prefixes
 * @news_ms: until a dispatcher hears what became of a request
 * @silent_percent: of the engines that say nothing
 * @silent_from_ms: since when
 * @silent_until_ms: until when
 * @noticed_ms: after which an engine is known to say nothing
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
    gint64 step_us;
    gint64 step_run_us;
    gint64 move_us;
    gint64 store_us;
    gint64 stores;
    gint64 news_ms;
    gint64 silent_percent;
    gint64 silent_from_ms;
    gint64 silent_until_ms;
    gint64 noticed_ms;
} ReplayFleet_t;

/**
 * struct ReplayKind_t - [kind-1] and so on
 * @rate: requests a second, 0 for none of the kind
 * @prefixes: that are shared
 * @shared_tokens: of each of them, on the mean
 * @own_tokens: of a prompt besides, on the mean
 * @out_tokens: of an answer, on the mean
 * @objective_ms: by when the first token should come
 * @pause_ms: longest pause between tokens of an answer in time
 * @deadline_ms: how long a caller waits
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
} ReplayKind_t;

/**
 * struct ReplaySpec_t - all of it
 * @fleet: the engines
 * @kinds: of requests
 */
typedef struct {
    ReplayFleet_t fleet;
    ReplayKind_t kinds[REPLAY_KINDS];
} ReplaySpec_t;

/**
 * ReplaySpec_read() - read and check a file
 * @problems: gets every fault (Problem.h)
 *
 * Return: FALSE where there is any
 */
gboolean ReplaySpec_read(ReplaySpec_t *out, const char *path,
                         GPtrArray *problems);

#endif
