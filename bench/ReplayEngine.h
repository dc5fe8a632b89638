#ifndef HEADER_ReplayEngine
#define HEADER_ReplayEngine
/**
 * DOC: ReplayEngine
 *
 * Model of an engine in the virtual time of a replay. The engine runs as many
 * requests as its slots and memory permit; a request holds its slot until its
 * last token. More urgent requests get a slot first, then in the order of
 * arrival. Each step reads a limited number of prompt tokens and generates one
 * token for every request whose prompt is read, so that running requests slow
 * down while prompts are read. Prefixes stay in memory until newer entries
 * evict them.
 */
#include "ReplaySpec.h"

/**
 * struct ReplayWork_t - a request on an engine
 * @id: index of the request in the replay
 * @rank: urgency, 0 for the most urgent
 * @prefix: id of the shared prefix; 0 for none
 * @shared_tokens: length of the shared prefix
 * @own_tokens: tokens after the prefix: the rest of the prompt and the output
 *     so far
 * @out_tokens: output tokens still to be generated
 * @fetched: the prefix is fetched from another engine or from the store
 * @ready_us: time at which the fetch is complete and the request may start
 * @left_tokens: prompt tokens still to be read
 * @computed: the engine reads the prefix itself
 * @begun: the first token was generated
 */
typedef struct {
    guint id;
    guint rank;
    guint64 prefix;
    guint shared_tokens;
    guint own_tokens;
    guint out_tokens;
    gboolean fetched;
    gint64 ready_us;
    guint left_tokens;
    gboolean computed;
    gboolean begun;
} ReplayWork_t;

/**
 * struct ReplayEngineHandlers_t - callbacks of an engine
 * @token: a request generated a token; @first: it is the first one
 * @done: a request is complete
 */
typedef struct {
    void (*token)(void *owner, const ReplayWork_t *work, gboolean first,
                  gint64 now_us);
    void (*done)(void *owner, guint id, gint64 now_us);
} ReplayEngineHandlers_t;

/** struct ReplayEngine_t - opaque */
typedef struct ReplayEngine ReplayEngine_t;

/** ReplayEngine_create() - create an engine with an empty memory */
ReplayEngine_t *ReplayEngine_create(const ReplayFleet_t *fleet,
                                    const ReplayEngineHandlers_t *handlers,
                                    void *owner);

/** ReplayEngine_destroy() - free the engine and its requests */
void ReplayEngine_destroy(ReplayEngine_t *this);

/** ReplayEngine_send() - queue a request; takes ownership of @work */
void ReplayEngine_send(ReplayEngine_t *this, ReplayWork_t *work);

/** ReplayEngine_hasPrefix() - whether a prefix is in memory */
gboolean ReplayEngine_hasPrefix(const ReplayEngine_t *this, guint64 prefix);

/** ReplayEngine_cancel() - remove a request; FALSE if the engine does not have
 * it */
gboolean ReplayEngine_cancel(ReplayEngine_t *this, guint id);

/** ReplayEngine_isIdle() - no request is waiting or running */
gboolean ReplayEngine_isIdle(const ReplayEngine_t *this);

/** ReplayEngine_hasRoom() - no prompt is being read, no request waits, and a
 * slot is free */
gboolean ReplayEngine_hasRoom(const ReplayEngine_t *this);

/** ReplayEngine_step() - start a step; returns its duration in us. The caller
 * calls ReplayEngine_finish() at its end. */
gint64 ReplayEngine_step(ReplayEngine_t *this, gint64 now_us);

/** ReplayEngine_finish() - end a step and report the generated tokens */
void ReplayEngine_finish(ReplayEngine_t *this, gint64 now_us);

/** ReplayEngine_countReadTokens() - prompt tokens read so far */
guint64 ReplayEngine_countReadTokens(const ReplayEngine_t *this);

#endif
