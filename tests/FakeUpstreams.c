#include "FakeUpstreams.h"

Upstream_t *
FakeUpstreams_put(UpstreamSet_t *set, const char *name)
{
    UpstreamSpec_t spec = {.address = {"127.0.0.1", 9},
                           .hall = g_string_new("h"),
                           .region = g_string_new("r"),
                           .serves = g_ptr_array_new(),
                           .slots = 4};
    Upstream_t *upstream = UpstreamSet_put(set, name, &spec);
    g_string_free(spec.hall, TRUE);
    g_string_free(spec.region, TRUE);
    g_ptr_array_unref(spec.serves);
    return upstream;
}
