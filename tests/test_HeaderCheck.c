#include "testing.h"

#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <sys/queue.h>

#include "HeaderCheck.h"

static const char *const single[] = {"Key", "Other", NULL};
static const char *const printable[] = {"Id", NULL};
static const HeaderRules_t rules = {single, printable};

/* Checks headers given as alternating names and values, ended by NULL. */
static const char *
find_fault(const char *const *texts, Refusal_t *refusal)
{
    struct evkeyvalq headers;
    TAILQ_INIT(&headers);
    *refusal = REFUSAL_COUNT;
    for (; texts[0]; texts += 2) {
        evhttp_add_header(&headers, texts[0], texts[1]);
    }
    const char *name = HeaderCheck_findFault(&headers, &rules, refusal);
    evhttp_clear_headers(&headers);
    return name;
}

START_TEST(repeated_header_is_found_in_any_case)
{
    Refusal_t refusal;
    ck_assert_str_eq(
        find_fault((const char *[]){"Key", "a", "X", "b", "kEY", "a", NULL},
                   &refusal),
        "Key");
    ck_assert_int_eq(refusal, REFUSAL_HEADER_TWICE);
    ck_assert_ptr_null(find_fault(
        (const char *[]){"Key", "a", "Other", "b", "X", "1", "X", "2", NULL},
        &refusal));
    ck_assert_int_eq(refusal, REFUSAL_COUNT);
}
END_TEST

START_TEST(only_control_characters_are_found)
{
    Refusal_t refusal;
    for (int byte = 1; byte < 256; byte++) {
        char value[] = {'a', (char)byte, 'b', '\0'};
        if (byte == '\r' || byte == '\n') {
            continue; /* these end the header line */
        }
        const char *found =
            find_fault((const char *[]){"id", value, NULL}, &refusal);
        gboolean is_control = byte < 0x20 || byte == 0x7f;
        ck_assert_int_eq(found != NULL, is_control);
        ck_assert_int_eq(refusal, is_control ? REFUSAL_CONTROL_CHARACTER
                                             : REFUSAL_COUNT);
        ck_assert_ptr_null(
            find_fault((const char *[]){"X", value, NULL}, &refusal));
    }
}
END_TEST

TESTING_MAIN("HeaderCheck", repeated_header_is_found_in_any_case,
             only_control_characters_are_found)
