#ifndef HEADER_CacheStore
#define HEADER_CacheStore
/**
 * DOC: CacheStore
 *
 * Tracks which prefixes the shared store of cached prefixes should hold. A
 * request asks its engine to save a shared prefix to the store if the store is
 * not known to hold the prefix, and to fetch it from there otherwise. Routers
 * send each other hints of what was saved. A wrong entry costs only time: an
 * engine computes what it does not find.
 */
#include <glib.h>

#include "HintBroadcast.h"
#include "TransferLink.h"

/** struct CacheStore_t - opaque */
typedef struct CacheStore CacheStore_t;

/**
 * CacheStore_create() - a store that is not known to hold any prefix
 * @hints: sends what was saved to the other routers; must outlive it
 */
CacheStore_t *CacheStore_create(HintBroadcast_t *hints);

/** CacheStore_destroy() - free it */
void CacheStore_destroy(CacheStore_t *this);

/**
 * CacheStore_prefix() - identity of a prefix under a version of weights
 * @level: salted identity of the prefix
 */
guint64 CacheStore_prefix(guint64 level, const GString *weights);

/**
 * CacheStore_contains() - whether a prefix should be in the store
 * @prefix: identity by CacheStore_prefix()
 */
gboolean CacheStore_contains(const CacheStore_t *this, guint64 prefix,
                             gint64 now_ms);

/**
 * CacheStore_beginSave() - whether this request should save a prefix
 *
 * Return: FALSE where the prefix is stored or another request of this router
 * is saving it
 */
gboolean CacheStore_beginSave(CacheStore_t *this, guint64 prefix,
                              gint64 now_ms);

/** CacheStore_noteSaved() - a request that saves a prefix got its first event:
 * the prefix is in the store now */
void CacheStore_noteSaved(CacheStore_t *this, guint64 prefix, gint64 now_ms);

/**
 * CacheStore_receiveSaved() - a peer reports that a prefix was saved
 *
 * Return: TRUE where the prefix was not known to be stored
 */
gboolean CacheStore_receiveSaved(CacheStore_t *this, guint64 prefix,
                                 gint64 now_ms);

/**
 * CacheStore_setCopies() - set the number and halls of the store's copies
 * @halls: hall of each copy, const char *, in the order of the copies; where
 *     empty, one copy in an unknown hall is assumed
 *
 * Each prefix is stored by one copy.
 */
void CacheStore_setCopies(CacheStore_t *this, const GPtrArray *halls);

/** CacheStore_copyIndex() - index of the copy that stores a prefix, out of
 * @copies */
guint CacheStore_copyIndex(guint64 prefix, guint copies);

/** CacheStore_hall() - hall of the copy that stores a prefix */
const char *CacheStore_hall(const CacheStore_t *this, guint64 prefix);

/** CacheStore_link() - link of the copy that stores a prefix */
TransferLink_t *CacheStore_link(CacheStore_t *this, guint64 prefix);

/** CacheStore_localUs() - remaining time of this router's moves, summed over
 * the links of all copies */
gint64 CacheStore_localUs(const CacheStore_t *this, gint64 now_us);

/** CacheStore_setOthersUs() - set the remaining time of the other routers'
 * moves; it is split evenly, as they do not report it by copy */
void CacheStore_setOthersUs(CacheStore_t *this, gint64 others_us);

#endif
