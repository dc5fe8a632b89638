#ifndef HEADER_DispatchMessages
#define HEADER_DispatchMessages
/**
 * DOC: DispatchMessages
 *
 * Translates between the messages of dispatchers (PlaceAsk and PlaceAnswer in
 * proto/peer.proto) and the types of placement and admission. Numbers of other
 * routers are brought into a usable range.
 */
#include "DispatchGroups.h"
#include "Policy.h"
#include "UpstreamSet.h"
#include "peer.pb-c.h"

/**
 * struct DispatchAdmission_t - what the admission of a request depends on
 * besides its placement
 * @customer: hash of its customer
 * @key: hash that is the same when its caller sends it again
 * @left_ms: time until its caller's deadline; 0 for a request that the
 *     dispatcher must not refuse
 * @has_next: another group will be asked if this one refuses it
 */
typedef struct {
    guint64 customer;
    guint64 key;
    gint64 left_ms;
    gboolean has_next;
} DispatchAdmission_t;

/** DispatchMessages_clampUs() - a duration as it is sent, in us */
guint32 DispatchMessages_clampUs(gint64 us);

/**
 * DispatchMessages_fillQuery() - fill in all fields but the ticket
 * @placement: must have a prefix level; must outlive @query
 * @model: model whose preferred weights apply, or NULL; must outlive @query
 */
void DispatchMessages_fillQuery(Wt__PlaceAsk *query,
                                const Placement_t *placement,
                                const char *model,
                                const DispatchAdmission_t *admission);

/** DispatchMessages_fillAnswer() - fill in all fields but the ticket */
void DispatchMessages_fillAnswer(Wt__PlaceAnswer *answer,
                                 const Choice_t *choice,
                                 const GroupDecision_t *decision);

/**
 * DispatchMessages_boundAnswer() - bring the numbers of an answer into a
 * usable range, whatever its dispatcher has sent
 * @engines: engines that serve the target
 * @left_ms: time until the caller's deadline
 *
 * Return: whether a number was changed
 */
gboolean DispatchMessages_boundAnswer(Wt__PlaceAnswer *answer, guint engines,
                                      gint64 left_ms);

/** DispatchMessages_readChoice() - the choice of an answer; its upstream is
 * NULL if there is none or this router does not know it */
Choice_t DispatchMessages_readChoice(const Wt__PlaceAnswer *answer,
                                     const UpstreamSet_t *upstreams);

/** DispatchMessages_readDecision() - the decision of an answer */
GroupDecision_t DispatchMessages_readDecision(const Wt__PlaceAnswer *answer);

/** DispatchMessages_readUsPerToken() - time to compute a token on the engines
 * of the answer's group, in us; 0 for unknown */
double DispatchMessages_readUsPerToken(const Wt__PlaceAnswer *answer);

#endif
