#ifndef HEADER_CrashVerdict
#define HEADER_CrashVerdict
/**
 * DOC: CrashVerdict
 *
 * Why a request must not be sent: upstreams have crashed as they ran it, or as
 * they began to answer requests with a part of its prompt.
 */
#include "PartGuard.h"

/**
 * struct CrashQuarantine_t - why and for how long a request is quarantined
 * @crashes: valid crashes plus @pending
 * @pending: upstreams that may have crashed under the request, not yet known
 * @age_ms: time since the latest crash
 * @is_local: this router has detected a crash itself or has pending ones;
 *     otherwise all crashes come from peers or from the store
 * @wait_ms: time until the request may be sent again
 */
typedef struct {
    guint crashes;
    guint pending;
    gint64 age_ms;
    gboolean is_local;
    gint64 wait_ms;
} CrashQuarantine_t;

/**
 * struct CrashVerdict_t - what keeps a request from being sent
 * @is_part: it is a part of its prompt, not the request itself
 * @request: the request's quarantine, unless @is_part
 * @part: the part's quarantine, if @is_part
 */
typedef struct {
    gboolean is_part;
    CrashQuarantine_t request;
    PartQuarantine_t part;
} CrashVerdict_t;

/**
 * CrashVerdict_log() - log that a request was not sent, and why
 * @digest: of the request
 * @request: id of the request
 */
void CrashVerdict_log(const CrashVerdict_t *this,
                      const RequestDigest_t *digest, const char *request);

/** CrashVerdict_waitMs() - time until the request may be sent */
gint64 CrashVerdict_waitMs(const CrashVerdict_t *this);

#endif
