#include "IniFile.h"

#include <string.h>

#include "Problem.h"

/* A file that is not text has a fault in each line. */
#define PROBLEMS_MAX 100
/* Separates section and key in the line index. Names in an INI file can't
 * contain a newline. */
#define INDEX_SEPARATOR "\n"

struct IniFile {
    char *path;
    GKeyFile *keys;
    GHashTable *lines; /* "section\nkey" -> line number */
};

static char *
index_name(const char *section, const char *key)
{
    return g_strconcat(section, INDEX_SEPARATOR, key, NULL);
}

guint
IniFile_line(const IniFile_t *this, const char *section, const char *key)
{
    g_autofree char *name = index_name(section, key ? key : "");
    return GPOINTER_TO_UINT(g_hash_table_lookup(this->lines, name));
}

static void
index_line(IniFile_t *this, GPtrArray *problems, guint number,
           const char *section, const char *key)
{
    ProblemKind_t kind =
        key ? PROBLEM_DUPLICATE_KEY : PROBLEM_DUPLICATE_SECTION;
    char *name = index_name(section, key ? key : "");
    if (g_hash_table_contains(this->lines, name)) {
        Problems_add(problems, kind, this->path, number, section, key, NULL);
        g_free(name);
        return;
    }
    g_hash_table_insert(this->lines, name, GUINT_TO_POINTER(number));
}

static char *
parse_section_name(const char *line)
{
    const char *end = strchr(line, ']');
    return end ? g_strndup(line + 1, (gsize)(end - line - 1)) : NULL;
}

static char *
parse_key_name(const char *line)
{
    const char *equals = strchr(line, '=');
    return equals ? g_strchomp(g_strndup(line, (gsize)(equals - line))) : NULL;
}

static void
index_lines(IniFile_t *this, const char *text, GPtrArray *problems)
{
    g_auto(GStrv) lines = g_strsplit(text, "\n", -1);
    g_autofree char *section = NULL;
    guint problems_max = problems->len + PROBLEMS_MAX;
    for (guint i = 0; lines[i]; i++) {
        char *line = g_strstrip(lines[i]);
        if (problems->len >= problems_max) {
            Problems_add(problems, PROBLEM_SYNTAX, this->path, i + 1, section,
                         NULL, "too many faults; not checked from here on");
            return;
        }
        if (*line == '\0' || *line == '#' || *line == ';') {
            continue;
        }
        if (*line == '[') {
            g_free(section);
            section = parse_section_name(line);
            if (section) {
                index_line(this, problems, i + 1, section, NULL);
            }
            continue;
        }
        g_autofree char *key = parse_key_name(line);
        if (section && key) {
            index_line(this, problems, i + 1, section, key);
            continue;
        }
        Problems_add(problems, PROBLEM_SYNTAX, this->path, i + 1, section,
                     NULL, "expected [section] or key = value");
    }
}

/* GKeyFile supports only '#' comments, but INI files commonly use ';' too. */
static char *
convert_semicolon_comments(const char *text)
{
    char **lines = g_strsplit(text, "\n", -1);
    for (guint i = 0; lines[i]; i++) {
        char *first = lines[i] + strspn(lines[i], " \t");
        if (*first == ';') {
            *first = '#';
        }
    }
    char *joined = g_strjoinv("\n", lines);
    g_strfreev(lines);
    return joined;
}

/* GKeyFile gets the text as a C string, so anything after a NUL byte would be
 * ignored silently. */
static void
reject_nul(const char *path, const char *text, gsize length,
           GPtrArray *problems)
{
    if (strlen(text) == length) {
        return;
    }
    guint line = 1;
    for (const char *at = text; *at; at++) {
        line += *at == '\n' ? 1 : 0;
    }
    Problems_add(problems, PROBLEM_SYNTAX, path, line, NULL, NULL,
                 "NUL byte; the text after it can't be read");
}

IniFile_t *
IniFile_parse(const char *path, const char *text, gsize length,
              GPtrArray *problems)
{
    g_autoptr(GError) error = NULL;
    IniFile_t *this = g_new0(IniFile_t, 1);
    this->path = g_strdup(path);
    this->keys = g_key_file_new();
    this->lines = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    guint problems_before = problems->len;
    reject_nul(path, text, length, problems);
    index_lines(this, text, problems);
    g_autofree char *converted = convert_semicolon_comments(text);
    gboolean loaded = g_key_file_load_from_data(
        this->keys, converted, (gsize)-1, G_KEY_FILE_NONE, &error);
    if (!loaded && problems->len == problems_before) {
        Problems_add(problems, PROBLEM_SYNTAX, path, 0, NULL, NULL,
                     error->message);
    }
    return this;
}

IniFile_t *
IniFile_create(const char *path, GPtrArray *problems)
{
    g_autoptr(GError) error = NULL;
    g_autofree char *text = NULL;
    gsize length = 0;
    if (!g_file_get_contents(path, &text, &length, &error)) {
        Problems_add(problems, PROBLEM_UNREADABLE, path, 0, NULL, NULL,
                     error->message);
        return NULL;
    }
    return IniFile_parse(path, text, length, problems);
}

void
IniFile_destroy(IniFile_t *this)
{
    g_free(this->path);
    g_key_file_free(this->keys);
    g_hash_table_destroy(this->lines);
    g_free(this);
}

const char *
IniFile_path(const IniFile_t *this)
{
    return this->path;
}

char **
IniFile_sections(const IniFile_t *this)
{
    return g_key_file_get_groups(this->keys, NULL);
}

GHashTable *
IniFile_fields(const IniFile_t *this, const char *section)
{
    GHashTable *fields =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    g_auto(GStrv) names = g_key_file_get_keys(this->keys, section, NULL, NULL);
    for (guint i = 0; names && names[i]; i++) {
        char *value =
            g_key_file_get_string(this->keys, section, names[i], NULL);
        if (value) {
            g_hash_table_insert(fields, g_strdup(names[i]), value);
        }
    }
    return fields;
}
