#include "testing.h"

#include <glib/gstdio.h>
#include <stddef.h>
#include <string.h>

#include "Declarations.h"
#include "Problem.h"
#include "Settings.h"

#define KEY "1111111111111111111111111111111111111111111111111111111111111111"
#define VALID "[router]\n" VALID_REST
#define VALID_REST                                                            \
    "name = r1\nhall = h\nregion = r\nlisten = 127.0.0.1:80\n"                \
    "operator_listen = 127.0.0.1:81\n[keys]\nseal = " KEY "\nsalt = " KEY     \
    "\noperator_hash = " KEY "\n[platform]\nlog = 127.0.0.1:82\n"             \
    "instances = 127.0.0.1:83\n[peers]\nlisten = 127.0.0.1:84\n"

static char *
write_file(const char *text)
{
    char *path = NULL;
    gint fd = g_file_open_tmp("wt-test-XXXXXX.ini", &path, NULL);
    ck_assert_int_ge(fd, 0);
    g_close(fd, NULL);
    ck_assert(g_file_set_contents(path, text, -1, NULL));
    return path;
}

static GPtrArray *
find_problems(const char *text)
{
    GPtrArray *problems = Problems_create();
    char *path = write_file(text);
    Settings_t *settings = Settings_create(path, problems);
    ck_assert_int_eq(settings == NULL, problems->len > 0);
    if (settings) {
        Settings_destroy(settings);
    }
    g_unlink(path);
    g_free(path);
    return problems;
}

static void
assert_problem(const char *text, ProblemKind_t kind, guint line,
               const char *section, const char *key)
{
    g_autoptr(GPtrArray) problems = find_problems(text);
    ck_assert_uint_eq(problems->len, 1);
    const Problem_t *problem = g_ptr_array_index(problems, 0);
    ck_assert_str_eq(Problem_kindName(problem->kind), Problem_kindName(kind));
    ck_assert_uint_eq(problem->line, line);
    ck_assert_str_eq(problem->section->str, section);
    ck_assert_str_eq(problem->key->str, key);
}

START_TEST(faults_of_a_file_that_is_no_text_are_bounded)
{
    g_autoptr(GString) text = g_string_new(VALID);
    for (guint i = 0; i < 10000; i++) {
        g_string_append(text, "=\n");
    }
    g_autoptr(GPtrArray) problems = find_problems(text->str);
    ck_assert_uint_eq(problems->len, 101);
}
END_TEST

START_TEST(each_hall_needs_a_region)
{
    assert_problem("[router]\nhalls = a,b\nhall_regions = r\n" VALID_REST,
                   PROBLEM_BAD_VALUE, 3, "router", "hall_regions");
}
END_TEST

START_TEST(valid_settings_have_values_and_defaults)
{
    g_autoptr(GPtrArray) problems = Problems_create();
    char *path = write_file(VALID "[limits]\nbackoff = 2s\nmax_body = 8KiB\n");
    Settings_t *settings = Settings_create(path, problems);
    ck_assert_ptr_nonnull(settings);
    ck_assert_str_eq(settings->router.name->str, "r1");
    ck_assert_uint_eq(settings->router.listen.port, 80);
    ck_assert_int_eq(settings->limits.backoff_ms, 2000);
    ck_assert_int_eq(settings->limits.max_body, 8192);
    ck_assert_int_eq(settings->limits.max_attempts, 4);
    ck_assert_uint_eq(g_bytes_get_size(settings->keys.seal), 32);
    Settings_destroy(settings);
    g_unlink(path);
    g_free(path);
}
END_TEST

START_TEST(each_fault_has_its_kind_and_line)
{
    assert_problem(VALID "[limits]\nfoo = 1\n", PROBLEM_UNKNOWN_KEY, 17,
                   "limits", "foo");
    assert_problem(VALID "[limits]\nbackoff = soon\n", PROBLEM_BAD_VALUE, 17,
                   "limits", "backoff");
    assert_problem(VALID "[limits]\nbackoff = 5 parsecs\n", PROBLEM_BAD_UNIT,
                   17, "limits", "backoff");
    assert_problem(VALID "[limits]\nmax_body = 1B\n", PROBLEM_OUT_OF_RANGE, 17,
                   "limits", "max_body");
    assert_problem(VALID "[limits]\nbackoff = 1s\nbackoff = 2s\n",
                   PROBLEM_DUPLICATE_KEY, 18, "limits", "backoff");
    assert_problem(VALID "[limits]\nbackoff = 1s\n[limits]\n",
                   PROBLEM_DUPLICATE_SECTION, 18, "limits", "");
    assert_problem(VALID "[nonsense]\n", PROBLEM_UNKNOWN_SECTION, 16,
                   "nonsense", "");
    assert_problem(VALID "[limits]\nnonsense\n", PROBLEM_SYNTAX, 17, "limits",
                   "");
}
END_TEST

