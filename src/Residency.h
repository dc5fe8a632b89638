#ifndef HEADER_Residency
#define HEADER_Residency
/**
 * DOC: Residency
 *
 * Tracks which engines should have which prefixes in their caches, learned
 * from the engines' answers. The table is bounded and evicts the prefixes that
 * were used longest ago. An entry is valid only for the incarnation of the
 * engine that it was learned from.
 */
#include <glib.h>

#include "Upstream.h"

/** Engines tracked for each prefix */
#define RESIDENCY_HOLDERS_MAX 6
/** Prefixes that a policy tracks */
#define RESIDENCY_PREFIXES_DEFAULT 65536

/**
 * struct Holder_t - one engine that should have a prefix
 * @upstream: hash of its name
 * @incarnation: incarnation of the engine that had the prefix
 * @used_ms: when the prefix was last known to be used there
 * @mark: state of the engine's memory at that time
 */
typedef struct {
    guint64 upstream;
    guint64 incarnation;
    gint64 used_ms;
    MemoryMark_t mark;
} Holder_t;

/** struct Residency_t - opaque */
typedef struct Residency Residency_t;

/** Residency_create() - an empty table of at most @prefixes_max prefixes */
Residency_t *Residency_create(guint prefixes_max);

/** Residency_destroy() - free it */
void Residency_destroy(Residency_t *this);

/** Residency_note() - an engine has used a prefix and should hold it now */
void Residency_note(Residency_t *this, guint64 prefix,
                    const Upstream_t *upstream, gint64 now_ms);

/** Residency_forget() - an engine turned out not to hold a prefix */
void Residency_forget(Residency_t *this, guint64 prefix,
                      const Upstream_t *upstream);

/**
 * Residency_holders() - engines that should have a prefix
 * @count: set to the number of engines
 *
 * Return: array owned by the table, valid until its next change
 */
const Holder_t *Residency_holders(const Residency_t *this, guint64 prefix,
                                  guint *count);

/** Residency_size() - prefixes in the table */
guint Residency_size(const Residency_t *this);

#endif
