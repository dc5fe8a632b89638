#ifndef HEADER_StreamOrigins
#define HEADER_StreamOrigins
/**
 * DOC: StreamOrigins
 *
 * Table of streams and the software versions that began them. Its size is
 * bounded: the entries that were renewed least recently are dropped first.
 */
#include "RequestDigest.h"

/** Maximum number of entries, 8 MB. A router with 34 streams per second holds
 * its own and those of as many as three others, 4,080 in 30 s. */
#define STREAM_ORIGINS_MAX 32768

/**
 * struct StreamOrigin_t - what began a stream
 * @digest: identifies the request that brought the stream's first event
 * @service: service of the upstream
 * @software: software version of the upstream; empty if it was not known,
 * or the same request began at several
 * @expires_ms: when the entry is dropped unless the stream runs here,
 * monotonic
 * @renewed_ms: when the entry was added or last renewed, monotonic
 * @is_own: this router began or continued the stream
 * @is_live: the stream runs at this router
 * @is_told: owners have been told
 * @is_restored: it was read from the platform's store
 * @is_recorded: it belongs into the record of this router
 * @record_end_ms: until when, unless the stream runs here, monotonic
 */
typedef struct {
    RequestDigest_t digest;
    GRefString *service;
    GRefString *software;
    gint64 expires_ms;
    gint64 renewed_ms;
    gboolean is_own;
    gboolean is_live;
    gboolean is_told;
    gboolean is_restored;
    gboolean is_recorded;
    gint64 record_end_ms;
} StreamOrigin_t;

/** struct StreamOrigins_t - opaque */
typedef struct StreamOrigins StreamOrigins_t;

/** StreamOrigins_create() - create an empty table of at most @max entries */
StreamOrigins_t *StreamOrigins_create(guint max);

/** StreamOrigins_destroy() - free it */
void StreamOrigins_destroy(StreamOrigins_t *this);

/**
 * StreamOrigins_put() - add an entry, or renew the one of this digest
 *
 * If another service or version is stored for the digest, the version counts
 * as not known from then on.
 *
 * Return: the entry, valid until the next call that changes the table
 */
StreamOrigin_t *StreamOrigins_put(StreamOrigins_t *this,
                                  const RequestDigest_t *digest,
                                  const char *service, const char *software,
                                  gint64 expires_ms, gint64 now_ms);

/** StreamOrigins_find() - the entry of a digest; NULL if there is none that
 * has not expired */
StreamOrigin_t *StreamOrigins_find(const StreamOrigins_t *this,
                                   const RequestDigest_t *digest,
                                   gint64 now_ms);

/** StreamOrigins_remove() - remove the entry of a digest, if there is one */
void StreamOrigins_remove(StreamOrigins_t *this,
                          const RequestDigest_t *digest);

/** StreamOrigins_removeExpired() - drop the entries that have expired */
void StreamOrigins_removeExpired(StreamOrigins_t *this, gint64 now_ms);

/** StreamOrigins_forEach() - call a function for each entry, which must not
 * add or remove any */
void StreamOrigins_forEach(const StreamOrigins_t *this,
                           void (*call)(void *owner, StreamOrigin_t *entry),
                           void *owner);

/** StreamOrigins_isComplete() - whether no entry was dropped for lack of room
 * that would not have expired */
gboolean StreamOrigins_isComplete(const StreamOrigins_t *this, gint64 now_ms);

/** StreamOrigins_count() - number of entries */
guint StreamOrigins_count(const StreamOrigins_t *this);

#endif
