#include "Names.h"

gboolean
Names_equal(const GPtrArray *one, const GPtrArray *other)
{
    if (one->len != other->len) {
        return FALSE;
    }
    for (guint i = 0; i < one->len; i++) {
        if (!g_string_equal(one->pdata[i], other->pdata[i])) {
            return FALSE;
        }
    }
    return TRUE;
}
