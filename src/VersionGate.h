#ifndef HEADER_VersionGate
#define HEADER_VersionGate
/**
 * DOC: VersionGate
 *
 * Makes sure that a stream that nobody knows began at the base version of its
 * service: the only one that served it before others joined
 * (SoftwareVersions_findBase()). A process of a router uses other versions for
 * streams only once its record on the platform's store states that it does
 * (OriginRecords.h), or while the list shows no upstream of the base. So a
 * stream that no running process knows began at the base, if each process that
 * a record names still runs and would know it, and the base has had a listed
 * upstream all the time (BaseVersion.h). A process states its use only once
 * the others have had the time to record what they began at the base.
 */
#include "SoftwareVersions.h"

/**
 * struct VersionUse_t - statement of a process that uses several versions
 * @service: name of the service
 * @software: one of the versions
 * @base: base at that process; empty if it does not know it
 * @process: its number; 0 in records of builds that state none
 * @until_ms: of a former process: until when its streams may be continued,
 *     monotonic
 */
typedef struct {
    char *service;
    char *software;
    char *base;
    guint64 process;
    gint64 until_ms;
} VersionUse_t;

/** struct VersionGate_t - opaque */
typedef struct VersionGate VersionGate_t;

/** VersionGate_create() - create the gate of this process; @versions must
 * outlive it */
VersionGate_t *VersionGate_create(const SoftwareVersions_t *versions,
                                  gint64 window_ms);

/** VersionGate_destroy() - free it */
void VersionGate_destroy(VersionGate_t *this);

/** VersionGate_setWindow() - change how long streams may be continued */
void VersionGate_setWindow(VersionGate_t *this, gint64 window_ms);

/** VersionGate_setHold() - change how long after another version joined its
 * use may be stated, unless other processes stated theirs or the list shows no
 * upstream of the base; 0 at first */
void VersionGate_setHold(VersionGate_t *this, gint64 hold_ms);

/** VersionGate_process() - number of this process, never 0 */
guint64 VersionGate_process(const VersionGate_t *this);

/**
 * VersionGate_findHeld() - the version to which new streams keep
 * @has_unknown: upstreams of a version that is not known serve as well
 *
 * Return: the base, valid until the next change; NULL if any version may be
 * used
 */
const char *VersionGate_findHeld(VersionGate_t *this, const char *service,
                                 gboolean has_unknown, gint64 now_ms);

/** VersionGate_noteUnstated() - streams begin at another version all the same,
 * as the list shows no upstream of the one that VersionGate_findHeld()
 * returned
 */
void VersionGate_noteUnstated(VersionGate_t *this, const char *service,
                              gint64 now_ms);

/** VersionGate_noteBegun() - a stream has begun, or goes on, at this process;
 * while several versions serve, one other than the base counts as used from
 * now on
 * @software: empty if it is not known
 */
void VersionGate_noteBegun(const VersionGate_t *this, const char *service,
                           const char *software, gint64 now_ms);

/** VersionGate_list() - the VersionUse_t that belong into the record of this
 * router: of this process, and of former ones whose streams may be continued;
 * they count as being written */
GPtrArray *VersionGate_list(VersionGate_t *this, gint64 now_ms);

/** VersionGate_noteWritten() - the record with what was listed last was
 * acknowledged */
void VersionGate_noteWritten(VersionGate_t *this, gint64 now_ms);

/** VersionGate_carry() - a former process of this router used a version */
void VersionGate_carry(VersionGate_t *this, const VersionUse_t *use,
                       gint64 now_ms);

/** VersionGate_hasCarried() - whether there was a former process that did */
gboolean VersionGate_hasCarried(const VersionGate_t *this);

/** VersionGate_isUsedBefore() - whether the record still states that a former
 * process of this router used several versions of a service: it is gone and
 * cannot tell what it began */
gboolean VersionGate_isUsedBefore(const VersionGate_t *this,
                                  const char *service, gint64 now_ms);

/** VersionGate_beginRead() - the records of all routers are read from now on
 */
void VersionGate_beginRead(VersionGate_t *this, gint64 now_ms);

/** VersionGate_read() - one of them has this statement */
void VersionGate_read(VersionGate_t *this, const VersionUse_t *use);

/** VersionGate_noteUnreadable() - one of them is not understood */
void VersionGate_noteUnreadable(VersionGate_t *this);

/** VersionGate_endRead() - all of them were read */
void VersionGate_endRead(VersionGate_t *this);

/** VersionGate_readMs() - when the last whole read began, monotonic; 0 for
 * never */
gint64 VersionGate_readMs(const VersionGate_t *this);

/** VersionGate_isFresh() - whether this process still knows each stream that
 * it began while it used several versions: it has used them for the time for
 * which streams may be continued, at most */
gboolean VersionGate_isFresh(const VersionGate_t *this, const char *service,
                             gint64 now_ms);

/**
 * VersionGate_findBase() - the version that began a stream which is not known
 * to some processes
 * @processes: guint64 of these, which run
 *
 * Return: the base, valid until the next change; NULL if another process may
 * have begun the stream at another version
 */
const char *VersionGate_findBase(const VersionGate_t *this,
                                 const char *service, const GArray *processes);

#endif
