#ifndef HEADER_ReplayDispatcher
#define HEADER_ReplayDispatcher
/**
 * DOC: ReplayDispatcher
 *
 * The router's own decisions in a replay: which engine receives a request, or
 * when its caller may return. A request arrives with
 * ReplayDispatcher_decide(), and what becomes of it is told with
 * ReplayDispatcher_report(), as late as a dispatcher learns of it.
 */
#include "Policy.h"
#include "ReplayCaller.h"

/**
 * struct ReplayVerdict_t - the decision on a request
 * @admitted: it is sent to @engine
 * @choice: the engine that was chosen; without upstream if none is usable
 * @engine: index of the engine
 * @ticket: number of the placement, if it is admitted
 * @retry_after_ms: when the caller may return, if it is not admitted
 * @group: group other than that of the home that was asked last, plus 1; 0 for
 *     none
 */
typedef struct {
    gboolean admitted;
    Choice_t choice;
    guint engine;
    guint64 ticket;
    guint retry_after_ms;
    guint group;
} ReplayVerdict_t;

/**
 * enum ReplayReport_t - what is reported of a placed request
 * @REPLAY_FIRST_TOKEN: its first token
 * @REPLAY_END: its last token
 * @REPLAY_ABANDONED: it ended otherwise, or its engine was lost
 */
typedef enum {
    REPLAY_FIRST_TOKEN,
    REPLAY_END,
    REPLAY_ABANDONED,
} ReplayReport_t;

/** struct ReplayDispatcher_t - opaque */
typedef struct ReplayDispatcher ReplayDispatcher_t;

/**
 * ReplayDispatcher_create() - create the dispatchers of all groups
 * @decisions: bits of ReplayDecision_t that are enabled
 */
ReplayDispatcher_t *ReplayDispatcher_create(const ReplaySpec_t *spec,
                                            guint decisions);

/** ReplayDispatcher_destroy() - free them */
void ReplayDispatcher_destroy(ReplayDispatcher_t *this);

/**
 * ReplayDispatcher_decide() - a request arrives; also after a refusal, or
 * because its engine was lost
 * @id: number of the request, the same on each arrival
 */
ReplayVerdict_t ReplayDispatcher_decide(ReplayDispatcher_t *this,
                                        const ReplayRequest_t *request,
                                        guint id, gint64 now_us);

/** ReplayDispatcher_report() - a dispatcher learns what became of a request
 * that it has placed */
void ReplayDispatcher_report(ReplayDispatcher_t *this,
                             const ReplayRequest_t *request,
                             ReplayReport_t report);

/** ReplayDispatcher_noteSaved() - an engine has saved a prefix to the store */
void ReplayDispatcher_noteSaved(ReplayDispatcher_t *this, guint engine,
                                guint64 prefix);

/** ReplayDispatcher_setSuspect() - an engine is suspected or answers again */
void ReplayDispatcher_setSuspect(ReplayDispatcher_t *this, guint engine,
                                 gboolean suspect);

/** ReplayDispatcher_indexOf() - index of an engine */
guint ReplayDispatcher_indexOf(const ReplayDispatcher_t *this,
                               const Upstream_t *upstream);

/** ReplayDispatcher_isReserved() - whether an engine is now reserved for
 * urgent requests */
gboolean ReplayDispatcher_isReserved(const ReplayDispatcher_t *this,
                                     guint engine);

/** ReplayDispatcher_decisionUs() - mean processor time of a decision */
double ReplayDispatcher_decisionUs(const ReplayDispatcher_t *this);

/** ReplayDispatcher_countDecisions() - decisions made */
guint ReplayDispatcher_countDecisions(const ReplayDispatcher_t *this);

#endif
