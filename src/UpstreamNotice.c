#include "UpstreamNotice.h"

#include <event2/keyvalq_struct.h>
#include <string.h>
#include <sys/queue.h>

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

UpstreamNotice_t
UpstreamNotice_read(const UpstreamNoticeForm_t *form,
                    const struct evkeyvalq *headers)
{
    return (UpstreamNotice_t){
        .limit = NamedLimit_find(headers, form->headers[NOTICE_LIMIT]),
        .leaving = find_flag(headers, form->headers[NOTICE_LEAVING]),
    };
}