/*
 * Regression test: no router started, as each reported bad_unit for one key.
 * A settings template had been filled with a fraction, 33.1578947368421, or
 * without a number, which leaves only the unit. Only integers were accepted
 * then, and an empty value was not treated as absent. Fractions of the
 * smallest unit are now truncated, and an optional number that is not given
 * has its default; other invalid values are still rejected.
 */
typedef struct {
    const char *value;
    gboolean valid;
    ProblemKind_t fault;
    gint64 number;
} NumberCase_t;

/* Values of an integer key from 0 to 100000 whose default is 10. */
static const NumberCase_t integer_cases[] = {
    {"33.1578947368421", TRUE, 0, 33},
    {"0.4", TRUE, 0, 0},
    {"0", TRUE, 0, 0},
    {"0.0", TRUE, 0, 0},
    {"630.0", TRUE, 0, 630},
    {"1e3", TRUE, 0, 1000},
    {"", TRUE, 0, 10},
    {"100000", TRUE, 0, 100000},
    {"100001", FALSE, PROBLEM_OUT_OF_RANGE, 0},
    {"100000.5", FALSE, PROBLEM_OUT_OF_RANGE, 0},
    {"-0.5", FALSE, PROBLEM_OUT_OF_RANGE, 0},
    {"-1", FALSE, PROBLEM_OUT_OF_RANGE, 0},
    {"99999999999999999999999", FALSE, PROBLEM_OUT_OF_RANGE, 0},
    {"1e999", FALSE, PROBLEM_BAD_VALUE, 0},
    {"nan", FALSE, PROBLEM_BAD_VALUE, 0},
    {"inf", FALSE, PROBLEM_BAD_VALUE, 0},
    {"0x10", FALSE, PROBLEM_BAD_VALUE, 0},
    {"many", FALSE, PROBLEM_BAD_VALUE, 0},
    {"null", FALSE, PROBLEM_BAD_VALUE, 0},
    {"3 3", FALSE, PROBLEM_BAD_UNIT, 0},
    {"1.2.3", FALSE, PROBLEM_BAD_UNIT, 0},
    {"5ms", FALSE, PROBLEM_BAD_UNIT, 0},
};

/* Values of a duration key from 0 to one hour whose default is 20 ms. */
static const NumberCase_t duration_cases[] = {
    {"1.5s", TRUE, 0, 1500},
    {"2999.9ms", TRUE, 0, 2999},
    {"0.25m", TRUE, 0, 15000},
    {"0s", TRUE, 0, 0},
    {"ms", TRUE, 0, 20},
    {"", TRUE, 0, 20},
    {"1h", TRUE, 0, 3600000},
    {"1.1h", FALSE, PROBLEM_OUT_OF_RANGE, 0},
    {"1e300s", FALSE, PROBLEM_OUT_OF_RANGE, 0},
    {"-1ms", FALSE, PROBLEM_OUT_OF_RANGE, 0},
    {"15", FALSE, PROBLEM_BAD_UNIT, 0},
    {"15 ms", FALSE, PROBLEM_BAD_UNIT, 0},
    {".ms", FALSE, PROBLEM_BAD_VALUE, 0},
};

static void
check_number(const char *key, const NumberCase_t *number, gsize offset)
{
    g_autofree char *text =
        g_strdup_printf(VALID "[limits]\n%s = %s\n", key, number->value);
    if (!number->valid) {
        assert_problem(text, number->fault, 17, "limits", key);
        return;
    }
    g_autoptr(GPtrArray) problems = Problems_create();
    char *path = write_file(text);
    Settings_t *settings = Settings_create(path, problems);
    ck_assert_msg(settings != NULL, "refused: %s = %s", key, number->value);
    gint64 read = *(gint64 *)((char *)&settings->limits + offset);
    ck_assert_int_eq(read, number->number);
    Settings_destroy(settings);
    g_unlink(path);
    g_free(path);
}

