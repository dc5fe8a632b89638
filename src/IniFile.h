#ifndef HEADER_IniFile
#define HEADER_IniFile
/**
 * DOC: IniFile
 *
 * An INI file, parsed by GKeyFile. Adds what GKeyFile does not report: the
 * line number of each section and key, and duplicates of either.
 */
#include <glib.h>

/**
 * struct IniFile_t - opaque
 */
typedef struct IniFile IniFile_t;

/**
 * IniFile_create() - read and parse a file
 * @problems: receives every syntax error and duplicate
 *
 * Return: the file, even if some lines are faulty; NULL if it can't be read
 */
IniFile_t *IniFile_create(const char *path, GPtrArray *problems);

/**
 * IniFile_parse() - parse a text that was read from a file
 * @path: of the file, for @problems
 * @length: of @text, which may contain NUL bytes and ends with one
 *
 * Return: the file, even if some lines are faulty
 */
IniFile_t *IniFile_parse(const char *path, const char *text, gsize length,
                         GPtrArray *problems);

/**
 * IniFile_destroy() - free the file
 */
void IniFile_destroy(IniFile_t *this);

/**
 * IniFile_path() - path as passed to IniFile_create()
 */
const char *IniFile_path(const IniFile_t *this);

/**
 * IniFile_sections() - names of all sections, in file order
 *
 * Return: a NULL-terminated array, freed with g_strfreev()
 */
char **IniFile_sections(const IniFile_t *this);

/**
 * IniFile_fields() - keys and values of a section
 *
 * Return: a new table, key -> value, that owns its strings
 */
GHashTable *IniFile_fields(const IniFile_t *this, const char *section);

/**
 * IniFile_line() - find the line of a section or key
 * @key: NULL for the line of the section itself
 *
 * Return: line number from 1, or 0 if the file does not contain it
 */
guint IniFile_line(const IniFile_t *this, const char *section,
                   const char *key);

#endif
