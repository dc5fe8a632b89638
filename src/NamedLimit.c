#include "NamedLimit.h"

#include <event2/keyvalq_struct.h>
#include <string.h>
#include <sys/queue.h>

#define DIGITS "0123456789"
/* Longer texts are no rate that anybody means. */
#define TEXT_MAX 32

gboolean
Decimal_isOne(const char *text)
{
    gsize before = strspn(text, DIGITS);
    const char *rest = text + before;
    gsize after = 0;
    if (*rest == '.') {
        rest++;
        after = strspn(rest, DIGITS);
        rest += after;
    }
    return before + after > 0 && *rest == '\0';
}

NamedLimit_t
NamedLimit_parse(const char *text)
{
    char copy[TEXT_MAX + 1];
    if (g_strlcpy(copy, text, sizeof(copy)) >= sizeof(copy) ||
        !Decimal_isOne(g_strstrip(copy))) {
        return (NamedLimit_t){.kind = LIMIT_UNREADABLE};
    }
    double per_s = g_ascii_strtod(copy, NULL);
    return (NamedLimit_t){LIMIT_NAMED, MIN(per_s, NAMED_LIMIT_MOST)};
}

static gboolean
is_same(const NamedLimit_t *a, const NamedLimit_t *b)
{
    return a->kind == b->kind && a->per_s == b->per_s;
}

NamedLimit_t
NamedLimit_find(const struct evkeyvalq *headers, const char *name)
{
    NamedLimit_t found = {.kind = LIMIT_ABSENT};
    const struct evkeyval *header = NULL;
    TAILQ_FOREACH(header, headers, next)
    {
        if (g_ascii_strcasecmp(header->key, name) != 0) {
            continue;
        }
        NamedLimit_t limit = NamedLimit_parse(header->value);
        if (found.kind != LIMIT_ABSENT && !is_same(&found, &limit)) {
            return (NamedLimit_t){.kind = LIMIT_UNREADABLE};
        }
        found = limit;
    }
    return found;
}