START_TEST(fractional_and_empty_numbers_are_accepted)
{
    for (gsize i = 0; i < G_N_ELEMENTS(integer_cases); i++) {
        check_number("retry_allowance", &integer_cases[i],
                     offsetof(LimitsSection_t, retry_allowance));
    }
    for (gsize i = 0; i < G_N_ELEMENTS(duration_cases); i++) {
        check_number("backoff", &duration_cases[i],
                     offsetof(LimitsSection_t, backoff_ms));
    }
}
END_TEST

START_TEST(number_fault_reports_key_value_and_range)
{
    g_autoptr(GPtrArray) problems =
        find_problems(VALID "[limits]\nretry_allowance = 100001\n");
    GString *text = Problem_format(g_ptr_array_index(problems, 0));
    ck_assert_ptr_nonnull(strstr(text->str, "retry_allowance"));
    ck_assert_ptr_nonnull(strstr(text->str, "100001"));
    ck_assert_ptr_nonnull(strstr(text->str, "expected 0 to 100000"));
    g_string_free(text, TRUE);
}
END_TEST

START_TEST(missing_key_and_bad_address_are_reported)
{
    GString *text = g_string_new(VALID);
    g_string_erase(text, (gssize)(strstr(text->str, "name") - text->str),
                   (gssize)strlen("name = r1\n"));
    assert_problem(text->str, PROBLEM_MISSING_KEY, 1, "router", "name");
    g_string_assign(text, VALID);
    char *port = strstr(text->str, "127.0.0.1:80");
    memcpy(port, "127.0.0.x:80", strlen("127.0.0.x:80"));
    assert_problem(text->str, PROBLEM_BAD_VALUE, 5, "router", "listen");
    g_string_free(text, TRUE);
}
END_TEST

START_TEST(all_faults_are_reported_at_once)
{
    g_autoptr(GPtrArray) problems =
        find_problems(VALID "[limits]\nfoo = 1\nbackoff = x\n[bar]\n");
    ck_assert_uint_eq(problems->len, 3);
}
END_TEST

START_TEST(unreadable_file_is_reported)
{
    g_autoptr(GPtrArray) problems = Problems_create();
    ck_assert_ptr_null(Settings_create("/nonexistent/x.ini", problems));
    ck_assert_uint_eq(problems->len, 1);
    const Problem_t *problem = g_ptr_array_index(problems, 0);
    ck_assert_int_eq((int)problem->kind, PROBLEM_UNREADABLE);
}
END_TEST

static GPtrArray *
load_declarations(const char *text, GPtrArray *problems)
{
    char *path = write_file(text);
    char *paths[] = {path, NULL};
    GPtrArray *objects = Declarations_load(paths, problems);
    g_unlink(path);
    g_free(path);
    return objects;
}

START_TEST(declarations_are_sorted_by_kind)
{
    g_autoptr(GPtrArray) problems = Problems_create();
    g_autoptr(GPtrArray) objects = load_declarations(
        "[upstream u]\naddress = 127.0.0.1:1\nhall = h\nregion = r\n"
        "serves = m\n[model m]\nweights = v1\n; a comment\n",
        problems);
    ck_assert_uint_eq(problems->len, 0);
    ck_assert_uint_eq(objects->len, 2);
    const Object_t *first = g_ptr_array_index(objects, 0);
    ck_assert_str_eq(first->name->str, "m");
}
END_TEST

START_TEST(dangling_references_are_reported)
{
    g_autoptr(GPtrArray) problems = Problems_create();
    g_autoptr(GPtrArray) objects =
        load_declarations("[adapter a]\nmodel = m\nweights = v1\n", problems);
    ck_assert_uint_eq(problems->len, 1);
    const Problem_t *problem = g_ptr_array_index(problems, 0);
    ck_assert_int_eq((int)problem->kind, PROBLEM_BAD_REFERENCE);
    ck_assert_uint_eq(objects->len, 1);
}
END_TEST

