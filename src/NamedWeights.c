#include "NamedWeights.h"

struct NamedWeights {
    GHashTable *versions; /* model -> Version_t */
};

typedef struct {
    guint64 number;
    GString *text;
    gint64 known_ms;
} Version_t;

static void
free_version(gpointer data)
{
    Version_t *version = data;
    g_string_free(version->text, TRUE);
    g_free(version);
}

NamedWeights_t *
NamedWeights_create(void)
{
    NamedWeights_t *this = g_new0(NamedWeights_t, 1);
    this->versions =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_version);
    return this;
}

void
NamedWeights_destroy(NamedWeights_t *this)
{
    g_hash_table_destroy(this->versions);
    g_free(this);
}

gboolean
NamedWeights_take(NamedWeights_t *this, const char *model, guint64 version,
                  gint64 now_ms)
{
    const Version_t *known = g_hash_table_lookup(this->versions, model);
    if (known && known->number >= version) {
        return FALSE;
    }
    Version_t *entry = g_new0(Version_t, 1);
    entry->number = version;
    entry->text = g_string_new(NULL);
    g_string_printf(entry->text, "%" G_GUINT64_FORMAT, version);
    entry->known_ms = now_ms;
    g_hash_table_replace(this->versions, g_strdup(model), entry);
    return TRUE;
}

const char *
NamedWeights_find(const NamedWeights_t *this, const char *model)
{
    const Version_t *version = g_hash_table_lookup(this->versions, model);
    return version ? version->text->str : NULL;
}

gint64
NamedWeights_ageMs(const NamedWeights_t *this, const char *model,
                   gint64 now_ms)
{
    const Version_t *version = g_hash_table_lookup(this->versions, model);
    return version ? now_ms - version->known_ms : 0;
}
