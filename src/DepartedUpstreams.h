#ifndef HEADER_DepartedUpstreams
#define HEADER_DepartedUpstreams
/**
 * DOC: DepartedUpstreams
 *
 * Remembers upstreams that were removed from the list. A store that is
 * restored from an older copy lists them as they were before they departed,
 * and no request may be sent to them because of such an entry. An upstream
 * that is still running writes its entry again by itself. An upstream that
 * announced that it leaves counts as leaving, whatever its entries say, until
 * it restarts.
 */
#include "StorePosition.h"
#include "Upstream.h"

/**
 * enum DepartedCheck_t - how a listed entry is to be treated
 * @DEPARTED_NOT: valid; the upstream has not departed, or has restarted
 * @DEPARTED_LAPSED: out of date; ignored until the upstream writes an entry
 * @DEPARTED_LEFT: the upstream announced that it leaves, which it cannot
 *     revoke
 */
typedef enum {
    DEPARTED_NOT,
    DEPARTED_LAPSED,
    DEPARTED_LEFT,
} DepartedCheck_t;

/** struct DepartedUpstreams_t - opaque */
typedef struct DepartedUpstreams DepartedUpstreams_t;

/** DepartedUpstreams_create() - create an empty set */
DepartedUpstreams_t *DepartedUpstreams_create(void);

/** DepartedUpstreams_destroy() - free it */
void DepartedUpstreams_destroy(DepartedUpstreams_t *this);

/**
 * DepartedUpstreams_note() - record that an upstream was removed from the list
 * @epoch: epoch of the store that no longer lists it
 */
void DepartedUpstreams_note(DepartedUpstreams_t *this,
                            const Upstream_t *upstream, guint64 epoch,
                            gint64 now_ms);

/** DepartedUpstreams_remove() - the upstream is listed again */
void DepartedUpstreams_remove(DepartedUpstreams_t *this, const char *name);

/**
 * DepartedUpstreams_check() - decide how a listed entry is to be treated
 * @incarnation: incarnation in the entry
 * @epoch: epoch of the store that lists the entry
 */
DepartedCheck_t DepartedUpstreams_check(const DepartedUpstreams_t *this,
                                        const char *name, guint64 incarnation,
                                        guint64 epoch);

#endif
