#include "HeaderCheck.h"

#include <event2/keyvalq_struct.h>
#include <sys/queue.h>

static guint
count_headers(const struct evkeyvalq *headers, const char *name)
{
    const struct evkeyval *header = NULL;
    guint count = 0;
    TAILQ_FOREACH(header, headers, next)
    {
        count += g_ascii_strcasecmp(header->key, name) == 0 ? 1 : 0;
    }
    return count;
}

static gboolean
has_control_character(const char *value)
{
    while (*value && !g_ascii_iscntrl(*value)) {
        value++;
    }
    return *value != '\0';
}

const char *
HeaderCheck_findFault(const struct evkeyvalq *headers,
                      const HeaderRules_t *rules, Refusal_t *refusal)
{
    for (const char *const *name = rules->printable; *name; name++) {
        const char *value = evhttp_find_header(headers, *name);
        if (value && has_control_character(value)) {
            *refusal = REFUSAL_CONTROL_CHARACTER;
            return *name;
        }
    }
    for (const char *const *name = rules->once; *name; name++) {
        if (count_headers(headers, *name) > 1) {
            *refusal = REFUSAL_HEADER_TWICE;
            return *name;
        }
    }
    return NULL;
}
