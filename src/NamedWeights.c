#include "NamedWeights.h"

/* Versions of a model that are remembered; when more are named than that
 * within the grace of one, the ones in between are passed over. */
#define NAMES_KEPT 16

struct NamedWeights {
    GHashTable *models; /* name -> Model_t */
};

typedef struct {
    guint64 number;
    gint64 known_ms;
} Name_t;

typedef struct {
    Name_t names[NAMES_KEPT]; /* the newest first */
    guint count;
    GString *text; /* of the newest */
} Model_t;

static void
free_model(gpointer data)
{
    Model_t *model = data;
    g_string_free(model->text, TRUE);
    g_free(model);
}

NamedWeights_t *
NamedWeights_create(void)
{
    NamedWeights_t *this = g_new0(NamedWeights_t, 1);
    this->models =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_model);
    return this;
}

void
NamedWeights_destroy(NamedWeights_t *this)
{
    g_hash_table_destroy(this->models);
    g_free(this);
}

static Model_t *
model_of(NamedWeights_t *this, const char *name)
{
    Model_t *model = g_hash_table_lookup(this->models, name);
    if (!model) {
        model = g_new0(Model_t, 1);
        model->text = g_string_new(NULL);
        g_hash_table_insert(this->models, g_strdup(name), model);
    }
    return model;
}

gboolean
NamedWeights_take(NamedWeights_t *this, const char *name, guint64 version,
                  gint64 now_ms)
{
    Model_t *model = model_of(this, name);
    if (model->count > 0 && model->names[0].number >= version) {
        return FALSE;
    }
    model->count = MIN(model->count + 1, NAMES_KEPT);
    for (guint i = model->count - 1; i > 0; i--) {
        model->names[i] = model->names[i - 1];
    }
    model->names[0] = (Name_t){version, now_ms};
    g_string_printf(model->text, "%" G_GUINT64_FORMAT, version);
    return TRUE;
}

const char *
NamedWeights_find(const NamedWeights_t *this, const char *name)
{
    const Model_t *model = g_hash_table_lookup(this->models, name);
    return model ? model->text->str : NULL;
}

guint64
NamedWeights_due(const NamedWeights_t *this, const char *name, gint64 grace_ms,
                 gint64 now_ms)
{
    const Model_t *model = g_hash_table_lookup(this->models, name);
    for (guint i = 0; model && i < model->count; i++) {
        if (now_ms - model->names[i].known_ms >= grace_ms) {
            return model->names[i].number;
        }
    }
    return 0;
}

gint64
NamedWeights_lagMs(const NamedWeights_t *this, const char *name,
                   guint64 version, gint64 now_ms)
{
    const Model_t *model = g_hash_table_lookup(this->models, name);
    gint64 lag_ms = 0;
    for (guint i = 0; model && i < model->count; i++) {
        if (model->names[i].number > version) {
            lag_ms = now_ms - model->names[i].known_ms;
        }
    }
    return lag_ms;
}

gint64
NamedWeights_ageMs(const NamedWeights_t *this, const char *name, gint64 now_ms)
{
    const Model_t *model = g_hash_table_lookup(this->models, name);
    return model ? now_ms - model->names[0].known_ms : 0;
}
