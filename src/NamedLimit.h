#ifndef HEADER_NamedLimit
#define HEADER_NamedLimit
/**
 * DOC: NamedLimit
 *
 * What an upstream's answer says of its request rate limit.
 */
#include <event2/http.h>
#include <glib.h>

/** Highest rate that is told apart from higher ones, in requests a second */
#define NAMED_LIMIT_MOST 1e6

/**
 * enum NamedLimitKind_t - what the answer says
 * @LIMIT_ABSENT: nothing, so that there is no limit
 * @LIMIT_NAMED: a rate
 * @LIMIT_UNREADABLE: something that is no rate, or two different ones
 */
typedef enum {
    LIMIT_ABSENT,
    LIMIT_NAMED,
    LIMIT_UNREADABLE,
} NamedLimitKind_t;

/**
 * struct NamedLimit_t - the same in detail
 * @kind: what the answer says
 * @per_s: requests a second of all routers together; 0 where none is named
 */
typedef struct {
    NamedLimitKind_t kind;
    double per_s;
} NamedLimit_t;

/**
 * NamedLimit_parse() - read a decimal number
 * @text: digits, with or without a decimal point; blanks around are passed
 *     over
 *
 * Return: of kind LIMIT_UNREADABLE for anything else
 */
NamedLimit_t NamedLimit_parse(const char *text);

/** Decimal_isOne() - whether a text is a decimal number: digits, with or
 * without a point, and nothing else */
gboolean Decimal_isOne(const char *text);

/** NamedLimit_find() - read a header that may be missing, or stand twice */
NamedLimit_t NamedLimit_find(const struct evkeyvalq *headers,
                             const char *name);

#endif
