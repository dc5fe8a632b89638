#ifndef HEADER_UpstreamNotice
#define HEADER_UpstreamNotice
/**
 * DOC: UpstreamNotice
 *
 * What an answer says of the upstream that gave it, apart from the request.
 * Any answer may: also a refusal, or that of a health check. A form on the
 * wire names the headers that say it.
 */
#include "AdvertisedLimit.h"

/**
 * enum NoticeKind_t - what upstreams say of themselves
 * @NOTICE_LIMIT: how many requests a second they take from all routers
 * @NOTICE_LEAVING: that they are about to end
 * @NOTICE_REST: for how long they want nothing more, as they refuse
 */
typedef enum {
    NOTICE_LIMIT,
    NOTICE_LEAVING,
    NOTICE_REST,
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
 * enum RestNoticeKind_t - what an answer says of a rest
 * @REST_ABSENT: nothing, or it is no answer that may ask for one
 * @REST_ASKED: how long it is to be
 * @REST_UNREADABLE: something that is no number of seconds, or two of them
 */
typedef enum {
    REST_ABSENT,
    REST_ASKED,
    REST_UNREADABLE,
} RestNoticeKind_t;

/**
 * struct RestNotice_t - the same in detail
 * @kind: what the answer says
 * @for_ms: from the answer on; 0 where none is asked for
 */
typedef struct {
    RestNoticeKind_t kind;
    gint64 for_ms;
} RestNotice_t;

/**
 * struct UpstreamNotice_t - of one answer
 * @limit: of requests
 * @leaving: whether it is about to end
 * @rest: that it asks for
 */
typedef struct {
    AdvertisedLimit_t limit;
    NoticeFlag_t leaving;
    RestNotice_t rest;
} UpstreamNotice_t;

/** UpstreamNotice_read() - from the status and the headers of an answer */
UpstreamNotice_t UpstreamNotice_read(const UpstreamNoticeForm_t *form,
                                     int status,
                                     const struct evkeyvalq *headers);

#endif
