#ifndef HEADER_HeaderCheck
#define HEADER_HeaderCheck
/**
 * DOC: HeaderCheck
 *
 * Finds what makes a request's head ambiguous: a header that may stand once
 * but stands twice, so that two readers may take different ones, and a
 * control character in a value that logs and answers repeat.
 */
#include <event2/http.h>
#include <glib.h>

#include "Refusal.h"

/**
 * struct HeaderRules_t - lists of names, each ended by NULL
 * @once: may stand once
 * @printable: hold no byte below 0x20 and no 0x7f
 */
typedef struct {
    const char *const *once;
    const char *const *printable;
} HeaderRules_t;

/**
 * HeaderCheck_find() - look for the first fault
 *
 * Control characters come first, in the order of the rules, so that whoever
 * refuses knows whether the header named first may be repeated.
 *
 * @refusal: REFUSAL_HEADER_TWICE or REFUSAL_CONTROL_CHARACTER, where there
 *     is a fault
 *
 * Return: name of the header at fault, of @rules; NULL where there is none
 */
const char *HeaderCheck_find(const struct evkeyvalq *headers,
                             const HeaderRules_t *rules, Refusal_t *refusal);

#endif
