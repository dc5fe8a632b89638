#ifndef HEADER_RelayFeedback
#define HEADER_RelayFeedback
/**
 * DOC: RelayFeedback
 *
 * What the attempts of a relayed request tell of their upstreams: the wait
 * for a first event, what is cached where, the weights, a refusal, and
 * whether an upstream is still reached. It also counts the attempt's prompt
 * tokens as pending at its upstream until the first event shows that they
 * are computed.
 */
#include "FirstToken.h"
#include "Recovery.h"
#include "RelayForm.h"
#include "RelayPlacer.h"

/**
 * struct RelayFeedback_t - of the attempt under way; zeroed before the first
 * @context: where it is noted
 * @upstream: of the attempt; held by the exchange while it is under way
 * @origin: of its answer
 * @placement: what was weighed
 * @first: what is expected of its first token
 * @missing_tokens: counted in @upstream->pending_tokens
 * @saved_prefix: that the attempt saves, 0 for none
 * @begun_us: when its first event came, monotonic; 0 where none has
 */
typedef struct {
    const Context_t *context;
    Upstream_t *upstream;
    NoticeOrigin_t origin;
    Placement_t placement;
    FirstToken_t first;
    guint missing_tokens;
    guint64 saved_prefix;
    gint64 begun_us;
} RelayFeedback_t;

/** RelayFeedback_begin() - an attempt starts; its tokens are pending now */
void RelayFeedback_begin(RelayFeedback_t *this, const Context_t *context,
                         const char *request_id,
                         const RelayPlacing_t *placing);

/** RelayFeedback_settle() - its tokens are no longer pending; may be called
 * again */
void RelayFeedback_settle(RelayFeedback_t *this);

/**
 * RelayFeedback_noteFirstEvent() - the first event came
 * @waited_us: since the attempt's start
 */
void RelayFeedback_noteFirstEvent(RelayFeedback_t *this, gint64 waited_us);

/** RelayFeedback_noteEnd() - the attempt is over, however it ended */
void RelayFeedback_noteEnd(RelayFeedback_t *this);

/** RelayFeedback_noteWeights() - the version that an answer's head names, if
 * any */
void RelayFeedback_noteWeights(const RelayFeedback_t *this,
                               const RelayHead_t *head);

/** RelayFeedback_noteAnswer() - what an answer's head says of the upstream */
void RelayFeedback_noteAnswer(const RelayFeedback_t *this,
                              const RelayHead_t *head);

/** RelayFeedback_noteRefusal() - the upstream says "not run" */
void RelayFeedback_noteRefusal(const RelayFeedback_t *this,
                               const RelayHead_t *head);

/** RelayFeedback_noteReach() - whether the end puts the upstream in doubt */
void RelayFeedback_noteReach(const RelayFeedback_t *this, AttemptEnd_t end);

/**
 * RelayFeedback_noteSilence() - nothing has come for too long
 *
 * Return: TRUE where a probe has stayed unanswered as well
 */
gboolean RelayFeedback_noteSilence(const RelayFeedback_t *this);

#endif
