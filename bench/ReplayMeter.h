#ifndef HEADER_ReplayMeter
#define HEADER_ReplayMeter
/**
 * DOC: ReplayMeter
 *
 * Counts what became of the requests of a replay and what its engines did.
 */
#include "Replay.h"
#include "ReplayCaller.h"

/** struct ReplayMeter_t - opaque */
typedef struct ReplayMeter ReplayMeter_t;

/** ReplayMeter_create() - nothing counted
 * @out: receives the counts */
ReplayMeter_t *ReplayMeter_create(const ReplaySpec_t *spec,
                                  ReplayResult_t *out);

/** ReplayMeter_destroy() - free it */
void ReplayMeter_destroy(ReplayMeter_t *this);

/** ReplayMeter_noteReturn() - a caller returns after a refusal */
void ReplayMeter_noteReturn(ReplayMeter_t *this,
                            const ReplayRequest_t *request, gint64 now_us);

/** ReplayMeter_noteRefusal() - a request is refused */
void ReplayMeter_noteRefusal(ReplayMeter_t *this,
                             const ReplayRequest_t *request, gint64 now_us);

/** ReplayMeter_noteWait() - the wait of a placed request for its first token
 * is over, by its first token or without one */
void ReplayMeter_noteWait(ReplayMeter_t *this, ReplayRequest_t *request,
                          gint64 now_us);

/** ReplayMeter_noteServed() - a request has its complete answer */
void ReplayMeter_noteServed(ReplayMeter_t *this,
                            const ReplayRequest_t *request);

/** ReplayMeter_noteRefused() - a caller does not return after a refusal */
void ReplayMeter_noteRefused(ReplayMeter_t *this,
                             const ReplayRequest_t *request);

/** ReplayMeter_noteFailed() - a request ended otherwise without its answer */
void ReplayMeter_noteFailed(ReplayMeter_t *this,
                            const ReplayRequest_t *request);

/** ReplayMeter_noteEngine() - an engine at the end of a second
 * @is_reserved: it is reserved for urgent requests
 * @tokens: prompt tokens that it has read so far */
void ReplayMeter_noteEngine(ReplayMeter_t *this, guint engine,
                            gboolean is_reserved, guint64 tokens);

/** ReplayMeter_noteRead() - prompt tokens that an engine has read in the whole
 * replay
 * @was_silent: it fell silent for some time */
void ReplayMeter_noteRead(ReplayMeter_t *this, guint engine, guint64 tokens,
                          gboolean was_silent);

/** ReplayMeter_finish() - fill in what depends on all requests
 * @requests: ReplayRequest_t, all of the replay */
void ReplayMeter_finish(ReplayMeter_t *this, const GArray *requests);

#endif
