#include "ModelVersions.h"

/* Versions stored per model. If more are declared within one grace period, the
 * versions in between are skipped. */
#define VERSIONS_MAX 16

struct ModelVersions {
    GHashTable *models; /* model name -> Model_t */
};

typedef struct {
    guint64 number;
    gint64 known_ms;
} Version_t;

typedef struct {
    Version_t versions[VERSIONS_MAX]; /* newest first */
    guint count;
    GString *newest; /* newest version as text */
} Model_t;

static void
free_model(gpointer data)
{
    Model_t *model = data;
    g_string_free(model->newest, TRUE);
    g_free(model);
}

ModelVersions_t *
ModelVersions_create(void)
{
    ModelVersions_t *this = g_new0(ModelVersions_t, 1);
    this->models =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_model);
    return this;
}

void
ModelVersions_destroy(ModelVersions_t *this)
{
    g_hash_table_destroy(this->models);
    g_free(this);
}

static Model_t *
find_or_create_model(ModelVersions_t *this, const char *name)
{
    Model_t *model = g_hash_table_lookup(this->models, name);
    if (!model) {
        model = g_new0(Model_t, 1);
        model->newest = g_string_new(NULL);
        g_hash_table_insert(this->models, g_strdup(name), model);
    }
    return model;
}

gboolean
ModelVersions_add(ModelVersions_t *this, const char *name, guint64 version,
                  gint64 now_ms)
{
    Model_t *model = find_or_create_model(this, name);
    if (model->count > 0 && model->versions[0].number >= version) {
        return FALSE;
    }
    model->count = MIN(model->count + 1, VERSIONS_MAX);
    for (guint i = model->count - 1; i > 0; i--) {
        model->versions[i] = model->versions[i - 1];
    }
    model->versions[0] = (Version_t){version, now_ms};
    g_string_printf(model->newest, "%" G_GUINT64_FORMAT, version);
    return TRUE;
}

const char *
ModelVersions_findNewest(const ModelVersions_t *this, const char *name)
{
    const Model_t *model = g_hash_table_lookup(this->models, name);
    return model ? model->newest->str : NULL;
}

guint64
ModelVersions_minVersion(const ModelVersions_t *this, const char *name,
                         gint64 grace_ms, gint64 now_ms)
{
    const Model_t *model = g_hash_table_lookup(this->models, name);
    for (guint i = 0; model && i < model->count; i++) {
        if (now_ms - model->versions[i].known_ms >= grace_ms) {
            return model->versions[i].number;
        }
    }
    return 0;
}

gint64
ModelVersions_lagMs(const ModelVersions_t *this, const char *name,
                    guint64 version, gint64 now_ms)
{
    const Model_t *model = g_hash_table_lookup(this->models, name);
    gint64 lag_ms = 0;
    for (guint i = 0; model && i < model->count; i++) {
        if (model->versions[i].number > version) {
            lag_ms = now_ms - model->versions[i].known_ms;
        }
    }
    return lag_ms;
}

gint64
ModelVersions_ageMs(const ModelVersions_t *this, const char *name,
                    gint64 now_ms)
{
    const Model_t *model = g_hash_table_lookup(this->models, name);
    return model ? now_ms - model->versions[0].known_ms : 0;
}
