#ifndef HEADER_NamedWeights
#define HEADER_NamedWeights
/**
 * DOC: NamedWeights
 *
 * The newest version of weights that operators have named for each model.
 * Versions are numbers that only grow.
 */
#include <glib.h>

/** Nothing is placed on older weights so long before it must not begin there,
 * in ms, as it waits in the engine's queue first. 2,000 left one engine in
 * seven for two seconds of a roll-out. */
#define WEIGHTS_PLACE_MARGIN_MS 1100

/** struct NamedWeights_t - opaque */
typedef struct NamedWeights NamedWeights_t;

/** NamedWeights_create() - none is named */
NamedWeights_t *NamedWeights_create(void);

/** NamedWeights_destroy() - free it */
void NamedWeights_destroy(NamedWeights_t *this);

/**
 * NamedWeights_take() - a version was named
 * @now_ms: monotonic
 *
 * Return: whether it is newer than the one known
 */
gboolean NamedWeights_take(NamedWeights_t *this, const char *model,
                           guint64 version, gint64 now_ms);

/** NamedWeights_find() - the version of a model as text, or NULL */
const char *NamedWeights_find(const NamedWeights_t *this, const char *model);

/**
 * NamedWeights_due() - the oldest version that may still be used
 * @grace_ms: how long one may be used after a newer one was named
 *
 * Return: the newest version that was named at least @grace_ms ago, or 0
 */
guint64 NamedWeights_due(const NamedWeights_t *this, const char *model,
                         gint64 grace_ms, gint64 now_ms);

/**
 * NamedWeights_lagMs() - how long a version has not been the newest
 *
 * Return: since the first newer name, 0 for the newest version
 */
gint64 NamedWeights_lagMs(const NamedWeights_t *this, const char *model,
                          guint64 version, gint64 now_ms);

/** NamedWeights_ageMs() - how long ago a model's version was first known */
gint64 NamedWeights_ageMs(const NamedWeights_t *this, const char *model,
                          gint64 now_ms);

#endif