START_TEST(bad_section_names_and_times_are_reported)
{
    g_autoptr(GPtrArray) problems = Problems_create();
    g_autoptr(GPtrArray) objects = load_declarations(
        "[model]\nweights = v1\n[gadget g]\n[model b@d]\nweights = v1\n"
        "[stop-plan p]\nupstream = u\nby = tomorrow\n",
        problems);
    ck_assert_uint_eq(objects->len, 0);
    ck_assert_uint_eq(problems->len, 4);
}
END_TEST

START_TEST(reference_names_every_section)
{
    GString *text = g_string_new(NULL);
    Settings_appendReference(text);
    Declarations_appendReference(text);
    ck_assert_ptr_nonnull(strstr(text->str, "## [limits]"));
    ck_assert_ptr_nonnull(strstr(text->str, "| `weights` | name |"));
    g_string_free(text, TRUE);
}
END_TEST

static void
append_restart_key(const char *section, const char *key, void *data)
{
    g_string_append_printf(data, "%s.%s;", section, key);
}

/* Creates settings from one text and reloads them from another. */
static Settings_t *
reload_settings(const char *first, const char *second, gboolean valid,
                GString *restart_keys)
{
    g_autoptr(GPtrArray) problems = Problems_create();
    char *path = write_file(first);
    Settings_t *settings = Settings_create(path, problems);
    ck_assert_ptr_nonnull(settings);
    ck_assert(g_file_set_contents(path, second, -1, NULL));
    ck_assert(Settings_reload(settings, problems, append_restart_key,
                              restart_keys) == valid);
    ck_assert_int_eq(problems->len == 0, valid);
    g_unlink(path);
    g_free(path);
    return settings;
}

/* Settings with more lines in [router]; NULL if they have a fault. */
static Settings_t *
create_with(const char *lines)
{
    g_autoptr(GPtrArray) problems = Problems_create();
    g_autofree char *text = g_strconcat("[router]\n", lines, VALID_REST, NULL);
    char *path = write_file(text);
    Settings_t *settings = Settings_create(path, problems);
    g_unlink(path);
    g_free(path);
    return settings;
}

static void
assert_stop(const char *lines, gint64 grace_ms, gint64 limit_ms)
{
    Settings_t *settings = create_with(lines);
    ck_assert_ptr_nonnull(settings);
    ck_assert_int_eq(Settings_stopGraceMs(settings), grace_ms);
    ck_assert_int_eq(Settings_stopLimitMs(settings), limit_ms);
    Settings_destroy(settings);
}

START_TEST(a_stop_ends_before_the_kill)
{
    assert_stop("stop_grace = 2800ms\nstop_kill = 8s\n", 2800, 7800);
    assert_stop("stop_grace = 2800ms\nstop_kill = 5s\n", 1750, 4800);
    assert_stop("stop_grace = 2800ms\nstop_kill = 20s\n", 2800, 19800);
    assert_stop("stop_limit = 3s\nstop_kill = 20s\n", 2000, 3000);
    assert_stop("stop_kill = 1s\n", 350, 800);
}
END_TEST

START_TEST(without_a_kill_the_stop_is_as_set)
{
    assert_stop("", 2000, 600000);
    assert_stop("stop_grace = 7s\nstop_limit = 9s\nstop_kill = 0s\n", 7000,
                9000);
}
END_TEST

START_TEST(a_kill_that_leaves_no_time_is_a_fault)
{
    ck_assert_ptr_null(create_with("stop_kill = 999ms\n"));
}
END_TEST

#define CHANGED                                                               \
    "[router]\nname = r2\nhall = h\nregion = r\nlisten = 127.0.0.1:90\n"      \
    "operator_listen = 127.0.0.1:81\nstop_grace = 7s\nbootstrap = x\n"        \
    "[keys]\nseal = " KEY "\nsalt = " KEY "\noperator_hash = "                \
    "2222222222222222222222222222222222222222222222222222222222222222"        \
    "\n[platform]\nlog = 127.0.0.1:82\nclaim_horizon = 10m\n"                 \
    "weight_loads = 9\ninstances = 127.0.0.1:83\n[peers]\n"                   \
    "listen = 127.0.0.1:84\nseeds = 127.0.0.1:85\n[limits]\nbackoff = 5s\n"

