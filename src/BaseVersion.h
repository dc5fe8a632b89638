#ifndef HEADER_BaseVersion
#define HEADER_BaseVersion
/**
 * DOC: BaseVersion
 *
 * The base of a service: the only software version that served it before
 * others joined (SoftwareVersions.h), and whether it has had a listed upstream
 * ever since. A router begins streams at a version that no record states only
 * if the list shows no upstream of the base (RelayOrigin.h), so that while the
 * base is served, no stream that a lost router began there is of another one.
 *
 * Routers that restart know this from the record of versions, which names
 * starts of upstreams: where one of them is still listed, the base was listed
 * all the time since.
 */
#include <glib.h>

/** struct BaseVersion_t - opaque */
typedef struct BaseVersion BaseVersion_t;

/** BaseVersion_create() - create it
 * @is_served: it has had a listed upstream since it was the only version */
BaseVersion_t *BaseVersion_create(const char *software, gboolean is_served);

/** BaseVersion_destroy() - free it */
void BaseVersion_destroy(BaseVersion_t *this);

/** BaseVersion_software() - name of the version */
const char *BaseVersion_software(const BaseVersion_t *this);

/** BaseVersion_isServed() - whether it has had a listed upstream since it was
 * the only version */
gboolean BaseVersion_isServed(const BaseVersion_t *this);

/** BaseVersion_setRecorded() - it counts as served only once one of these
 * starts of upstreams is listed */
void BaseVersion_setRecorded(BaseVersion_t *this, const guint64 *starts,
                             gsize count);

/** BaseVersion_noteListed() - the list shows a start of an upstream of it */
void BaseVersion_noteListed(BaseVersion_t *this, guint64 start);

/** BaseVersion_noteEnded() - the list shows no upstream of it anymore */
void BaseVersion_noteEnded(BaseVersion_t *this);

#endif
