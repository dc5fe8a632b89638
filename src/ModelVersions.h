#ifndef HEADER_ModelVersions
#define HEADER_ModelVersions
/**
 * DOC: ModelVersions
 *
 * The latest versions of weights that operators have declared for each model.
 * Versions are numbers that only grow.
 */
#include <glib.h>

/** Time before weights become too old at which routers stop placing requests
 * on them, in ms: a request waits in the engine's queue before it starts. A
 * larger margin takes engines out of use early during a roll-out. */
#define WEIGHTS_PLACEMENT_MARGIN_MS 1100

/** struct ModelVersions_t - opaque */
typedef struct ModelVersions ModelVersions_t;

/** ModelVersions_create() - start without versions */
ModelVersions_t *ModelVersions_create(void);

/** ModelVersions_destroy() - free it */
void ModelVersions_destroy(ModelVersions_t *this);

/**
 * ModelVersions_add() - record a declared version
 * @now_ms: monotonic
 *
 * Return: whether it is newer than all known versions of the model
 */
gboolean ModelVersions_add(ModelVersions_t *this, const char *model,
                           guint64 version, gint64 now_ms);

/** ModelVersions_findNewest() - newest version of a model as text, or NULL */
const char *ModelVersions_findNewest(const ModelVersions_t *this,
                                     const char *model);

/**
 * ModelVersions_minVersion() - the oldest version that may still be used
 * @grace_ms: how long a version may be used after a newer one was declared
 *
 * Return: the newest version that was declared at least @grace_ms ago, or 0
 */
guint64 ModelVersions_minVersion(const ModelVersions_t *this,
                                 const char *model, gint64 grace_ms,
                                 gint64 now_ms);

/**
 * ModelVersions_lagMs() - how long a version has not been the newest
 *
 * Return: time since the first newer version was declared; 0 for the newest
 */
gint64 ModelVersions_lagMs(const ModelVersions_t *this, const char *model,
                           guint64 version, gint64 now_ms);

/** ModelVersions_ageMs() - how long ago the newest version became known */
gint64 ModelVersions_ageMs(const ModelVersions_t *this, const char *model,
                           gint64 now_ms);

#endif
