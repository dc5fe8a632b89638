#include "PromptParts.h"

GArray *
PromptParts_makeKeys(const PromptParts_t *parts, GBytes *key)
{
    GArray *keys = g_array_sized_new(FALSE, FALSE, sizeof(PartKey_t),
                                     MIN(parts->count, PROMPT_PARTS_MAX));
    for (guint i = 0; i < parts->count && i < PROMPT_PARTS_MAX; i++) {
        PartKey_t part = {
            .digest =
                RequestDigest_makeOfPart(parts->customer, parts->ids[i], key),
            .id = parts->ids[i],
            .depth = i,
        };
        g_array_append_val(keys, part);
    }
    return keys;
}

GString *
PromptParts_describe(const GArray *keys)
{
    GString *text = g_string_new(NULL);
    for (guint i = 0; i < keys->len; i++) {
        const PartKey_t *part = &g_array_index(keys, PartKey_t, i);
        g_string_append_printf(text, "%s%" G_GINT64_MODIFIER "x",
                               i > 0 ? "," : "", part->id);
    }
    return text;
}