START_TEST(reload_applies_live_keys_and_reports_the_others)
{
    GString *restart_keys = g_string_new(NULL);
    Settings_t *settings = reload_settings(VALID, CHANGED, TRUE, restart_keys);
    ck_assert_str_eq(restart_keys->str, "router.name;router.listen;"
                                        "router.bootstrap;keys.operator_hash;"
                                        "peers.seeds;platform.claim_horizon;");
    ck_assert_str_eq(settings->router.name->str, "r1");
    ck_assert_uint_eq(settings->router.listen.port, 80);
    ck_assert_int_eq(settings->platform.claim_horizon_ms, 30 * 60 * 1000);
    ck_assert_int_eq(settings->router.stop_grace_ms, 7000);
    ck_assert_int_eq(settings->platform.weight_loads, 9);
    ck_assert_int_eq(settings->limits.backoff_ms, 5000);
    Settings_destroy(settings);
    g_string_free(restart_keys, TRUE);
}
END_TEST

START_TEST(reload_of_same_file_reports_no_key)
{
    GString *restart_keys = g_string_new(NULL);
    Settings_destroy(reload_settings(CHANGED, CHANGED, TRUE, restart_keys));
    ck_assert_str_eq(restart_keys->str, "");
    g_string_free(restart_keys, TRUE);
}
END_TEST

START_TEST(reload_of_invalid_file_changes_nothing)
{
    GString *restart_keys = g_string_new(NULL);
    Settings_t *settings = reload_settings(VALID, CHANGED "max_body = much\n",
                                           FALSE, restart_keys);
    ck_assert_str_eq(restart_keys->str, "");
    ck_assert_int_eq(settings->limits.backoff_ms, 20);
    Settings_destroy(settings);
    g_string_free(restart_keys, TRUE);
}
END_TEST

/*
 * Regression test: of a file with a NUL byte, only the declarations before the
 * NUL were applied and no fault was reported, as the file was read as a C
 * string. A NUL byte is now a fault.
 */
START_TEST(file_with_nul_byte_is_reported)
{
    static const char text[] = "[model m]\nweights = v1\n\0[model n]\n";
    g_autoptr(GPtrArray) problems = Problems_create();
    char *path = write_file("");
    char *paths[] = {path, NULL};
    ck_assert(g_file_set_contents(path, text, sizeof(text) - 1, NULL));
    g_ptr_array_unref(Declarations_load(paths, problems));
    ck_assert_uint_eq(problems->len, 1);
    const Problem_t *problem = g_ptr_array_index(problems, 0);
    ck_assert_int_eq(problem->kind, PROBLEM_SYNTAX);
    ck_assert_uint_eq(problem->line, 3);
    g_unlink(path);
    g_free(path);
}
END_TEST

/* The fault of a long name told its letters alone. */
START_TEST(fault_of_a_long_name_tells_the_length)
{
    g_autofree char *name = g_strnfill(255, 'n');
    g_autofree char *text = g_strconcat("[router]\nname = ", name, "\n",
                                        strstr(VALID_REST, "hall"), NULL);
    assert_problem(text, PROBLEM_BAD_NAME, 2, "router", "name");
    g_autoptr(GPtrArray) problems = find_problems(text);
    const Problem_t *problem = g_ptr_array_index(problems, 0);
    ck_assert_ptr_nonnull(strstr(problem->detail->str, "1 to 64 letters"));
}
END_TEST

TESTING_MAIN(
    "Settings", each_hall_needs_a_region,
    faults_of_a_file_that_is_no_text_are_bounded,
    valid_settings_have_values_and_defaults, each_fault_has_its_kind_and_line,
    fractional_and_empty_numbers_are_accepted,
    number_fault_reports_key_value_and_range,
    missing_key_and_bad_address_are_reported, all_faults_are_reported_at_once,
    unreadable_file_is_reported, declarations_are_sorted_by_kind,
    dangling_references_are_reported, bad_section_names_and_times_are_reported,
    reference_names_every_section,
    reload_applies_live_keys_and_reports_the_others,
    fault_of_a_long_name_tells_the_length, a_stop_ends_before_the_kill,
    without_a_kill_the_stop_is_as_set, a_kill_that_leaves_no_time_is_a_fault,
    reload_of_same_file_reports_no_key, reload_of_invalid_file_changes_nothing,
    file_with_nul_byte_is_reported)
