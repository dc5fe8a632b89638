#ifndef HEADER_Residency
#define HEADER_Residency
/**
 * DOC: Residency
 *
 * Which engines should have which prefixes in their caches, learned from
 * what they report with each answer. The table is bounded; the prefixes used
 * longest ago give way. An entry counts only for the incarnation that it was
 * learned from.
 */
#include <glib.h>

#include "Upstream.h"

/** Engines remembered for each prefix */
#define RESIDENCY_HOLDERS 6
/** Prefixes remembered unless told otherwise */
#define RESIDENCY_PREFIXES 65536

/**
 * struct Holder_t - one engine that should have a prefix
 * @upstream: hash of its name
 * @incarnation: that was seen to have it
 * @used_ms: when it was last known to be used there
 * @mark: the same in terms of the engine's memory
 */
typedef struct {
    guint64 upstream;
    guint64 incarnation;
    gint64 used_ms;
    MemoryMark_t mark;
} Holder_t;

/** struct Residency_t - opaque */
typedef struct Residency Residency_t;

/** Residency_create() - an empty table of at most @most prefixes */
Residency_t *Residency_create(guint most);

/** Residency_destroy() - free it */
void Residency_destroy(Residency_t *this);

/** Residency_note() - an engine has a prefix now */
void Residency_note(Residency_t *this, guint64 prefix,
                    const Upstream_t *upstream, gint64 now_ms);

/** Residency_forget() - an engine was found without a prefix */
void Residency_forget(Residency_t *this, guint64 prefix,
                      const Upstream_t *upstream);

/**
 * Residency_holders() - engines that should have a prefix
 * @count: set to how many
 *
 * Return: owned by the table, until its next change
 */
const Holder_t *Residency_holders(const Residency_t *this, guint64 prefix,
                                  guint *count);

/** Residency_size() - prefixes in the table */
guint Residency_size(const Residency_t *this);

#endif
