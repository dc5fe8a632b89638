#ifndef HEADER_HeaderCheck
#define HEADER_HeaderCheck
/**
 * DOC: HeaderCheck
 *
 * Rejects ambiguous headers of a request: a header that may occur only once
 * but is repeated, as two parsers may use different ones of its values, and a
 * control character in a value that is copied into logs and answers.
 */
#include <event2/http.h>
#include <glib.h>

#include "Refusal.h"

/**
 * struct HeaderRules_t - NULL-terminated lists of header names
 * @once: headers that may occur only once
 * @printable: headers whose values must not contain bytes below 0x20 or 0x7f
 */
typedef struct {
    const char *const *once;
    const char *const *printable;
} HeaderRules_t;

/**
 * HeaderCheck_findFault() - find the first header that breaks a rule
 *
 * Control characters are checked before repeated headers, in the order of
 * @printable. If the result is not a control character in the first header of
 * that list, its value is safe to repeat in the refusal.
 *
 * @refusal: set to REFUSAL_HEADER_TWICE or REFUSAL_CONTROL_CHARACTER if a
 *     header breaks a rule
 *
 * Return: name of the header as in @rules; NULL if there is no fault
 */
const char *HeaderCheck_findFault(const struct evkeyvalq *headers,
                                  const HeaderRules_t *rules,
                                  Refusal_t *refusal);

#endif
