#ifndef HEADER_CacheStore
#define HEADER_CacheStore
/**
 * DOC: CacheStore
 *
 * What is kept in the store of cached prefixes beside the engines, as far as
 * the routers know: engines are told to save a shared prefix there when it
 * is not known to be kept, and to take it from there when it is. Routers tell
 * each other what was saved; nothing rests on it but time, as an engine
 * computes what it does not find.
 */
#include <glib.h>

#include "HintFlood.h"
#include "Link.h"

/** struct CacheStore_t - opaque */
typedef struct CacheStore CacheStore_t;

/**
 * CacheStore_create() - nothing is known to be kept
 * @hints: through which routers tell each other; must outlive it
 */
CacheStore_t *CacheStore_create(HintFlood_t *hints);

/** CacheStore_destroy() - free it */
void CacheStore_destroy(CacheStore_t *this);

/**
 * CacheStore_prefix() - identity of a prefix under a version of weights
 * @level: identity of the prefix, with its wall
 */
guint64 CacheStore_prefix(guint64 level, const GString *weights);

/**
 * CacheStore_isKept() - whether a prefix should be in the store
 * @prefix: identity that holds the wall and the weights as well
 */
gboolean CacheStore_isKept(const CacheStore_t *this, guint64 prefix,
                           gint64 now_ms);

/**
 * CacheStore_beginSave() - whether this request should save a prefix
 *
 * Return: FALSE where it is kept or another request of this router saves it
 */
gboolean CacheStore_beginSave(CacheStore_t *this, guint64 prefix,
                              gint64 now_ms);

/** CacheStore_noteSaved() - a request that saves a prefix has its first event,
 * so that the prefix is in the store */
void CacheStore_noteSaved(CacheStore_t *this, guint64 prefix, gint64 now_ms);

/**
 * CacheStore_take() - a peer tells that a prefix was saved
 *
 * Return: whether that is news
 */
gboolean CacheStore_take(CacheStore_t *this, guint64 prefix, gint64 now_ms);

/**
 * CacheStore_setCopies() - where its copies stand
 * @halls: of each of them, const char *, in their order; one of no known hall
 *     is assumed where there are none
 *
 * Each prefix is kept by one of them.
 */
void CacheStore_setCopies(CacheStore_t *this, const GPtrArray *halls);

/** CacheStore_copy() - number of the copy that keeps a prefix, of so many */
guint CacheStore_copy(guint64 prefix, guint copies);

/** CacheStore_hall() - of the copy that keeps a prefix */
const char *CacheStore_hall(const CacheStore_t *this, guint64 prefix);

/** CacheStore_link() - over which a prefix comes from its copy and goes there
 */
Link_t *CacheStore_link(CacheStore_t *this, guint64 prefix);

/** CacheStore_ownUs() - what this router's moves still take on the links of
 * all copies */
gint64 CacheStore_ownUs(const CacheStore_t *this, gint64 now_us);

/** CacheStore_setOthersUs() - the same of the other routers; which copies
 * they take from is not told */
void CacheStore_setOthersUs(CacheStore_t *this, gint64 others_us);

#endif
