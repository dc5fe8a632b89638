#ifndef HEADER_FakeUpstreams
#define HEADER_FakeUpstreams
/**
 * DOC: FakeUpstreams
 *
 * Upstreams for tests that use only their names.
 */
#include "UpstreamSet.h"

/** FakeUpstreams_put() - add an upstream to a set; nothing listens on its
 * address */
Upstream_t *FakeUpstreams_put(UpstreamSet_t *set, const char *name);

#endif
