#ifndef HEADER_Problem
#define HEADER_Problem
/**
 * DOC: Problem
 *
 * Errors in settings and declarations files, with their locations. Checks
 * continue after an error, so that one run reports all of them.
 */
#include <glib.h>

/**
 * enum ProblemKind_t - kinds of problems; Problem_kindName() has their names
 */
typedef enum {
    PROBLEM_UNREADABLE,
    PROBLEM_SYNTAX,
    PROBLEM_UNKNOWN_SECTION,
    PROBLEM_DUPLICATE_SECTION,
    PROBLEM_UNKNOWN_KEY,
    PROBLEM_DUPLICATE_KEY,
    PROBLEM_MISSING_KEY,
    PROBLEM_BAD_VALUE,
    PROBLEM_BAD_UNIT,
    PROBLEM_OUT_OF_RANGE,
    PROBLEM_BAD_NAME,
    PROBLEM_BAD_REFERENCE,
} ProblemKind_t;

/**
 * struct Problem_t - one error
 * @kind: kind of the problem
 * @file: path as given by the user
 * @line: counted from 1, 0 if the problem has no line
 * @section: name of the section, may be empty
 * @key: name of the key, may be empty
 * @detail: the invalid value or what was expected
 */
typedef struct {
    ProblemKind_t kind;
    GString *file;
    guint line;
    GString *section;
    GString *key;
    GString *detail;
} Problem_t;

/**
 * Problems_create() - create an empty array that owns its Problem_t elements
 */
GPtrArray *Problems_create(void);

/**
 * Problems_add() - append a problem; strings are copied, NULL becomes empty
 */
void Problems_add(GPtrArray *problems, ProblemKind_t kind, const char *file,
                  guint line, const char *section, const char *key,
                  const char *detail);

/**
 * Problem_kindName() - stable name of a kind, in snake_case
 */
const char *Problem_kindName(ProblemKind_t kind);

/**
 * Problem_format() - format as "file:line: [section] key: kind: detail"
 *
 * Return: a new string
 */
GString *Problem_format(const Problem_t *this);

/** Problems_print() - print each one on standard error */
void Problems_print(const GPtrArray *problems);

#endif
