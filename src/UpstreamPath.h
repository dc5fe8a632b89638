#ifndef HEADER_UpstreamPath
#define HEADER_UpstreamPath
/**
 * DOC: UpstreamPath
 *
 * Whether this router has a path to upstreams at all. A router may reach its
 * callers, the store and the other routers while none of its connections to
 * upstreams works. What it finds out about an upstream then says nothing about
 * that upstream.
 *
 * After an upstream has failed, a sample of others is probed unless one
 * answers anyway. If none of the sample can be reached, the path is lost,
 * until any upstream answers. Further samples are probed meanwhile.
 */
#include "UpstreamSet.h"

/** struct UpstreamPath_t - opaque */
typedef struct UpstreamPath UpstreamPath_t;

/** UpstreamPath_create() - start with a path that works
 * @upstreams: all upstreams; must outlive the object */
UpstreamPath_t *UpstreamPath_create(const UpstreamSet_t *upstreams);

/** UpstreamPath_destroy() - free it */
void UpstreamPath_destroy(UpstreamPath_t *this);

/** UpstreamPath_noteFailure() - record that this router could not reach an
 * upstream, or that one was silent */
void UpstreamPath_noteFailure(UpstreamPath_t *this, gint64 now_ms);

/**
 * UpstreamPath_check() - have a sample probed unless an upstream has answered
 * lately
 *
 * For work that needs a path and that another router can do as well.
 */
void UpstreamPath_check(UpstreamPath_t *this, gint64 now_ms);

/**
 * UpstreamPath_update() - take in what upstreams have answered since
 *
 * Marks the upstreams of a new sample, so that they are probed.
 *
 * Return: whether the path was lost or found by this call
 */
gboolean UpstreamPath_update(UpstreamPath_t *this, gint64 now_ms);

/** UpstreamPath_isInDoubt() - whether no upstream has answered since a failure
 * or a check; a sample is being probed */
gboolean UpstreamPath_isInDoubt(const UpstreamPath_t *this);

/** UpstreamPath_isLost() - whether no upstream can be reached */
gboolean UpstreamPath_isLost(const UpstreamPath_t *this);

/** UpstreamPath_lostMs() - how long ago the path was lost; 0 if it is not */
gint64 UpstreamPath_lostMs(const UpstreamPath_t *this, gint64 now_ms);

/**
 * UpstreamPath_hasWorkedSince() - whether a failure at @failed_ms is due to
 * the upstream rather than to this router
 *
 * So it is if another upstream has answered since, or if there is no other.
 */
gboolean UpstreamPath_hasWorkedSince(const UpstreamPath_t *this,
                                     gint64 failed_ms);

#endif
