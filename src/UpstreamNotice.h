#ifndef HEADER_UpstreamNotice
#define HEADER_UpstreamNotice
/**
 * DOC: UpstreamNotice
 *
 * What an answer says of the upstream that gave it, apart from the request.
 * Any answer may: also a refusal, or that of a health check. A form on the
 * wire names the headers that say it.
 */
#include "NamedLimit.h"

/**
 * enum NoticeKind_t - what upstreams say of themselves
 * @NOTICE_LIMIT: how many requests a second they take from all routers
 * @NOTICE_LEAVING: that they are about to end
 */
typedef enum {
    NOTICE_LIMIT,
    NOTICE_LEAVING,
    NOTICE_KIND_COUNT,
} NoticeKind_t;

/**
 * struct UpstreamNoticeForm_t - how a form says it
 * @headers: name of the header, for each kind
 * @misdirected_status: of an answer by another upstream that has the address;
 *     0 for none
 */
typedef struct {
    const char *headers[NOTICE_KIND_COUNT];
    int misdirected_status;
} UpstreamNoticeForm_t;

/**
 * enum NoticeFlag_t - a header that is a flag
 * @FLAG_UNSET: it is missing or 0
 * @FLAG_SET: it is 1
 * @FLAG_UNREADABLE: it is anything else, or both
 */
typedef enum {
    FLAG_UNSET,
    FLAG_SET,
    FLAG_UNREADABLE,
} NoticeFlag_t;

/**
 * struct UpstreamNotice_t - of one answer
 * @limit: of requests
 * @leaving: whether it is about to end
 */
typedef struct {
    NamedLimit_t limit;
    NoticeFlag_t leaving;
} UpstreamNotice_t;

/** UpstreamNotice_read() - from the headers of an answer */
UpstreamNotice_t UpstreamNotice_read(const UpstreamNoticeForm_t *form,
                                     const struct evkeyvalq *headers);

#endif
