#ifndef HEADER_AdvertisedLimit
#define HEADER_AdvertisedLimit
/**
 * DOC: AdvertisedLimit
 *
 * Reads the request rate limit that an upstream advertises in a header of its
 * answers.
 */
#include <event2/http.h>
#include <glib.h>

/** Highest advertised rate, in requests per second; higher ones are capped */
#define ADVERTISED_LIMIT_MAX_PER_S 1e6

/**
 * enum AdvertisedLimitKind_t - what an answer says about the limit
 * @LIMIT_ABSENT: there is no header, and so no limit
 * @LIMIT_ADVERTISED: a rate
 * @LIMIT_UNREADABLE: a text that is not a rate, or two different rates
 */
typedef enum {
    LIMIT_ABSENT,
    LIMIT_ADVERTISED,
    LIMIT_UNREADABLE,
} AdvertisedLimitKind_t;

/**
 * struct AdvertisedLimit_t - limit read from an answer
 * @kind: what the answer says about the limit
 * @per_s: requests per second of all routers together; 0 unless @kind is
 *     LIMIT_ADVERTISED
 */
typedef struct {
    AdvertisedLimitKind_t kind;
    double per_s;
} AdvertisedLimit_t;

/**
 * AdvertisedLimit_parse() - parse a decimal number
 * @text: digits with an optional decimal point; surrounding blanks are ignored
 *
 * Return: a limit of kind LIMIT_UNREADABLE for any other text
 */
AdvertisedLimit_t AdvertisedLimit_parse(const char *text);

/** Decimal_isNumber() - whether a text consists of digits with an optional
 * decimal point */
gboolean Decimal_isNumber(const char *text);

/** AdvertisedLimit_find() - read the limit from a header that may be missing
 * or repeated */
AdvertisedLimit_t AdvertisedLimit_find(const struct evkeyvalq *headers,
                                       const char *name);

#endif
