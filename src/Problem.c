#include "Problem.h"

#include <stdio.h>

static const char *const kind_names[] = {
    [PROBLEM_UNREADABLE] = "unreadable",
    [PROBLEM_SYNTAX] = "syntax",
    [PROBLEM_UNKNOWN_SECTION] = "unknown_section",
    [PROBLEM_DUPLICATE_SECTION] = "duplicate_section",
    [PROBLEM_UNKNOWN_KEY] = "unknown_key",
    [PROBLEM_DUPLICATE_KEY] = "duplicate_key",
    [PROBLEM_MISSING_KEY] = "missing_key",
    [PROBLEM_BAD_VALUE] = "bad_value",
    [PROBLEM_BAD_UNIT] = "bad_unit",
    [PROBLEM_OUT_OF_RANGE] = "out_of_range",
    [PROBLEM_BAD_NAME] = "bad_name",
    [PROBLEM_BAD_REFERENCE] = "bad_reference",
};

static void
Problem_destroy(gpointer data)
{
    Problem_t *this = data;
    g_string_free(this->file, TRUE);
    g_string_free(this->section, TRUE);
    g_string_free(this->key, TRUE);
    g_string_free(this->detail, TRUE);
    g_free(this);
}

GPtrArray *
Problems_create(void)
{
    return g_ptr_array_new_with_free_func(Problem_destroy);
}

void
Problems_add(GPtrArray *problems, ProblemKind_t kind, const char *file,
             guint line, const char *section, const char *key,
             const char *detail)
{
    Problem_t *problem = g_new0(Problem_t, 1);
    problem->kind = kind;
    problem->file = g_string_new(file);
    problem->line = line;
    problem->section = g_string_new(section);
    problem->key = g_string_new(key);
    problem->detail = g_string_new(detail);
    g_ptr_array_add(problems, problem);
}

const char *
Problem_kindName(ProblemKind_t kind)
{
    return kind_names[kind];
}

GString *
Problem_format(const Problem_t *this)
{
    GString *text = g_string_new(NULL);
    g_string_append_printf(text, "%s:%u:", this->file->str, this->line);
    if (this->section->len > 0) {
        g_string_append_printf(text, " [%s]", this->section->str);
    }
    if (this->key->len > 0) {
        g_string_append_printf(text, " %s", this->key->str);
    }
    g_string_append_printf(text, ": %s", kind_names[this->kind]);
    if (this->detail->len > 0) {
        g_string_append_printf(text, ": %s", this->detail->str);
    }
    return text;
}

void
Problems_print(const GPtrArray *problems)
{
    for (guint i = 0; i < problems->len; i++) {
        GString *text = Problem_format(g_ptr_array_index(problems, i));
        fprintf(stderr, "%s\n", text->str);
        g_string_free(text, TRUE);
    }
}
