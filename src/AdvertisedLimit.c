#include "AdvertisedLimit.h"

#include <event2/keyvalq_struct.h>
#include <string.h>
#include <sys/queue.h>

#define DIGITS "0123456789"
/* Longer texts are unreadable: no real rate needs as many characters. */
#define TEXT_MAX 32

gboolean
Decimal_isNumber(const char *text)
{
    gsize int_digits = strspn(text, DIGITS);
    const char *pos = text + int_digits;
    gsize frac_digits = 0;
    if (*pos == '.') {
        pos++;
        frac_digits = strspn(pos, DIGITS);
        pos += frac_digits;
    }
    return int_digits + frac_digits > 0 && *pos == '\0';
}

AdvertisedLimit_t
AdvertisedLimit_parse(const char *text)
{
    char copy[TEXT_MAX + 1];
    if (g_strlcpy(copy, text, sizeof(copy)) >= sizeof(copy) ||
        !Decimal_isNumber(g_strstrip(copy))) {
        return (AdvertisedLimit_t){.kind = LIMIT_UNREADABLE};
    }
    double per_s = g_ascii_strtod(copy, NULL);
    return (AdvertisedLimit_t){LIMIT_ADVERTISED,
                               MIN(per_s, ADVERTISED_LIMIT_MAX_PER_S)};
}

static gboolean
is_same(const AdvertisedLimit_t *a, const AdvertisedLimit_t *b)
{
    return a->kind == b->kind && a->per_s == b->per_s;
}

AdvertisedLimit_t
AdvertisedLimit_find(const struct evkeyvalq *headers, const char *name)
{
    AdvertisedLimit_t found = {.kind = LIMIT_ABSENT};
    const struct evkeyval *header = NULL;
    TAILQ_FOREACH(header, headers, next)
    {
        if (g_ascii_strcasecmp(header->key, name) != 0) {
            continue;
        }
        AdvertisedLimit_t limit = AdvertisedLimit_parse(header->value);
        if (found.kind != LIMIT_ABSENT && !is_same(&found, &limit)) {
            return (AdvertisedLimit_t){.kind = LIMIT_UNREADABLE};
        }
        found = limit;
    }
    return found;
}
