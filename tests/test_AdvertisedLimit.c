#include "testing.h"

#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <sys/queue.h>

#include "AdvertisedLimit.h"

#define HEADER "Some-Limit"

static AdvertisedLimit_t
find_limit(const char *first, const char *second)
{
    struct evkeyvalq headers;
    TAILQ_INIT(&headers);
    if (first) {
        evhttp_add_header(&headers, HEADER, first);
    }
    if (second) {
        evhttp_add_header(&headers, HEADER, second);
    }
    AdvertisedLimit_t limit = AdvertisedLimit_find(&headers, HEADER);
    evhttp_clear_headers(&headers);
    return limit;
}

START_TEST(decimal_numbers_are_parsed)
{
    static const struct {
        const char *text;
        double per_s;
    } cases[] = {{"1.7", 1.7}, {"0", 0},  {"0.0", 0},    {"12", 12},
                 {".5", .5},   {"3.", 3}, {" 2.5 ", 2.5}};
    for (gsize i = 0; i < G_N_ELEMENTS(cases); i++) {
        AdvertisedLimit_t limit = AdvertisedLimit_parse(cases[i].text);
        ck_assert_int_eq(limit.kind, LIMIT_ADVERTISED);
        ck_assert_double_eq(limit.per_s, cases[i].per_s);
    }
}
END_TEST

START_TEST(other_texts_are_unreadable)
{
    static const char *const texts[] = {
        "",     " ",     ".",    "-1",
        "+1",   "1e3",   "inf",  "nan",
        "0x10", "1.2.3", "1,5",  "1 2",
        "many", "1.7s",  "\xff", "1.70000000000000000000000000000000000001"};
    for (gsize i = 0; i < G_N_ELEMENTS(texts); i++) {
        ck_assert_int_eq(AdvertisedLimit_parse(texts[i]).kind,
                         LIMIT_UNREADABLE);
    }
}
END_TEST

START_TEST(a_huge_rate_is_capped)
{
    AdvertisedLimit_t limit = AdvertisedLimit_parse("99999999999999999999999");
    ck_assert_int_eq(limit.kind, LIMIT_ADVERTISED);
    ck_assert_double_eq(limit.per_s, ADVERTISED_LIMIT_MAX_PER_S);
}
END_TEST

START_TEST(a_header_may_be_missing_or_duplicated)
{
    ck_assert_int_eq(find_limit(NULL, NULL).kind, LIMIT_ABSENT);
    ck_assert_double_eq(find_limit("1.7", NULL).per_s, 1.7);
    ck_assert_double_eq(find_limit("1.7", "1.70").per_s, 1.7);
    ck_assert_int_eq(find_limit("1.7", "1.8").kind, LIMIT_UNREADABLE);
    ck_assert_int_eq(find_limit("1.7", "").kind, LIMIT_UNREADABLE);
}
END_TEST

TESTING_MAIN("AdvertisedLimit", decimal_numbers_are_parsed,
             other_texts_are_unreadable, a_huge_rate_is_capped,
             a_header_may_be_missing_or_duplicated)
