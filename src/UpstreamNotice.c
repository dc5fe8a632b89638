#include "UpstreamNotice.h"

#include <event2/keyvalq_struct.h>
#include <string.h>
#include <sys/queue.h>

#include "UpstreamBackoff.h"

#define MS_PER_S 1000
/* Longer texts are unreadable: no meaningful time is that long. */
#define SECONDS_TEXT_MAX 32

static NoticeFlag_t
read_flag(const char *text)
{
    if (strcmp(text, "1") == 0) {
        return FLAG_SET;
    }
    return strcmp(text, "0") == 0 ? FLAG_UNSET : FLAG_UNREADABLE;
}

static NoticeFlag_t
find_flag(const struct evkeyvalq *headers, const char *name)
{
    gboolean is_found = FALSE;
    NoticeFlag_t found = FLAG_UNSET;
    const struct evkeyval *header = NULL;
    TAILQ_FOREACH(header, headers, next)
    {
        if (g_ascii_strcasecmp(header->key, name) != 0) {
            continue;
        }
        NoticeFlag_t flag = read_flag(header->value);
        if (is_found && flag != found) {
            return FLAG_UNREADABLE;
        }
        is_found = TRUE;
        found = flag;
    }
    return found;
}

static BackoffNotice_t
read_seconds(const char *text)
{
    char copy[SECONDS_TEXT_MAX + 1];
    if (g_strlcpy(copy, text, sizeof(copy)) >= sizeof(copy) ||
        !Decimal_isNumber(g_strstrip(copy))) {
        return (BackoffNotice_t){.kind = BACKOFF_UNREADABLE};
    }
    double ms = g_ascii_strtod(copy, NULL) * MS_PER_S;
    return (BackoffNotice_t){BACKOFF_REQUESTED,
                             (gint64)MIN(ms, (double)UPSTREAM_BACKOFF_MAX_MS)};
}

/* In answers of other statuses, this header is meant for the caller. */
static BackoffNotice_t
find_backoff(const struct evkeyvalq *headers, int status, const char *name)
{
    BackoffNotice_t found = {.kind = BACKOFF_ABSENT};
    const struct evkeyval *header = NULL;
    if (status != HTTP_SERVUNAVAIL) {
        return found;
    }
    TAILQ_FOREACH(header, headers, next)
    {
        if (g_ascii_strcasecmp(header->key, name) != 0) {
            continue;
        }
        BackoffNotice_t backoff = read_seconds(header->value);
        if (found.kind != BACKOFF_ABSENT &&
            (found.kind != backoff.kind || found.for_ms != backoff.for_ms)) {
            return (BackoffNotice_t){.kind = BACKOFF_UNREADABLE};
        }
        found = backoff;
    }
    return found;
}

UpstreamNotice_t
UpstreamNotice_read(const UpstreamNoticeForm_t *form, int status,
                    const struct evkeyvalq *headers)
{
    return (UpstreamNotice_t){
        .limit = AdvertisedLimit_find(headers, form->headers[NOTICE_LIMIT]),
        .leaving = find_flag(headers, form->headers[NOTICE_LEAVING]),
        .backoff =
            find_backoff(headers, status, form->headers[NOTICE_BACKOFF]),
    };
}
