#ifndef HEADER_ReplayEngine
#define HEADER_ReplayEngine
/**
 * DOC: ReplayEngine
 *
 * What an engine does with the requests that it is sent, in a time of the
 * replay: it runs as many as it has slots and memory for, reads prompts in
 * pieces between steps that make one token of each, and keeps prefixes until
 * what comes later pushes them out.
 */
#include "ReplaySpec.h"

/**
 * struct ReplayWork_t - a request as an engine sees it
 * @id: of the replay
 * @prefix: that it shares; 0 for none
 * @shared_tokens: of the prefix
 * @own_tokens: behind it
 * @out_tokens: that are still to be made
 * @fetched: the prefix is taken from elsewhere
 * @ready_us: when it may begin, for a move
 * @left_tokens: still to be read
 * @computed: the engine reads the prefix itself
 * @begun: its first token was made
 */
typedef struct {
    guint id;
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
 * struct ReplayEvents_t - what an engine tells
 * @token: a request made a token; @first: its first one
 * @done: a request is whole
 */
typedef struct {
    void (*token)(void *owner, const ReplayWork_t *work, gboolean first,
                  gint64 now_us);
    void (*done)(void *owner, guint id, gint64 now_us);
} ReplayEvents_t;

/** struct ReplayEngine_t - opaque */
typedef struct ReplayEngine ReplayEngine_t;

/** ReplayEngine_create() - an engine with an empty memory */
ReplayEngine_t *ReplayEngine_create(const ReplayFleet_t *fleet,
                                    const ReplayEvents_t *events, void *owner);

/** ReplayEngine_destroy() - free it */
void ReplayEngine_destroy(ReplayEngine_t *this);

/** ReplayEngine_send() - a request comes; @work is taken over */
void ReplayEngine_send(ReplayEngine_t *this, ReplayWork_t *work);

/** ReplayEngine_holds() - whether a prefix is in its memory */
gboolean ReplayEngine_holds(const ReplayEngine_t *this, guint64 prefix);

/** ReplayEngine_cancel() - a request goes; FALSE where it is not here */
gboolean ReplayEngine_cancel(ReplayEngine_t *this, guint id);

/** ReplayEngine_isIdle() - nothing is here */
gboolean ReplayEngine_isIdle(const ReplayEngine_t *this);

/** ReplayEngine_step() - make one step; returns what it takes, in us; what it
 * makes is told by ReplayEngine_finish() */
gint64 ReplayEngine_step(ReplayEngine_t *this, gint64 now_us);

/** ReplayEngine_finish() - the step is over */
void ReplayEngine_finish(ReplayEngine_t *this, gint64 now_us);

/** ReplayEngine_readTokens() - prompt tokens read by now */
guint64 ReplayEngine_readTokens(const ReplayEngine_t *this);

#endif
