#ifndef HEADER_UpstreamGate
#define HEADER_UpstreamGate
/**
 * DOC: UpstreamGate
 *
 * One request at the limits that upstreams have named. Before it is sent to
 * such an upstream, room for it is asked for (RateLimits.h), which is the same
 * for first attempts, repeats and resumes. Room that was not used is given
 * back.
 */
#include "RateGate.h"
#include "UpstreamLimits.h"

/** Upstreams without room that a request asks before it goes where there is no
 * limit: each costs a round trip between routers */
#define UPSTREAM_GATE_REFUSALS_MAX 2

/**
 * enum UpstreamGateStep_t - what came of a question
 * @UPSTREAM_GATE_OPEN: the request may go there now, once
 * @UPSTREAM_GATE_FULL: there is no room
 * @UPSTREAM_GATE_ASKED: it is not known yet
 */
typedef enum {
    UPSTREAM_GATE_OPEN,
    UPSTREAM_GATE_FULL,
    UPSTREAM_GATE_ASKED,
} UpstreamGateStep_t;

/** UpstreamGateDone_t - the answer to what was UPSTREAM_GATE_ASKED */
typedef void (*UpstreamGateDone_t)(void *owner, UpstreamGateStep_t step);

/**
 * struct UpstreamGate_t - of one request; zeroed before the first question
 * @limits: that learn of refusals
 * @request_id: of the request, its owner's text
 * @rate: the question
 * @subject: its subject
 * @upstream: that is asked about, or that has room; held, or NULL
 * @full: the last one that had none, held, or NULL
 * @refusals: by upstreams without room
 * @answered: by the time UpstreamGate_enter() returns
 * @has_room: @upstream has room for one attempt
 * @done: for a later answer
 * @owner: for @done
 */
typedef struct {
    UpstreamLimits_t *limits;
    const char *request_id;
    RateGate_t rate;
    GString *subject;
    Upstream_t *upstream;
    Upstream_t *full;
    guint refusals;
    gboolean answered;
    gboolean has_room;
    UpstreamGateDone_t done;
    void *owner;
} UpstreamGate_t;

/**
 * struct UpstreamGateSpec_t - a question
 * @limits: that learn of a refusal
 * @rates: that know how much is left
 * @request_id: must outlive the gate
 * @done: called where the answer comes later
 * @owner: for @done
 */
typedef struct {
    UpstreamLimits_t *limits;
    RateLimits_t *rates;
    const char *request_id;
    UpstreamGateDone_t done;
    void *owner;
} UpstreamGateSpec_t;

/** UpstreamGate_enter() - ask for room for one attempt at an upstream */
UpstreamGateStep_t UpstreamGate_enter(UpstreamGate_t *this,
                                      Upstream_t *upstream,
                                      const UpstreamGateSpec_t *spec);

/** UpstreamGate_permitted() - the upstream that has room, or NULL */
const Upstream_t *UpstreamGate_permitted(const UpstreamGate_t *this);

/** UpstreamGate_use() - an attempt goes to an upstream now; room at another
 * one is given back */
void UpstreamGate_use(UpstreamGate_t *this, const Upstream_t *upstream);

/** UpstreamGate_leave() - nothing is asked or held any more */
void UpstreamGate_leave(UpstreamGate_t *this);

#endif
