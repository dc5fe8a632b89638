#ifndef HEADER_RelayFeedback
#define HEADER_RelayFeedback
/**
 * DOC: RelayFeedback
 *
 * Records what the attempts of a relayed request show about their upstreams:
 * the time to the first event, cached prefixes, the version of weights,
 * refusals, and whether the upstream is reachable. It also counts the
 * attempt's prompt tokens as pending at the upstream until the first event
 * shows that they are computed.
 */
#include "FirstTokenEstimate.h"
#include "Recovery.h"
#include "RelayForm.h"
#include "RelayPlacer.h"

/**
 * struct RelayFeedback_t - of the attempt under way; zeroed before the first
 * @context: modules that receive the observations
 * @upstream: upstream of the attempt; the exchange holds the reference while
 *     the attempt is under way
 * @origin: origin of notices in the answer
 * @route: name of the request's route, which outlives the attempt
 * @is_partitioned: the upstream is in a partitioned group
 * @is_in_backlog: the prompt counts in the upstream's backlog
 * @placement: inputs of the upstream's choice
 * @first_token: estimate of the time to the first token
 * @missing_tokens: prompt tokens counted in @upstream->pending_tokens
 * @saved_prefix: identity of the prefix that the attempt saves, 0 for none
 * @first_event_us: when the first event was received, monotonic; 0 for none
 */
typedef struct {
    const Context_t *context;
    Upstream_t *upstream;
    NoticeOrigin_t origin;
    const char *route;
    gboolean is_partitioned;
    gboolean is_in_backlog;
    Placement_t placement;
    FirstTokenEstimate_t first_token;
    guint missing_tokens;
    guint64 saved_prefix;
    gint64 first_event_us;
} RelayFeedback_t;

/** RelayFeedback_begin() - an attempt starts; counts its tokens as pending */
void RelayFeedback_begin(RelayFeedback_t *this, const Context_t *context,
                         const char *request_id,
                         const RelayDestination_t *destination);

/** RelayFeedback_clearPending() - stop counting the attempt's tokens as
 * pending; may be called again */
void RelayFeedback_clearPending(RelayFeedback_t *this);

/**
 * RelayFeedback_noteFirstEvent() - the first event was received
 * @waited_us: time since the attempt's start
 */
void RelayFeedback_noteFirstEvent(RelayFeedback_t *this, gint64 waited_us);

/** RelayFeedback_noteEnd() - the attempt ended, whatever its result */
void RelayFeedback_noteEnd(RelayFeedback_t *this);

/** RelayFeedback_noteWeights() - record the version of weights that an
 * answer's head names, if any */
void RelayFeedback_noteWeights(const RelayFeedback_t *this,
                               const RelayHead_t *head);

/** RelayFeedback_noteAnswer() - record an answer's notices about its
 * upstream */
void RelayFeedback_noteAnswer(const RelayFeedback_t *this,
                              const RelayHead_t *head);

/** RelayFeedback_noteRefusal() - the upstream answered "not run" */
void RelayFeedback_noteRefusal(const RelayFeedback_t *this,
                               const RelayHead_t *head);

/** RelayFeedback_noteReachability() - suspect the upstream if the attempt's
 * end suggests that it is unreachable; see RelayFeedback_noteSilence() for
 * ATTEMPT_SILENT */
void RelayFeedback_noteReachability(const RelayFeedback_t *this,
                                    AttemptEnd_t end);

/**
 * RelayFeedback_noteSilence() - the upstream has exceeded a timeout
 *
 * Unless the upstream has answered any request a short while ago, it is probed
 * and, with the setting probe_silent, suspected only if the probe fails;
 * without the setting it is suspected at once.
 *
 * Return: TRUE if a probe was unanswered as well
 */
gboolean RelayFeedback_noteSilence(const RelayFeedback_t *this);

/** RelayFeedback_askRuns() - with the setting probe_silent, have the upstream
 * probed for the requests that it runs, unless it was a short while ago */
void RelayFeedback_askRuns(const RelayFeedback_t *this);

#endif
