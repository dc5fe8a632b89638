#ifndef HEADER_DepartedUpstreams
#define HEADER_DepartedUpstreams
/**
 * DOC: DepartedUpstreams
 *
 * Upstreams that were on the list and are not any more. A store that comes
 * back from an older copy lists them as they were before they left; work must
 * not go to them on the word of such an entry. One that is there writes its
 * entry again by itself. One that had said that it leaves stays so whatever
 * its entries read, until it starts anew.
 */
#include "StorePosition.h"
#include "Upstream.h"

/**
 * enum Departed_t - what an entry from a list is worth
 * @DEPARTED_NOT: the upstream has not departed, or has started anew
 * @DEPARTED_LAPSED: it is passed over until the upstream writes one
 * @DEPARTED_LEFT: the upstream had said that it leaves, which is never taken
 *     back
 */
typedef enum {
    DEPARTED_NOT,
    DEPARTED_LAPSED,
    DEPARTED_LEFT,
} Departed_t;

/** struct DepartedUpstreams_t - opaque */
typedef struct DepartedUpstreams DepartedUpstreams_t;

/** DepartedUpstreams_create() - none */
DepartedUpstreams_t *DepartedUpstreams_create(void);

/** DepartedUpstreams_destroy() - free it */
void DepartedUpstreams_destroy(DepartedUpstreams_t *this);

/**
 * DepartedUpstreams_note() - an upstream is off the list
 * @epoch: of the store that lists it no more
 */
void DepartedUpstreams_note(DepartedUpstreams_t *this,
                            const Upstream_t *upstream, guint64 epoch,
                            gint64 now_ms);

/** DepartedUpstreams_forget() - it is back by an entry of its own */
void DepartedUpstreams_forget(DepartedUpstreams_t *this, const char *name);

/**
 * DepartedUpstreams_find() - what an entry in a list is worth
 * @incarnation: that it tells
 * @epoch: of the store that lists it
 */
Departed_t DepartedUpstreams_find(const DepartedUpstreams_t *this,
                                  const char *name, guint64 incarnation,
                                  guint64 epoch);

#endif
