#ifndef HEADER_FakeUpstreams
#define HEADER_FakeUpstreams
/**
 * DOC: FakeUpstreams
 *
 * Upstreams of tests that need no more of them than a name.
 */
#include "UpstreamSet.h"

/** FakeUpstreams_put() - an upstream of a set, which nobody listens for */
Upstream_t *FakeUpstreams_put(UpstreamSet_t *set, const char *name);

#endif
