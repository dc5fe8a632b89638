#include "testing.h"

#include <glib/gstdio.h>
#include <string.h>
#include <unistd.h>

#include "Errors.h"
#include "LogReport.h"

#define STAMP "<6>2026-01-01T00:00:10.900Z r1[7]: "

static const char log_text[] = STAMP
    "event=request_placed request=q1 upstream=u1 supply=store "
    "move_us=50000\n" STAMP
    "event=request_done request=q1 outcome=closed us=100000 route=plans "
    "late=no events=4 first_us=40000 upstream=u1\n" STAMP
    "event=request_done request=q2 outcome=whole us=1900000 "
    "route=plans late=pause events=4 first_us=60000 upstream=u1\n" STAMP
    "event=attempt_failed request=q3 reason=cut upstream=u2\n" STAMP
    "event=request_done request=q3 outcome=stream_cut us=1 route=plans "
    "late=no events=2 first_us=1 upstream=u2\n" STAMP
    "event=request_refused request=q4 reason=no_upstream run=not_run\n" STAMP
    "event=request_done request=q4 outcome=no_upstream us=1 "
    "route=claims late=no events=0\n"
    "no line of ours event=request_done\n";

static char *
write_file(const char *text)
{
    char *path = NULL;
    int fd = g_file_open_tmp("report-XXXXXX", &path, NULL);
    ck_assert_int_ge(fd, 0);
    close(fd);
    ck_assert(g_file_set_contents(path, text, -1, NULL));
    return path;
}

static char *
create_report(const char *text, GError **error)
{
    g_autofree char *path = write_file(text);
    char *paths[] = {path, NULL};
    GString *report = LogReport_write(paths, error);
    g_unlink(path);
    return report ? g_string_free(report, FALSE) : NULL;
}

static void
assert_has(const char *report, const char *text)
{
    ck_assert_msg(strstr(report, text) != NULL, "%s not in\n%s", text, report);
}

START_TEST(requests_are_counted_by_outcome)
{
    g_autofree char *report = create_report(log_text, NULL);
    ck_assert_ptr_nonnull(report);
    assert_has(report, "\nplans 3 2 0 1 0 1 ");
    assert_has(report, "\nclaims 1 0 0 0 1 0 ");
    assert_has(report, "\nu1 2 2 0 1 0 0 ");
    assert_has(report, "\nno_upstream not_run 1\n");
    assert_has(report, "\nu2 cut 1\n");
}
END_TEST

START_TEST(request_counts_in_the_second_of_its_start)
{
    g_autofree char *report = create_report(log_text, NULL);
    assert_has(report, "\n1767225609 1 1 0 1 0 0 ");
    assert_has(report, "\n1767225610 3 1 0 0 1 1 ");
}
END_TEST

START_TEST(supply_table_lists_placed_requests)
{
    g_autofree char *report = create_report(log_text, NULL);
    assert_has(report, "\n# supplies\n");
    assert_has(report, "\nstore 1 ");
}
END_TEST

#define DONE STAMP "event=request_done request=q us=1 "

/* Three customers and two ranks. */
static const char refused_text[] =
    DONE "customer=acme outcome=overloaded rank=0 late=no events=0\n" DONE
         "customer=acme outcome=whole rank=0 late=first events=3\n" DONE
         "customer=acme outcome=closed rank=0 late=no events=3\n" DONE
         "customer=beta outcome=overloaded rank=10 late=first events=0\n" DONE
         "customer=beta outcome=rate_limited rank=10 late=no events=0\n" DONE
         "customer=beta outcome=no_upstream rank=10 late=no events=0\n" DONE
         "customer=core outcome=overloaded rank=10 late=no events=2\n" DONE
         "customer=core outcome=whole rank=10 late=pause events=2\n";

/* The other router has a line of it. */
START_TEST(requests_given_to_another_router_are_not_counted)
{
    g_autofree char *text = g_strconcat(
        refused_text, DONE "customer=beta outcome=forwarded rank=10\n", NULL);
    g_autofree char *expected = create_report(refused_text, NULL);
    g_autofree char *report = create_report(text, NULL);
    ck_assert_str_eq(report, expected);
}
END_TEST

START_TEST(refusals_are_counted_by_rank)
{
    g_autofree char *report = create_report(refused_text, NULL);
    assert_has(report,
               "\n# ranks\n# name requests overloaded limited other late\n"
               "0 3 1 0 0 1\n10 5 1 1 1 1\n");
}
END_TEST

START_TEST(the_customers_that_were_refused_most_come_first)
{
    g_autofree char *report = create_report(refused_text, NULL);
    assert_has(report, "\n# customers\n"
                       "# name requests overloaded limited other late\n"
                       "beta 3 1 1 1 0\nacme 3 1 0 0 1\ncore 2 0 0 0 1\n");
}
END_TEST

START_TEST(only_ten_customers_are_listed)
{
    g_autoptr(GString) text = g_string_new(NULL);
    for (guint i = 0; i < 12; i++) {
        g_string_append_printf(
            text, DONE "customer=c%02u outcome=%s rank=0 events=0\n", i,
            i < 2 ? "whole" : "overloaded");
    }
    g_autofree char *report = create_report(text->str, NULL);
    assert_has(report, "\n0 12 10 0 0 0\n");
    assert_has(report, "\nc02 1 1 0 0 0\n");
    assert_has(report, "\nc11 1 1 0 0 0\n");
    ck_assert_ptr_null(strstr(report, "\nc00 "));
    ck_assert_ptr_null(strstr(report, "\nc01 "));
}
END_TEST

START_TEST(lines_without_rank_and_customer_are_counted)
{
    g_autofree char *report = create_report(log_text, NULL);
    assert_has(report, "\n# ranks\n"
                       "# name requests overloaded limited other late\n"
                       "none 4 0 0 1 1\n");
}
END_TEST

START_TEST(log_without_requests_is_a_typed_error)
{
    g_autoptr(GError) error = NULL;
    ck_assert_ptr_null(create_report("<6>x event=router_started\n", &error));
    ck_assert(g_error_matches(error, WT_ERROR, WT_ERROR_BAD_BODY));
}
END_TEST

TESTING_MAIN("LogReport", requests_are_counted_by_outcome,
             request_counts_in_the_second_of_its_start,
             supply_table_lists_placed_requests, refusals_are_counted_by_rank,
             requests_given_to_another_router_are_not_counted,
             the_customers_that_were_refused_most_come_first,
             only_ten_customers_are_listed,
             lines_without_rank_and_customer_are_counted,
             log_without_requests_is_a_typed_error)
