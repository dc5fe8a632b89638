#ifndef HEADER_UpstreamProber
#define HEADER_UpstreamProber
/**
 * DOC: UpstreamProber
 *
 * Probes upstreams that were unreachable before requests are sent to them
 * again, so that no request has to find out. The peers are notified of an
 * upstream that this router could not reach, once another one has answered. An
 * upstream that was only silent stays in use while it is probed, and is
 * suspected if that probe is not answered (upstream_doubted with
 * reason=silent); an answer is counted as upstream_silent_but_alive_total. The
 * three routers of the lowest ranks probe it as well and notify the others
 * when it answers; the others probe it only if they receive no such
 * notification in time.
 */
#include "HintBroadcast.h"
#include "OrderForm.h"
#include "RouteTable.h"
#include "UpstreamNotices.h"
#include "UpstreamPath.h"

/**
 * struct UpstreamProberSpec_t - dependencies and settings; all objects must
 * outlive the UpstreamProber_t
 * @upstreams: set that is searched for suspected upstreams
 * @routes: provide the health check path of a service
 * @hints: notifies the peers of suspected and of reachable upstreams
 * @membership: ranks the routers that probe when a peer suspects an upstream
 * @counters: counters of probes
 * @notices: applies the notices in the answers to probes; or NULL
 * @state_path: path at which an engine reports its state
 * @read_state: reads such a report; NULL if it is not read
 * @instance_header: header that names the upstream that a probe is meant for,
 *     or NULL
 * @timeout_ms: timeout of one probe
 */
typedef struct {
    UpstreamSet_t *upstreams;
    const RouteTable_t *routes;
    HintBroadcast_t *hints;
    const Membership_t *membership;
    Counters_t *counters;
    UpstreamNotices_t *notices;
    const char *state_path;
    gboolean (*read_state)(const HttpAnswer_t *answer, EngineState_t *out);
    const char *instance_header;
    gint64 timeout_ms;
} UpstreamProberSpec_t;

/** struct UpstreamProber_t - opaque */
typedef struct UpstreamProber UpstreamProber_t;

/** UpstreamProber_create() - start checking for suspected upstreams */
UpstreamProber_t *UpstreamProber_create(struct event_base *base,
                                        const UpstreamProberSpec_t *spec);

/** UpstreamProber_path() - whether this router has a path to upstreams */
UpstreamPath_t *UpstreamProber_path(const UpstreamProber_t *this);

/** UpstreamProber_setTimeout() - change the timeout of later probes */
void UpstreamProber_setTimeout(UpstreamProber_t *this, gint64 timeout_ms);

/** UpstreamProber_destroy() - cancel all probes and free it */
void UpstreamProber_destroy(UpstreamProber_t *this);

#endif
