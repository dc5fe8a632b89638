/* What names the settings of a router. */
#include "SettingsPath.h"

#include "testing.h"

static const char *const variables[] = {"WT_FIRST", "WT_SECOND", NULL};

static void
check_path(const char *option, const char *first, const char *second,
           const char *fallback, const char *path)
{
    SettingsPath_t choice = {option, variables, fallback};
    g_unsetenv("WT_FIRST");
    g_unsetenv("WT_SECOND");
    if (first) {
        g_setenv("WT_FIRST", first, TRUE);
    }
    if (second) {
        g_setenv("WT_SECOND", second, TRUE);
    }
    ck_assert_pstr_eq(SettingsPath_choose(&choice), path);
}

START_TEST(option_goes_first)
{
    check_path("option", "first", "second", "fallback", "option");
}
END_TEST

START_TEST(variable_goes_before_the_fallback)
{
    check_path(NULL, "first", "second", "fallback", "first");
    check_path(NULL, NULL, "second", "fallback", "second");
}
END_TEST

START_TEST(fallback_goes_last)
{
    check_path(NULL, NULL, NULL, "fallback", "fallback");
}
END_TEST

START_TEST(empty_names_name_nothing)
{
    check_path("", "", "", "fallback", "fallback");
    check_path("", "", "second", "", "second");
    check_path("", "", "", "", NULL);
    check_path(NULL, NULL, NULL, NULL, NULL);
}
END_TEST

TESTING_MAIN("SettingsPath", option_goes_first,
             variable_goes_before_the_fallback, fallback_goes_last,
             empty_names_name_nothing)
