#ifndef HEADER_ReplayGroups
#define HEADER_ReplayGroups
/**
 * DOC: ReplayGroups
 *
 * What the dispatchers of a replay know of their groups of engines: the
 * partitions, the learned times of prompts and runs, and who was admitted. It
 * calls the router's own parts in the order of Dispatch.c. Routers that ask
 * know from the dispatchers' answers which groups are partitioned; here they
 * know at once.
 */
#include "DispatchGroups.h"
#include "ReplayCaller.h"
#include "Tickets.h"

/** struct ReplayGroups_t - opaque */
typedef struct ReplayGroups ReplayGroups_t;

/**
 * ReplayGroups_create() - create it without measurements
 * @serving: Upstream_t, all engines
 * @is_enabled: engines are partitioned if the kinds of the load differ in rank
 */
ReplayGroups_t *ReplayGroups_create(const ReplaySpec_t *spec,
                                    const GPtrArray *serving,
                                    gboolean is_enabled);

/** ReplayGroups_destroy() - free it */
void ReplayGroups_destroy(ReplayGroups_t *this);

/** ReplayGroups_nameKind() - name of a kind, a static text */
const char *ReplayGroups_nameKind(guint kind);

/** ReplayGroups_isPartitioned() - whether a group of a target was partitioned
 * in the last seconds */
gboolean ReplayGroups_isPartitioned(const ReplayGroups_t *this,
                                    const char *target);

/** ReplayGroups_fillPlacement() - set the urgency, the partitions and the
 * expected run time of a request of a kind */
void ReplayGroups_fillPlacement(const ReplayGroups_t *this, guint kind,
                                Placement_t *placement);

/** ReplayGroups_measure() - an engine was chosen for a request, whether or not
 * the request will be admitted */
void ReplayGroups_measure(ReplayGroups_t *this, const Placement_t *placement,
                          const Choice_t *choice);

/** ReplayGroups_decide() - decide on a request of a partitioned group */
GroupDecision_t ReplayGroups_decide(ReplayGroups_t *this,
                                    const GroupRequest_t *request);

/** ReplayGroups_learnFirstToken() - a dispatcher was told of a first token */
void ReplayGroups_learnFirstToken(ReplayGroups_t *this, const char *target,
                                  const TicketFirstToken_t *first,
                                  gint64 waited_us);

/** ReplayGroups_learnRun() - a request is complete */
void ReplayGroups_learnRun(ReplayGroups_t *this,
                           const ReplayRequest_t *request);

/** ReplayGroups_isReserved() - whether an engine is reserved for urgent
 * requests, as of the last choice in its group */
gboolean ReplayGroups_isReserved(const ReplayGroups_t *this,
                                 const Upstream_t *upstream);

#endif
