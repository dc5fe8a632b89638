#include "testing.h"

#include "Errors.h"
#include "LogLine.h"

static const char line[] =
    "12.5 r2 <4>2026-01-01T00:00:10.100Z r2[9]: event=upstream_doubted "
    "upstream=u1 detail=\"no answer in time\" us=-12 odd=1x";

START_TEST(timestamp_is_parsed_after_any_prefix)
{
    gint64 stamp_us = 0;
    ck_assert(LogLine_readStamp(line, &stamp_us));
    ck_assert_int_eq(stamp_us % G_USEC_PER_SEC, 100000);
    ck_assert(!LogLine_readStamp("no line", &stamp_us));
    ck_assert(!LogLine_readStamp("<6>yesterday event=x", &stamp_us));
    ck_assert(!LogLine_readStamp("<6> event=x", &stamp_us));
}
END_TEST

START_TEST(pair_ends_at_a_blank_or_at_end_of_line)
{
    ck_assert(LogLine_hasPair(line, " upstream=u1"));
    ck_assert(!LogLine_hasPair(line, " upstream=u"));
    ck_assert(LogLine_hasPair(line, " odd=1x"));
}
END_TEST

START_TEST(values_are_unquoted_and_numbers_must_be_complete)
{
    g_autofree char *detail = LogLine_value(line, " detail=");
    ck_assert_str_eq(detail, "no answer in time");
    ck_assert_ptr_null(LogLine_value(line, " none="));
    ck_assert_int_eq(LogLine_number(line, " us=", 7), -12);
    ck_assert_int_eq(LogLine_number(line, " odd=", 7), 7);
    ck_assert_int_eq(LogLine_number(line, " none=", 7), 7);
}
END_TEST

static void
count_line(void *owner, const char *text)
{
    (void)text;
    (*(guint *)owner)++;
}

START_TEST(unreadable_file_is_a_typed_error)
{
    g_autoptr(GError) error = NULL;
    char *paths[] = {(char *)"/nonexistent/log", NULL};
    guint lines = 0;
    ck_assert(!LogLine_forEach(paths, count_line, &lines, &error));
    ck_assert(g_error_matches(error, WT_ERROR, WT_ERROR_FILE_UNREADABLE));
    ck_assert_uint_eq(lines, 0);
}
END_TEST

/*
 * A timeline listed an upstream that had not served the request. A request id
 * or an error message contained " upstream=u2" or a quote; the parser searched
 * for keys inside quoted values and ended a value at an escaped quote.
 */
START_TEST(quoted_values_contain_no_pairs_and_are_unescaped)
{
    static const char quoted[] =
        "<4>2026-01-01T00:00:10.100Z r2[9]: event=x "
        "reason=\"a \\\"b\\\" event=y n=5 c=\\\\\" upstream=u1 n=7 cut=\"z\\";
    g_autofree char *reason = LogLine_value(quoted, " reason=");
    g_autofree char *cut = LogLine_value(quoted, " cut=");
    ck_assert_str_eq(reason, "a \"b\" event=y n=5 c=\\");
    ck_assert_str_eq(cut, "z");
    ck_assert_int_eq(LogLine_number(quoted, " n=", 0), 7);
    ck_assert(LogLine_hasPair(quoted, " event=x"));
    ck_assert(!LogLine_hasPair(quoted, " event=y"));
    ck_assert_ptr_null(LogLine_value(quoted, " c="));
}
END_TEST

TESTING_MAIN("LogLine", timestamp_is_parsed_after_any_prefix,
             pair_ends_at_a_blank_or_at_end_of_line,
             values_are_unquoted_and_numbers_must_be_complete,
             unreadable_file_is_a_typed_error,
             quoted_values_contain_no_pairs_and_are_unescaped)
