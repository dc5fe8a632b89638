#ifndef HEADER_Problem
#define HEADER_Problem
/**
 * DOC: Problem
 *
 * What is wrong with a settings or declarations file, each fault with its
 * place. Checks go on after a fault, so that one run shows them all.
 */
#include <glib.h>

/**
 * enum ProblemKind_t - the kinds of faults
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
 * struct Problem_t - one fault
 * @kind: its type
 * @file: path as it was given
 * @line: counted from 1, 0 where the fault has no line
 * @section: name of the section, may be empty
 * @key: name of the key, may be empty
 * @detail: the value at fault or what was expected
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
 * Problems_create() - an empty list of Problem_t that frees its members
 */
GPtrArray *Problems_create(void);

/**
 * Problems_add() - append one; all texts are copied, NULL counts as empty
 */
void Problems_add(GPtrArray *problems, ProblemKind_t kind, const char *file,
                  guint line, const char *section, const char *key,
                  const char *detail);

/**
 * Problem_kindName() - stable name of a kind, in snake_case
 */
const char *Problem_kindName(ProblemKind_t kind);

/**
 * Problem_format() - "file:line: [section] key: kind: detail"
 *
 * Return: a new string
 */
GString *Problem_format(const Problem_t *this);

#endif
