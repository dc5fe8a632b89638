#ifndef HEADER_UpstreamNotice
#define HEADER_UpstreamNotice
/**
 * DOC: UpstreamNotice
 *
 * Parses the notices in an answer's headers: what an upstream states about
 * itself, apart from the request. Any answer can carry notices, including
 * refusals and answers to health checks. The wire format defines the names of
 * the headers.
 */
#include "AdvertisedLimit.h"

/**
 * enum NoticeKind_t - kinds of notices
 * @NOTICE_LIMIT: requests per second that the upstream takes from all routers
 * @NOTICE_LEAVING: the upstream is about to end
 * @NOTICE_BACKOFF: time for which an upstream that refuses a request wants no
 *     further requests
 */
typedef enum {
    NOTICE_LIMIT,
    NOTICE_LEAVING,
    NOTICE_BACKOFF,
    NOTICE_KIND_COUNT,
} NoticeKind_t;

/**
 * struct UpstreamNoticeForm_t - notices in a wire format
 * @headers: name of the header of each kind
 * @misdirected_status: HTTP status with which another upstream that has taken
 *     over the address answers; 0 for none
 */
typedef struct {
    const char *headers[NOTICE_KIND_COUNT];
    int misdirected_status;
} UpstreamNoticeForm_t;

/**
 * enum NoticeFlag_t - value of a header that is a flag
 * @FLAG_UNSET: the header is missing or 0
 * @FLAG_SET: the header is 1
 * @FLAG_UNREADABLE: the header has another value, or occurs with different
 *     values
 */
typedef enum {
    FLAG_UNSET,
    FLAG_SET,
    FLAG_UNREADABLE,
} NoticeFlag_t;

/**
 * enum BackoffNoticeKind_t - whether an answer asks for a backoff
 * @BACKOFF_ABSENT: no header, or an answer of a status that cannot ask for one
 * @BACKOFF_REQUESTED: the answer asks for a backoff
 * @BACKOFF_UNREADABLE: the header is not a number of seconds, or occurs with
 *     different values
 */
typedef enum {
    BACKOFF_ABSENT,
    BACKOFF_REQUESTED,
    BACKOFF_UNREADABLE,
} BackoffNoticeKind_t;

/**
 * struct BackoffNotice_t - backoff that an answer asks for
 * @kind: whether it asks for one
 * @for_ms: length, starting with the answer; 0 if none is asked for
 */
typedef struct {
    BackoffNoticeKind_t kind;
    gint64 for_ms;
} BackoffNotice_t;

/**
 * struct UpstreamNotice_t - notices of one answer
 * @limit: request rate limit
 * @leaving: whether the upstream is about to end
 * @backoff: backoff that the upstream asks for
 */
typedef struct {
    AdvertisedLimit_t limit;
    NoticeFlag_t leaving;
    BackoffNotice_t backoff;
} UpstreamNotice_t;

/** UpstreamNotice_read() - parse the notices in an answer's headers */
UpstreamNotice_t UpstreamNotice_read(const UpstreamNoticeForm_t *form,
                                     int status,
                                     const struct evkeyvalq *headers);

#endif
