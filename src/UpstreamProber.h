#ifndef HEADER_UpstreamProber
#define HEADER_UpstreamProber
/**
 * DOC: UpstreamProber
 *
 * Asks upstreams that were not reached for their health before they get work
 * again, so that no request has to find out. Peers are told of one that this
 * router did not reach; a few of them ask as well and tell the others when
 * it answers. The others ask only if they are told nothing.
 */
#include "HintFlood.h"
#include "RouteTable.h"
#include "UpstreamNotices.h"

/**
 * struct UpstreamProberSpec_t - what it needs; all must outlive it
 * @upstreams: that are looked through for suspects
 * @routes: tell where a service's upstreams answer for their health
 * @hints: tells peers of suspects
 * @membership: tells who is to ask on a peer's word
 * @counters: for probes
 * @notices: take in what answers say of their upstreams; or NULL
 * @state_path: where an engine tells its state
 * @instance_header: names the upstream that a probe is meant for, or NULL
 * @timeout_ms: for one probe
 */
typedef struct {
    UpstreamSet_t *upstreams;
    const RouteTable_t *routes;
    HintFlood_t *hints;
    const Membership_t *membership;
    Counters_t *counters;
    UpstreamNotices_t *notices;
    const char *state_path;
    const char *instance_header;
    gint64 timeout_ms;
} UpstreamProberSpec_t;

/** struct UpstreamProber_t - opaque */
typedef struct UpstreamProber UpstreamProber_t;

/** UpstreamProber_create() - start to look for suspects */
UpstreamProber_t *UpstreamProber_create(struct event_base *base,
                                        const UpstreamProberSpec_t *spec);

/** UpstreamProber_setTimeout() - for the probes from now on */
void UpstreamProber_setTimeout(UpstreamProber_t *this, gint64 timeout_ms);

/** UpstreamProber_destroy() - cancel all probes and free it */
void UpstreamProber_destroy(UpstreamProber_t *this);

#endif
